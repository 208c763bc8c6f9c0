/// @file
/// Failures of plain endpoints that peers report. In a large fleet each process
/// sees too few failures of an endpoint that resets a part of its calls.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/load_report.h"

namespace limpethaven {

/// How much peers' reports count.
struct EvidenceSettings {
  /// Own failures that one failure of a peer counts as.
  double weight = 0.75;
  /// Most that one peer's failures of an endpoint count as within
  /// `kPeerEvidenceMs`. It is so far below `HealthSettings::eject_threshold`
  /// that less than three processes eject nothing.
  double max_per_peer = 1.0;
  /// A peer's failures of an endpoint count only if they are at least this part
  /// of its failures of all endpoints. A peer that fails to reach most
  /// endpoints is the one that is cut off.
  double min_part = 0.5;
};

/// Failures of one endpoint to add to those that this process has seen.
struct WeightedFailures {
  std::uint32_t endpoint = 0;  ///< `ReportKeyOf` of its id.
  double failures = 0;
};

/// Counts each failure in peers' reports at most once. Not thread safe; reads
/// no clock.
class FailureEvidence {
 public:
  explicit FailureEvidence(EvidenceSettings evidence_settings = {});

  /// Takes a report that is newer than the last one of this peer.
  [[nodiscard]] std::vector<WeightedFailures> OnReport(std::string_view peer,
                                                       const LoadReport& report,
                                                       TimeMs now);
  /// Removes what is too old to matter.
  void Expire(TimeMs now);

 private:
  struct Row {
    std::int64_t reported = 0;  ///< Failures in the last report.
    TimeMs reported_at = 0;
    double counted = 0;  ///< Weight that was counted from `counted_from` on.
    TimeMs counted_from = 0;
  };

  EvidenceSettings settings;
  /// Keyed by peer and endpoint.
  std::map<std::pair<std::string, std::uint32_t>, Row> rows;
};

}  // namespace limpethaven
