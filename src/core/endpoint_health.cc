#include "limpethaven/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace limpethaven {

EndpointHealth::EndpointHealth(HealthSettings initial) : settings(initial) {}

bool EndpointHealth::OnFailure(std::string_view address, TimeMs now) {
  EndpointRow& row = this->rows[std::string(address)];
  this->Decay(row, now);
  row.failure_count += 1.0;
  const bool probe_failed = row.ejection_count > 0 && now >= row.ejected_until;
  if (row.failure_count < this->settings.eject_threshold && !probe_failed) {
    return false;
  }
  // The limit keeps the shift below from overflowing.
  const std::int64_t doublings = std::min<std::int64_t>(row.ejection_count, 16);
  const DurationMs ejection_ms =
      std::min(this->settings.max_ejection_ms,
               this->settings.initial_ejection_ms << doublings);
  row.ejected_until = now + ejection_ms;
  ++row.ejection_count;
  row.failure_count = 0;
  return true;
}

bool EndpointHealth::OnSuccess(std::string_view address, TimeMs now) {
  const auto row = this->rows.find(std::string(address));
  if (row == this->rows.end()) return false;
  this->Decay(row->second, now);
  // A success during an ejection may be that of a request sent before it, so it
  // does not show that the endpoint has recovered.
  if (row->second.ejection_count == 0 || now < row->second.ejected_until) {
    return false;
  }
  this->rows.erase(row);
  return true;
}

bool EndpointHealth::Usable(std::string_view address, TimeMs now) const {
  const auto row = this->rows.find(std::string(address));
  return row == this->rows.end() || now >= row->second.ejected_until;
}

void EndpointHealth::OnChosen(std::string_view address, TimeMs now) {
  const auto row = this->rows.find(std::string(address));
  if (row == this->rows.end() || row->second.ejection_count == 0) return;
  row->second.ejected_until = std::max(
      row->second.ejected_until, now + this->settings.initial_ejection_ms);
}

void EndpointHealth::Decay(EndpointRow& row, TimeMs now) const {
  const double half_lives =
      static_cast<double>(std::max<DurationMs>(0, now - row.updated_at)) /
      static_cast<double>(this->settings.half_life_ms);
  row.failure_count *= std::exp2(-half_lives);
  row.updated_at = now;
}

}  // namespace limpethaven
