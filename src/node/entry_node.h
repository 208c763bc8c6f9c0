/// @file
/// One entry process: its parts wired together, its servers and its life.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "log/event_log.h"
#include "net/http_server.h"
#include "node/published_state.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"
#include "peer/share_exchange.h"
#include "router/router.h"

namespace limpethaven {

/// Settings of an entry process.
struct NodeSettings {
  std::string vm;  ///< Name in logs.
  std::string ip;
  std::string data_centre;
  std::string callers_address;    ///< `IP:port` that serves callers.
  std::string ready_address;      ///< Readiness; empty: not served apart.
  std::string addresses_address;  ///< Callers' questions for addresses.
  std::int64_t strength = 1000;   ///< Processor share, thousandths of a core.
  int peer_port = 0;
  std::vector<std::string> seeds;  ///< IP numbers of VMs to ask first.
  std::string fleet_secret;
  DurationMs address_ttl_ms = 2000;  ///< Callers keep an answer this long.
  /// Some callers keep an answer this many times as long.
  std::int64_t stale_answers = 3;
  DurationMs stop_ms = 7500;  ///< Longest time from a stop signal to the end.
  LimitTolerance tolerance;
  RetrySettings retries;
  CellSettings cells;
  std::size_t cell_size = 64;  ///< Engines in one cell at most.
};

/// What an address is answered with.
struct AddressAnswer {
  ResponseHead head;
  std::string body;
};

/// How callers ask for addresses and the platform for readiness.
class AddressDialect {
 public:
  virtual ~AddressDialect() = default;
  /// Whether this is a question for addresses.
  [[nodiscard]] virtual bool Asks(const RequestHead& head) const = 0;
  /// Data centre that the caller names; empty when it does not.
  [[nodiscard]] virtual std::string CallerDataCentre(
      const RequestHead& head) const = 0;
  [[nodiscard]] virtual AddressAnswer Answer(
      const std::vector<std::string>& addresses, DurationMs ttl_ms) const = 0;
};

/// How the outside speaks with this process.
struct NodeDialects {
  std::unique_ptr<CallerDialect> callers;
  std::unique_ptr<EndpointDialect> endpoints;
  std::unique_ptr<AddressDialect> addresses;
};

/// Everything that one entry process holds. Single threaded.
class EntryNode2 final : public GossipListener, public StateListener {
 public:
  EntryNode2(Loop& event_loop, NodeSettings node_settings,
             NodeDialects node_dialects);
  ~EntryNode2() override;

  /// Binds every address and starts. @returns what could not be had.
  [[nodiscard]] Result<void> Start(Source& source);
  /// Graceful stop; the loop is stopped at its end. A second call hurries.
  void Drain();
  /// Takes settings that may change while it runs.
  void Reconfigure(const NodeSettings& next);

  void OnPeerVersion(const std::string& address,
                     std::uint64_t version) override;
  void OnMemberChange(const MemberChange& change) override;
  void OnPause() override;
  void OnConfig(const std::shared_ptr<const Configuration>& config) override;
  void OnEndpoints() override;

 private:
  Task<> AnswerReady(Exchange& exchange);
  Task<> AnswerAddresses(Exchange& exchange);
  Task<> Tick();
  void TickDrain(TimeMs now);
  void ConfigureCells();
  [[nodiscard]] bool Ready() const;
  /// Addresses that callers in a data centre should use.
  [[nodiscard]] std::vector<std::string> AddressesFor(
      std::string_view data_centre) const;

  Loop& loop;
  NodeSettings settings;
  NodeDialects dialects;
  PeerIdentity identity;
  ConnectionPool pool;
  EndpointTable table;
  Gossip gossip;
  PeerLink link;
  ShareExchange shares;
  CellExchange cells;
  PublishedState state;
  Router router;
  HttpServer2 callers;
  HttpServer2 ready;
  HttpServer2 addresses;
  bool leaving = false;
  bool hurry = false;
  bool idle_closed = false;
  TimeMs left_at = 0;
};

}  // namespace limpethaven
