#include "limpethaven/config_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <ostream>
#include <tuple>

namespace limpethaven {
namespace {

constexpr std::int64_t kMaxTokensPerSecond = 1'000'000'000;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxPieces = 1'000'000;
constexpr std::int64_t kMaxLatencyMs = 600'000;
constexpr std::int64_t kMaxLinkMbytesPerS = 10'000'000;
constexpr std::int64_t kMaxShareSlots = 4096;
constexpr std::size_t kDigestDigits = 64;

/// Collects faults of one file.
class FaultSink {
 public:
  FaultSink(std::string_view file_path, std::vector<FileFault>& sink)
      : path(file_path), faults(sink) {}

  void Add(const toml::source_region& where, std::string message) const {
    this->faults.push_back(FileFault{std::string(this->path), where.begin.line,
                                     where.begin.column, std::move(message)});
  }

 private:
  std::string_view path;
  std::vector<FileFault>& faults;
};

/// Reads typed fields of one TOML table and reports every field that is
/// missing, of the wrong type, out of range or unknown.
class TableReader {
 public:
  TableReader(const toml::table& source, std::string_view table_name,
              const FaultSink& fault_sink)
      : table(source), name(table_name), sink(fault_sink) {}

  [[nodiscard]] std::string Text(std::string_view field, bool required) {
    const toml::node* node = this->Take(field, required, "a string");
    if (node == nullptr) return {};
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      return this->Wrong(*node, field, "a string that is not empty"), "";
    }
    return *value;
  }

  [[nodiscard]] std::int64_t Integer(std::string_view field, std::int64_t low,
                                     std::int64_t high,
                                     std::optional<std::int64_t> fallback) {
    const std::string expected = "a whole number from " + std::to_string(low) +
                                 " to " + std::to_string(high);
    const toml::node* node = this->Take(field, !fallback.has_value(), expected);
    if (node == nullptr) return fallback.value_or(low);
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high) {
      this->Wrong(*node, field, expected);
      return low;
    }
    return *value;
  }

  [[nodiscard]] bool Boolean(std::string_view field, bool fallback) {
    const toml::node* node = this->Take(field, false, "true or false");
    if (node == nullptr) return fallback;
    const auto value = node->value_exact<bool>();
    if (!value) this->Wrong(*node, field, "true or false");
    return value.value_or(fallback);
  }

  [[nodiscard]] const toml::array* Array(std::string_view field) {
    const toml::node* node = this->Take(field, true, "an array");
    if (node == nullptr) return nullptr;
    if (!node->is_array()) this->Wrong(*node, field, "an array");
    return node->as_array();
  }

  void Wrong(const toml::node& node, std::string_view field,
             std::string_view expected) const {
    this->sink.Add(node.source(), std::string(this->name) + "." +
                                      std::string(field) + ": expected " +
                                      std::string(expected));
  }

  /// Reports fields that no reader asked for.
  void Finish() const {
    for (const auto& [key, node] : this->table) {
      const std::string_view text = key.str();
      if (std::ranges::find(this->known, text) != this->known.end()) continue;
      this->sink.Add(key.source(), std::string(this->name) +
                                       ": unknown field '" + std::string(text) +
                                       "', expected one of " + this->Known());
    }
  }

  [[nodiscard]] toml::source_region Where() const {
    return this->table.source();
  }

 private:
  const toml::node* Take(std::string_view field, bool required,
                         std::string_view expected) {
    this->known.emplace_back(field);
    const toml::node* node = this->table.get(field);
    if (node == nullptr && required) {
      this->sink.Add(this->table.source(),
                     std::string(this->name) + ": missing field '" +
                         std::string(field) + "', expected " +
                         std::string(expected));
    }
    return node;
  }

  [[nodiscard]] std::string Known() const {
    std::string list;
    std::ranges::for_each(this->known, [&list](const std::string& field) {
      list += (list.empty() ? "" : ", ") + field;
    });
    return list;
  }

  const toml::table& table;
  std::string_view name;
  const FaultSink& sink;
  std::vector<std::string> known;
};

/// A name that an entity refers to, checked once all files are read.
struct Reference {
  FaultSink sink;
  toml::source_region where;
  std::string field;
  std::string name;
};

/// Reads files one after another into one configuration.
class FilesParser {
 public:
  void Read(const ServiceFile& file) {
    const FaultSink sink(file.path, this->parsed.faults);
    try {
      const toml::table root = toml::parse(file.text, file.path);
      this->ReadRoot(root, sink);
    } catch (const toml::parse_error& fault) {
      sink.Add(fault.source(), std::string(fault.description()));
    }
  }

  [[nodiscard]] ParsedFiles Finish() {
    this->Check(this->team_references, this->parsed.config.teams, "team");
    this->Check(this->pool_references, this->parsed.config.pools, "pool");
    std::ranges::stable_sort(
        this->parsed.faults, {}, [](const FileFault& fault) {
          return std::tie(fault.path, fault.line, fault.column);
        });
    return std::move(this->parsed);
  }

 private:
  using ReadTable = void (FilesParser::*)(TableReader&, const FaultSink&);

  void ReadRoot(const toml::table& root, const FaultSink& sink) {
    this->ReadTables(root, "team", sink, &FilesParser::ReadTeam);
    this->ReadTables(root, "key", sink, &FilesParser::ReadKey);
    this->ReadTables(root, "pool", sink, &FilesParser::ReadPool);
    this->ReadTables(root, "route", sink, &FilesParser::ReadRoute);
    this->ReadTables(root, "link", sink, &FilesParser::ReadLink);
    this->ReadTables(root, "goal", sink, &FilesParser::ReadGoal);
    if (const toml::table* fleet = root["fleet"].as_table()) {
      TableReader reader(*fleet, "fleet", sink);
      this->ReadFleet(reader, sink);
      reader.Finish();
    }
    constexpr std::array<std::string_view, 8> kSections = {
        "service", "team", "key", "pool", "route", "link", "goal", "fleet"};
    for (const auto& [key, node] : root) {
      if (std::ranges::find(kSections, key.str()) != kSections.end()) continue;
      sink.Add(
          key.source(),
          "unknown section '" + std::string(key.str()) +
              "', expected service, [[team]], [[key]], [[pool]], [[route]], "
              "[[link]], [[goal]] or [fleet]");
    }
  }

  void ReadTables(const toml::table& root, std::string_view section,
                  const FaultSink& sink, ReadTable read) {
    const toml::node* node = root.get(section);
    if (node == nullptr) return;
    const toml::array* rows = node->as_array();
    if (rows == nullptr) {
      sink.Add(node->source(), std::string(section) +
                                   ": expected an array of tables, written [[" +
                                   std::string(section) + "]]");
      return;
    }
    for (const toml::node& row : *rows) {
      const toml::table* table = row.as_table();
      if (table == nullptr) {
        sink.Add(row.source(), std::string(section) + ": expected a table");
        continue;
      }
      TableReader reader(*table, section, sink);
      (this->*read)(reader, sink);
      reader.Finish();
    }
  }

  /// Adds a row, or reports that another file or table already defines it
  /// differently.
  template <typename Spec>
  void Insert(NamedTable<Spec>& table, const std::string& name, Spec spec,
              const TableReader& reader, const FaultSink& sink,
              std::string_view what) {
    if (name.empty()) return;
    const auto [row, inserted] = table.emplace(name, std::move(spec));
    if (inserted) return;
    sink.Add(reader.Where(),
             std::string(what) + " '" + name + "' is already defined as " +
                 "another entry, expected each to be defined once");
  }

  void ReadTeam(TableReader& reader, const FaultSink& sink) {
    TeamSpec team;
    team.name = reader.Text("name", true);
    team.rate_tokens_per_s =
        reader.Integer("rate", 1, kMaxTokensPerSecond, std::nullopt);
    team.burst_tokens =
        reader.Integer("burst", 1, kMaxTokensPerSecond, std::nullopt);
    team.weight = reader.Integer("weight", 1, kMaxWeight, 1);
    this->Insert(this->parsed.config.teams, team.name, team, reader, sink,
                 "team");
  }

  void ReadKey(TableReader& reader, const FaultSink& sink) {
    KeySpec key;
    key.sha256 = reader.Text("sha256", true);
    key.team = reader.Text("team", true);
    const bool is_digest = key.sha256.size() == kDigestDigits &&
                           std::ranges::all_of(key.sha256, [](char digit) {
                             return (digit >= '0' && digit <= '9') ||
                                    (digit >= 'a' && digit <= 'f');
                           });
    if (!is_digest && !key.sha256.empty()) {
      sink.Add(reader.Where(),
               "key.sha256: expected 64 lower-case hexadecimal digits, as "
               "`limpethavenctl key "
               "hash` prints them");
      return;
    }
    this->Refer(this->team_references, reader, sink, "key.team", key.team);
    this->Insert(this->parsed.config.keys, key.sha256, key, reader, sink,
                 "key");
  }

  void ReadPool(TableReader& reader, const FaultSink& sink) {
    PoolSpec pool;
    pool.name = reader.Text("name", true);
    const auto role = PoolRoleFromName(reader.Text("role", true));
    if (!role) {
      sink.Add(reader.Where(),
               "pool.role: expected prefill, decode, mixed or service");
    }
    pool.role = role.value_or(PoolRole::kService);
    const bool is_engine = role.has_value() && *role != PoolRole::kService;
    pool.model = reader.Text("model", is_engine);
    pool.memory_pieces =
        is_engine ? reader.Integer("pieces", 1, kMaxPieces, std::nullopt)
                  : reader.Integer("pieces", 0, 0, 0);
    pool.checks_fencing = reader.Boolean("checks_fencing", false);
    const std::string data_centre = reader.Text("data_centre", false);
    if (const toml::array* rows = reader.Array("endpoints")) {
      for (const toml::node& row : *rows) {
        const auto endpoint = ReadEndpoint(row, data_centre, reader, sink);
        if (endpoint) pool.endpoints.push_back(*endpoint);
      }
    }
    this->Insert(this->parsed.config.pools, pool.name, pool, reader, sink,
                 "pool");
  }

  static std::optional<EndpointSpec> ReadEndpoint(
      const toml::node& row, const std::string& data_centre,
      const TableReader& pool, const FaultSink& sink) {
    EndpointSpec endpoint;
    endpoint.data_centre = data_centre;
    if (const auto text = row.value_exact<std::string>()) {
      endpoint.address = *text;
    } else if (const toml::table* table = row.as_table()) {
      TableReader reader(*table, "endpoint", sink);
      endpoint.address = reader.Text("address", true);
      const std::string own = reader.Text("data_centre", false);
      if (!own.empty()) endpoint.data_centre = own;
      endpoint.leaving = reader.Boolean("leaving", false);
      reader.Finish();
    }
    const auto colon = endpoint.address.rfind(':');
    if (colon == std::string::npos || colon == 0 ||
        colon + 1 == endpoint.address.size()) {
      pool.Wrong(row, "endpoints",
                 "'IP:port' or a table with address = 'IP:port'");
      return std::nullopt;
    }
    return endpoint;
  }

  void ReadRoute(TableReader& reader, const FaultSink& sink) {
    RouteSpec route;
    route.path = reader.Text("path", true);
    route.repeat = reader.Boolean("repeatable", true) ? RepeatRule::kRepeatable
                                                      : RepeatRule::kOnce;
    route.open = reader.Boolean("open", false);
    if (route.path.starts_with("/s/")) {
      route.pool = reader.Text("pool", true);
      this->Refer(this->pool_references, reader, sink, "route.pool",
                  route.pool);
      this->Insert(this->parsed.config.routes, route.path, route, reader, sink,
                   "route");
      return;
    }
    if (route.path != "/v1/completions" && !route.path.empty()) {
      sink.Add(reader.Where(),
               "route.path: expected /v1/completions or /s/SERVICE/...");
    }
    // Another engine goes on from the text so far.
    if (route.repeat == RepeatRule::kRepeatable) {
      route.repeat = RepeatRule::kResumable;
    }
    route.model = reader.Text("model", true);
    route.prefill_pool = reader.Text("prefill", true);
    route.decode_pool = reader.Text("decode", true);
    route.first_token_ms =
        reader.Integer("first_token_ms", 1, kMaxLatencyMs, 920);
    route.token_gap_ms = reader.Integer("token_gap_ms", 1, kMaxLatencyMs, 48);
    route.serve_late = reader.Boolean("serve_late", false);
    this->Refer(this->pool_references, reader, sink, "route.prefill",
                route.prefill_pool);
    this->Refer(this->pool_references, reader, sink, "route.decode",
                route.decode_pool);
    this->Insert(this->parsed.config.routes, route.path + "#" + route.model,
                 route, reader, sink, "route");
  }

  void ReadLink(TableReader& reader, const FaultSink& sink) {
    LinkSpec link;
    link.from = reader.Text("from", true);
    link.to = reader.Text("to", true);
    link.mbytes_per_s =
        reader.Integer("mbytes_per_s", 1, kMaxLinkMbytesPerS, std::nullopt);
    this->Insert(this->parsed.config.links, link.from + ">" + link.to, link,
                 reader, sink, "link");
  }

  void ReadGoal(TableReader& reader, const FaultSink& sink) {
    GoalSpec goal;
    goal.pool = reader.Text("pool", true);
    goal.model = reader.Text("model", true);
    goal.model_version = reader.Text("version", true);
    this->Refer(this->pool_references, reader, sink, "goal.pool", goal.pool);
    this->Insert(this->parsed.config.goals, goal.pool, goal, reader, sink,
                 "goal");
  }

  void ReadFleet(TableReader& reader, const FaultSink& sink) {
    if (this->fleet_seen) {
      sink.Add(reader.Where(),
               "[fleet] is already defined in another file, expected it once");
    }
    this->fleet_seen = true;
    this->parsed.config.fleet.share_slots =
        reader.Integer("share_slots", 1, kMaxShareSlots, std::nullopt);
  }

  static void Refer(std::vector<Reference>& references,
                    const TableReader& reader, const FaultSink& sink,
                    std::string field, const std::string& name) {
    if (name.empty()) return;
    references.push_back(
        Reference{sink, reader.Where(), std::move(field), name});
  }

  template <typename Spec>
  static void Check(const std::vector<Reference>& references,
                    const NamedTable<Spec>& table, std::string_view what) {
    std::ranges::for_each(references, [&](const Reference& reference) {
      if (table.contains(reference.name)) return;
      reference.sink.Add(reference.where,
                         reference.field + ": no file defines " +
                             std::string(what) + " '" + reference.name +
                             "', expected a defined " + std::string(what));
    });
  }

  ParsedFiles parsed;
  std::vector<Reference> team_references;
  std::vector<Reference> pool_references;
  bool fleet_seen = false;
};

}  // namespace

std::ostream& operator<<(std::ostream& out, const FileFault& fault) {
  return out << fault.path << ':' << fault.line << ':' << fault.column << ": "
             << fault.message;
}

ParsedFiles ParseServiceFiles(const std::vector<ServiceFile>& files) {
  FilesParser parser;
  std::ranges::for_each(
      files, [&parser](const ServiceFile& file) { parser.Read(file); });
  return parser.Finish();
}

}  // namespace limpethaven
