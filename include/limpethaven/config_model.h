/// @file
/// The published configuration as immutable values.
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

/// What the endpoints of a pool do.
enum class PoolRole { kPrefill, kDecode, kMixed, kService };

/// A team: its rate and burst hold over all VMs together.
struct TeamSpec {
  std::string name;
  std::int64_t rate_tokens_per_s = 0;
  Tokens burst_tokens = 0;
  std::int64_t weight = 1;  ///< Share in the fair queue, 1 to 1000.
  Tokens plain_tokens = 0;  ///< Charged for a request without token counts.
  /// Rank of its requests, 0 first; goes before the route's when set.
  std::optional<std::int64_t> priority;
  friend auto operator<=>(const TeamSpec&, const TeamSpec&) = default;
};

/// A key, stored only as the SHA-256 of its text.
struct KeySpec {
  std::string sha256;  ///< 64 lower-case hexadecimal digits.
  std::string team;
  friend auto operator<=>(const KeySpec&, const KeySpec&) = default;
};

/// One endpoint of a pool.
struct EndpointSpec {
  std::string address;  ///< `IP:port`.
  std::string data_centre;
  bool leaving = false;
  friend auto operator<=>(const EndpointSpec&, const EndpointSpec&) = default;
};

/// What the engines of a pool are built like.
struct EngineSpec {
  std::int64_t slots = 0;  ///< Requests that one engine runs at once.
  Tokens kv_tokens = 0;    ///< Tokens that one engine's memory holds.
  std::int64_t kv_bytes_per_token = 0;
  double link_mbps = 0;  ///< Rate of the links between engines, megabits/s.
  DurationMs prefill_kept_ms = 0;  ///< How long prefilled memory is kept.
  Tokens tokens_per_event = 1;
  friend auto operator<=>(const EngineSpec&, const EngineSpec&) = default;
};

/// A pool of endpoints with one role.
struct PoolSpec {
  std::string name;
  PoolRole role = PoolRole::kService;
  std::string model;  ///< Empty for services.
  std::int64_t memory_pieces =
      0;  ///< Pieces of `kTokensPerPiece` tokens on each engine.
  bool checks_fencing =
      false;  ///< Whether the endpoints refuse old fencing numbers.
  std::vector<EndpointSpec> endpoints;
  std::int64_t max_connections = 0;  ///< One endpoint takes, 0: unknown.
  std::optional<EngineSpec> engine;  ///< Set where the pool serves a model.
  friend auto operator<=>(const PoolSpec&, const PoolSpec&) = default;
};

/// A pool that takes a share of a route's requests.
struct WeightedPool {
  std::string pool;
  std::int64_t weight = 1;
  friend auto operator<=>(const WeightedPool&, const WeightedPool&) = default;
};

/// What may be done again for a request of a route.
enum class RepeatRule {
  kOnce,        ///< Runs at most once.
  kRepeatable,  ///< May run more than once.
  kResumable,   ///< A stream that another endpoint may go on with.
};

/// A route: either a model behind prefill and decode pools, or a path of a
/// plain service.
struct RouteSpec {
  std::string path;   ///< `/v1/completions` or `/s/SERVICE/...`; a service path
                      ///< is a prefix.
  std::string model;  ///< Model name; empty for services.
  std::string prefill_pool;  ///< Empty for services.
  std::string decode_pool;   ///< Empty for services.
  std::string pool;          ///< Service pool; empty for models.
  bool open = false;         ///< True: no key needed.
  DurationMs first_token_ms = 0;
  DurationMs token_gap_ms = 0;
  bool serve_late = false;  ///< True: requests past their first-token target
                            ///< are still served.
  std::string name;         ///< For logs; empty where the path serves.
  std::string host;         ///< Host that callers name; empty for any.
  std::vector<WeightedPool> targets;  ///< Pools by weight; empty: `pool`.
  RepeatRule repeat = RepeatRule::kRepeatable;
  bool streams = false;          ///< The answer is a series of events.
  bool shares_prefixes = false;  ///< Its prompts share parts.
  std::int64_t max_sends = 3;    ///< Endpoints that one request may be sent to.
  DurationMs timeout_ms = 0;     ///< Longest time to a final answer; 0: none.
  std::int64_t priority = 0;     ///< Rank, 0 first.
  /// Callers leave after this long without an event; 0: not known.
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

/// Bounds of what callers may send.
struct CallerLimits {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 4'194'304;
  DurationMs header_timeout_ms = 5000;
  DurationMs idle_timeout_ms = 30'000;
  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

/// Settings that hold for the whole fleet.
struct FleetSpec {
  std::int64_t share_slots =
      8;  ///< Most entry processes that can be alive at once; 0: not known.
  CallerLimits limits;
  friend auto operator<=>(const FleetSpec&, const FleetSpec&) = default;
};

/// One team's granted model version that placement keeps loaded on a pool.
struct GoalSpec {
  std::string pool;
  std::string model;
  std::string model_version;
  friend auto operator<=>(const GoalSpec&, const GoalSpec&) = default;
};

/// Tokens that one piece of engine memory holds.
inline constexpr Tokens kTokensPerPiece = 1000;

/// Ordered by name, looked up by text without copies.
template <typename T>
using NamedTable = std::map<std::string, T, std::less<>>;

/// The whole configuration at one version.
struct Configuration {
  std::uint64_t version = 0;
  std::string digest;
  FleetSpec fleet;
  NamedTable<TeamSpec> teams;
  NamedTable<KeySpec> keys;  ///< By digest.
  NamedTable<PoolSpec> pools;
  /// By path, `path#model` for models, or host and path where a host is named.
  NamedTable<RouteSpec> routes;
  NamedTable<LinkSpec> links;  ///< By `from>to`.
  NamedTable<GoalSpec> goals;  ///< By pool.

  /// Team whose key has this digest, or null.
  [[nodiscard]] const TeamSpec* FindTeamByKeyDigest(
      std::string_view sha256) const;
  /// Route of a model, or null.
  [[nodiscard]] const RouteSpec* FindModelRoute(std::string_view model) const;
  /// Service route with the longest path that is a prefix of `path`, or null.
  [[nodiscard]] const RouteSpec* FindServiceRoute(std::string_view path) const;
  /// Route of a host with the longest path that begins `path`, or null. Its
  /// paths begin and end with a slash.
  [[nodiscard]] const RouteSpec* FindHostRoute(std::string_view host,
                                               std::string_view path) const;
  /// Rate between two data centres in megabytes per second; 0 when not limited.
  [[nodiscard]] std::int64_t LinkRate(std::string_view from,
                                      std::string_view to) const;
};

/// `prefill`, `decode`, `mixed` or `service`.
[[nodiscard]] std::string_view NameOf(PoolRole role) noexcept;
/// Inverse of `NameOf(PoolRole)`.
[[nodiscard]] std::optional<PoolRole> PoolRoleFromName(
    std::string_view name) noexcept;

std::ostream& operator<<(std::ostream& out, const TeamSpec& team);
std::ostream& operator<<(std::ostream& out, const EndpointSpec& endpoint);
std::ostream& operator<<(std::ostream& out, const RouteSpec& route);

}  // namespace limpethaven
