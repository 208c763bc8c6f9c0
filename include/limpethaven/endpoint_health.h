/// @file
/// Ejects endpoints that fail repeatedly and readmits them after a successful
/// probe.
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
  /// Length of the first ejection; each further one without a success between
  /// is twice as long.
  DurationMs initial_ejection_ms = 1000;
  DurationMs max_ejection_ms = 30'000;  ///< Upper limit of an ejection.
};

/// Health of endpoints, keyed by address. An address without a recorded failure
/// is healthy. Not thread safe.
class EndpointHealth {
 public:
  explicit EndpointHealth(HealthSettings settings = {});

  /// Counts a failure. A failure after an ejection has ended ejects the
  /// endpoint again at once. @returns whether this failure ejects the endpoint.
  bool OnFailure(std::string_view address, TimeMs now);
  /// Records a success. While the endpoint is unusable it has no effect.
  /// @returns whether it ends a series of ejections.
  bool OnSuccess(std::string_view address, TimeMs now);
  /// Whether the endpoint may get new requests. After an ejection it may get
  /// one request, as a probe.
  [[nodiscard]] bool Usable(std::string_view address, TimeMs now) const;
  /// Records that a request is sent to the endpoint. After an ejection this
  /// request is the probe: the endpoint is then unusable for at least
  /// `initial_ejection_ms`, so that other requests wait for the outcome.
  void OnChosen(std::string_view address, TimeMs now);

 private:
  struct EndpointRow {
    double failure_count = 0;  ///< Decayed to `updated_at`.
    TimeMs updated_at = 0;
    TimeMs ejected_until = 0;
    std::int64_t ejection_count = 0;  ///< Ejections since the last success.
  };
  /// Decays the failure count to `now`.
  void Decay(EndpointRow& row, TimeMs now) const;

  HealthSettings settings;
  std::unordered_map<std::string, EndpointRow> rows;  ///< Keyed by address.
};

}  // namespace limpethaven
