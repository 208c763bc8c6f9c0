/// @file
/// Request arrival traces that are generated from a seed.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// A team and its share of the arrivals.
struct TeamLoad {
  std::string team;
  std::string key;
  double share = 1.0;  ///< Relative to the shares of the other teams.
};

/// Parameters of a trace.
struct TraceSettings {
  std::uint64_t seed = 1;
  std::int64_t requests = 100;
  double rate_per_s = 20.0;
  Tokens prompt_tokens_min = 20;
  Tokens prompt_tokens_max = 2000;
  Tokens max_tokens_min = 8;
  Tokens max_tokens_max = 128;
  /// Ratio of requests whose prompt extends an earlier one (0 to 1).
  double follow_up_ratio = 0.3;
  std::string id_prefix = "load";  ///< Start of every request id.
};

/// A request and its time of arrival.
struct Arrival {
  TimeMs at_ms = 0;  ///< Milliseconds after the start of the trace.
  std::string id;
  std::size_t team = 0;  ///< Index in the list of teams.
  std::string prompt;
  Tokens max_tokens = 0;
  friend auto operator<=>(const Arrival&, const Arrival&) = default;
};

/// Generates Poisson arrivals with log-uniform prompt lengths and output
/// limits. Equal settings and teams give the same trace.
[[nodiscard]] std::vector<Arrival> MakeTrace(
    const TraceSettings& settings, const std::vector<TeamLoad>& teams);

}  // namespace limpethaven
