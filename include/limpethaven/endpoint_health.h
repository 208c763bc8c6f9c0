/// @file
/// Ejects endpoints that fail and lets them return one probe at a time.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Settings of endpoint ejection.
struct HealthSettings {
  double eject_threshold =
      2.5;  ///< Decayed failures that eject: three in quick succession.
  DurationMs half_life_ms = 5000;  ///< Failures halve in this time.
  DurationMs initial_ejection_ms =
      1000;  ///< First ejection; doubles with each one in a row.
  DurationMs max_ejection_ms = 30'000;
};

/// Health of endpoints by address. Unknown addresses are healthy. Not thread
/// safe.
class EndpointHealth {
 public:
  explicit EndpointHealth(HealthSettings settings = {});

  /// Counts a failure. @returns true when this one ejects the endpoint.
  bool OnFailure(std::string_view address, TimeMs now);
  /// Counts a success. @returns true when it ends a row of ejections.
  bool OnSuccess(std::string_view address, TimeMs now);
  /// Whether new work may go there. After an ejection one request is let
  /// through as a probe.
  [[nodiscard]] bool Usable(std::string_view address, TimeMs now) const;
  /// Marks the probe after an ejection as taken, so that further requests wait
  /// for its outcome.
  void OnChosen(std::string_view address, TimeMs now);

 private:
  struct Row {
    double failures = 0;
    TimeMs updated_at = 0;
    TimeMs ejected_until = 0;
    std::int64_t ejections = 0;
  };
  void Decay(Row& row, TimeMs now) const;

  HealthSettings settings;
  std::unordered_map<std::string, Row> rows;
};

}  // namespace limpethaven
