/// @file
/// Ejects endpoints that fail repeatedly. After the ejection they get single
/// requests as probes, until a success readmits them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Settings of endpoint ejection.
struct HealthSettings {
  /// Decayed failure count at which an endpoint is ejected: three failures in
  /// quick succession.
  double eject_threshold = 2.5;
  DurationMs half_life_ms = 5000;  ///< Half-life of the failure count.
  /// Length of the first ejection of a series; each further one is twice as
  /// long.
  DurationMs initial_ejection_ms = 1000;
  DurationMs max_ejection_ms = 30'000;  ///< Upper limit of an ejection.
  /// A series ends when the endpoint has not been ejected for this time after
  /// its return. An endpoint that fails only some of its requests passes
  /// probes; without the memory of earlier ejections it would return for good
  /// after each.
  DurationMs probation_ms = 10'000;
};

/// Age up to which peers report failures.
inline constexpr DurationMs kPeerEvidenceMs = 5000;

/// Health of endpoints, keyed by address. An address without a recorded failure
/// is healthy. Not thread safe.
class EndpointHealth {
 public:
  explicit EndpointHealth(HealthSettings settings = {});

  /// Counts a failure. A failure ejects an endpoint whose failure count reaches
  /// the threshold, and at once one that has been ejected and may be probed.
  /// Failures during an ejection have no effect: they are those of requests
  /// that were sent before it.
  /// @param weight Failures that it counts as.
  /// @returns whether this failure ejects the endpoint.
  bool OnFailure(std::string_view address, TimeMs now, double weight = 1.0);
  /// Counts failures that peers report. Unlike those of `OnFailure`, they are
  /// no outcome of a probe. They are ignored until `kPeerEvidenceMs` after an
  /// ejection: they may be those that led to it.
  /// @returns whether they eject the endpoint.
  bool OnPeerFailures(std::string_view address, TimeMs now, double weight);
  /// Records a success. It readmits an endpoint that has been ejected, unless
  /// it comes during the ejection and may be that of an earlier request.
  /// @returns whether it readmits the endpoint.
  bool OnSuccess(std::string_view address, TimeMs now);
  /// Whether the endpoint may get new requests. After an ejection it may get
  /// one request as a probe; `OnChosen` then makes it unusable until the probe
  /// has an outcome, or for `initial_ejection_ms` if that is lost.
  [[nodiscard]] bool Usable(std::string_view address, TimeMs now) const;
  /// Records that a request is sent to the endpoint. After an ejection this
  /// request is a probe. During one it has no effect.
  void OnChosen(std::string_view address, TimeMs now);

 private:
  struct EndpointRow {
    double failure_count = 0;  ///< Decayed to `updated_at`.
    TimeMs updated_at = 0;
    bool ejected = false;  ///< From an ejection until the next success.
    TimeMs ejected_at = 0;
    TimeMs ejected_until = 0;
    TimeMs probed_until = 0;          ///< A probe may be pending until then.
    std::int64_t ejection_count = 0;  ///< Ejections of the present series.
    TimeMs readmitted_at = 0;
  };
  void Eject(EndpointRow& row, TimeMs now) const;
  /// Decays the failure count to `now`.
  void Decay(EndpointRow& row, TimeMs now) const;

  HealthSettings settings;
  std::unordered_map<std::string, EndpointRow> rows;  ///< Keyed by address.
};

}  // namespace limpethaven
