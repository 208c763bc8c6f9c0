#include "limpethaven/request_pacer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace limpethaven {
namespace {

constexpr double kMsPerS = 1000.0;
/// Longest wait that is reported.
constexpr DurationMs kMaxWaitMs = 60'000;

double IntervalMs(double per_s) {
  return per_s > 0 ? kMsPerS / per_s : std::numeric_limits<double>::infinity();
}

}  // namespace

RequestPacer::RequestPacer(double per_s, DurationMs lifetime_ms,
                           TimeMs first_at)
    : interval_ms(IntervalMs(per_s)),
      lifetime(static_cast<double>(lifetime_ms)),
      next_at(static_cast<double>(first_at)) {}

void RequestPacer::SetRate(double per_s, DurationMs lifetime_ms, TimeMs now) {
  const double next_interval_ms = IntervalMs(per_s);
  const double left_ms = this->next_at - static_cast<double>(now);
  if (left_ms > 0 && std::isfinite(this->interval_ms) &&
      std::isfinite(next_interval_ms)) {
    this->next_at = static_cast<double>(now) +
                    left_ms * next_interval_ms / this->interval_ms;
  }
  this->lifetime = static_cast<double>(lifetime_ms);
  this->interval_ms = next_interval_ms;
}

bool RequestPacer::Allows(TimeMs now) const { return this->WaitMs(now) == 0; }

DurationMs RequestPacer::WaitMs(TimeMs now) const {
  if (!std::isfinite(this->interval_ms)) return kMaxWaitMs;
  const double wait =
      std::ceil(this->NextPermitAt(now) - static_cast<double>(now));
  return static_cast<DurationMs>(
      std::clamp(wait, 0.0, static_cast<double>(kMaxWaitMs)));
}

void RequestPacer::OnSend(TimeMs now) {
  if (!std::isfinite(this->interval_ms)) return;
  this->next_at = this->NextPermitAt(now) + this->interval_ms;
}

double RequestPacer::NextPermitAt(TimeMs now) const {
  const double expired = static_cast<double>(now) - this->lifetime;
  if (this->next_at >= expired) return this->next_at;
  return this->next_at +
         std::ceil((expired - this->next_at) / this->interval_ms) *
             this->interval_ms;
}

}  // namespace limpethaven
