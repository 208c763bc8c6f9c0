#include "limpethaven/stall_rule.h"

#include <algorithm>

namespace limpethaven {

StallRule::StallRule(DurationMs patience_ms, StallSettings initial)
    : settings(initial), patience(patience_ms) {}

void StallRule::OnProgress(TimeMs now) {
  // The time to the first event is that of the queue and of the prefill.
  if (this->has_event) {
    this->longest_pause_ms =
        std::max(this->longest_pause_ms, now - this->progress_at);
  }
  this->has_event = this->started;
  this->started = true;
  this->progress_at = now;
}

TimeMs StallRule::Deadline() const noexcept {
  DurationMs timeout_ms = std::max(
      this->settings.min_timeout_ms,
      static_cast<DurationMs>(this->settings.pace_factor *
                              static_cast<double>(this->longest_pause_ms)));
  if (this->patience > 0) {
    const auto most_ms =
        static_cast<DurationMs>(this->settings.max_patience_ratio *
                                static_cast<double>(this->patience));
    timeout_ms =
        std::min(timeout_ms, std::max(this->settings.min_timeout_ms, most_ms));
  }
  return this->progress_at + timeout_ms;
}

}  // namespace limpethaven
