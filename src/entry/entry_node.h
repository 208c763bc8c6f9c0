/// @file
/// One entry process: its services wired together, its servers and its life
/// cycle.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "edge/engine_client.h"
#include "edge/http_server.h"
#include "edge/peer_transport.h"
#include "edge/periodic.h"
#include "edge/platform_client.h"
#include "edge/service_client.h"
#include "entry/active_requests.h"
#include "entry/cell_service.h"
#include "entry/completion_session.h"
#include "entry/config_service.h"
#include "entry/departures.h"
#include "entry/entry_settings.h"
#include "entry/gossip_service.h"
#include "entry/metrics.h"
#include "entry/service_router.h"
#include "entry/share_service.h"

namespace limpethaven {

/// Everything one entry process holds. `CallerApi` and `AdminApi` serve it.
class EntryNode {
 public:
  explicit EntryNode(EntrySettings entry_settings);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Starts every service and waits until a configuration is in force or
  /// `ready_wait_ms` passes.
  [[nodiscard]] Result<void> Start(DurationMs ready_wait_ms);
  /// Graceful stop: announces leaving, waits for callers to learn of it,
  /// finishes open requests.
  void Drain(const std::function<bool()>& hurry);
  void Stop();

  [[nodiscard]] bool Ready() const;
  [[nodiscard]] bool Leaving() const noexcept;
  /// Begins to leave without waiting.
  void BeginLeaving();

  EntrySettings settings;
  SystemClock clock;
  VmId self;
  EntryMetrics metrics;
  HttpPeerTransport transport;
  HttpPlatform platform;
  HttpEngineClient engines;
  HttpServiceClient services;
  ActiveRequests active;
  std::unique_ptr<GossipService> gossip;
  std::unique_ptr<ShareService> shares;
  std::unique_ptr<CellService> cells;
  std::unique_ptr<Departures> departures;
  std::unique_ptr<ServiceRouter> router;
  std::unique_ptr<ConfigService> config;
  std::mutex retry_mutex;
  RetryBudget retry_budget;
  std::unique_ptr<SessionContext> session_context;

 private:
  void AddPeerHandlers();
  void OnConfig(const Configuration& configuration);
  void ReadVmList();
  void RenewReservations();
  void AskSeeds();

  std::atomic<bool> leaving = false;
  std::atomic<bool> seeds_asked = false;
  Periodic vm_reader;
  Periodic renewer;
};

}  // namespace limpethaven
