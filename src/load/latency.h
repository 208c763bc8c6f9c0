/// @file
/// Measures the latency that an entry VM adds to the first token, compared with
/// a baseline of calls to the engines without the entry VM.
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
  std::int64_t requests = 2000;  ///< Half through the entry VM, half baseline.
  double rate_per_s = 200;       ///< Arrivals of both halves together.
};

/// Times from sending a request to its first token, in sorted order.
struct LatencyFigures {
  std::vector<double> through_entry_ms;
  std::vector<double> baseline_ms;
  std::int64_t failed = 0;  ///< Requests that got no first token.
};

/// Sends baseline requests and requests through the entry VM alternately, at a
/// constant rate.
[[nodiscard]] LatencyFigures MeasureLatency(const LatencySettings& settings);
std::ostream& operator<<(std::ostream& out, const LatencyFigures& figures);

}  // namespace limpethaven
