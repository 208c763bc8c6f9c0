/// @file
/// Prints the tables of docs/CAPACITY.md from the benchmarks' JSON: for each
/// series the value at each measured size, a fitted line, and the value at the
/// design size.

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace {

using nlohmann::json;

/// One row of the table, and the benchmark counters from which it is computed.
struct Series {
  std::string title;
  std::string benchmark;     ///< Prefix of the benchmark's name.
  std::string size_counter;  ///< JSON key of the size.
  /// JSON key of the value: a counter or `real_time`.
  std::string value_counter;
  std::string unit;
  double design_size = 0;
  double scale = 1;  ///< Factor that converts the value to `unit`.
};

struct Point {
  double x = 0;  ///< Size.
  double y = 0;  ///< Value in the unit of the series.
};

/// Least-squares line y = base + slope * x.
struct Line {
  double base = 0;
  double slope = 0;
};

std::vector<Point> CollectPoints(const json& benchmarks, const Series& series) {
  std::vector<Point> points;
  for (const json& row : benchmarks) {
    const std::string name = row.at("name").get<std::string>();
    if (!name.starts_with(series.benchmark) ||
        !row.contains(series.value_counter)) {
      continue;
    }
    points.push_back(
        Point{row.at(series.size_counter).get<double>(),
              row.at(series.value_counter).get<double>() * series.scale});
  }
  std::ranges::sort(points, {}, &Point::x);
  return points;
}

/// Fits a line by least squares; it is flat when all points have the same size.
Line FitLine(const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  std::ranges::for_each(points, [&](const Point& point) {
    sum_x += point.x;
    sum_y += point.y;
    sum_xx += point.x * point.x;
    sum_xy += point.x * point.y;
  });
  const auto count = static_cast<double>(points.size());
  const double determinant = count * sum_xx - sum_x * sum_x;
  if (determinant == 0) return Line{sum_y / std::max(1.0, count), 0};
  const double slope = (count * sum_xy - sum_x * sum_y) / determinant;
  return Line{(sum_y - slope * sum_x) / count, slope};
}

/// Formats a value with three significant digits.
std::string FormatNumber(double value) {
  std::ostringstream text;
  text << std::setprecision(3) << value;
  return text.str();
}

void PrintRow(const Series& series, const std::vector<Point>& points) {
  if (points.empty()) return;
  std::cout << "| " << series.title << " [" << series.unit << "] | ";
  std::ranges::for_each(points, [](const Point& point) {
    std::cout << FormatNumber(point.x) << ": " << FormatNumber(point.y) << "; ";
  });
  const Line line = FitLine(points);
  const auto measured =
      std::ranges::find(points, series.design_size, &Point::x);
  const bool is_measured = measured != points.end();
  const double at_design =
      is_measured ? measured->y : line.base + line.slope * series.design_size;
  std::cout << "| " << FormatNumber(line.base) << " + "
            << FormatNumber(line.slope) << " x | "
            << FormatNumber(series.design_size) << ": "
            << FormatNumber(at_design)
            << (is_measured ? " measured" : " from the fit") << " |\n";
}

const std::vector<Series> kSeries = {
    {"membership, processor", "MembershipSteady", "members", "core_percent",
     "% of a core", 460},
    {"membership, network", "MembershipSteady", "members", "bytes_per_daemon_s",
     "B/s", 460},
    {"membership, all members detect a dead one, mean", "MembershipDetection",
     "members", "all_see_ms", "ms", 460},
    {"membership, all members detect a dead one, worst run",
     "MembershipDetection", "members", "all_see_worst_ms", "ms", 460},
    {"membership, false suspicions in 40 s at 0.1% loss", "MembershipSteady",
     "members", "false_suspicions", "count", 460},
    {"configuration, apply one change", "ConfigApplyChange", "keys",
     "real_time", "us", 20'000},
    {"configuration, size of one change on the wire", "ConfigApplyChange",
     "keys", "bytes_per_change", "B", 20'000},
    {"configuration, heap", "ConfigMemory", "keys", "bytes_held", "MB", 20'000,
     1e-6},
    {"shares, charge and settle", "ShareChargeSettle", "teams", "real_time",
     "ns", 1600},
    {"shares, lend and confirm", "ShareLend", "teams", "real_time", "ns", 1600},
    {"shares, heap", "ShareMemory", "teams", "bytes_held", "MB", 1600, 1e-6},
    {"cell, one decision p50", "CellDecision", "engines", "p50_us", "us", 64},
    {"cell, one decision p99", "CellDecision", "engines", "p99_us", "us", 64},
    {"cell, renew a batch", "CellRenew", "reservations", "real_time", "us",
     1000},
    {"cell, heap by queued requests", "CellMemory", "queued", "bytes_held",
     "MB", 4000, 1e-6},
    {"choice of the cell and owner of a request", "CellChoice", "workers",
     "real_time", "ns", 3300},
    {"prefix blocks of a prompt", "RequestPrefixBlocks", "prompt_tokens",
     "real_time", "us", 30'000},
    {"tickets, heap", "RequestTicketMemory", "tickets", "bytes_held", "MB",
     10'000, 1e-6}};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: limpethaven_capacity BENCHMARKS.json\n";
    return 2;
  }
  std::ifstream in(argv[1]);
  const json document = json::parse(in, nullptr, false);
  if (!document.is_object()) {
    std::cerr << "limpethaven_capacity: " << argv[1]
              << " cannot be read as benchmark JSON\n";
    return 2;
  }
  std::cout << "| series | size: value | fit | at the design size |\n"
               "| --- | --- | --- | --- |\n";
  for (const Series& series : kSeries) {
    PrintRow(series, CollectPoints(document.at("benchmarks"), series));
  }
  return 0;
}
