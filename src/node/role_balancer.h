/// @file
/// Orders the engines of the cells that this process schedules to change their
/// roles, so that the split into prefill and decode follows the demand.
///
/// `RolePlanner` decides which engine changes, `OrderLease` whether this
/// process may send orders. While a split deviates, the process calls all
/// members several times a second to know which of them it reaches; at other
/// times it makes no calls.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "limpethaven/endpoint_table.h"
#include "limpethaven/order_lease.h"
#include "limpethaven/role_planner.h"
#include "node/published_state.h"
#include "peer/cell_exchange.h"
#include "router/dialect.h"
#include "router/metrics.h"

namespace limpethaven {

/// Components that the balancer uses; they outlive it.
struct RoleBalancerParts {
  Loop& loop;
  const EndpointDialect& dialect;
  const EndpointTable& endpoints;
  PeerLink& link;
  const Gossip& gossip;
  CellExchange& cells;
  const PublishedState& state;
  Metrics& metrics;
};

/// Balances the roles of the engines in owned cells.
class RoleBalancer {
 public:
  explicit RoleBalancer(RoleBalancerParts balancer_parts);

  /// Updates leases and splits, and sends an order where one is due. Call it
  /// every 100 ms: calls that are a second apart count as a pause.
  void Tick(TimeMs now);
  /// Starts the wait of all leases anew after a pause of this process.
  void OnPause();
  /// Ends all ordering, as the end of the process would.
  void Stop() noexcept;
  /// Sum of the splits of the cells that this process owns.
  [[nodiscard]] RoleSplit Split() const;
  /// Number of leases that are held.
  [[nodiscard]] std::size_t HeldLeases(TimeMs now) const;

 private:
  /// A cell that this process owns, or has owned.
  struct CellRow {
    CellRow(std::uint32_t holder, const RolePlannerSettings& settings)
        : lease(holder), planner(settings) {}
    OrderLease lease;
    RolePlanner planner;
    DurationMs role_change_ms = 0;
    bool owned = false;
    /// State of the lease at the last tick.
    OrderLeaseState lease_state = OrderLeaseState::kNotOwner;
    TimeMs next_plan_at = 0;
    /// Until then the members are called to hold the lease.
    TimeMs lease_wanted_until = 0;
  };
  /// A member's answer to a call.
  struct Contact {
    TimeMs sent_at = 0;                 ///< When the call was sent.
    std::optional<ProcessStart> start;  ///< Of the member.
  };
  /// An order and its token, decided at `decided_at`.
  struct PendingOrder {
    std::string cell;
    RoleOrder order;
    OrderToken token;
    TimeMs decided_at = 0;
  };
  /// What is known after an order was sent, or could not be.
  struct OrderResult {
    RoleOrderOutcome outcome = RoleOrderOutcome::kRefused;
    bool sent = false;
    int status = 0;   ///< 0 without an answer.
    std::string why;  ///< Why it was not sent or not answered.
  };

  /// Change time of a cell's engines; 0 where their roles are not balanced.
  [[nodiscard]] DurationMs RoleChangeMsOf(const CellSpec& cell) const;
  void TickCell(const CellSpec& cell, DurationMs role_change_ms, TimeMs now);
  /// Updates the planner from the cell's scheduler.
  void UpdatePlanner(const CellSpec& cell, CellRow& row, TimeMs now);
  /// Updates the lease and logs when it is gained or lost.
  void UpdateLease(const CellSpec& cell, CellRow& row, TimeMs now);
  /// Passes the terms of all cells of the pool to the lease.
  void HearTerms(const CellSpec& cell, CellRow& row, TimeMs now);
  /// Calls the members whose turn it is, if a split of an owned cell deviates.
  void CallMembers(TimeMs now);
  /// Tells a member the order marks of the owned cells, and hears its marks.
  Task<> CallMember(std::string address);
  Task<Result<std::string>> AnswerContact(PeerCall& call);
  /// Members that answered a call which was sent within the life of a contact,
  /// and this process.
  [[nodiscard]] std::size_t ReachedMembers(TimeMs now) const;
  /// Those of the reached members, this process included, that remember every
  /// term which may equal the present revision: they have started at a lower
  /// one, or so long ago that each order sent before would have changed it.
  [[nodiscard]] std::size_t RememberingMembers(DurationMs role_change_ms,
                                               TimeMs now) const;
  [[nodiscard]] OrderLeaseInput LeaseInput(const CellRow& row,
                                           TimeMs now) const;
  /// Why no order may be sent to an engine of the cell now; empty if one may.
  [[nodiscard]] std::string Obstacle(const CellRow& row, TimeMs now) const;
  Task<> CarryOut(PendingOrder pending);
  Task<OrderResult> Send(const PendingOrder& pending);
  /// Why an order that was decided earlier must not be sent any more; empty if
  /// it may.
  [[nodiscard]] std::string LateObstacle(const PendingOrder& pending,
                                         const std::string& address);

  RoleBalancerParts parts;
  std::uint32_t holder;
  std::map<std::string, CellRow, std::less<>> rows;  ///< Keyed by cell.
  /// Last answered calls to members, keyed by address.
  std::unordered_map<std::string, Contact> contacts;
  std::size_t call_slice = 0;  ///< Part of the members to call next.
  /// When the cells are checked next that this process does not own.
  TimeMs next_owner_check = 0;
  bool stopped = false;
};

}  // namespace limpethaven
