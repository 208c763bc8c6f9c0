/// @file
/// Plays calls of many processes to the endpoints of one plain pool, with
/// queues at the endpoints and reports that arrive late or not at all.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "limpethaven/endpoint_balancer.h"

namespace limpethaven::testing {

/// Rules for the choice of an endpoint, (a) to (e) of the design.
enum class ChoiceRule {
  kFewestOwnCalls,  ///< The rule without `EndpointBalancer`.
  kRandom,
  kLeastReported,
  kTwoRandom,
  kShares,
};

/// A load and its faults.
struct BalancerDay {
  std::vector<std::int64_t> processes;  ///< By data centre.
  std::vector<std::int64_t> endpoints;  ///< By data centre.
  double calls_per_s = 0;
  double spike_per_s = 0;  ///< From `kSpikeAtMs`.
  DurationMs work_ms = 0;
  DurationMs due_ms = 0;
  /// Age of the reports when they arrive.
  DurationMs report_delay_ms = 0;
  /// Whether a process hears all others each 500 ms, and not just the random
  /// ones that gossip brings.
  bool hears_all = false;
  double report_loss = 0;
  /// Data centre of all callers; none: callers choose a random process.
  std::optional<std::size_t> callers_in;
  /// Factor of the work at endpoint 0 from `kChangeAtMs`.
  double slow_factor = 1;
  /// Endpoint 0 is unknown until `kChangeAtMs`, or gone from then.
  bool appears = false;
  bool leaves = false;
  BalancerSettings settings;
};

/// What callers and endpoints got from `kMeasuredFromMs` on.
struct BalancerOutcome {
  std::int64_t calls = 0;
  std::int64_t in_time = 0;
  std::int64_t refused = 0;  ///< Because an endpoint's queue was full.
  std::int64_t remote = 0;   ///< Calls to another data centre.
  /// Calls of the busiest endpoint divided by the mean, the highest of the
  /// windows of 5 s.
  double busiest_over_mean = 0;
  /// Part of the calls that endpoint 0 got, by second of the day.
  std::vector<double> first_share;

  [[nodiscard]] double InTime() const {
    return static_cast<double>(this->in_time) /
           static_cast<double>(this->calls);
  }
  [[nodiscard]] double Remote() const {
    return static_cast<double>(this->remote) / static_cast<double>(this->calls);
  }
};

inline constexpr TimeMs kMeasuredFromMs = 5000;
inline constexpr TimeMs kSpikeAtMs = 10'000;
inline constexpr TimeMs kChangeAtMs = 10'000;
inline constexpr TimeMs kDayMs = 20'000;

[[nodiscard]] BalancerOutcome PlayDay(const BalancerDay& day, ChoiceRule rule,
                                      std::uint64_t seed);

}  // namespace limpethaven::testing
