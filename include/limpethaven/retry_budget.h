/// @file
/// Limits retries over the whole fleet, so that they do not amplify an outage.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Limits on the fleet's retries to the endpoints of one pool.
struct RetrySettings {
  double ratio = 0.2;  ///< Retries allowed per request in a window.
  /// Retries that the whole fleet may make in a window beyond the ratio.
  double extra_retries = 20.0;
  /// The limits hold in every window of this length.
  DurationMs window_ms = 10'000;
  /// Time after the start of a process in which it has no part of the extra
  /// retries: a process that ended shortly before may have made them.
  DurationMs initial_ms = 0;
  friend auto operator<=>(const RetrySettings&, const RetrySettings&) = default;
};

/// One process's part of a pool's retry budget: the ratio of the requests that
/// it sent, and an equal part of the extra retries. The parts of all processes
/// together stay below the fleet's limit, so processes need not exchange
/// messages about retries. Not thread safe.
class RetryBudget {
 public:
  /// @param process_started_at Start of the process.
  explicit RetryBudget(RetrySettings retry_settings = {},
                       TimeMs process_started_at = 0) noexcept;

  void Configure(const RetrySettings& next) noexcept;
  /// Sets the number of processes that share the extra retries. The largest
  /// number in the window counts, since processes that have left it made
  /// retries too.
  void SetProcessCount(std::int64_t count) noexcept;
  /// Counts a request to the pool, but not its retries.
  void OnRequest(TimeMs now) noexcept;
  /// Counts a retry if the budget allows one. @returns whether it was counted.
  [[nodiscard]] bool TryRetry(TimeMs now) noexcept;
  /// Counts a retry that the caller makes in any case, or for which it has
  /// already checked `RetriesLeft`.
  void OnRetry(TimeMs now) noexcept;
  /// Reserves a retry that is made later, for which the caller has checked
  /// `RetriesLeft`. It counts until `Release` and is not yet in any window.
  void Reserve() noexcept;
  /// Ends a reservation. `OnRetry` or `OnRetryAfterSilence` counts the retry if
  /// it is made.
  void Release() noexcept;
  /// Counts a retry of a request that `endpoint` has been sent and has not
  /// answered in time. An endpoint that stands still may read that request at
  /// any later time, so the retry counts as long as the endpoint is silent, and
  /// then for a window.
  void OnRetryAfterSilence(std::string_view endpoint);
  /// Records that an endpoint has answered a request.
  void OnAnswer(std::string_view endpoint, TimeMs now);
  /// Ends the silence of the endpoints that are gone.
  void EndSilence(const std::function<bool(const std::string&)>& gone,
                  TimeMs now);
  /// Retries that the budget still allows at `now`; negative when more were
  /// counted than it allows.
  [[nodiscard]] double RetriesLeft(TimeMs now) noexcept;

 private:
  static constexpr std::size_t kSlotCount = 20;
  struct Slot {
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    std::int64_t processes = 1;  ///< Largest number during the slot.
  };

  void Advance(TimeMs now) noexcept;
  [[nodiscard]] Slot& CurrentSlot(TimeMs now) noexcept;

  RetrySettings settings;
  TimeMs started_at;
  std::int64_t processes = 1;  ///< Processes that share the extra retries.
  /// Ring of slots, each `window_ms / kSlotCount` long. The oldest one lies
  /// only partly inside the window.
  std::array<Slot, kSlotCount + 1> slots{};
  std::int64_t current = 0;  ///< Number of the slot that `now` falls in.
  bool started = false;      ///< Whether `current` has been set.
  std::int64_t reserved = 0;
  /// Retries after the silence of an endpoint, keyed by its id.
  std::map<std::string, std::int64_t, std::less<>> silent;
  std::int64_t silent_sum = 0;
};

}  // namespace limpethaven
