/// @file
/// Data model of the published configuration. Published values are never
/// modified: a new version replaces the whole configuration.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Kind of work that the endpoints of a pool do: the prefill phase, the decode
/// phase or both phases of a model's requests, or requests of a plain service.
enum class PoolRole { kPrefill, kDecode, kMixed, kService };

/// A team. Its rate and burst limit the tokens that its requests are charged on
/// all VMs together.
struct TeamSpec {
  std::string name;
  std::int64_t rate_tokens_per_s = 0;
  Tokens burst_tokens = 0;
  std::int64_t weight = 1;  ///< Weight in the fair queue, 1 to 1000.
  /// Tokens charged for a request without token counts.
  Tokens plain_tokens = 0;
  /// Priority class of the team's requests, 0 is served first. Overrides the
  /// priority of the route when set.
  std::optional<std::int64_t> priority;
  friend auto operator<=>(const TeamSpec&, const TeamSpec&) = default;
};

/// A team's API key, stored only as the SHA-256 digest of its text.
struct KeySpec {
  std::string sha256;  ///< 64 lower-case hexadecimal digits.
  std::string team;
  friend auto operator<=>(const KeySpec&, const KeySpec&) = default;
};

/// One endpoint of a pool.
struct EndpointSpec {
  std::string address;  ///< `IP:port`.
  std::string data_centre;
  /// Whether the endpoint is draining and accepts no new requests.
  bool leaving = false;
  friend auto operator<=>(const EndpointSpec&, const EndpointSpec&) = default;
};

/// Capacity and link rate of the engines of a pool.
struct EngineSpec {
  std::int64_t slots = 0;  ///< Requests that one engine runs at once.
  Tokens kv_tokens = 0;    ///< Tokens that the KV cache of one engine holds.
  std::int64_t kv_bytes_per_token = 0;
  double link_mbps = 0;  ///< Rate of the links between engines, megabits/s.
  /// How long an engine retains the KV cache of a finished prefill.
  DurationMs prefill_kept_ms = 0;
  Tokens tokens_per_event = 1;  ///< Tokens in one event of an answer's stream.
  /// Time in which an engine changes between prefill and decode when ordered
  /// to; 0: roles are fixed.
  DurationMs role_change_ms = 0;
  /// Whether the owner of a cell orders its engines to change their roles so
  /// that the split follows the demand. Needs `role_change_ms`.
  bool balance_roles = false;
  /// Whether the cells of the pool serve late requests after those that can be
  /// on time: `CellSettings::late_after_on_time`.
  bool on_time_first = false;
  friend auto operator<=>(const EngineSpec&, const EngineSpec&) = default;
};

/// A pool of endpoints with one role.
struct PoolSpec {
  std::string name;
  PoolRole role = PoolRole::kService;
  std::string model;  ///< Empty for services.
  /// KV cache of each engine, in pieces of `kTokensPerPiece` tokens.
  std::int64_t memory_pieces = 0;
  /// Whether the engines refuse orders of the placement service whose fencing
  /// token is lower than that of an earlier order.
  bool checks_fencing = false;
  std::vector<EndpointSpec> endpoints;
  /// Most connections that one endpoint accepts; 0: not known.
  std::int64_t max_connections = 0;
  std::optional<EngineSpec> engine;  ///< Set where the pool serves a model.
  friend auto operator<=>(const PoolSpec&, const PoolSpec&) = default;
};

/// A pool that serves a share of a route's requests.
struct WeightedPool {
  std::string pool;
  std::int64_t weight = 1;  ///< Relative to the route's other pools.
  friend auto operator<=>(const WeightedPool&, const WeightedPool&) = default;
};

/// Whether a request of a route may be retried after an endpoint may have run
/// it.
enum class RepeatRule {
  kOnce,        ///< The request runs at most once.
  kRepeatable,  ///< The request may run more than once.
  kResumable,   ///< Another endpoint may also resume a stream that broke off.
};

/// A route: either a model served by a prefill and a decode pool, or a path of
/// a plain service.
struct RouteSpec {
  /// `/v1/completions`; `/s/SERVICE/...`, which matches this path and all paths
  /// below it; or, with `host`, a prefix that begins and ends with a slash.
  std::string path;
  std::string model;              ///< Model name; empty for services.
  std::string prefill_pool;       ///< Empty for services.
  std::string decode_pool;        ///< Empty for services.
  std::string pool;               ///< Service pool; empty for models.
  bool open = false;              ///< Whether requests need no API key.
  DurationMs first_token_ms = 0;  ///< Target for the time to the first token.
  DurationMs token_gap_ms = 0;    ///< Target for the time between tokens.
  /// Whether requests past their first-token target are still served.
  bool serve_late = false;
  std::string name;  ///< Name in logs; when empty, `path` is logged.
  std::string host;  ///< `Host` header that the route matches; empty: any.
  /// Pools among which requests are divided by weight; when empty, `pool`
  /// serves all.
  std::vector<WeightedPool> targets;
  RepeatRule repeat = RepeatRule::kRepeatable;
  bool streams = false;  ///< Whether the answer is a stream of events.
  /// Whether prompts of this route often begin with the same text.
  bool shares_prefixes = false;
  /// Most times that one request is sent to an endpoint. A send of which no
  /// byte reached the network does not count.
  std::int64_t max_sends = 3;
  DurationMs timeout_ms = 0;  ///< Time limit for the complete answer; 0: none.
  std::int64_t priority = 0;  ///< Priority class, 0 is served first.
  /// Time without an event after which callers disconnect; 0: not known.
  DurationMs patience_ms = 0;
  friend auto operator<=>(const RouteSpec&, const RouteSpec&) = default;
};

/// Rate of the link between two data centres.
struct LinkSpec {
  std::string from;
  std::string to;
  std::int64_t mbytes_per_s = 0;
  friend auto operator<=>(const LinkSpec&, const LinkSpec&) = default;
};

/// Size and time limits for requests of callers.
struct CallerLimits {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 4'194'304;
  /// Time limit for a complete header, and then for each next part of a body.
  DurationMs header_timeout_ms = 5000;
  /// Time limit for a connection without a request.
  DurationMs idle_timeout_ms = 30'000;
  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

/// Settings that apply to the whole fleet.
struct FleetSpec {
  /// Most entry processes that can be alive at once. Each team's rate and burst
  /// are divided into as many equal shares, one for each process. When it is 0,
  /// the number of known processes is used instead.
  std::int64_t share_slots = 8;
  CallerLimits limits;
  friend auto operator<=>(const FleetSpec&, const FleetSpec&) = default;
};

/// Model version that the engines of a pool are to serve. The placement service
/// sends orders to engines that serve another one.
struct GoalSpec {
  std::string pool;
  std::string model;
  std::string model_version;
  friend auto operator<=>(const GoalSpec&, const GoalSpec&) = default;
};

/// Tokens in one piece, the unit in which KV cache is sized.
inline constexpr Tokens kTokensPerPiece = 1000;

/// Map ordered by name. Lookup by `std::string_view` makes no copy.
template <typename T>
using NamedTable = std::map<std::string, T, std::less<>>;

/// The whole configuration at one version.
struct Configuration {
  std::uint64_t version = 0;
  std::string digest;
  FleetSpec fleet;
  NamedTable<TeamSpec> teams;
  NamedTable<KeySpec> keys;  ///< Keyed by SHA-256 digest.
  NamedTable<PoolSpec> pools;
  /// Keyed by path for services, by `path#model` for models, and by host
  /// followed by path for routes of a host.
  NamedTable<RouteSpec> routes;
  NamedTable<LinkSpec> links;  ///< Keyed by `from>to`.
  NamedTable<GoalSpec> goals;  ///< Keyed by pool name.

  /// Team whose API key has this digest, or null.
  [[nodiscard]] const TeamSpec* FindTeamByKeyDigest(
      std::string_view sha256) const;
  /// Route of a model, or null.
  [[nodiscard]] const RouteSpec* FindModelRoute(std::string_view model) const;
  /// Service route with the longest path that is a prefix of `path` in whole
  /// segments, or null.
  [[nodiscard]] const RouteSpec* FindServiceRoute(std::string_view path) const;
  /// Route of `host` with the longest path that is a prefix of `path`, or null.
  /// Only routes whose path begins and ends with a slash are found.
  [[nodiscard]] const RouteSpec* FindHostRoute(std::string_view host,
                                               std::string_view path) const;
  /// Rate between two data centres in megabytes per second; 0 when none is
  /// configured.
  [[nodiscard]] std::int64_t LinkRate(std::string_view from,
                                      std::string_view to) const;
};

/// Name of a role in settings: `prefill`, `decode`, `mixed` or `service`.
[[nodiscard]] std::string_view NameOf(PoolRole role) noexcept;
/// Inverse of `NameOf(PoolRole)`.
[[nodiscard]] std::optional<PoolRole> PoolRoleFromName(
    std::string_view name) noexcept;

std::ostream& operator<<(std::ostream& out, const TeamSpec& team);
std::ostream& operator<<(std::ostream& out, const EndpointSpec& endpoint);
std::ostream& operator<<(std::ostream& out, const RouteSpec& route);

}  // namespace limpethaven
