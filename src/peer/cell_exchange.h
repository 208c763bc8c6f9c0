/// @file
/// Placement of requests over all VMs: hosts the schedulers of the cells that
/// this process owns, and calls the owners of other cells.
///
/// The owner of a cell is the first eligible serving member in rendezvous
/// order. Eligible are the members in the cell's data centre, or all members if
/// that has none, that have at least half of the largest CPU share among them
/// and are not in a hold-down. An owner that does not answer is put in a
/// hold-down and the next one is called. At most two owners are tried for a
/// request; then this process schedules the cell itself. A cell that has two
/// owners or none for a while loses goodput but not correctness, because
/// engines refuse requests that exceed their memory.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/cells.h"
#include "net/notifier.h"
#include "peer/cell_messages.h"
#include "peer/gossip.h"
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
  /// Engines of each cell that is hosted here, for operators.
  [[nodiscard]] std::vector<std::pair<std::string, std::vector<EngineView>>>
  HostedCells(TimeMs now) const;
  /// Requests that wait in the queues of all hosted cells.
  [[nodiscard]] std::size_t QueueLength() const;
  /// Placements made and requests refused by the schedulers of this process,
  /// since its start.
  struct Decisions {
    std::uint64_t placed_on_time = 0;
    std::uint64_t placed_late = 0;
    std::uint64_t refused = 0;
  };
  [[nodiscard]] const Decisions& DecisionCounts() const noexcept;
  /// Number of reservations between `Hold` and `Release`.
  [[nodiscard]] std::size_t HeldReservations() const;

 private:
  /// A cell's answer and the address of the process that gave it.
  struct OwnerAnswer {
    std::string owner;
    CellPlacementAnswer cell_answer;
  };
  /// Load of a cell that another process owns.
  struct RemoteLoad {
    CellLoad load;
    TimeMs received_at = 0;
  };
  /// A request that was submitted to a hosted cell's scheduler.
  struct PendingPlacement {
    explicit PendingPlacement(Loop& loop) : decided(loop) {}
    Notifier decided;
    std::optional<Result<Placement>> decision;
    /// Whether the cell is no longer among those of this process, so that the
    /// request must be placed in another one.
    bool cell_gone = false;
  };
  /// A cell whose scheduler runs in this process.
  struct HostedCell {
    /// @param owner_id Unique id of the scheduler, made of the address and
    /// incarnation of this process and the cell's name.
    HostedCell(const std::string& name, const std::string& owner_id,
               const CellSettings& settings)
        : scheduler(name, owner_id, settings) {}
    CellScheduler scheduler;
    /// Keyed by request id.
    std::unordered_map<std::string, PendingPlacement*> pending;
    bool ticking = false;
  };
  /// A reservation to renew with the present owner of its cell.
  struct HeldReservation {
    std::string cell;
    std::string owner;
    Renewal renewal;
    /// When `Release` was called; the row stays until the owner is told of the
    /// end.
    std::optional<TimeMs> released_at;
  };
  /// Limits that this process has reported for the engines of a cell, keyed by
  /// engine.
  struct ReportedLimits {
    std::string owner;  ///< Owner that they were reported to last.
    struct Limit {
      double max_per_s = 0;
      TimeMs reported_at = 0;
    };
    std::map<std::string, Limit> engines;
  };
  /// Hold-down of an owner that did not answer.
  struct OwnerState {
    TimeMs hold_down_until = 0;
  };

  /// Addresses of the first two eligible owners of a cell, in rendezvous order.
  /// They may include this process.
  [[nodiscard]] std::vector<std::string> OwnersOf(const CellSpec& cell) const;
  [[nodiscard]] const CellSpec* FindCell(std::string_view name) const;
  /// Cell of a pool that this process sends its requests to first; empty when
  /// the pool has no cell.
  [[nodiscard]] std::string HomeCell(std::string_view pool) const;
  /// The cell of the same pool with the most headroom, to redirect a request
  /// to; empty when none has enough. Subtracts `tokens` from the headroom of
  /// the cell that it returns.
  [[nodiscard]] std::string RedirectCell(const CellSpec& cell, Tokens tokens,
                                         TimeMs now);
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
  /// Calls an owner for a placement. The error is `kEndpointFailed` when it
  /// does not answer in time or its answer is malformed; otherwise it is an
  /// error of `PeerLink::CallLong`.
  Task<Result<CellPlacementAnswer>> CallOwner(std::string owner,
                                              CellPlacementRequest message,
                                              Cancellation& cancel);
  Task<Result<std::string>> AnswerPlace(PeerCall& call);
  Task<Result<std::string>> AnswerReport(PeerCall& call);
  void ApplyReport(const CellReport& report);
  void ApplyNotice(HostedCell& host, const CellNotice& notice, TimeMs now);
  /// Runs a cell's scheduler and carries out its commands.
  void RunScheduler(HostedCell& cell, TimeMs now);
  void CancelRun(HostedCell& cell, const CancelCommand& command);
  /// Sends the queued reports to their owners.
  /// @param renew Whether to add the renewals of all held reservations.
  void FlushOutbox(TimeMs now, bool renew);
  /// Limits that the engines of a cell have named, if this owner has not had
  /// them from this process yet: it may have taken over the cell without
  /// knowing them.
  [[nodiscard]] std::vector<EngineLimit> LimitsFor(const std::string& cell,
                                                   const std::string& owner);
  /// Queues the loads of the owned cells for the owners of the other cells of
  /// the same pool.
  void QueueLoads(TimeMs now);

  PeerLink& link;
  const Gossip& gossip;
  std::string data_centre;
  CellSettings settings;
  RunCanceller* canceller = nullptr;
  std::vector<CellSpec> cells;
  std::map<std::string, std::unique_ptr<HostedCell>, std::less<>> hosted;
  /// Keyed by reservation id.
  std::unordered_map<std::string, HeldReservation> held;
  /// Reports to send, keyed by the owner's address.
  std::unordered_map<std::string, CellReport> outbox;
  /// Keyed by address.
  std::unordered_map<std::string, OwnerState> owners;
  /// Loads of cells that other processes own, keyed by cell name.
  std::unordered_map<std::string, RemoteLoad> loads;
  std::map<std::string, ReportedLimits> reported_limits;  ///< Keyed by cell.
  /// Cell of each engine, keyed by engine id.
  std::unordered_map<std::string, std::string> cell_of_engine;
  Decisions decisions;
  TimeMs next_renewal = 0;
  TimeMs next_loads = 0;
};

}  // namespace limpethaven
