/// @file
/// Limits on requests that endpoints in need name in their answers. A limit
/// holds for the requests of all processes of the fleet together.
///
/// Calls to plain services are sent by every process, so that each process
/// keeps to its part of the limit; the parts need no messages. The calls to
/// engines are limited by the owner of their cell, which places all of them.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/request_pacer.h"

namespace limpethaven {

/// What an answer changed about an endpoint's limit.
enum class LimitChange { kNone, kNamed, kEnded };

/// How a process uses the limits that endpoints name.
struct LimitUse {
  /// Part of a limit that all processes use together; the rest is a margin.
  double usable_ratio = 0.8;
  /// Time for which a permit can be used: `permit_lifetime_ms`, and in addition
  /// the time in which an endpoint takes `saved_permits` requests. Until then a
  /// burst may add unused permits to what the limit allows afterwards.
  DurationMs permit_lifetime_ms = 1000;
  double saved_permits = 0;
  friend auto operator<=>(const LimitUse&, const LimitUse&) = default;
};

/// Limits that endpoints have named, keyed by endpoint id, and this process's
/// part of each. Not thread safe.
class EndpointLimits {
 public:
  /// @param random_seed Spreads the processes' permits over time.
  explicit EndpointLimits(std::uint64_t random_seed, LimitUse limit_use = {});

  /// Sets the number of processes that share the limits.
  void SetProcessCount(std::int64_t count, TimeMs now) noexcept;
  /// Records the limit in an endpoint's answer, or that it named none.
  /// @param max_per_s Requests a second; empty when there is no limit.
  /// @param age_ms Time since the answer. An answer older than one that was
  /// recorded before changes nothing.
  LimitChange OnAnswer(std::string_view endpoint,
                       std::optional<double> max_per_s, TimeMs now,
                       DurationMs age_ms = 0);
  /// Removes the limits of endpoints that have not answered for
  /// `kLimitRetentionMs`, or for two intervals between this process's permits
  /// if that is longer. @returns their ids.
  std::vector<std::string> Expire(TimeMs now);
  /// Requests a second that the endpoint takes; empty without a limit.
  [[nodiscard]] std::optional<double> Find(std::string_view endpoint) const;
  [[nodiscard]] std::size_t Size() const noexcept;
  /// Time until this process may send a request to the endpoint; 0 when it may
  /// send one now.
  [[nodiscard]] DurationMs WaitMs(std::string_view endpoint, TimeMs now) const;
  /// Counts a request that this process sends to the endpoint.
  void OnSend(std::string_view endpoint, TimeMs now);

 private:
  struct LimitRow {
    double max_per_s = 0;
    TimeMs named_at = 0;  ///< When an answer named it last.
    RequestPacer pacer;   ///< This process's part.
  };

  /// This process's part of a limit, in requests a second.
  [[nodiscard]] double PartOf(double max_per_s) const noexcept;
  [[nodiscard]] DurationMs LifetimeOf(double max_per_s) const noexcept;
  /// Time after which a limit ends without an answer.
  [[nodiscard]] DurationMs RetentionOf(double max_per_s) const noexcept;

  LimitUse use;
  std::int64_t processes = 1;
  std::mt19937_64 random;

  std::unordered_map<std::string, LimitRow> rows;
  /// When an answer without a limit ended one, so that an older answer that
  /// arrives later does not bring it back.
  std::unordered_map<std::string, TimeMs> ended_at;
};

/// Shortest time without an answer after which a limit ends.
inline constexpr DurationMs kLimitRetentionMs = 60'000;

}  // namespace limpethaven
