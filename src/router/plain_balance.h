/// @file
/// Even load on plain endpoints: connects the balancer and the evidence of
/// failures with the process's calls, log and metrics.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/endpoint_balancer.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/failure_evidence.h"
#include "limpethaven/membership.h"
#include "peer/gossip.h"
#include "router/metrics.h"

namespace limpethaven {

/// Settings of the balance.
struct PlainBalanceSettings {
  bool enabled = false;
  /// Number of serving processes from which the balance is in force. The
  /// largest number of the last `kLargestCountMs` counts, so that a process
  /// that is cut off goes on with shares by slots.
  std::int64_t min_processes = 1;
};

inline constexpr DurationMs kLargestCountMs = 60'000;

/// Balance of one process. Not thread safe.
class PlainBalance final : public LoadSharer {
 public:
  PlainBalance(PlainBalanceSettings balance_settings, std::string data_centre);

  /// Sets the members that serve callers, this process included.
  void SetServing(const std::vector<MemberUpdate>& serving, TimeMs now);
  /// Whether shares decide about calls to pools with several endpoints, and
  /// peers are told of this process's calls.
  [[nodiscard]] bool InForce() const noexcept;
  /// Chooses an endpoint by the shares.
  /// @param endpoints Usable endpoints of the pool, those that were tried
  /// included.
  /// @param tried Ids of endpoints that this request was sent to.
  /// @param request Id of the request, for the log.
  /// @returns null when none is left.
  [[nodiscard]] const EndpointRecord* Choose(
      const std::string& pool,
      const std::vector<const EndpointRecord*>& endpoints,
      const std::vector<std::string>& tried, const std::string& request,
      const CallCounter& calls_in_flight, TimeMs now);
  void OnCall(const std::string& endpoint, TimeMs now);
  void OnCallEnd(const std::string& endpoint, TimeMs now);
  /// Counts a call without an answer.
  /// @returns whether peers should be told at once.
  [[nodiscard]] bool OnFailure(const std::string& endpoint, TimeMs now);
  /// Drops the report of a member that is dead or leaving.
  void Forget(std::string_view member);
  /// Drops what is too old.
  void Expire(TimeMs now);
  /// Takes the failures that peers have reported since the last call.
  [[nodiscard]] std::vector<WeightedFailures> TakePeerFailures();

  /// Shares of all pools for the metrics; empty while not in force.
  [[nodiscard]] std::vector<PlainShare> Shares() const;

  [[nodiscard]] LoadReport OutgoingLoad(TimeMs now) override;
  void OnLoadReport(const GossipMessage& message, TimeMs now) override;

 private:
  /// Logs the shares if one has changed enough.
  void NoteShares(const std::string& pool, const PoolShares& shares,
                  TimeMs now);
  void NoteDeviation(const std::string& pool, const std::string& request,
                     const std::string& chosen, std::string_view why,
                     TimeMs now);

  /// Shares as they were logged last.
  struct LoggedShares {
    std::map<std::string, double> shares;  ///< Keyed by endpoint id.
    TimeMs logged_at = 0;
  };

  PlainBalanceSettings settings;
  EndpointBalancer balancer;
  LoadMeter meter;
  FailureEvidence evidence;
  std::vector<WeightedFailures> peer_failures;
  std::map<std::string, LoggedShares, std::less<>> logged;  ///< By pool.
  std::int64_t largest_count = 0;  ///< Serving processes.
  TimeMs largest_count_at = 0;
  TimeMs announced_at = 0;
  /// Second of the last deviations that were logged, and their number.
  TimeMs deviation_second = 0;
  int deviations = 0;
};

}  // namespace limpethaven
