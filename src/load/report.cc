#include "load/report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>

namespace limpethaven {
namespace {

constexpr int kPlotWidthPx = 640;
constexpr int kPlotHeightPx = 220;
constexpr DurationMs kBucketMs = 500;

struct RequestTimes {
  std::string team;
  TimeMs sent_at = 0;
  TimeMs first_token_at = 0;
};

/// Renders a line plot scaled to its largest x and y, with a dashed vertical
/// line at each x in `marks`.
std::string RenderLinePlot(const std::string& title, const std::string& x_label,
                           const std::vector<std::pair<double, double>>& points,
                           const std::vector<double>& marks) {
  double max_x = 1;
  double max_y = 1;
  std::ranges::for_each(points, [&](const auto& point) {
    max_x = std::max(max_x, point.first);
    max_y = std::max(max_y, point.second);
  });
  std::ostringstream svg;
  svg << "<h2>" << title << "</h2><svg width='" << kPlotWidthPx + 70
      << "' height='" << kPlotHeightPx + 40
      << "'><g transform='translate(50,10)'><rect width='" << kPlotWidthPx
      << "' height='" << kPlotHeightPx
      << "' fill='none' stroke='#999'/><polyline fill='none' "
      << "stroke='#1f6f8b' stroke-width='1.5' points='";
  std::ranges::for_each(points, [&](const auto& point) {
    svg << point.first / max_x * kPlotWidthPx << ','
        << kPlotHeightPx - point.second / max_y * kPlotHeightPx << ' ';
  });
  svg << "'/>";
  std::ranges::for_each(marks, [&](double mark) {
    const double x = mark / max_x * kPlotWidthPx;
    svg << "<line x1='" << x << "' x2='" << x << "' y1='0' y2='"
        << kPlotHeightPx << "' stroke='#b33' stroke-dasharray='4'/>";
  });
  svg << "<text x='-45' y='12' font-size='11'>" << max_y << "</text><text x='"
      << kPlotWidthPx - 40 << "' y='" << kPlotHeightPx + 15
      << "' font-size='11'>" << max_x << "</text><text x='0' y='"
      << kPlotHeightPx + 15 << "' font-size='11'>" << x_label
      << "</text></g></svg>";
  return svg.str();
}

/// Returns for each value the percentage of values that are not greater.
std::vector<std::pair<double, double>> CumulativePercent(
    const std::vector<double>& sorted) {
  std::vector<std::pair<double, double>> points;
  points.reserve(sorted.size());
  for (std::size_t index = 0; index < sorted.size(); ++index) {
    points.emplace_back(sorted[index], 100.0 * static_cast<double>(index + 1) /
                                           static_cast<double>(sorted.size()));
  }
  return points;
}

/// Returns the complete answers per second in each bucket of time; x is in
/// seconds since `start`.
std::vector<std::pair<double, double>> CompletionRate(
    const std::vector<HistoryEvent>& events, TimeMs start) {
  std::map<TimeMs, std::int64_t> buckets;
  std::ranges::for_each(events, [&](const HistoryEvent& event) {
    if (event.kind == HistoryKind::kWhole) {
      ++buckets[(event.at_ms - start) / kBucketMs];
    }
  });
  std::vector<std::pair<double, double>> points;
  if (buckets.empty()) return points;
  for (TimeMs bucket = 0; bucket <= buckets.rbegin()->first; ++bucket) {
    const double answers_per_s =
        static_cast<double>(buckets[bucket]) * 1000.0 / kBucketMs;
    points.emplace_back(static_cast<double>(bucket * kBucketMs) / 1000.0,
                        answers_per_s);
  }
  return points;
}

}  // namespace

LoadFigures MeasureHistory(const std::vector<HistoryEvent>& events,
                           const LatencyTargets& targets) {
  LoadFigures figures;
  std::map<std::string, TeamFigures> teams;
  std::map<std::string, RequestTimes> requests;
  TimeMs first_at = events.empty() ? 0 : events.front().at_ms;
  TimeMs last_at = first_at;
  std::ranges::for_each(events, [&](const HistoryEvent& event) {
    first_at = std::min(first_at, event.at_ms);
    last_at = std::max(last_at, event.at_ms);
    if (event.request.empty() || event.once ||
        event.kind == HistoryKind::kEndpointRan) {
      return;
    }
    TeamFigures& team = teams[event.team];
    team.team = event.team;
    RequestTimes& times = requests[event.request];
    switch (event.kind) {
      case HistoryKind::kSent:
        ++team.sent;
        times = RequestTimes{event.team, event.at_ms, 0};
        break;
      case HistoryKind::kFirstToken:
        times.first_token_at = event.at_ms;
        figures.first_token_ms.push_back(
            static_cast<double>(event.at_ms - times.sent_at));
        break;
      case HistoryKind::kWhole:
        ++team.whole;
        team.tokens += event.tokens;
        figures.max_gap_ms.push_back(event.max_gap_ms);
        if (times.first_token_at - times.sent_at <= targets.first_token_ms) {
          ++team.good;
        }
        break;
      case HistoryKind::kRefused:
        ++(event.error == "team_limit" ? team.refused_by_limit
                                       : team.refused_otherwise);
        break;
      default:
        break;
    }
  });
  figures.duration_ms = last_at - first_at;
  std::ranges::transform(teams, std::back_inserter(figures.teams),
                         [](const auto& entry) { return entry.second; });
  std::ranges::sort(figures.first_token_ms);
  std::ranges::sort(figures.max_gap_ms);
  return figures;
}

double Percentile(const std::vector<double>& sorted, double percent) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(last * percent / 100.0))];
}

std::ostream& operator<<(std::ostream& out, const LoadFigures& figures) {
  out << std::left << std::setw(12) << "team" << std::right << std::setw(8)
      << "sent" << std::setw(8) << "whole" << std::setw(8) << "good"
      << std::setw(10) << "limited" << std::setw(10) << "refused"
      << std::setw(10) << "tokens" << '\n';
  std::ranges::for_each(figures.teams, [&out](const TeamFigures& team) {
    out << std::left << std::setw(12) << team.team << std::right << std::setw(8)
        << team.sent << std::setw(8) << team.whole << std::setw(8) << team.good
        << std::setw(10) << team.refused_by_limit << std::setw(10)
        << team.refused_otherwise << std::setw(10) << team.tokens << '\n';
  });
  out << "first token ms: p50 " << Percentile(figures.first_token_ms, 50)
      << ", p95 " << Percentile(figures.first_token_ms, 95) << ", p99 "
      << Percentile(figures.first_token_ms, 99) << '\n';
  out << "longest token gap ms: p50 " << Percentile(figures.max_gap_ms, 50)
      << ", p95 " << Percentile(figures.max_gap_ms, 95) << ", p99 "
      << Percentile(figures.max_gap_ms, 99) << '\n';
  return out;
}

std::string RenderReport(const std::vector<HistoryEvent>& events,
                         const LatencyTargets& targets,
                         const std::string& title) {
  const LoadFigures figures = MeasureHistory(events, targets);
  const TimeMs start = events.empty() ? 0 : events.front().at_ms;
  std::vector<double> fault_times_s;
  std::ranges::for_each(events, [&](const HistoryEvent& event) {
    if (event.kind != HistoryKind::kFault &&
        event.kind != HistoryKind::kWithdrawn) {
      return;
    }
    fault_times_s.push_back(static_cast<double>(event.at_ms - start) / 1000.0);
  });
  std::vector<std::pair<double, double>> team_tokens;
  std::ranges::for_each(figures.teams, [&team_tokens](const TeamFigures& team) {
    team_tokens.emplace_back(static_cast<double>(team_tokens.size()),
                             static_cast<double>(team.tokens));
  });
  std::ostringstream page;
  page << "<!doctype html><meta charset='utf-8'><title>" << title
       << "</title><body style='font-family:sans-serif'><h1>" << title
       << "</h1><pre>" << figures << "</pre>"
       << RenderLinePlot(
              "Time to first token: cumulative percentage of requests", "ms",
              CumulativePercent(figures.first_token_ms), {})
       << RenderLinePlot(
              "Longest gap between tokens: cumulative percentage of requests",
              "ms", CumulativePercent(figures.max_gap_ms), {})
       << RenderLinePlot(
              "Complete answers per second; dashed lines are faults and key "
              "withdrawals",
              "s", CompletionRate(events, start), fault_times_s)
       << RenderLinePlot("Generated tokens by team, in the order of the table",
                         "team", team_tokens, {})
       << "</body>";
  return page.str();
}

}  // namespace limpethaven
