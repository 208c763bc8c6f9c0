/// @file
/// Hosts the schedulers of the cells this process owns, and reaches the owners
/// of others.
#pragma once

#include <condition_variable>
#include <deque>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "edge/periodic.h"
#include "entry/gossip_service.h"
#include "entry/peer_messages.h"
#include "limpethaven/cells.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// A placement and the cell that made it.
struct PlacedRequest {
  std::string cell;
  Placement placement;
};

/// Cells of one process. Thread safe.
class CellService {
 public:
  CellService(PeerTransport& peer_transport, GossipService& gossip_service,
              EngineClient& engine_client, const Clock& system_clock,
              std::size_t engines_per_cell);
  ~CellService();
  CellService(const CellService&) = delete;
  CellService& operator=(const CellService&) = delete;

  void Start();
  void Stop();
  void Configure(const Configuration& config);

  /// Asks the owner of a cell of the model for a placement; waits for its
  /// decision.
  [[nodiscard]] Result<PlacedRequest> Place(std::string_view model,
                                            const PlacementRequest& request);
  /// Tells the owner of a cell; repeated until it is told. Renewals are not
  /// repeated.
  void Notify(CellNotice notice);
  /// Frees a request on an engine in the background, repeating until the engine
  /// agrees.
  void CancelOnEngine(CancelCommand command);

  [[nodiscard]] Result<std::string> AnswerPlace(const std::string& body);
  [[nodiscard]] Result<std::string> AnswerNotices(const std::string& body);
  /// State of the hosted cells as JSON, for operators.
  [[nodiscard]] nlohmann::json Describe();

 private:
  struct HostedCell;
  struct Outgoing {
    CellNotice notice;
    std::int64_t tries = 0;
  };

  [[nodiscard]] std::vector<std::string> OwnerOrder(const CellSpec& cell) const;
  [[nodiscard]] std::optional<CellSpec> FindCell(std::string_view name) const;
  [[nodiscard]] std::vector<CellSpec> CellsFor(std::string_view model,
                                               std::uint64_t prefix) const;
  [[nodiscard]] Result<Placement> PlaceAtOwner(const CellSpec& cell,
                                               const PlacementRequest& request);
  [[nodiscard]] Result<Placement> PlaceHere(const CellSpec& cell,
                                            PlacementRequest request);
  [[nodiscard]] std::shared_ptr<HostedCell> Host(const CellSpec& cell);
  void Apply(const CellNotice& notice);
  void RunTick(HostedCell& cell);
  void TickAll();
  void FlushNotices();
  /// Hosts every cell that this process owns by its view of the members.
  void HostOwned();
  void PollAll();
  void Poll(HostedCell& cell, const CellSpec& spec);
  void CancelLoop();
  [[nodiscard]] std::vector<std::shared_ptr<HostedCell>> Hosted() const;

  PeerTransport& peers;
  GossipService& gossip;
  EngineClient& engines;
  const Clock& clock;
  std::size_t cell_size;

  mutable std::mutex mutex;
  std::vector<CellSpec> cells;
  // Shared by the table and by calls that wait for a decision.
  std::map<std::string, std::shared_ptr<HostedCell>, std::less<>> hosted;

  std::mutex outbox_mutex;
  std::deque<Outgoing> outbox;

  std::mutex cancel_mutex;
  std::condition_variable cancel_wake;
  std::deque<CancelCommand> cancels;
  bool stopping = false;
  std::vector<std::thread> cancel_workers;

  Periodic ticker;
  Periodic sender;
  Periodic poller;
};

}  // namespace limpethaven
