/// @file
/// Counters and histograms of one process, in Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// What a process holds at the moment of a reading.
struct MetricsSnapshot {
  std::size_t requests = 0;
  std::size_t connections = 0;
  std::size_t waiting = 0;       ///< In the queues of cells hosted here.
  std::size_t reservations = 0;  ///< Used by requests served here.
  Tokens borrowed_tokens = 0;
  double retries_left = 0;  ///< Least of all pools.
  std::uint64_t config_version = 0;
  DurationMs config_age_ms = 0;
  DurationMs endpoints_age_ms = 0;
  std::size_t endpoints = 0;
  std::size_t ejected = 0;
  std::size_t members = 0;
  std::uint64_t connections_made =
      0;  ///< Connections to endpoints since the start.
  std::uint64_t dropped_log_lines = 0;
};

/// Metrics of one process.
class Metrics {
 public:
  Metrics();

  /// A request has ended. @param kind `plain` or `generation`.
  void OnEnd(const std::string& kind, const std::string& outcome,
             DurationMs elapsed_ms);
  /// A caller got the first event of a stream.
  void OnFirstEvent(DurationMs elapsed_ms);
  void OnRetry();
  void OnTokens(Tokens produced);
  /// Tokens that a team was charged.
  void OnCharge(const std::string& team, Tokens tokens);
  void SetGauges(const MetricsSnapshot& reading);
  [[nodiscard]] std::string Text() const;

 private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& ends;
  prometheus::Family<prometheus::Histogram>& durations;
  prometheus::Histogram& first_event;
  prometheus::Counter& retries;
  prometheus::Counter& tokens;
  prometheus::Family<prometheus::Counter>& charged;
  prometheus::Family<prometheus::Gauge>& gauges;
};

}  // namespace limpethaven
