/// @file
/// Limits retries over the whole fleet, so that they do not amplify an outage.
#pragma once

#include <array>
#include <cstdint>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Limits on the fleet's retries to the endpoints of one pool.
struct RetrySettings {
  double ratio = 0.2;  ///< Retries allowed per request in a window.
  /// Retries that the whole fleet may make in a window beyond the ratio.
  double extra_retries = 20.0;
  /// The limits hold in every window of this length.
  DurationMs window_ms = 10'000;
  friend auto operator<=>(const RetrySettings&, const RetrySettings&) = default;
};

/// One process's part of a pool's retry budget: the ratio of the requests that
/// it sent, and an equal part of the extra retries. The parts of all processes
/// add up to the fleet's limit, so processes need not exchange messages about
/// retries. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetrySettings retry_settings = {}) noexcept;

  void Configure(const RetrySettings& next) noexcept;
  /// Sets the number of processes that share the extra retries.
  void SetProcessCount(std::int64_t count) noexcept;
  /// Counts a request to the pool, but not its retries.
  void OnRequest(TimeMs now) noexcept;
  /// Counts a retry if the budget allows one. @returns whether it does.
  [[nodiscard]] bool TryRetry(TimeMs now) noexcept;
  /// Counts a retry without checking the budget.
  void OnRetry(TimeMs now) noexcept;
  /// Retries that the budget still allows at `now`; negative when overdrawn.
  [[nodiscard]] double RetriesLeft(TimeMs now) noexcept;

 private:
  static constexpr std::size_t kSlotCount = 20;
  struct Slot {
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  void Advance(TimeMs now) noexcept;

  RetrySettings settings;
  std::int64_t processes = 1;
  /// Ring of slots, each `window_ms / kSlotCount` long. The oldest one lies
  /// only partly inside the window.
  std::array<Slot, kSlotCount + 1> slots{};
  std::int64_t current = 0;  ///< Number of the slot that `now` falls in.
  bool started = false;
};

}  // namespace limpethaven
