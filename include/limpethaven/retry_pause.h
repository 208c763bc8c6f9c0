/// @file
/// Exponential back-off between retries.
#pragma once

#include <algorithm>
#include <compare>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Delay that doubles with each failure, up to a limit.
class RetryBackoff {
 public:
  /// Bounds of the delay, in milliseconds.
  struct Settings {
    DurationMs initial_ms = 200;
    DurationMs max_ms = 800;
    friend auto operator<=>(const Settings&, const Settings&) = default;
  };

  explicit RetryBackoff(Settings backoff_settings) noexcept
      : settings(backoff_settings), next_ms(backoff_settings.initial_ms) {}

  /// Records a failure. @returns the delay before the next try, in
  /// milliseconds.
  [[nodiscard]] DurationMs OnFailure() noexcept {
    const DurationMs delay_ms = this->next_ms;
    this->next_ms = std::min(2 * this->next_ms, this->settings.max_ms);
    return delay_ms;
  }
  /// Resets the delay to its initial value.
  void OnSuccess() noexcept { this->next_ms = this->settings.initial_ms; }

 private:
  Settings settings;
  DurationMs next_ms;
};

}  // namespace limpethaven
