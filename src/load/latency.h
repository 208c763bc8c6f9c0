/// @file
/// Latency that an entry VM adds to the first token, against calls straight to
/// the same engines.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Parameters of a latency run.
struct LatencySettings {
  std::string target;   ///< `IP:port` of an entry VM.
  std::string prefill;  ///< `IP:port` of a prefill engine.
  std::string decode;   ///< `IP:port` of a decode engine.
  std::string model;
  std::string key;
  std::int64_t requests = 2000;  ///< Half through the entry, half straight.
  double rate_per_s = 200;
};

/// First-token times in milliseconds, sorted.
struct LatencyFigures {
  std::vector<double> through_entry;
  std::vector<double> straight;
  std::int64_t failed = 0;
};

/// Sends both kinds in turn, at an even rate.
[[nodiscard]] LatencyFigures MeasureLatency(const LatencySettings& settings);
std::ostream& operator<<(std::ostream& out, const LatencyFigures& figures);

}  // namespace limpethaven
