#include "limpethaven/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace limpethaven {

EndpointHealth::EndpointHealth(HealthSettings initial) : settings(initial) {}

bool EndpointHealth::OnFailure(std::string_view address, TimeMs now,
                               double weight) {
  EndpointRow& row = this->rows[std::string(address)];
  if (row.ejected && now < row.ejected_until) return false;
  this->Decay(row, now);
  row.failure_count += weight;
  if (row.failure_count < this->settings.eject_threshold && !row.ejected) {
    return false;
  }
  this->Eject(row, now);
  return true;
}

bool EndpointHealth::OnPeerFailures(std::string_view address, TimeMs now,
                                    double weight) {
  EndpointRow& row = this->rows[std::string(address)];
  const bool ejected_lately =
      row.ejection_count > 0 && now - row.ejected_at < kPeerEvidenceMs;
  if (row.ejected || ejected_lately) return false;
  this->Decay(row, now);
  row.failure_count += weight;
  if (row.failure_count < this->settings.eject_threshold) return false;
  this->Eject(row, now);
  return true;
}

void EndpointHealth::Eject(EndpointRow& row, TimeMs now) const {
  const bool series_ended =
      !row.ejected && now - row.readmitted_at >= this->settings.probation_ms;
  if (series_ended) row.ejection_count = 0;
  // The limit keeps the shift below from overflowing.
  const std::int64_t doublings = std::min<std::int64_t>(row.ejection_count, 16);
  const DurationMs ejection_ms =
      std::min(this->settings.max_ejection_ms,
               this->settings.initial_ejection_ms << doublings);
  row.ejected = true;
  row.ejected_at = now;
  row.ejected_until = now + ejection_ms;
  row.probed_until = 0;
  ++row.ejection_count;
  row.failure_count = 0;
}

bool EndpointHealth::OnSuccess(std::string_view address, TimeMs now) {
  const auto found = this->rows.find(std::string(address));
  if (found == this->rows.end()) return false;
  EndpointRow& row = found->second;
  // A success during the ejection may be that of a request sent before it, so
  // it does not show that the endpoint has recovered.
  if (!row.ejected || now < row.ejected_until) return false;
  row.ejected = false;
  row.probed_until = 0;
  row.readmitted_at = now;
  return true;
}

bool EndpointHealth::Usable(std::string_view address, TimeMs now) const {
  const auto found = this->rows.find(std::string(address));
  if (found == this->rows.end() || !found->second.ejected) return true;
  const EndpointRow& row = found->second;
  return now >= std::max(row.ejected_until, row.probed_until);
}

void EndpointHealth::OnChosen(std::string_view address, TimeMs now) {
  const auto found = this->rows.find(std::string(address));
  if (found == this->rows.end()) return;
  EndpointRow& row = found->second;
  if (!row.ejected || now < row.ejected_until) return;
  row.probed_until = now + this->settings.initial_ejection_ms;
}

void EndpointHealth::Decay(EndpointRow& row, TimeMs now) const {
  const double half_lives =
      static_cast<double>(std::max<DurationMs>(0, now - row.updated_at)) /
      static_cast<double>(this->settings.half_life_ms);
  row.failure_count *= std::exp2(-half_lives);
  row.updated_at = now;
}

}  // namespace limpethaven
