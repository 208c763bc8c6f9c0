#include "limpethaven/stop_admission.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Durations are remembered for one to two of these periods.
constexpr DurationMs kPeriodMs = 30'000;

}  // namespace

void StopAdmission::OnAnswered(const std::string& pool, DurationMs duration_ms,
                               TimeMs now) {
  Longest& longest =
      this->pools.try_emplace(pool, Longest{now, 0, 0}).first->second;
  if (now - longest.period_started_at >= kPeriodMs) {
    longest = Longest{now, 0, longest.present_ms};
  }
  longest.present_ms = std::max(longest.present_ms, duration_ms);
}

bool StopAdmission::Admits(std::string_view pool, TimeMs deadline,
                           TimeMs now) const {
  if (!this->ends_at || deadline <= *this->ends_at) return true;
  const auto longest = this->pools.find(pool);
  if (longest == this->pools.end()) return false;
  const DurationMs longest_ms =
      std::max(longest->second.present_ms, longest->second.previous_ms);
  return now + longest_ms + longest_ms / 4 <= *this->ends_at;
}

}  // namespace limpethaven
