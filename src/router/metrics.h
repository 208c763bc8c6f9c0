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

/// Values of a process's gauges at one moment.
struct MetricsSnapshot {
  std::size_t requests = 0;
  std::size_t connections = 0;
  std::size_t waiting = 0;       ///< Requests queued in the cells hosted here.
  std::size_t reservations = 0;  ///< Reservations of requests served here.
  /// Quota tokens borrowed from other processes since the start.
  Tokens borrowed_tokens = 0;
  double retries_left = 0;  ///< Smallest retry budget of all pools.
  std::uint64_t config_version = 0;
  DurationMs config_age_ms = 0;
  DurationMs endpoints_age_ms = 0;
  std::size_t endpoints = 0;
  std::size_t ejected = 0;  ///< Endpoints ejected after failures.
  std::size_t members = 0;
  /// Connections made to endpoints since the start.
  std::uint64_t connections_made = 0;
  std::uint64_t dropped_log_lines = 0;  ///< Since the start.
};

/// Metrics of one process.
class Metrics {
 public:
  Metrics();

  /// Counts a request that has ended.
  /// @param kind `plain`, `generation` or `refused`.
  void OnEnd(const std::string& kind, const std::string& outcome,
             DurationMs elapsed_ms);
  /// Records the time to the first event of a stream.
  void OnFirstEvent(DurationMs elapsed_ms);
  void OnRetry();
  /// Counts generated tokens that were passed on.
  void OnTokens(Tokens produced);
  /// Counts tokens that a team was charged.
  void OnCharge(const std::string& team, Tokens tokens);
  /// Sets all gauges.
  void SetGauges(const MetricsSnapshot& snapshot);
  /// All metrics in Prometheus text format.
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
