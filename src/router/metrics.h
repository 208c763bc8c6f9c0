/// @file
/// Counters, histograms and gauges of one process, in Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"
#include "limpethaven/role_planner.h"

namespace limpethaven {

/// Values of a process's gauges at one moment.
struct MetricsSnapshot {
  std::size_t requests = 0;     ///< Requests being served.
  std::size_t connections = 0;  ///< Open connections of callers.
  /// Requests in the queues of the cells that this process schedules.
  std::size_t waiting = 0;
  /// Decisions of those cells since the start of the process.
  std::uint64_t placed_on_time = 0;
  std::uint64_t placed_late = 0;
  std::uint64_t placements_refused = 0;
  /// Engine reservations of the requests that this process is serving.
  std::size_t reservations = 0;
  /// Quota tokens borrowed from other processes since the start.
  Tokens borrowed_tokens = 0;
  double retries_left = 0;  ///< Smallest number left in any pool's budget.
  std::uint64_t config_version = 0;
  /// Time since a configuration was last adopted.
  DurationMs config_age_ms = 0;
  /// Time since the endpoints were last updated.
  DurationMs endpoints_age_ms = 0;
  std::size_t endpoints = 0;
  std::size_t ejected = 0;  ///< Endpoints ejected after failures.
  std::size_t limited = 0;  ///< Endpoints that name a limit on requests.
  std::size_t paused = 0;   ///< Endpoints that want nothing for a while.
  /// Endpoints that are leaving by their own word.
  std::size_t said_leaving = 0;
  std::size_t quarantined_parts = 0;  ///< Parts of prompts that are refused.
  /// Members that serve callers, including this process if it does.
  std::size_t members = 0;
  /// Engines of the cells whose roles this process balances: by role, the
  /// wanted number of prefill engines, and those that change their role.
  RoleSplit roles;
  std::size_t role_leases = 0;  ///< Cells to which it may send role orders.
  /// Attempts to connect to endpoints since the start.
  std::uint64_t connections_made = 0;
  /// Log lines dropped since the start.
  std::uint64_t dropped_log_lines = 0;
  /// Calls to the source of the configuration and endpoints since the start.
  std::uint64_t source_calls = 0;
  /// Whether this process reads the source, for itself or for others.
  bool reads_source = true;
  /// Whether peers may follow the source through this process.
  bool source_reader = false;
  /// Age of the known configuration and endpoints; -1: unknown.
  DurationMs state_age_ms = -1;
};

/// Share of an endpoint in this process's calls to its plain pool.
struct PlainShare {
  std::string pool;
  std::string endpoint;
  double share = 0;
};

/// Metrics of one process.
class Metrics {
 public:
  Metrics();

  /// Counts a request that has ended.
  /// @param kind `plain`, `generation` or `refused`.
  /// @param outcome `answered`, `caller_gone` or the name of an error kind.
  void OnEnd(const std::string& kind, const std::string& outcome,
             DurationMs elapsed_ms);
  /// Records the time from a request to its stream's first event.
  void OnFirstEvent(DurationMs elapsed_ms);
  /// Counts a request that is sent to an endpoint again.
  void OnRetry();
  /// Counts an order to an engine to change its role.
  /// @param outcome Name of a `RoleOrderOutcome`, or `not_sent`.
  void OnRoleOrder(const std::string& outcome);
  /// Counts generated tokens that were passed on.
  void OnTokens(Tokens produced);
  /// Counts tokens that a team was charged.
  void OnCharge(const std::string& team, Tokens tokens);
  /// Sets all gauges.
  void SetGauges(const MetricsSnapshot& snapshot);
  /// Sets the shares of plain endpoints, and removes all others.
  void SetPlainShares(const std::vector<PlainShare>& next);
  /// All metrics in Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& ends;
  prometheus::Family<prometheus::Histogram>& durations;
  prometheus::Histogram& first_event;
  prometheus::Counter& retries;
  prometheus::Family<prometheus::Counter>& role_orders;
  prometheus::Counter& tokens;
  prometheus::Family<prometheus::Counter>& charged;
  prometheus::Family<prometheus::Gauge>& gauges;
  prometheus::Family<prometheus::Gauge>& plain_shares;
  std::vector<prometheus::Gauge*> plain_share_rows;
};

}  // namespace limpethaven
