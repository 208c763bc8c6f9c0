/// @file
/// Reports on a history: a text table and one self-contained HTML page with
/// plots.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "load/history.h"

namespace limpethaven {

/// Latency targets that count towards goodput.
struct LatencyTargets {
  DurationMs first_token_ms = 920;
  double token_gap_ms = 48;
};

/// Figures of one team.
struct TeamFigures {
  std::string team;
  std::int64_t sent = 0;
  std::int64_t whole = 0;
  std::int64_t good = 0;  ///< Whole, with the first token within its target.
  std::int64_t refused_by_limit = 0;
  std::int64_t refused_otherwise = 0;
  std::int64_t tokens = 0;
};

/// Figures of a history.
struct LoadFigures {
  std::vector<TeamFigures> teams;
  std::vector<double> first_token_ms;  ///< Sorted.
  std::vector<double> max_gap_ms;      ///< Sorted.
  DurationMs length_ms = 0;
};

[[nodiscard]] LoadFigures MeasureHistory(
    const std::vector<HistoryEvent>& events, const LatencyTargets& targets);
/// Value below which `percent` of a sorted list lies; 0 for an empty list.
[[nodiscard]] double Percentile(const std::vector<double>& sorted,
                                double percent);
std::ostream& operator<<(std::ostream& out, const LoadFigures& figures);
/// One HTML page with SVG plots and nothing fetched from elsewhere.
[[nodiscard]] std::string RenderReport(const std::vector<HistoryEvent>& events,
                                       const LatencyTargets& targets,
                                       const std::string& title);

}  // namespace limpethaven
