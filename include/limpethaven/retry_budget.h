/// @file
/// Limits repeats over the whole fleet, so that they never multiply an outage.
#pragma once

#include <array>
#include <cstdint>

#include "limpethaven/clock.h"

namespace limpethaven {

/// What the fleet may repeat to the endpoints of one pool.
struct RetrySettings {
  double ratio = 0.2;             ///< Repeats allowed for each request.
  double extra_retries = 20.0;    ///< Further ones, over the whole fleet.
  DurationMs window_ms = 10'000;  ///< Both hold in any span of this length.
  friend auto operator<=>(const RetrySettings&, const RetrySettings&) = default;
};

/// One process's part of a pool's budget: the ratio of its own requests, and
/// its part of the fixed repeats. Parts of all processes together keep the
/// bound without talking. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetrySettings retry_settings = {}) noexcept;

  void Configure(const RetrySettings& next) noexcept;
  /// Processes that the fixed repeats are split over.
  void SetProcessCount(std::int64_t count) noexcept;
  /// Counts a request to the pool.
  void OnRequest(TimeMs now) noexcept;
  /// Takes one repeat if the budget has it.
  [[nodiscard]] bool TryRetry(TimeMs now) noexcept;
  /// Counts a repeat that was made without asking.
  void OnRetry(TimeMs now) noexcept;
  /// Repeats left now.
  [[nodiscard]] double RetriesLeft(TimeMs now) noexcept;

 private:
  static constexpr std::size_t kSlots = 20;
  struct Slot {
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
  };

  void Advance(TimeMs now) noexcept;

  RetrySettings settings;
  std::int64_t processes = 1;
  /// Ring of equal parts of the window, and one more that is being left.
  std::array<Slot, kSlots + 1> slots{};
  std::int64_t current = 0;  ///< Number of the slot being filled.
  bool started = false;
};

}  // namespace limpethaven
