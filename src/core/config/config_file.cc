#include "limpethaven/config_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <ostream>
#include <tuple>

namespace limpethaven {
namespace {

/// Upper bound of a team's rate in tokens per second and of its burst in
/// tokens.
constexpr std::int64_t kMaxRateOrBurstTokens = 1'000'000'000;
/// Upper bound of a team's weight in the fair queue, which has no unit.
constexpr std::int64_t kMaxWeight = 1000;
/// Upper bound of the KV cache of one engine, in pieces of `kTokensPerPiece`
/// tokens.
constexpr std::int64_t kMaxPieceCount = 1'000'000;
/// Upper bound of a route's targets for the first token and between tokens.
constexpr std::int64_t kMaxLatencyMs = 600'000;
/// Upper bound of the rate of a link between data centres, in megabytes per
/// second.
constexpr std::int64_t kMaxLinkMbytesPerS = 10'000'000;
constexpr std::int64_t kMaxShareSlotCount = 4096;
/// Hexadecimal digits of the SHA-256 digest of an API key.
constexpr std::size_t kDigestDigitCount = 64;

/// Adds the faults of one file to the list of all files' faults.
class FaultSink {
 public:
  FaultSink(std::string_view file_path, std::vector<FileFault>& all_faults)
      : path(file_path), faults(all_faults) {}

  /// Place of the start of the region `where`.
  [[nodiscard]] EntryPlace PlaceOf(const toml::source_region& where) const {
    return EntryPlace{std::string(this->path), where.begin.line,
                      where.begin.column};
  }

  /// Adds a fault at the start of the region `where`.
  void Add(const toml::source_region& where, std::string message) const {
    this->faults.push_back(FileFault{std::string(this->path), where.begin.line,
                                     where.begin.column, std::move(message)});
  }

 private:
  std::string_view path;
  std::vector<FileFault>& faults;
};

/// Reads typed fields of one TOML table and reports every field that is
/// missing, of the wrong type, out of range or unknown. Each read returns a
/// substitute value when the field is missing or wrong.
class TableReader {
 public:
  TableReader(const toml::table& source, std::string_view table_name,
              const FaultSink& fault_sink)
      : table(source), name(table_name), sink(fault_sink) {}

  /// A string field; empty when missing or wrong.
  [[nodiscard]] std::string ReadString(std::string_view field, bool required) {
    const toml::node* node = this->FindField(field, required, "a string");
    if (node == nullptr) return {};
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      return this->ReportWrongValue(*node, field, "a non-empty string"), "";
    }
    return *value;
  }

  /// An integer field from `low` to `high`, required unless there is a
  /// `fallback`. Returns `fallback` when it is missing, `low` when it is wrong.
  [[nodiscard]] std::int64_t ReadInteger(std::string_view field,
                                         std::int64_t low, std::int64_t high,
                                         std::optional<std::int64_t> fallback) {
    const std::string expected = "an integer from " + std::to_string(low) +
                                 " to " + std::to_string(high);
    const toml::node* node =
        this->FindField(field, !fallback.has_value(), expected);
    if (node == nullptr) return fallback.value_or(low);
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high) {
      this->ReportWrongValue(*node, field, expected);
      return low;
    }
    return *value;
  }

  /// An optional boolean field; `fallback` when missing or wrong.
  [[nodiscard]] bool ReadBoolean(std::string_view field, bool fallback) {
    const toml::node* node = this->FindField(field, false, "true or false");
    if (node == nullptr) return fallback;
    const auto value = node->value_exact<bool>();
    if (!value) this->ReportWrongValue(*node, field, "true or false");
    return value.value_or(fallback);
  }

  /// A required array field; null when missing or wrong.
  [[nodiscard]] const toml::array* ReadArray(std::string_view field) {
    const toml::node* node = this->FindField(field, true, "an array");
    if (node == nullptr) return nullptr;
    if (!node->is_array()) this->ReportWrongValue(*node, field, "an array");
    return node->as_array();
  }

  /// Reports a field whose value is not as expected.
  void ReportWrongValue(const toml::node& node, std::string_view field,
                        std::string_view expected) const {
    this->sink.Add(node.source(), std::string(this->name) + "." +
                                      std::string(field) + ": expected " +
                                      std::string(expected));
  }

  /// Reports the fields of the table that were not read. Called after the last
  /// read.
  void ReportUnreadFields() const {
    for (const auto& [key, node] : this->table) {
      const std::string_view text = key.str();
      if (std::ranges::find(this->fields_read, text) !=
          this->fields_read.end()) {
        continue;
      }
      this->sink.Add(key.source(), std::string(this->name) +
                                       ": unknown field '" + std::string(text) +
                                       "', expected one of " +
                                       this->FieldsRead());
    }
  }

  /// Position of the table in its file.
  [[nodiscard]] toml::source_region TablePosition() const {
    return this->table.source();
  }

 private:
  /// The value of a field, or null; reports a missing required field.
  const toml::node* FindField(std::string_view field, bool required,
                              std::string_view expected) {
    this->fields_read.emplace_back(field);
    const toml::node* node = this->table.get(field);
    if (node == nullptr && required) {
      this->sink.Add(this->table.source(),
                     std::string(this->name) + ": missing field '" +
                         std::string(field) + "', expected " +
                         std::string(expected));
    }
    return node;
  }

  /// Names of the fields read so far, separated by commas.
  [[nodiscard]] std::string FieldsRead() const {
    std::string list;
    std::ranges::for_each(this->fields_read, [&list](const std::string& field) {
      list += (list.empty() ? "" : ", ") + field;
    });
    return list;
  }

  const toml::table& table;
  std::string_view name;
  const FaultSink& sink;
  std::vector<std::string> fields_read;  ///< Names of the fields read so far.
};

/// Name of a team or pool that another entry refers to. It is checked after all
/// files are read, because another file may define it.
struct Reference {
  FaultSink sink;
  toml::source_region where;  ///< Position of the entry that refers to it.
  std::string field;          ///< Such as `route.pool`.
  std::string name;
};

/// Reads files one after another into one configuration.
class FilesParser {
 public:
  /// Reads one file. A file with a syntax error gives one fault and no entries.
  void Read(const ServiceFile& file) {
    const FaultSink sink(file.path, this->parsed.faults);
    try {
      const toml::table root = toml::parse(file.text, file.path);
      this->ReadRoot(root, sink);
    } catch (const toml::parse_error& fault) {
      sink.Add(fault.source(), std::string(fault.description()));
    }
  }

  /// Checks the references and returns the result. Called once, after the last
  /// file.
  [[nodiscard]] ParsedFiles Finish() {
    this->CheckReferences(this->team_references, this->parsed.config.teams,
                          "team");
    this->CheckReferences(this->pool_references, this->parsed.config.pools,
                          "pool");
    std::ranges::stable_sort(
        this->parsed.faults, {}, [](const FileFault& fault) {
          return std::tie(fault.path, fault.line, fault.column);
        });
    return std::move(this->parsed);
  }

 private:
  /// Member function that reads one table of a section, such as `ReadTeam`.
  using TableReadFunction = void (FilesParser::*)(TableReader&,
                                                  const FaultSink&);

  void ReadRoot(const toml::table& root, const FaultSink& sink) {
    this->ReadTables(root, "team", sink, &FilesParser::ReadTeam);
    this->ReadTables(root, "key", sink, &FilesParser::ReadKey);
    this->ReadTables(root, "pool", sink, &FilesParser::ReadPool);
    this->ReadTables(root, "route", sink, &FilesParser::ReadRoute);
    this->ReadTables(root, "link", sink, &FilesParser::ReadLink);
    this->ReadTables(root, "goal", sink, &FilesParser::ReadGoal);
    const toml::node* fleet_node = root.get("fleet");
    if (fleet_node != nullptr && !fleet_node->is_table()) {
      sink.Add(fleet_node->source(),
               "fleet: expected a table, written [fleet]");
    }
    if (const toml::table* fleet = root["fleet"].as_table()) {
      TableReader reader(*fleet, "fleet", sink);
      this->ReadFleet(reader, sink);
      reader.ReportUnreadFields();
    }
    // `service` names the service for readers of the file. It is allowed, but
    // its value is not used.
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

  /// Calls `read` for each table of an array of tables such as `[[team]]`.
  void ReadTables(const toml::table& root, std::string_view section,
                  const FaultSink& sink, TableReadFunction read) {
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
      reader.ReportUnreadFields();
    }
  }

  /// Adds a row, or reports that an earlier table, in this or another file,
  /// already defines `name`. An empty name is skipped, because reading the
  /// field has reported it.
  template <typename Spec>
  void InsertOnce(NamedTable<Spec>& table, const std::string& name, Spec spec,
                  const TableReader& reader, const FaultSink& sink,
                  std::string_view what) {
    if (name.empty()) return;
    const auto [row, inserted] = table.emplace(name, std::move(spec));
    if (inserted) {
      this->parsed.places.emplace(std::string(what) + "/" + name,
                                  sink.PlaceOf(reader.TablePosition()));
      return;
    }
    sink.Add(reader.TablePosition(),
             std::string(what) + " '" + name +
                 "' is already defined by an earlier entry, " +
                 "expected one definition");
  }

  void ReadTeam(TableReader& reader, const FaultSink& sink) {
    TeamSpec team;
    team.name = reader.ReadString("name", true);
    team.rate_tokens_per_s =
        reader.ReadInteger("rate", 1, kMaxRateOrBurstTokens, std::nullopt);
    team.burst_tokens =
        reader.ReadInteger("burst", 1, kMaxRateOrBurstTokens, std::nullopt);
    team.weight = reader.ReadInteger("weight", 1, kMaxWeight, 1);
    this->InsertOnce(this->parsed.config.teams, team.name, team, reader, sink,
                     "team");
  }

  void ReadKey(TableReader& reader, const FaultSink& sink) {
    KeySpec key;
    key.sha256 = reader.ReadString("sha256", true);
    key.team = reader.ReadString("team", true);
    const bool is_digest = key.sha256.size() == kDigestDigitCount &&
                           std::ranges::all_of(key.sha256, [](char digit) {
                             return (digit >= '0' && digit <= '9') ||
                                    (digit >= 'a' && digit <= 'f');
                           });
    if (!is_digest && !key.sha256.empty()) {
      sink.Add(reader.TablePosition(),
               "key.sha256: expected 64 lower-case hexadecimal digits, as "
               "printed by "
               "`limpethavenctl key hash`");
      return;
    }
    this->AddReference(this->team_references, reader, sink, "key.team",
                       key.team);
    this->InsertOnce(this->parsed.config.keys, key.sha256, key, reader, sink,
                     "key");
  }

  void ReadPool(TableReader& reader, const FaultSink& sink) {
    PoolSpec pool;
    pool.name = reader.ReadString("name", true);
    const auto role = PoolRoleFromName(reader.ReadString("role", true));
    if (!role) {
      sink.Add(reader.TablePosition(),
               "pool.role: expected prefill, decode, mixed or service");
    }
    pool.role = role.value_or(PoolRole::kService);
    const bool is_engine = role.has_value() && *role != PoolRole::kService;
    pool.model = reader.ReadString("model", is_engine);
    // A pool of a plain service has no KV cache, so only 0 is accepted there.
    pool.memory_pieces =
        is_engine
            ? reader.ReadInteger("pieces", 1, kMaxPieceCount, std::nullopt)
            : reader.ReadInteger("pieces", 0, 0, 0);
    pool.checks_fencing = reader.ReadBoolean("checks_fencing", false);
    const std::string data_centre = reader.ReadString("data_centre", false);
    if (const toml::array* rows = reader.ReadArray("endpoints")) {
      for (const toml::node& row : *rows) {
        const auto endpoint = ReadEndpoint(row, data_centre, reader, sink);
        if (endpoint) pool.endpoints.push_back(*endpoint);
      }
    }
    this->InsertOnce(this->parsed.config.pools, pool.name, pool, reader, sink,
                     "pool");
  }

  /// Reads an endpoint, which is either an address or a table. Its data centre
  /// is `data_centre`, that of the pool, unless the table has one.
  static std::optional<EndpointSpec> ReadEndpoint(
      const toml::node& row, const std::string& data_centre,
      const TableReader& pool, const FaultSink& sink) {
    EndpointSpec endpoint;
    endpoint.data_centre = data_centre;
    if (const auto text = row.value_exact<std::string>()) {
      endpoint.address = *text;
    } else if (const toml::table* table = row.as_table()) {
      TableReader reader(*table, "endpoint", sink);
      endpoint.address = reader.ReadString("address", true);
      const std::string endpoint_data_centre =
          reader.ReadString("data_centre", false);
      if (!endpoint_data_centre.empty()) {
        endpoint.data_centre = endpoint_data_centre;
      }
      endpoint.leaving = reader.ReadBoolean("leaving", false);
      reader.ReportUnreadFields();
    }
    const auto colon = endpoint.address.rfind(':');
    if (colon == std::string::npos || colon == 0 ||
        colon + 1 == endpoint.address.size()) {
      pool.ReportWrongValue(row, "endpoints",
                            "'IP:port' or a table with address = 'IP:port'");
      return std::nullopt;
    }
    return endpoint;
  }

  void ReadRoute(TableReader& reader, const FaultSink& sink) {
    RouteSpec route;
    route.path = reader.ReadString("path", true);
    route.repeat = reader.ReadBoolean("repeatable", true)
                       ? RepeatRule::kRepeatable
                       : RepeatRule::kOnce;
    route.open = reader.ReadBoolean("open", false);
    if (route.path.starts_with("/s/")) {
      route.pool = reader.ReadString("pool", true);
      this->AddReference(this->pool_references, reader, sink, "route.pool",
                         route.pool);
      this->InsertOnce(this->parsed.config.routes, route.path, route, reader,
                       sink, "route");
      return;
    }
    if (route.path != "/v1/completions" && !route.path.empty()) {
      sink.Add(reader.TablePosition(),
               "route.path: expected /v1/completions or /s/SERVICE/...");
    }
    // On a repeatable model route, a stream that broke off can also be resumed:
    // another engine continues from the text produced so far.
    if (route.repeat == RepeatRule::kRepeatable) {
      route.repeat = RepeatRule::kResumable;
    }
    route.model = reader.ReadString("model", true);
    route.prefill_pool = reader.ReadString("prefill", true);
    route.decode_pool = reader.ReadString("decode", true);
    // The last argument of each of the two reads is the default target in ms.
    route.first_token_ms =
        reader.ReadInteger("first_token_ms", 1, kMaxLatencyMs, 920);
    route.token_gap_ms =
        reader.ReadInteger("token_gap_ms", 1, kMaxLatencyMs, 48);
    route.serve_late = reader.ReadBoolean("serve_late", false);
    this->AddReference(this->pool_references, reader, sink, "route.prefill",
                       route.prefill_pool);
    this->AddReference(this->pool_references, reader, sink, "route.decode",
                       route.decode_pool);
    this->InsertOnce(this->parsed.config.routes, route.path + "#" + route.model,
                     route, reader, sink, "route");
  }

  void ReadLink(TableReader& reader, const FaultSink& sink) {
    LinkSpec link;
    link.from = reader.ReadString("from", true);
    link.to = reader.ReadString("to", true);
    link.mbytes_per_s =
        reader.ReadInteger("mbytes_per_s", 1, kMaxLinkMbytesPerS, std::nullopt);
    this->InsertOnce(this->parsed.config.links, link.from + ">" + link.to, link,
                     reader, sink, "link");
  }

  void ReadGoal(TableReader& reader, const FaultSink& sink) {
    GoalSpec goal;
    goal.pool = reader.ReadString("pool", true);
    goal.model = reader.ReadString("model", true);
    goal.model_version = reader.ReadString("version", true);
    this->AddReference(this->pool_references, reader, sink, "goal.pool",
                       goal.pool);
    this->InsertOnce(this->parsed.config.goals, goal.pool, goal, reader, sink,
                     "goal");
  }

  void ReadFleet(TableReader& reader, const FaultSink& sink) {
    if (this->fleet_seen) {
      sink.Add(reader.TablePosition(),
               "[fleet] is already defined in another file, expected one "
               "definition");
    }
    this->fleet_seen = true;
    this->parsed.places.emplace("fleet", sink.PlaceOf(reader.TablePosition()));
    this->parsed.config.fleet.share_slots =
        reader.ReadInteger("share_slots", 1, kMaxShareSlotCount, std::nullopt);
  }

  /// Records a reference for the check after the last file. An empty name is
  /// skipped, because reading the field has reported it.
  static void AddReference(std::vector<Reference>& references,
                           const TableReader& reader, const FaultSink& sink,
                           std::string field, const std::string& name) {
    if (name.empty()) return;
    references.push_back(
        Reference{sink, reader.TablePosition(), std::move(field), name});
  }

  /// Reports the references to names that `table` does not contain.
  template <typename Spec>
  static void CheckReferences(const std::vector<Reference>& references,
                              const NamedTable<Spec>& table,
                              std::string_view what) {
    std::ranges::for_each(references, [&](const Reference& reference) {
      if (table.contains(reference.name)) return;
      reference.sink.Add(reference.where,
                         reference.field + ": no file defines " +
                             std::string(what) + " '" + reference.name +
                             "', expected the name of a defined " +
                             std::string(what));
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
