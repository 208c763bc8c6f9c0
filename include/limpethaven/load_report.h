/// @file
/// Calls of one process to the endpoints of plain services, as it reports them
/// to its peers by gossip.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/endpoint_health.h"

namespace limpethaven {

/// Number that stands for an endpoint id in reports, the same in all processes.
/// If two endpoints of a fleet had the same number, their loads would be added.
[[nodiscard]] std::uint32_t ReportKeyOf(std::string_view endpoint);

/// Calls of one process to one endpoint.
struct EndpointLoad {
  std::uint32_t endpoint = 0;  ///< `ReportKeyOf` of its id.
  /// Calls that were started within `LoadReport::window_ms`.
  std::int64_t calls = 0;
  /// Sum of the time within the window for which each call was in flight:
  /// divided by the window, the mean number of calls in flight.
  DurationMs busy_ms = 0;
  /// Calls that ended without an answer within `kFailureWindowMs`.
  std::int64_t failures = 0;
  friend auto operator<=>(const EndpointLoad&, const EndpointLoad&) = default;
};

/// Report of one process. An empty one, with sequence 0, stands for none.
struct LoadReport {
  /// Most endpoints in a report: with 400 bytes, 25 for each.
  static constexpr std::size_t kMaxEndpoints = 16;
  /// Greatest value of a number in a report; larger ones are cut to it.
  static constexpr std::int64_t kMaxValue = 1'000'000'000;

  /// Rises with each report of an incarnation, from 1.
  std::uint64_t sequence = 0;
  DurationMs window_ms = 0;
  std::vector<EndpointLoad> loads;
  friend auto operator<=>(const LoadReport&, const LoadReport&) = default;
};

std::ostream& operator<<(std::ostream& out, const LoadReport& report);

/// Measures this process's calls. Not thread safe; reads no clock. Times must
/// not decrease.
class LoadMeter {
 public:
  /// Longest time over which calls are counted.
  static constexpr DurationMs kWindowMs = 2000;
  /// Time over which failures are counted. It is longer, because failures are
  /// rare and a process hears from each peer only every few seconds.
  static constexpr DurationMs kFailureWindowMs = kPeerEvidenceMs;

  void OnStart(std::string_view endpoint, TimeMs now);
  void OnEnd(std::string_view endpoint, TimeMs now);
  /// Counts a call that ended without an answer.
  void OnFailure(std::string_view endpoint, TimeMs now);
  /// Report of the window that ends now, with the next sequence number. It
  /// names the endpoints with failures first, then those with the most calls.
  [[nodiscard]] LoadReport Report(TimeMs now);
  /// The same without a new sequence number.
  [[nodiscard]] LoadReport Peek(TimeMs now);

 private:
  static constexpr DurationMs kBucketMs = 250;
  static constexpr std::size_t kBuckets = kFailureWindowMs / kBucketMs;

  struct Bucket {
    std::int64_t number = -1;  ///< Time divided by `kBucketMs`.
    std::int64_t calls = 0;
    DurationMs busy_ms = 0;
    std::int64_t failures = 0;
  };
  struct Row {
    std::uint32_t key = 0;
    std::int64_t in_flight = 0;
    TimeMs updated_at = 0;
    std::array<Bucket, kBuckets> buckets;
  };

  Row& RowOf(std::string_view endpoint, TimeMs now);
  static Bucket& BucketAt(Row& row, TimeMs time);
  /// Adds the time in flight since the last update.
  static void Advance(Row& row, TimeMs now);

  std::map<std::string, Row, std::less<>> rows;  ///< Keyed by endpoint id.
  std::uint64_t last_sequence = 0;
  std::optional<TimeMs> started_at;  ///< Time of the first report.
};

}  // namespace limpethaven
