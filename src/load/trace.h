/// @file
/// Arrival traces from a seed.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// One team's part in a load.
struct TeamLoad {
  std::string team;
  std::string key;
  double share = 1.0;  ///< Of the arrivals, relative to the other teams.
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
  double follow_up =
      0.3;  ///< Part of the requests that extend an earlier prompt.
  std::string id_prefix = "load";
};

/// One arrival.
struct Arrival {
  TimeMs at_ms = 0;  ///< After the start of the trace.
  std::string id;
  std::size_t team = 0;  ///< Index of the team.
  std::string prompt;
  Tokens max_tokens = 0;
  friend auto operator<=>(const Arrival&, const Arrival&) = default;
};

/// Poisson arrivals with log-uniform prompt lengths; the same settings give the
/// same trace.
[[nodiscard]] std::vector<Arrival> MakeTrace(
    const TraceSettings& settings, const std::vector<TeamLoad>& teams);

}  // namespace limpethaven
