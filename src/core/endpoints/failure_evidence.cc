#include "limpethaven/failure_evidence.h"

#include <algorithm>
#include <numeric>

namespace limpethaven {

FailureEvidence::FailureEvidence(EvidenceSettings evidence_settings)
    : settings(evidence_settings) {}

std::vector<WeightedFailures> FailureEvidence::OnReport(
    std::string_view peer, const LoadReport& report, TimeMs now) {
  std::vector<WeightedFailures> found;
  const std::int64_t all =
      std::accumulate(report.loads.begin(), report.loads.end(), std::int64_t{0},
                      [](std::int64_t sum, const EndpointLoad& load) {
                        return sum + load.failures;
                      });
  std::ranges::for_each(report.loads, [&](const EndpointLoad& load) {
    if (load.failures <= 0) return;
    Row& row = this->rows[{std::string(peer), load.endpoint}];
    // Failures of the last report may be among those of this one, and are then
    // not counted again.
    const bool overlaps = now - row.reported_at < kPeerEvidenceMs;
    const std::int64_t fresh = std::max<std::int64_t>(
        0, load.failures - (overlaps ? row.reported : 0));
    row.reported = load.failures;
    row.reported_at = now;
    const auto part =
        static_cast<double>(load.failures) / static_cast<double>(all);
    if (fresh == 0 || part < this->settings.min_part) return;
    if (now - row.counted_from >= kPeerEvidenceMs) {
      row.counted = 0;
      row.counted_from = now;
    }
    const double weight =
        std::min(static_cast<double>(fresh) * this->settings.weight,
                 this->settings.max_per_peer - row.counted);
    if (weight <= 0) return;
    row.counted += weight;
    found.push_back(WeightedFailures{load.endpoint, weight});
  });
  return found;
}

void FailureEvidence::Expire(TimeMs now) {
  std::erase_if(this->rows, [now](const auto& entry) {
    return now - entry.second.reported_at >= kPeerEvidenceMs &&
           now - entry.second.counted_from >= kPeerEvidenceMs;
  });
}

}  // namespace limpethaven
