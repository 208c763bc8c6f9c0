#include "limpethaven/config_check.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <ostream>
#include <set>
#include <tuple>

namespace limpethaven {
namespace {

constexpr std::string_view kModelPath = "/v1/completions";
constexpr std::string_view kServicePrefix = "/s/";

std::string Quoted(std::string_view name) {
  return "'" + std::string(name) + "'";
}

/// Collects the findings about one configuration.
class ConfigurationChecker {
 public:
  ConfigurationChecker(const Configuration& configuration,
                       const EntryPlaces& entry_places)
      : config(configuration), places(entry_places) {}

  [[nodiscard]] std::vector<Finding> Run() {
    std::ranges::for_each(this->config.routes, [this](const auto& row) {
      this->CheckRoute(row.first, row.second);
    });
    std::ranges::for_each(this->config.keys, [this](const auto& row) {
      if (this->config.teams.contains(row.second.team)) return;
      this->Add(Severity::kError, "key/" + row.first,
                "key " + row.first.substr(0, kShownDigestDigits) +
                    " belongs to no team: there is no team " +
                    Quoted(row.second.team));
    });
    std::ranges::for_each(this->config.pools, [this](const auto& row) {
      if (this->used_pools.contains(row.first)) return;
      this->Add(Severity::kWarning, "pool/" + row.first,
                "pool " + Quoted(row.first) + " is used by no route");
    });
    std::ranges::for_each(this->config.teams, [this](const auto& row) {
      this->CheckTeam(row.second);
    });
    const CallerLimits& limits = this->config.fleet.limits;
    if (limits.max_header_bytes > limits.max_body_bytes) {
      this->Add(Severity::kWarning, "fleet",
                "max_header_bytes, " + std::to_string(limits.max_header_bytes) +
                    ", is above max_body_bytes, " +
                    std::to_string(limits.max_body_bytes));
    }
    std::ranges::stable_sort(this->findings, {}, [](const Finding& finding) {
      return std::tie(finding.fault.path, finding.fault.line,
                      finding.fault.column);
    });
    return std::move(this->findings);
  }

 private:
  void Add(Severity severity, const std::string& entry, std::string message) {
    Finding finding{severity, FileFault{{}, 0, 0, std::move(message)}};
    const auto place = this->places.find(entry);
    if (place != this->places.end()) {
      finding.fault.path = place->second.path;
      finding.fault.line = place->second.line;
      finding.fault.column = place->second.column;
    }
    this->findings.push_back(std::move(finding));
  }

  void CheckRoute(const std::string& key, const RouteSpec& route) {
    const std::string entry = "route/" + key;
    const std::string what = "route " + Quoted(key);
    this->CheckPath(entry, what, route);
    this->CheckTargets(entry, what, route);
    this->CheckRole(entry, what, route.prefill_pool, PoolRole::kPrefill);
    this->CheckRole(entry, what, route.decode_pool, PoolRole::kDecode);
    if (route.timeout_ms > 0 && route.timeout_ms < route.first_token_ms) {
      this->Add(Severity::kError, entry,
                what + ": timeout_ms, " + std::to_string(route.timeout_ms) +
                    ", is below first_token_ms, " +
                    std::to_string(route.first_token_ms));
    }
    // The default is not a choice of the operator.
    const std::optional<std::size_t> endpoints = this->EndpointsOf(route);
    if (endpoints && route.max_sends != RouteSpec{}.max_sends &&
        route.max_sends > static_cast<std::int64_t>(*endpoints)) {
      this->Add(Severity::kWarning, entry,
                what + ": max_sends, " + std::to_string(route.max_sends) +
                    ", is above the number of endpoints, " +
                    std::to_string(*endpoints));
    }
  }

  void CheckPath(const std::string& entry, const std::string& what,
                 const RouteSpec& route) {
    if (!route.host.empty()) {
      if (!route.path.starts_with('/') || !route.path.ends_with('/')) {
        this->Add(Severity::kError, entry,
                  what +
                      " never matches: the path of a route with a host "
                      "must begin and end with a slash");
      }
      return;
    }
    if (!route.model.empty()) {
      if (route.path != kModelPath) {
        this->Add(Severity::kError, entry,
                  what +
                      " never matches: the path of a model's route must be " +
                      std::string(kModelPath));
      }
      return;
    }
    if (!route.path.starts_with(kServicePrefix)) {
      this->Add(Severity::kError, entry,
                what +
                    " never matches: the path of a service's route must "
                    "begin with " +
                    std::string(kServicePrefix));
    } else if (route.path.find_first_of("?#") != std::string::npos) {
      this->Add(Severity::kError, entry,
                what + " never matches: a request's path has no '?' or '#'");
    } else if (!route.path.ends_with('/') &&
               this->config.routes.contains(route.path + "/")) {
      this->Add(Severity::kWarning, entry,
                what + " is hidden by route " + Quoted(route.path + "/") +
                    " for all paths below it");
    }
  }

  void CheckTargets(const std::string& entry, const std::string& what,
                    const RouteSpec& route) {
    const auto use = [&](const std::string& pool) {
      if (pool.empty()) return;
      this->used_pools.insert(pool);
      if (this->config.pools.contains(pool)) return;
      this->Add(Severity::kError, entry,
                what + " uses pool " + Quoted(pool) + ", which is not defined");
    };
    use(route.prefill_pool);
    use(route.decode_pool);
    // With targets, the single pool is not used.
    if (route.targets.empty()) return use(route.pool);
    std::ranges::for_each(route.targets, [&](const WeightedPool& target) {
      if (target.weight > 0) return use(target.pool);
      this->Add(Severity::kWarning, entry,
                what + ": target " + Quoted(target.pool) + " has weight " +
                    std::to_string(target.weight) + " and gets no request");
    });
  }

  void CheckRole(const std::string& entry, const std::string& what,
                 const std::string& name, PoolRole needed) {
    const auto pool = this->config.pools.find(name);
    if (pool == this->config.pools.end()) return;
    const PoolRole role = pool->second.role;
    if (role == needed || role == PoolRole::kMixed) return;
    this->Add(Severity::kError, entry,
              what + " uses pool " + Quoted(name) + " for " +
                  std::string(NameOf(needed)) + ", but its role is " +
                  std::string(NameOf(role)));
  }

  /// Endpoints that a request of the route can be sent to; empty if any of its
  /// pools lists none, because its endpoints announce themselves.
  [[nodiscard]] std::optional<std::size_t> EndpointsOf(
      const RouteSpec& route) const {
    std::vector<std::string> names;
    if (!route.decode_pool.empty()) names.push_back(route.decode_pool);
    if (route.targets.empty() && !route.pool.empty()) {
      names.push_back(route.pool);
    }
    std::ranges::transform(route.targets, std::back_inserter(names),
                           &WeightedPool::pool);
    // A request is sent within the one pool that is drawn for it.
    std::optional<std::size_t> least;
    for (const std::string& name : names) {
      const auto pool = this->config.pools.find(name);
      if (pool == this->config.pools.end()) return std::nullopt;
      const std::size_t count = pool->second.endpoints.size();
      if (count == 0) return std::nullopt;
      least = std::min(least.value_or(count), count);
    }
    return least;
  }

  /// Tokens of the largest request that any engine of the routes can hold.
  [[nodiscard]] Tokens LargestRequest() const {
    Tokens largest = 0;
    std::ranges::for_each(this->config.pools, [&](const auto& row) {
      const PoolSpec& pool = row.second;
      if (!this->used_pools.contains(row.first)) return;
      const Tokens memory = pool.engine ? pool.engine->kv_tokens
                                        : pool.memory_pieces * kTokensPerPiece;
      const bool decodes = pool.engine || pool.role == PoolRole::kDecode ||
                           pool.role == PoolRole::kMixed;
      if (decodes) largest = std::max(largest, memory);
    });
    return largest;
  }

  void CheckTeam(const TeamSpec& team) {
    const std::string entry = "team/" + team.name;
    const std::string what = "team " + Quoted(team.name);
    const std::string burst = std::to_string(team.burst_tokens);
    if (team.rate_tokens_per_s <= 0 && team.burst_tokens > 0) {
      this->Add(Severity::kError, entry,
                what + " has rate 0 and burst " + burst +
                    ": it is never given tokens again");
    }
    if (team.plain_tokens > team.burst_tokens) {
      this->Add(Severity::kError, entry,
                what + ": burst, " + burst +
                    ", is below the charge of a plain request, " +
                    std::to_string(team.plain_tokens) +
                    ", so that all are refused");
    }
    const Tokens largest = this->LargestRequest();
    if (team.burst_tokens < largest) {
      this->Add(Severity::kWarning, entry,
                what + ": burst, " + burst +
                    ", is below the charge of the largest request that an "
                    "engine holds, " +
                    std::to_string(largest) +
                    " tokens; such requests are "
                    "always refused");
    }
  }

  const Configuration& config;
  const EntryPlaces& places;
  std::set<std::string, std::less<>> used_pools;
  std::vector<Finding> findings;
};

}  // namespace

std::string_view NameOf(Severity severity) noexcept {
  return severity == Severity::kError ? "error" : "warning";
}

std::ostream& operator<<(std::ostream& out, const Finding& finding) {
  const FileFault& fault = finding.fault;
  if (!fault.path.empty()) {
    out << fault.path << ':';
    if (fault.line > 0) out << fault.line << ':' << fault.column << ':';
    out << ' ';
  }
  return out << NameOf(finding.severity) << ": " << fault.message;
}

std::vector<Finding> CheckConfiguration(const Configuration& config,
                                        const EntryPlaces& places) {
  return ConfigurationChecker(config, places).Run();
}

std::vector<Finding> CheckServiceFiles(const std::vector<ServiceFile>& files) {
  const ParsedFiles parsed = ParseServiceFiles(files);
  std::vector<Finding> findings;
  std::ranges::transform(parsed.faults, std::back_inserter(findings),
                         [](const FileFault& fault) {
                           return Finding{Severity::kError, fault};
                         });
  std::ranges::for_each(files, [&](const ServiceFile& file) {
    const auto concerns = [&file](const std::string& path) {
      return path == file.path;
    };
    const bool has_entry = std::ranges::any_of(
        parsed.places,
        [&](const auto& row) { return concerns(row.second.path); });
    const bool has_fault = std::ranges::any_of(
        parsed.faults,
        [&](const FileFault& fault) { return concerns(fault.path); });
    if (has_entry || has_fault) return;
    findings.push_back(Finding{
        Severity::kError,
        FileFault{file.path, 1, 1,
                  "the file has no entry, expected [[team]], [[key]], "
                  "[[pool]], [[route]], [[link]], [[goal]] or [fleet]"}});
  });
  if (!findings.empty()) return findings;
  return CheckConfiguration(parsed.config, parsed.places);
}

}  // namespace limpethaven
