/// @file
/// Placement over all VMs: hosts the cells that this process owns, and asks the
/// owners of others.
///
/// A cell's owner is the first of the serving members in rendezvous order. One
/// that does not answer is passed over for the next, and at last this process
/// schedules by itself: two owners, or none, cost goodput and never
/// correctness, since engines refuse what they cannot hold.
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

/// A placement, the cell it is of, and who made it.
struct CellPlacement {
  std::string cell;
  std::string owner;  ///< Address of the process that placed it.
  Placement placement;
};

/// Ends a run at an engine for a cell's owner.
class RunCanceller {
 public:
  virtual ~RunCanceller() = default;
  /// Asks an engine to end a run. @returns whether it agreed, or no longer
  /// knows it.
  virtual Task<bool> Cancel(CancelCommand command) = 0;
};

/// Placement of one process.
class CellExchange {
 public:
  CellExchange(PeerLink& peer_link, const Gossip& peer_gossip,
               std::string own_data_centre, CellSettings cell_settings);

  /// Sets who ends runs at engines; without one their connections do.
  void SetCanceller(RunCanceller* run_canceller);
  /// Sets the cells of all pools.
  void Configure(std::vector<CellSpec> next);
  /// Asks for a placement, until `cancel` is requested.
  Task<Result<CellPlacement>> Place(std::string pool, PlacementRequest request,
                                    Cancellation& cancel);
  /// Tells the owner of a reservation what came of it; sent with the next tick.
  void QueueNotice(const std::string& owner, CellNotice notice);
  /// A reservation is used; it is renewed until `Release`.
  void Hold(const CellPlacement& placed, const Renewal& renewal);
  /// Tokens produced so far under a reservation.
  void SetProduced(const std::string& reservation, Tokens produced);
  void Release(const std::string& reservation);
  void Tick(TimeMs now);
  /// Cells that this process owns by its view of the members.
  [[nodiscard]] std::vector<CellSpec> OwnedCells() const;
  /// Takes in an engine's report; null when it did not answer.
  void OnEngineReport(const std::string& cell, const std::string& engine,
                      const EngineLoad* load);
  void OnCacheEvents(const std::string& cell, const std::string& engine,
                     const std::vector<CacheEvent>& events);
  /// Cells hosted here, for operators.
  [[nodiscard]] std::vector<std::pair<std::string, std::vector<EngineView>>>
  HostedCells(TimeMs now) const;
  [[nodiscard]] std::size_t QueueLength() const;
  /// Reservations that requests served here use.
  [[nodiscard]] std::size_t HeldReservations() const noexcept;

 private:
  /// An answer and who gave it.
  struct Placed {
    std::string owner;
    PlaceAnswer answer;
  };
  /// What the owner of another cell said of it.
  struct LoadRow {
    CellLoad load;
    TimeMs heard_at = 0;
  };
  struct Waiting {
    explicit Waiting(Loop& loop) : decided(loop) {}
    Notifier decided;
    std::optional<Result<Placement>> decision;
  };
  struct HostedCell {
    HostedCell(const std::string& name, const std::string& owner,
               const CellSettings& settings)
        : scheduler(name, owner, settings) {}
    CellScheduler scheduler;
    std::unordered_map<std::string, Waiting*> waiting;  ///< By request.
    bool ticking = false;
  };
  struct HeldRow {
    std::string cell;
    std::string owner;
    Renewal renewal;
  };
  /// How well an owner has answered.
  struct OwnerRow {
    TimeMs avoid_until = 0;
  };

  [[nodiscard]] std::vector<std::string> OwnersOf(const CellSpec& cell) const;
  [[nodiscard]] const CellSpec* FindCell(std::string_view name) const;
  /// Cell of a pool that requests from here go to first; empty without one.
  [[nodiscard]] std::string HomeCell(std::string_view pool) const;
  /// Another cell of the same pool that has room; empty without one.
  [[nodiscard]] std::string RoomierCell(const CellSpec& cell, Tokens tokens,
                                        TimeMs now);
  HostedCell& Host(const CellSpec& cell);
  /// Asks the owners of a cell in turn, and schedules here when none answers.
  Task<Result<Placed>> PlaceIn(const CellSpec& cell, PlacementRequest request,
                               bool may_move, Cancellation& cancel);
  /// @param call The peer's call that waits for this; null for own requests.
  Task<Result<PlaceAnswer>> PlaceHere(const CellSpec& cell, PlaceAsk ask,
                                      Cancellation& cancel, PeerCall* call);
  Task<Result<PlaceAnswer>> Ask(std::string owner, PlaceAsk ask,
                                Cancellation& cancel);
  Task<Result<std::string>> AnswerPlace(PeerCall& call);
  Task<Result<std::string>> AnswerNews(PeerCall& call);
  void Take(const CellReport& report);
  void RunTick(HostedCell& cell, TimeMs now);
  void Cancel(HostedCell& cell, const CancelCommand& command);
  void Flush(TimeMs now, bool renew);
  /// Tells the owners of neighbouring cells how much room there is here.
  void TellLoads(TimeMs now);

  PeerLink& link;
  const Gossip& gossip;
  std::string data_centre;
  CellSettings settings;
  RunCanceller* canceller = nullptr;
  std::vector<CellSpec> cells;
  std::map<std::string, std::unique_ptr<HostedCell>, std::less<>> hosted;
  std::unordered_map<std::string, HeldRow> held;       ///< By reservation.
  std::unordered_map<std::string, CellReport> outbox;  ///< By owner.
  std::unordered_map<std::string, OwnerRow> owners;
  std::unordered_map<std::string, LoadRow> loads;  ///< Of other cells.
  TimeMs next_renewal = 0;
  TimeMs next_loads = 0;
};

}  // namespace limpethaven
