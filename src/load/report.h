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

/// Latency targets of a report. An answer counts as good if its first token
/// came within `first_token_ms`; `token_gap_ms` is not checked.
struct LatencyTargets {
  DurationMs first_token_ms = 920;  ///< From sending to the first token.
  double token_gap_ms = 48;         ///< Between two tokens.
};

/// Counts of one team.
struct TeamFigures {
  std::string team;
  std::int64_t sent = 0;   ///< Requests sent.
  std::int64_t whole = 0;  ///< Complete answers.
  std::int64_t good = 0;   ///< Complete answers within the first-token target.
  std::int64_t refused_by_limit = 0;   ///< Refusals with `team_limit`.
  std::int64_t refused_otherwise = 0;  ///< Refusals with any other error.
  std::int64_t tokens = 0;             ///< Generated tokens.
};

/// Figures of a history.
struct LoadFigures {
  std::vector<TeamFigures> teams;
  /// Times from sending to the first token, in sorted order.
  std::vector<double> first_token_ms;
  /// Longest gap between two tokens of each complete answer, in sorted order.
  std::vector<double> max_gap_ms;
  DurationMs duration_ms = 0;  ///< From the first event to the last.
};

/// Computes the figures of a history. At-most-once requests are left out.
[[nodiscard]] LoadFigures MeasureHistory(
    const std::vector<HistoryEvent>& events, const LatencyTargets& targets);
/// Returns the value at a percentile (0 to 100) of a sorted list; 0 for an
/// empty list.
[[nodiscard]] double Percentile(const std::vector<double>& sorted,
                                double percent);
/// Writes the table of teams and the latency percentiles.
std::ostream& operator<<(std::ostream& out, const LoadFigures& figures);
/// Renders a self-contained HTML page with the table and SVG plots.
[[nodiscard]] std::string RenderReport(const std::vector<HistoryEvent>& events,
                                       const LatencyTargets& targets,
                                       const std::string& title);

}  // namespace limpethaven
