#include "limpethaven/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace limpethaven {

EndpointHealth::EndpointHealth(HealthSettings initial) : settings(initial) {}

bool EndpointHealth::OnFailure(std::string_view address, TimeMs now) {
  Row& row = this->rows[std::string(address)];
  this->Decay(row, now);
  row.failures += 1.0;
  const bool probe_failed = row.ejections > 0 && now >= row.ejected_until;
  if (row.failures < this->settings.eject_threshold && !probe_failed)
    return false;
  const std::int64_t doublings = std::min<std::int64_t>(row.ejections, 16);
  const DurationMs length =
      std::min(this->settings.max_ejection_ms,
               this->settings.initial_ejection_ms << doublings);
  row.ejected_until = now + length;
  ++row.ejections;
  row.failures = 0;
  return true;
}

bool EndpointHealth::OnSuccess(std::string_view address, TimeMs now) {
  const auto row = this->rows.find(std::string(address));
  if (row == this->rows.end()) return false;
  this->Decay(row->second, now);
  // A late success from before the ejection proves nothing about now.
  if (row->second.ejections == 0 || now < row->second.ejected_until) {
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
  if (row == this->rows.end() || row->second.ejections == 0) return;
  row->second.ejected_until = std::max(
      row->second.ejected_until, now + this->settings.initial_ejection_ms);
}

void EndpointHealth::Decay(Row& row, TimeMs now) const {
  const double half_lives =
      static_cast<double>(std::max<DurationMs>(0, now - row.updated_at)) /
      static_cast<double>(this->settings.half_life_ms);
  row.failures *= std::exp2(-half_lives);
  row.updated_at = now;
}

}  // namespace limpethaven
