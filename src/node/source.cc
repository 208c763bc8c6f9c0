#include "node/source.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Timers of the source may end a watch this much early.
constexpr DurationMs kTimerToleranceMs = 50;

}  // namespace

DurationMs ReaderWatchSettings::NextWaitMs(std::optional<TimeMs> complete_at,
                                           TimeMs now) const {
  if (!complete_at) return 0;
  return std::clamp<DurationMs>(this->renew_age_ms - (now - *complete_at), 0,
                                this->wait_ms);
}

TimeMs WatchCompleteAt(bool changed, TimeMs started_at, DurationMs wait_ms,
                       TimeMs now) {
  const TimeMs held_until = started_at + wait_ms - kTimerToleranceMs;
  const bool held = !changed && now >= held_until;
  return held ? std::max(held_until, started_at) : started_at;
}

}  // namespace limpethaven
