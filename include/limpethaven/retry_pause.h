/// @file
/// How long to wait before something that failed is tried again.
#pragma once

#include <algorithm>
#include <compare>

#include "limpethaven/clock.h"

namespace limpethaven {

/// A pause that doubles with each failure, up to a limit.
class RetryBackoff {
 public:
  /// Bounds of the pause.
  struct Settings {
    DurationMs initial_ms = 200;
    DurationMs max_ms = 800;
    friend auto operator<=>(const Settings&, const Settings&) = default;
  };

  explicit RetryBackoff(Settings pause_settings) noexcept
      : settings(pause_settings), next_ms(pause_settings.initial_ms) {}

  /// It failed. @returns the pause before the next try.
  [[nodiscard]] DurationMs OnFailure() noexcept {
    const DurationMs pause = this->next_ms;
    this->next_ms = std::min(2 * this->next_ms, this->settings.max_ms);
    return pause;
  }
  /// It worked: the next pause is the first again.
  void OnSuccess() noexcept { this->next_ms = this->settings.initial_ms; }

 private:
  Settings settings;
  DurationMs next_ms;
};

}  // namespace limpethaven
