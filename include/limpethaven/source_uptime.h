/// @file
/// Since when a source is known to answer.
#pragma once

#include <optional>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Estimates when an outage of a source ended, from the outcomes of calls that
/// may overlap. Reads no clock.
class SourceUptime {
 public:
  /// Records that a call was answered at `now`.
  void OnAnswer(TimeMs now) noexcept {
    if (!this->up_since) this->up_since = now;
  }
  /// Records that a call failed. A call that began before the source was known
  /// to answer again failed because of the same outage: it may be noticed long
  /// after the source has returned.
  void OnFailure(TimeMs call_started_at) noexcept {
    if (this->up_since && call_started_at >= *this->up_since) {
      this->up_since.reset();
    }
  }
  /// Time of the first answer after the last outage; empty during an outage and
  /// before the first answer.
  [[nodiscard]] std::optional<TimeMs> UpSince() const noexcept {
    return this->up_since;
  }

 private:
  std::optional<TimeMs> up_since;
};

}  // namespace limpethaven
