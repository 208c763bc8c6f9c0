/// @file
/// Divides a process's calls to a plain service among the service's endpoints,
/// where many processes choose at the same moment and know each other's calls
/// only from old reports of some of them.
///
/// Each process computes shares from the same kind of estimates and divides
/// only its own calls by them. A share that all processes follow adds up to an
/// even load, while a choice of the endpoint that appears idle would be made by
/// all of them at once.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/load_report.h"
#include "limpethaven/vm_id.h"

namespace limpethaven {

/// Settings of the shares.
struct BalancerSettings {
  /// Part of a data centre's slots that calls from the same data centre may
  /// keep busy before the rest goes elsewhere. A spike of 1.67 times, as
  /// measured, then uses 67% until the shares have followed it.
  double local_utilisation = 0.4;
  /// With more load than that, a data centre's calls may use it this much more
  /// than the mean of all data centres.
  double max_over_mean = 1.05;
  DurationMs update_period_ms = 500;  ///< Time between two updates.
  /// A report that was received longer ago is dropped.
  DurationMs max_report_age_ms = 3000;
  /// Time constant of the estimated demand.
  DurationMs demand_smoothing_ms = 1000;
  /// Time constant of the estimated times of calls, to which the mean age of
  /// the reports is added: the shares act on these times, and a correction by
  /// old reports must be slower than the reports.
  DurationMs time_smoothing_ms = 500;
};

/// An endpoint among which calls are divided.
struct BalancedEndpoint {
  std::string id;
  std::string data_centre;
  std::int64_t slots = 1;
  friend auto operator<=>(const BalancedEndpoint&,
                          const BalancedEndpoint&) = default;
};

/// Share of an endpoint in this process's calls to its pool.
struct EndpointShare {
  BalancedEndpoint endpoint;
  double share = 0;  ///< All shares of a pool add up to 1.
  /// Time of a call here divided by the time at the median endpoint, as far as
  /// it reduces the share; at least 1.
  double slowness = 1;
};

/// Shares of a pool and what they were computed from.
struct PoolShares {
  std::vector<EndpointShare> endpoints;
  std::size_t reports = 0;       ///< Reports of peers that were used.
  DurationMs mean_age_ms = 0;    ///< Mean time since their receipt.
  DurationMs oldest_age_ms = 0;  ///< Time since the receipt of the oldest.
  std::int64_t processes = 1;    ///< Processes that send calls.
  double calls_per_s = 0;        ///< Estimate for all processes.
  double call_ms = 0;            ///< Time of a call at the median endpoint.
  /// Busy part of the slots by the estimates, weighted by slowness.
  double utilisation = 0;
  /// Part of this process's calls that stays in its data centre.
  double local_share = 0;
};

/// Result of a draw.
struct DrawnEndpoint {
  std::string id;  ///< Empty when no endpoint is left.
  /// Whether it replaces the endpoint drawn first, which has more own calls in
  /// flight.
  bool by_own_calls = false;
};

/// Number of calls in flight to the endpoint with this id.
using CallCounter = std::function<std::int64_t(const std::string&)>;

/// Divides calls among endpoints. Not thread safe; does no I/O and reads no
/// clock.
class EndpointBalancer {
 public:
  EndpointBalancer(std::string own_data_centre, std::uint64_t random_seed,
                   BalancerSettings balancer_settings = {});

  /// Sets the number of processes that send calls, this one included, by data
  /// centre.
  void SetProcesses(std::map<std::string, std::int64_t> by_data_centre);
  /// Takes a peer's report. It is ignored if its sequence number is not above
  /// the last one of the same incarnation.
  /// @returns whether it was taken.
  bool OnReport(const VmId& from, const std::string& data_centre,
                const LoadReport& report, TimeMs now);
  /// Drops the report of a peer that is dead or leaving.
  void Forget(std::string_view address);
  /// Removes peers that were not heard for `kSequenceRetentionMs`. Until then
  /// their sequence numbers are kept, so that late reports are recognised.
  void Expire(TimeMs now);

  /// Shares of the endpoints of a pool, updated if they are older than
  /// `update_period_ms` or the endpoints are others. Without a report, or
  /// without any call, shares are by slots in all data centres alike.
  /// @param own Report of this process's own calls.
  /// @param endpoints Endpoints that may be used; not empty.
  const PoolShares& Update(const std::string& pool,
                           const std::vector<BalancedEndpoint>& endpoints,
                           const LoadReport& own, TimeMs now);
  /// Draws an endpoint of the last update of a pool by the shares. If it has
  /// own calls in flight, which this process knows without delay, a few more
  /// are drawn and the one with the fewest is chosen; among equals, the first.
  /// @param tried Ids that are left out.
  /// @param calls_in_flight Own calls in flight to an endpoint.
  [[nodiscard]] DrawnEndpoint Draw(const std::string& pool,
                                   const std::vector<std::string>& tried,
                                   const CallCounter& calls_in_flight);
  /// Shares by the last update; null before the first.
  [[nodiscard]] const PoolShares* Find(std::string_view pool) const;

 private:
  struct PeerRow {
    std::uint64_t incarnation = 0;
    std::string data_centre;
    LoadReport report;
    TimeMs received_at = 0;
  };
  /// Smoothed estimates of one endpoint, over the processes heard.
  struct EndpointEstimate {
    double calls_per_s = 0;
    double in_flight = 0;
  };
  struct PoolRow {
    PoolShares shares;
    std::map<std::uint32_t, EndpointEstimate> endpoints;  ///< By report key.
    /// Calls per second by data centre, of all processes.
    std::map<std::string, double> demand;
    TimeMs estimated_at = 0;
    bool estimated = false;
    /// Point in [0, 1) that selects the endpoint of the next call.
    double position = 0;
  };

  static constexpr DurationMs kSequenceRetentionMs = 60'000;

  void Estimate(PoolRow& row, const std::vector<BalancedEndpoint>& endpoints,
                const LoadReport& own, TimeMs now);
  /// Sets the slowness of each endpoint and the time of a call.
  static void SetSlowness(PoolRow& row);
  void SetShares(PoolRow& row) const;

  std::string data_centre;
  BalancerSettings settings;
  std::mt19937_64 random;
  std::map<std::string, std::int64_t> processes;
  std::map<std::string, PeerRow, std::less<>> peers;  ///< By address.
  std::map<std::string, PoolRow, std::less<>> pools;
};

}  // namespace limpethaven
