/// @file
/// Assembly of an entry process: its components, HTTP servers, start-up and
/// shutdown.
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
#include "node/role_balancer.h"
#include "node/source_follower.h"
#include "node/state_watch.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"
#include "peer/share_exchange.h"
#include "router/metrics.h"
#include "router/router.h"

namespace limpethaven {

/// Settings of an entry process.
struct NodeSettings {
  std::string vm;  ///< Name of this VM in log events.
  std::string ip;  ///< IP number under which peers reach this process.
  std::string data_centre;
  std::string callers_address;  ///< `IP:port` on which callers are served.
  /// `IP:port` of a separate readiness endpoint; empty: none.
  std::string ready_address;
  /// `IP:port` at which callers look up addresses; empty: none.
  std::string discovery_address;
  /// `IP:port` of the admin API; empty: none.
  std::string admin_address;
  /// Whether the admin API refuses `POST /admin/drain` with status 404.
  bool admin_read_only = false;
  /// CPU share of this process, in thousandths of a core.
  std::int64_t cpu_millicores = 1000;
  int peer_port = 0;  ///< TCP and UDP port of the peer protocol.
  /// IP numbers of VMs that are contacted first to join the membership.
  std::vector<std::string> seeds;
  std::string fleet_secret;  ///< Key that authenticates peers; may be empty.
  /// Path of the PEM certificate chain for callers; empty: no TLS.
  std::string tls_certificate;
  std::string tls_key;  ///< Path of the PEM key of the certificate.
  /// TTL given to callers with an address answer.
  DurationMs address_ttl_ms = 2000;
  /// Callers may use an address answer for this many times `address_ttl_ms`,
  /// because some keep it longer than its TTL. A shutdown accepts connections
  /// until then.
  std::int64_t max_answer_age_ttls = 3;
  /// Longest time from a stop signal to the end of the process.
  DurationMs shutdown_timeout_ms = 7500;
  /// Time from the start until the process may serve: the configuration read
  /// from the source may be older than the one that peers have.
  DurationMs startup_delay_ms = 0;
  /// Whether running requests of withdrawn API keys are aborted.
  bool abort_withdrawn_keys = false;
  LimitTolerance tolerance;
  /// Endpoints are pulled from a peer that has had a newer revision of them for
  /// this time.
  DurationMs peer_staleness_ms = 700;
  /// See `EndpointTable`.
  DurationMs restored_grace_ms = EndpointTable::kRestoredGraceMs;
  /// Processes in each data centre that read the source for the others; 0:
  /// every process reads it.
  std::int64_t source_readers = 0;
  /// Serving members from which on `source_readers` is in force.
  std::int64_t min_members_for_readers = 0;
  /// Longest time that a request waits for its team's tokens before it is
  /// refused.
  DurationMs token_wait_ms = 0;
  /// Most bytes of callers' request bodies held at once; 0: no limit.
  std::size_t total_body_bytes = 0;
  RouterSettings router;
  CellSettings cells;
  std::size_t cell_size = 64;  ///< Greatest number of engines in one cell.
  WatcherSettings watcher;
};

/// HTTP response to an address request.
struct AddressAnswer {
  ResponseHead head;
  std::string body;
};

/// Parses callers' address requests and writes the answers.
class AddressDialect {
 public:
  virtual ~AddressDialect() = default;
  [[nodiscard]] virtual bool IsAddressRequest(
      const RequestHead& head) const = 0;
  /// Data centre that the request names; empty when it names none.
  [[nodiscard]] virtual std::string CallerDataCentre(
      const RequestHead& head) const = 0;
  /// Response that lists `addresses`, each `IP:port`, with their TTL.
  [[nodiscard]] virtual AddressAnswer Answer(
      const std::vector<std::string>& addresses, DurationMs ttl_ms) const = 0;
};

/// Protocols that the process uses with callers and endpoints.
struct NodeDialects {
  std::unique_ptr<CallerDialect> callers;
  std::unique_ptr<EndpointDialect> endpoints;
  /// Null when the settings have no `discovery_address`.
  std::unique_ptr<AddressDialect> addresses;
};

/// Owns and connects the components of one entry process. Not thread safe: all
/// of it runs on the event loop.
class EntryNode final : public GossipListener,
                        public StateListener,
                        public EndpointListener {
 public:
  EntryNode(Loop& event_loop, NodeSettings node_settings,
            NodeDialects node_dialects);
  ~EntryNode() override;

  /// Replaces the router as the handler of callers' requests.
  void SetCallerHandler(ExchangeHandler handler);
  /// Sets a function that is called on each periodic tick.
  void SetTickHandler(std::function<void(TimeMs)> callback);
  /// Binds all addresses and starts the background tasks.
  /// @returns an error when the TLS files cannot be used or an address cannot
  /// be bound.
  [[nodiscard]] Result<void> Start(Source& source);
  /// Starts a graceful shutdown, at the end of which the loop is stopped.
  /// Further calls do nothing.
  void Drain();
  /// Ends a shutdown that has started without waiting for open requests.
  void StopSoon();
  /// Closes all sockets at once, as the end of the process would.
  void CloseSockets();
  /// Applies the settings that may change at run time: the seeds.
  void Reconfigure(const NodeSettings& next);

  /// Whether the process is able to serve callers; also true while it shuts
  /// down.
  [[nodiscard]] bool Serves() const;
  /// Whether callers should be sent to this process: it is able to serve and is
  /// not shutting down.
  [[nodiscard]] bool Ready() const;
  /// Whether a graceful shutdown has started.
  [[nodiscard]] bool Leaving() const noexcept;
  /// Metrics in the Prometheus text format.
  [[nodiscard]] std::string MetricsText();
  /// Version of the configuration in force; 0 before the first.
  [[nodiscard]] std::uint64_t ConfigVersion() const;
  /// Whether exactly `count` members serve, by this process's view.
  [[nodiscard]] bool HasServingMembers(std::size_t count) const;
  /// Tokens available to a team at this process.
  [[nodiscard]] Tokens AvailableTokens(std::string_view team);
  /// Tokens borrowed from peers since the start.
  [[nodiscard]] Tokens BorrowedTokens() const noexcept;
  /// Applies a configuration as if this process had read it from the source. It
  /// is ignored when it is older than the configuration in force.
  void ApplyConfiguration(const Configuration& next);

  void OnPeerVersions(const std::string& address, std::uint64_t version,
                      const SourceRevision& endpoints_revision) override;
  void OnMemberChange(const MemberChange& change) override;
  void OnLeavingEndpoints(
      const std::string& peer,
      const std::vector<LeavingEndpoint>& endpoints) override;
  void OnEndpointLeaving(const LeavingEndpoint& endpoint) override;
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
  /// Logs the parts of prompts that were quarantined or released since the last
  /// call.
  void LogQuarantine(TimeMs now);
  /// Updates the serving flag in gossip when readiness has changed.
  void UpdateReadiness();
  void ConfigureCells();
  /// Addresses, `IP:port`, at which serving members accept callers: at most 64,
  /// in random order. `data_centre` is ignored.
  [[nodiscard]] std::vector<std::string> AddressesFor(
      std::string_view data_centre) const;

  Loop& loop;
  NodeSettings settings;
  NodeDialects dialects;
  PeerIdentity identity;
  Metrics metrics;
  ConnectionPool pool;
  EndpointTable table;
  PromptQuarantine quarantine;
  Gossip gossip;
  PeerLink link;
  ShareExchange shares;
  CellExchange cells;
  PublishedState state;
  StateWatch state_watch;
  SourceFollower source_follower;
  Router router;
  EngineWatcher watcher;
  RoleBalancer roles;
  AdminApi admin_api;
  ExchangeHandler caller_handler;
  std::function<void(TimeMs)> on_tick;
  HttpServer caller_server;
  HttpServer readiness_server;
  HttpServer discovery_server;
  HttpServer admin_server;
  TimeMs started_at = 0;
  TimeMs config_adopted_at = 0;     ///< Last adoption of a configuration.
  TimeMs endpoints_updated_at = 0;  ///< Last update of the endpoints.
  /// Whether a rebuild of the cells is scheduled, because endpoints changed.
  bool cells_stale = false;
  std::vector<std::string> quarantined_parts;  ///< As of the last tick.
  bool was_ready = false;  ///< Readiness as of the last `UpdateReadiness`.
  bool leaving = false;
  /// Whether the loop stops as soon as unanswered requests have got an error.
  bool stop_requested = false;
  /// Whether the shutdown has closed idle connections and stopped accepting.
  bool accepting_stopped = false;
  bool unanswered_aborted = false;
  TimeMs drain_started_at = 0;
};

}  // namespace limpethaven
