#include "limpethaven/endpoint_limits.h"

#include <algorithm>

namespace limpethaven {
namespace {

constexpr double kMsPerS = 1000.0;
/// Longest interval between two permits that is computed with, about 30 years.
constexpr double kMaxIntervalMs = 1e12;
/// A limit is kept for at least this many intervals between the permits of this
/// process. In a large fleet an interval can be minutes, and a process that
/// forgot the limit before its next permit would send without one.
constexpr double kRetentionIntervals = 2;

double IntervalMs(double per_s) {
  return per_s > 0 ? std::min(kMsPerS / per_s, kMaxIntervalMs) : 0;
}

}  // namespace

EndpointLimits::EndpointLimits(std::uint64_t random_seed, LimitUse limit_use)
    : use(limit_use), random(random_seed) {}

void EndpointLimits::SetProcessCount(std::int64_t count, TimeMs now) noexcept {
  const std::int64_t next = std::max<std::int64_t>(1, count);
  if (next == this->processes) return;
  this->processes = next;
  std::ranges::for_each(this->rows, [this, now](auto& entry) {
    LimitRow& row = entry.second;
    row.pacer.SetRate(this->PartOf(row.max_per_s),
                      this->LifetimeOf(row.max_per_s), now);
  });
}

LimitChange EndpointLimits::OnAnswer(std::string_view endpoint,
                                     std::optional<double> max_per_s,
                                     TimeMs now, DurationMs age_ms) {
  const std::string id(endpoint);
  const TimeMs answered_at = now - age_ms;
  const auto found = this->rows.find(id);
  if (found != this->rows.end() && answered_at < found->second.named_at) {
    return LimitChange::kNone;
  }
  if (!max_per_s) {
    if (found == this->rows.end()) return LimitChange::kNone;
    this->rows.erase(found);
    this->ended_at.insert_or_assign(id, answered_at);
    return LimitChange::kEnded;
  }
  const auto ended = this->ended_at.find(id);
  if (ended != this->ended_at.end()) {
    if (answered_at < ended->second) return LimitChange::kNone;
    this->ended_at.erase(ended);
  }
  const double part = this->PartOf(*max_per_s);
  if (found != this->rows.end()) {
    LimitRow& row = found->second;
    const bool changed = row.max_per_s != *max_per_s;
    row.max_per_s = *max_per_s;
    row.named_at = answered_at;
    if (changed) row.pacer.SetRate(part, this->LifetimeOf(*max_per_s), now);
    return changed ? LimitChange::kNamed : LimitChange::kNone;
  }
  // Processes that learn of a limit at the same moment must not use their first
  // permits together.
  std::uniform_real_distribution<double> phase(0, 1);
  const double delay_ms = phase(this->random) * IntervalMs(part);
  const auto first_at = now + static_cast<DurationMs>(delay_ms);
  this->rows.emplace(
      id, LimitRow{*max_per_s, answered_at,
                   RequestPacer(part, this->LifetimeOf(*max_per_s), first_at)});
  return LimitChange::kNamed;
}

DurationMs EndpointLimits::WaitMs(std::string_view endpoint, TimeMs now) const {
  if (this->rows.empty()) return 0;
  const auto row = this->rows.find(std::string(endpoint));
  return row == this->rows.end() ? 0 : row->second.pacer.WaitMs(now);
}

void EndpointLimits::OnSend(std::string_view endpoint, TimeMs now) {
  const auto row = this->rows.find(std::string(endpoint));
  if (row != this->rows.end()) row->second.pacer.OnSend(now);
}

double EndpointLimits::PartOf(double max_per_s) const noexcept {
  return this->use.usable_ratio * max_per_s /
         static_cast<double>(this->processes);
}

DurationMs EndpointLimits::LifetimeOf(double max_per_s) const noexcept {
  if (max_per_s <= 0) return this->use.permit_lifetime_ms;
  const double saved_ms =
      std::min(this->use.saved_permits * kMsPerS / max_per_s,
               static_cast<double>(kLimitRetentionMs));
  return this->use.permit_lifetime_ms + static_cast<DurationMs>(saved_ms);
}

DurationMs EndpointLimits::RetentionOf(double max_per_s) const noexcept {
  return std::max(kLimitRetentionMs,
                  static_cast<DurationMs>(kRetentionIntervals *
                                          IntervalMs(this->PartOf(max_per_s))));
}

std::vector<std::string> EndpointLimits::Expire(TimeMs now) {
  std::erase_if(this->ended_at, [now](const auto& entry) {
    return now - entry.second >= kLimitRetentionMs;
  });
  std::vector<std::string> ended;
  std::erase_if(this->rows, [&](const auto& entry) {
    const LimitRow& row = entry.second;
    if (now - row.named_at < this->RetentionOf(row.max_per_s)) return false;
    ended.push_back(entry.first);
    return true;
  });
  return ended;
}

std::optional<double> EndpointLimits::Find(std::string_view endpoint) const {
  const auto row = this->rows.find(std::string(endpoint));
  if (row == this->rows.end()) return std::nullopt;
  return row->second.max_per_s;
}

std::size_t EndpointLimits::Size() const noexcept { return this->rows.size(); }

}  // namespace limpethaven
