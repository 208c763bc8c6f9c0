/// @file
/// Placement of requests over all VMs: hosts the schedulers of the cells that
/// this process owns, and calls the owners of other cells.
///
/// The owner of a cell is chosen by `CellDirectory`. An owner that does not
/// answer is put in a hold-down and the next one is called. At most two owners
/// are tried for a request; then this process schedules the cell itself. A cell
/// that has two owners or none for a while loses goodput but not correctness,
/// because engines refuse requests that exceed their memory.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/cells.h"
#include "peer/cell_directory.h"
#include "peer/cell_loads.h"
#include "peer/cell_messages.h"
#include "peer/cell_outbox.h"
#include "peer/gossip.h"
#include "peer/held_reservations.h"
#include "peer/hosted_cell.h"
#include "peer/named_limits.h"
#include "peer/order_marks.h"
#include "peer/peer_link.h"

namespace limpethaven {

/// A placement with its cell and the process that made it.
struct CellPlacement {
  std::string cell;
  std::string owner;  ///< Address of the process that made the placement.
  Placement placement;
};

/// Cancels runs on engines on behalf of a cell's scheduler.
class RunCanceller {
 public:
  virtual ~RunCanceller() = default;
  /// Asks an engine to cancel a run. @returns false when the call failed and
  /// should be repeated; true when the engine responded with any status or no
  /// call is needed.
  virtual Task<bool> Cancel(CancelCommand command) = 0;
};

/// Placement of one process's requests, and the cells that it hosts.
class CellExchange {
 public:
  CellExchange(PeerLink& peer_link, const Gossip& peer_gossip,
               std::string local_data_centre, CellSettings cell_settings);

  /// Sets the object that cancels runs on engines. Without one, a run ends when
  /// the connection of its stream does. `run_canceller` must outlive this
  /// object.
  void SetCanceller(RunCanceller* run_canceller);
  /// Sets the cells of all pools. Engines may have moved from one cell to
  /// another: the reservations on them are renewed with the owners of their new
  /// cells at once.
  void Configure(std::vector<CellSpec> next);
  /// Places a request in a cell of `pool`. A request on `cancel` ends the wait
  /// for the placement. The error is `kNoEndpoint` when this process has no
  /// cell of the pool in its configuration and `kCapacity` when no placement
  /// was made in time; otherwise it is the scheduler's refusal or an error of
  /// the call to the owner. A cancelled call returns an error of any kind.
  Task<Result<CellPlacement>> Place(std::string pool, PlacementRequest request,
                                    Cancellation& cancel);
  /// Queues a notice, which the next `Tick` sends. A notice on a held
  /// reservation goes to the present owner of its engine's cell, whatever
  /// `owner` and the notice's cell are. An empty `owner` stands for the present
  /// owner of the notice's cell. A limit that an engine names is also sent to
  /// later owners of the cell.
  void QueueNotice(const std::string& owner, CellNotice notice);
  /// Renews a reservation periodically until `Release`. The present owner of
  /// the cell receives the renewals.
  void Hold(const CellPlacement& placed, const Renewal& renewal);
  /// Sets the tokens produced so far under a reservation.
  void SetProduced(const std::string& reservation, Tokens produced);
  /// Stops the renewals of a reservation. Its end is reported by a notice, see
  /// `QueueNotice`.
  void Release(const std::string& reservation);
  /// Sends renewals, loads and queued notices when they are due, and runs the
  /// schedulers of the hosted cells.
  void Tick(TimeMs now);
  /// Cells that this process owns by its view of the members.
  [[nodiscard]] std::vector<CellSpec> OwnedCells() const;
  /// Passes an engine's report to its cell's scheduler. `load` is null when the
  /// engine did not answer, which counts as a failure of the engine.
  void OnEngineReport(const std::string& cell, const std::string& engine,
                      const EngineLoad* load);
  /// Passes an engine's cache events to its cell's scheduler.
  void OnCacheEvents(const std::string& cell, const std::string& engine,
                     const std::vector<CacheEvent>& events);
  /// The configured cells and their owners.
  [[nodiscard]] const CellDirectory& Directory() const noexcept;
  /// Scheduler of a cell that is hosted here; null when it is not.
  [[nodiscard]] CellScheduler* SchedulerOf(std::string_view cell);
  /// Order marks of the cells.
  [[nodiscard]] OrderMarks& Marks() noexcept;
  /// Engines of each cell that is hosted here, for operators.
  [[nodiscard]] std::vector<std::pair<std::string, std::vector<EngineView>>>
  HostedCells(TimeMs now) const;
  /// Requests that wait in the queues of all hosted cells.
  [[nodiscard]] std::size_t QueueLength() const;
  /// Decisions of all schedulers of this process since its start.
  [[nodiscard]] const PlacementCounts& DecisionCounts() const noexcept;
  /// Number of reservations between `Hold` and `Release`.
  [[nodiscard]] std::size_t HeldReservations() const;

 private:
  /// A cell's answer and the address of the process that gave it.
  struct OwnerAnswer {
    std::string owner;
    CellPlacementAnswer cell_answer;
  };
  /// Moves held reservations to the cells that their engines belong to now.
  void MoveReservations();
  /// Ends the scheduling of a hosted cell that is no longer configured.
  void CloseCell(HostedCell& host, TimeMs now);
  /// Sets the order and refusal rules of a hosted cell.
  void SetRules(HostedCell& host, const CellSpec& cell) const;
  /// The hosted cell of this name, created when it is not hosted yet.
  HostedCell& HostCell(const CellSpec& cell);
  /// Calls the owners of a cell in turn, and schedules locally when none
  /// answers or this process is the owner.
  Task<Result<OwnerAnswer>> PlaceInCell(const CellSpec& cell,
                                        PlacementRequest request,
                                        bool may_redirect,
                                        Cancellation& cancel);
  /// Places a request with this process's scheduler of the cell.
  /// @param call The peer's call that waits for the answer; null for a request
  /// of this process.
  Task<Result<CellPlacementAnswer>> PlaceLocally(const CellSpec& cell,
                                                 CellPlacementRequest message,
                                                 Cancellation& cancel,
                                                 PeerCall* call);
  Task<Result<std::string>> AnswerPlace(PeerCall& call);
  Task<Result<std::string>> AnswerReport(PeerCall& call);
  void ApplyReport(const CellReport& report);
  /// Runs a cell's scheduler and carries out its commands.
  void RunScheduler(HostedCell& cell, TimeMs now);
  void CancelRun(HostedCell& cell, const CancelCommand& command);
  /// Sends the queued reports to their owners.
  /// @param renew Whether to add the renewals of all held reservations.
  void FlushOutbox(TimeMs now, bool renew);
  /// Queues the loads of the owned cells for the owners of the other cells of
  /// the same pool.
  void QueueLoads(TimeMs now);

  PeerLink& link;
  const Gossip& gossip;
  CellDirectory directory;
  CellSettings settings;
  RunCanceller* canceller = nullptr;
  std::map<std::string, std::unique_ptr<HostedCell>, std::less<>> hosted;
  limpethaven::HeldReservations held;
  CellOutbox outbox;
  /// Loads of the cells that other processes own.
  CellLoads loads;
  NamedLimits named_limits;
  OrderMarks marks;
  /// Cell of each engine, keyed by engine id.
  std::unordered_map<std::string, std::string> cell_of_engine;
  PlacementCounts decisions;
  TimeMs next_renewal = 0;
  TimeMs next_loads = 0;
};

}  // namespace limpethaven
