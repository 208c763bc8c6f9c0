/// @file
/// One entry process: its parts wired together, its servers and its life.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "log/event_log.h"
#include "net/http_server.h"
#include "node/admin_api.h"
#include "node/engine_watcher.h"
#include "node/published_state.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"
#include "peer/share_exchange.h"
#include "router/metrics.h"
#include "router/router.h"

namespace limpethaven {

/// Settings of an entry process.
struct NodeSettings {
  std::string vm;  ///< Name in logs.
  std::string ip;
  std::string data_centre;
  std::string callers_address;    ///< `IP:port` that serves callers.
  std::string ready_address;      ///< Readiness; empty: not served apart.
  std::string discovery_address;  ///< Questions for addresses; empty: none.
  std::string admin_address;      ///< Metrics and health; empty: none.
  bool admin_read_only = false;   ///< No orders there, such as a drain.
  std::int64_t cpu_millicores =
      1000;  ///< Processor share, thousandths of a core.
  int peer_port = 0;
  std::vector<std::string> seeds;  ///< IP numbers of VMs to ask first.
  std::string fleet_secret;
  std::string tls_certificate;  ///< PEM chain for callers; empty: no TLS.
  std::string tls_key;
  DurationMs address_ttl_ms = 2000;  ///< Callers keep an answer this long.
  /// Some callers keep an answer this many times as long.
  std::int64_t max_answer_age_ttls = 3;
  DurationMs shutdown_timeout_ms =
      7500;  ///< Longest time from a stop signal to the end.
  /// Before a process that has just started serves: peers may know a newer
  /// configuration than the source.
  DurationMs startup_delay_ms = 0;
  bool abort_withdrawn_keys =
      false;  ///< Streams of withdrawn keys are cut too.
  LimitTolerance tolerance;
  DurationMs token_wait_ms = 0;  ///< Longest wait for tokens before a refusal.
  RouterSettings router;
  CellSettings cells;
  std::size_t cell_size = 64;  ///< Engines in one cell at most.
  WatcherSettings watcher;
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
  [[nodiscard]] virtual bool IsAddressRequest(
      const RequestHead& head) const = 0;
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
class EntryNode final : public GossipListener, public StateListener {
 public:
  EntryNode(Loop& event_loop, NodeSettings node_settings,
            NodeDialects node_dialects);
  ~EntryNode() override;

  /// Answers callers by this instead of the router.
  void SetCallerHandler(ExchangeHandler handler);
  /// Called with each tick.
  void SetTickHandler(std::function<void(TimeMs)> callback);
  /// Binds every address and starts. @returns what could not be had.
  [[nodiscard]] Result<void> Start(Source& source);
  /// Graceful stop; the loop is stopped at its end. A second call hurries.
  void Drain();
  /// Closes every socket at once, as the end of the process would.
  void CloseSockets();
  /// Takes settings that may change while it runs.
  void Reconfigure(const NodeSettings& next);

  /// Whether it serves callers, leaving or not.
  [[nodiscard]] bool Serves() const;
  /// Whether callers should come here.
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] bool Leaving() const noexcept;
  [[nodiscard]] std::string MetricsText();
  [[nodiscard]] std::uint64_t ConfigVersion() const;
  /// Whether so many processes serve, this one included.
  [[nodiscard]] bool HasServingMembers(std::size_t count) const;
  /// Tokens that a team has here.
  [[nodiscard]] Tokens AvailableTokens(std::string_view team);
  /// Tokens that peers have lent to this process since its start.
  [[nodiscard]] Tokens BorrowedTokens() const noexcept;
  /// Takes a configuration that somebody else has read from the source; an
  /// older one than that in force is ignored.
  void ApplyConfiguration(const Configuration& next);

  void OnPeerNews(const std::string& address, std::uint64_t version,
                  std::uint64_t endpoints_revision) override;
  void OnMemberChange(const MemberChange& change) override;
  void OnPause() override;
  void OnConfig(const std::shared_ptr<const Configuration>& config) override;
  void OnEndpoints() override;
  void OnListedVms(const std::vector<ListedVm>& vms) override;

 private:
  friend class AdminApi;
  friend class CallerApi;

  Task<> AnswerCaller(Exchange& exchange);
  Task<> AnswerReady(Exchange& exchange);
  Task<> AnswerAddresses(Exchange& exchange);
  Task<> Tick();
  void TickDrain(TimeMs now);
  /// Tells the peers, at once, when this process begins or ceases to serve.
  void NoteReadiness();
  void ConfigureCells();
  /// Addresses that callers in a data centre should use.
  [[nodiscard]] std::vector<std::string> AddressesFor(
      std::string_view data_centre) const;

  Loop& loop;
  NodeSettings settings;
  NodeDialects dialects;
  PeerIdentity identity;
  Metrics metrics;
  ConnectionPool pool;
  EndpointTable table;
  Gossip gossip;
  PeerLink link;
  ShareExchange shares;
  CellExchange cells;
  PublishedState state;
  Router router;
  EngineWatcher watcher;
  AdminApi admin_api;
  ExchangeHandler caller_handler;
  std::function<void(TimeMs)> on_tick;
  HttpServer callers;
  HttpServer ready;
  HttpServer addresses;
  HttpServer admin;
  TimeMs started_at = 0;
  TimeMs config_at = 0;      ///< When the configuration was adopted.
  TimeMs endpoints_at = 0;   ///< When news of endpoints last came.
  bool cells_stale = false;  ///< Endpoints changed since cells were built.
  bool was_ready = false;
  bool leaving = false;
  bool hurry = false;
  bool idle_closed = false;
  TimeMs left_at = 0;
};

}  // namespace limpethaven
