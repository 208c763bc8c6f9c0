#include "node/entry_node.h"

#include <algorithm>
#include <random>

#include "limpethaven/crypto.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

/// Most idle connections kept open to each endpoint.
constexpr std::size_t kMaxIdleConnectionsPerEndpoint = 16;
/// Most connections that each HTTP server serves at once.
constexpr std::size_t kMaxConnectionsPerServer = 3000;
constexpr DurationMs kTickMs = 100;
/// While the process stops, connections are closed that have been idle for this
/// long.
constexpr DurationMs kMinIdleMs = 200;
/// Most addresses in one address answer.
constexpr std::size_t kMaxAddressesPerAnswer = 64;

EventId EventOf(MemberState state) {
  switch (state) {
    case MemberState::kSuspect:
      return EventId::kMemberSuspect;
    case MemberState::kDead:
      return EventId::kMemberDead;
    case MemberState::kLeaving:
      return EventId::kMemberLeaving;
    case MemberState::kUnknown:
    case MemberState::kAlive:
      break;
  }
  return EventId::kMemberAlive;
}

PeerIdentity IdentityOf(const NodeSettings& settings) {
  // The incarnation is random rather than taken from the clock, which may jump
  // between two starts.
  return PeerIdentity{VmId{settings.ip, RandomBits() | 1U},
                      settings.data_centre, settings.cpu_millicores,
                      settings.peer_port, settings.fleet_secret};
}

Error CannotListen(const std::string& address) {
  return Error::Of(ErrorKind::kInternal, "cannot listen on " + address);
}

}  // namespace

EntryNode::EntryNode(Loop& event_loop, NodeSettings node_settings,
                     NodeDialects node_dialects)
    : loop(event_loop),
      settings(std::move(node_settings)),
      dialects(std::move(node_dialects)),
      identity(IdentityOf(this->settings)),
      pool(event_loop, kMaxIdleConnectionsPerEndpoint),
      table(this->settings.restored_grace_ms),
      gossip(event_loop, this->identity, MembershipSettings{}, *this),
      link(event_loop, this->identity),
      shares(this->link, this->gossip, this->settings.data_centre,
             this->settings.tolerance, this->settings.token_wait_ms),
      cells(this->link, this->gossip, this->settings.data_centre,
            this->settings.cells),
      state(this->link, this->gossip, this->table, *this,
            PublishedState::kMissingRetentionMs,
            this->settings.peer_staleness_ms),
      state_watch(this->link, this->state),
      source_follower(
          this->link, this->gossip, this->state, this->settings.data_centre,
          ReaderRoleSettings{this->settings.source_readers,
                             this->settings.min_members_for_readers}),
      router(
          RouterParts{event_loop, *this->dialects.callers,
                      *this->dialects.endpoints, this->pool, this->table,
                      this->shares, this->cells, this->gossip, this->quarantine,
                      this->metrics, *this, this->settings.data_centre},
          this->settings.router),
      watcher(event_loop, *this->dialects.endpoints, this->pool, this->table,
              this->cells, this->settings.watcher),
      roles(RoleBalancerParts{event_loop, *this->dialects.endpoints,
                              this->table, this->link, this->gossip,
                              this->cells, this->state, this->metrics}),
      admin_api(*this),
      caller_handler(
          [this](Exchange& exchange) { return this->router.Serve(exchange); }),
      caller_server(
          event_loop,
          [this](Exchange& exchange) { return this->AnswerCaller(exchange); },
          kMaxConnectionsPerServer),
      readiness_server(
          event_loop,
          [this](Exchange& exchange) { return this->AnswerReady(exchange); },
          kMaxConnectionsPerServer),
      discovery_server(
          event_loop,
          [this](Exchange& exchange) {
            return this->AnswerAddresses(exchange);
          },
          kMaxConnectionsPerServer),
      admin_server(
          event_loop,
          [this](Exchange& exchange) {
            return this->admin_api.Answer(exchange);
          },
          kMaxConnectionsPerServer) {
  this->cells.SetCanceller(&this->watcher);
  this->gossip.ShareEvidence(this->quarantine);
  this->gossip.ShareLeaving(this->table.SaidLeaving());
}

EntryNode::~EntryNode() = default;

void EntryNode::SetCallerHandler(ExchangeHandler handler) {
  this->caller_handler = std::move(handler);
}

void EntryNode::SetTickHandler(std::function<void(TimeMs)> callback) {
  this->on_tick = std::move(callback);
}

Result<void> EntryNode::Start(Source& source) {
  this->started_at = LoopNow();
  LogEvent(EventId::kProcessStarted,
           {LogField::Of("incarnation", this->identity.self.incarnation),
            {"data_centre", this->settings.data_centre}});
  if (!this->settings.tls_certificate.empty()) {
    auto files = std::make_unique<TlsFiles>(this->settings.tls_certificate,
                                            this->settings.tls_key);
    if (!files->Usable()) {
      return Error::Of(ErrorKind::kInternal,
                       "cannot use the TLS certificate " +
                           this->settings.tls_certificate + " with the key " +
                           this->settings.tls_key);
    }
    this->caller_server.UseTls(std::move(files));
  }
  struct Listener {
    HttpServer& server;
    const std::string& address;
  };
  for (const Listener& listener :
       {Listener{this->caller_server, this->settings.callers_address},
        Listener{this->readiness_server, this->settings.ready_address},
        Listener{this->discovery_server, this->settings.discovery_address},
        Listener{this->admin_server, this->settings.admin_address}}) {
    if (listener.address.empty()) continue;
    if (!listener.server.Listen(listener.address)) {
      return CannotListen(listener.address);
    }
  }
  const std::string peers = this->gossip.PeerAddress(this->settings.ip);
  if (!this->link.Start()) return CannotListen(peers);
  if (!this->gossip.Start(this->settings.seeds)) return CannotListen(peers);
  source.Start(this->state);
  this->state_watch.SetSource(source);
  this->source_follower.SetSource(source);
  this->watcher.Start();
  SpawnService(this->loop, [this]() -> Task<> { co_await this->Tick(); });
  return Success();
}

void EntryNode::Drain() {
  if (this->leaving) return;
  LogEvent(
      EventId::kProcessStopping,
      {LogField::Of("requests", this->caller_server.OpenRequests()),
       LogField::Of("connections", this->caller_server.OpenConnections())});
  this->leaving = true;
  this->drain_started_at = LoopNow();
  this->router.Core().stop_admission.StopAt(this->drain_started_at +
                                            this->settings.shutdown_timeout_ms);
  this->gossip.Leave();
  this->router.Core().active.AbortWaiting(this->router.Core().stop_admission);
  this->caller_server.Drain();
}

void EntryNode::StopSoon() { this->stop_requested = true; }

void EntryNode::CloseSockets() {
  this->caller_server.StopAccepting();
  this->readiness_server.StopAccepting();
  this->discovery_server.StopAccepting();
  this->admin_server.StopAccepting();
  this->roles.Stop();
  this->link.Stop();
  this->gossip.Stop();
  CloseAllConnections(this->loop);
}

void EntryNode::Reconfigure(const NodeSettings& next) {
  this->settings.seeds = next.seeds;
  this->gossip.SetSeeds(next.seeds);
}

void EntryNode::OnPeerVersions(const std::string& address,
                               std::uint64_t version,
                               const SourceRevision& endpoints_revision) {
  this->state.OnPeerVersions(address, version, endpoints_revision);
}

void EntryNode::OnMemberChange(const MemberChange& change) {
  LogEvent(EventOf(change.member.latest.state),
           {{"member", change.member.latest.address},
            LogField::Of("incarnation", change.member.latest.incarnation),
            {"before", std::string(NameOf(change.previous_state))}});
  const MemberUpdate& latest = change.member.latest;
  if (latest.state == MemberState::kDead ||
      latest.state == MemberState::kLeaving) {
    this->router.Core().plain.Forget(latest.address);
  }
}

void EntryNode::OnLeavingEndpoints(
    const std::string& peer, const std::vector<LeavingEndpoint>& endpoints) {
  static_cast<void>(this->state.MarkLeaving(endpoints, peer));
}

void EntryNode::OnEndpointLeaving(const LeavingEndpoint& endpoint) {
  if (this->state.MarkLeaving({endpoint}, "endpoint")) {
    this->gossip.AnnounceLeaving();
  }
}

void EntryNode::OnPause() {
  LogEvent(EventId::kPauseDetected, {});
  this->roles.OnPause();
  this->source_follower.OnPause(LoopNow());
}

void EntryNode::OnListedVms(const std::vector<ListedVm>& vms) {
  this->gossip.SetListed(vms);
}

void EntryNode::OnConfig(const std::shared_ptr<const Configuration>& config) {
  this->config_adopted_at = LoopNow();
  const CallerLimits& limits = config->fleet.limits;
  this->caller_server.SetLimits(ServerLimits{
      MessageLimits{static_cast<std::uint32_t>(limits.max_header_bytes),
                    static_cast<std::uint64_t>(limits.max_body_bytes)},
      limits.header_timeout_ms, limits.idle_timeout_ms,
      this->settings.total_body_bytes});
  this->shares.Configure(*config);
  this->router.SetConfig(config);
  if (this->settings.abort_withdrawn_keys) {
    this->router.Core().active.AbortWithdrawnKeys(*config);
  }
  this->ConfigureCells();
  this->gossip.SetConfig(config->version, config->digest);
  this->state_watch.NotifyChange();
  this->UpdateReadiness();
}

void EntryNode::OnEndpoints() {
  this->endpoints_updated_at = LoopNow();
  this->gossip.SetEndpointsRevision(this->table.Revision());
  this->state_watch.NotifyChange();
  // Endpoint updates arrive in batches: the cells are built once for the whole
  // batch, after the event loop has applied it.
  if (this->cells_stale) return;
  this->cells_stale = true;
  asio::post(this->loop, [this] {
    this->cells_stale = false;
    this->ConfigureCells();
    this->UpdateReadiness();
  });
}

void EntryNode::ConfigureCells() {
  const Configuration& config = *this->state.Config();
  std::vector<CellSpec> next = BuildCells(config, this->settings.cell_size);
  std::ranges::move(
      BuildCells(config, this->table.All(), this->settings.cell_size),
      std::back_inserter(next));
  this->cells.Configure(std::move(next));
}

Task<> EntryNode::AnswerCaller(Exchange& exchange) {
  co_await this->caller_handler(exchange);
}

Task<> EntryNode::AnswerReady(Exchange& exchange) {
  ResponseHead head{this->Ready() ? 200 : 503, {}};
  co_await exchange.Answer(std::move(head), "");
}

Task<> EntryNode::AnswerAddresses(Exchange& exchange) {
  if (!this->dialects.addresses->IsAddressRequest(exchange.Head())) {
    ResponseHead head{404, {}};
    co_await exchange.Answer(std::move(head), "");
    co_return;
  }
  const std::vector<std::string> chosen = this->AddressesFor(
      this->dialects.addresses->CallerDataCentre(exchange.Head()));
  if (chosen.empty()) {
    ResponseHead head{503, {}};
    co_await exchange.Answer(std::move(head), "");
    co_return;
  }
  const AddressAnswer answer =
      this->dialects.addresses->Answer(chosen, this->settings.address_ttl_ms);
  co_await exchange.Answer(answer.head, answer.body);
}

Task<> EntryNode::Tick() {
  for (;;) {
    co_await SleepFor(this->loop, kTickMs);
    const TimeMs now = LoopNow();
    this->pool.CloseExpired(now);
    this->link.Tick(now);
    this->state.Tick();
    this->source_follower.Tick(now);
    this->shares.Tick();
    this->cells.Tick(now);
    this->roles.Tick(now);
    this->UpdateReadiness();
    this->LogQuarantine(now);
    this->router.Core().Expire(now);
    if (this->on_tick) this->on_tick(now);
    if (this->leaving) this->TickDrain(now);
  }
}

void EntryNode::UpdateReadiness() {
  const bool is_ready = this->Ready();
  if (is_ready == this->was_ready) return;
  this->was_ready = is_ready;
  // Owners of cells are chosen among the serving members. Until the members
  // have discovered each other, each of them schedules all cells itself, so a
  // change is announced at once.
  this->gossip.SetServing(is_ready);
  if (!is_ready) return;
  LogEvent(EventId::kProcessReady,
           {LogField::Of("version", this->state.Config()->version),
            LogField::Of("endpoints", this->table.All().size())});
}

void EntryNode::LogQuarantine(TimeMs now) {
  std::vector<std::string> names;
  std::ranges::for_each(
      this->quarantine.Quarantined(now), [&](const QuarantinedPart& entry) {
        names.push_back(entry.part);
        if (std::ranges::binary_search(this->quarantined_parts, entry.part)) {
          return;
        }
        LogEvent(EventId::kPromptQuarantined,
                 {{"part", entry.part},
                  LogField::Of("crashes", entry.crashes),
                  LogField::Of("remaining_ms", entry.remaining_ms)});
      });
  std::ranges::for_each(this->quarantined_parts,
                        [&names](const std::string& part) {
                          if (std::ranges::binary_search(names, part)) return;
                          LogEvent(EventId::kPromptReleased, {{"part", part}});
                        });
  this->quarantined_parts = std::move(names);
}

void EntryNode::TickDrain(TimeMs now) {
  // Callers may still connect by address answers that they have cached, so
  // connections are accepted until these answers have expired.
  const DurationMs answers_expire_after_ms =
      this->settings.address_ttl_ms * this->settings.max_answer_age_ttls;
  const bool answers_expired =
      now - this->drain_started_at >= answers_expire_after_ms;
  if (answers_expired && !this->accepting_stopped) {
    this->accepting_stopped = true;
    this->caller_server.StopAccepting();
    this->discovery_server.StopAccepting();
  }
  this->caller_server.CloseIdle(kMinIdleMs);
  // Peers' requests are served too, and are not among those of the server.
  const bool drained = answers_expired &&
                       this->caller_server.OpenRequests() == 0 &&
                       this->router.Core().active.Size() == 0;
  const bool timed_out =
      now - this->drain_started_at >= this->settings.shutdown_timeout_ms;
  if (!drained && !timed_out && !this->stop_requested) return;
  // What has no answer yet gets an error, which needs a tick to be sent.
  if (!drained && !this->unanswered_aborted) {
    this->unanswered_aborted = true;
    this->router.Core().active.AbortUnanswered();
    return;
  }
  LogEvent(EventId::kProcessStopped,
           {LogField::Of("requests", this->caller_server.OpenRequests())});
  this->loop.stop();
}

bool EntryNode::Serves() const {
  return this->state.Complete() &&
         LoopNow() - this->started_at >= this->settings.startup_delay_ms;
}

bool EntryNode::Ready() const { return this->Serves() && !this->leaving; }

bool EntryNode::Leaving() const noexcept { return this->leaving; }

std::uint64_t EntryNode::ConfigVersion() const {
  return this->state.Config()->version;
}

bool EntryNode::HasServingMembers(std::size_t count) const {
  return this->gossip.Members().ServingMembers().size() == count;
}

Tokens EntryNode::AvailableTokens(std::string_view team) {
  return this->shares.View(team).available;
}

std::string EntryNode::MetricsText() {
  const TimeMs now = LoopNow();
  MetricsSnapshot snapshot;
  snapshot.requests = this->router.Core().active.Size();
  snapshot.connections = this->caller_server.OpenConnections();
  snapshot.waiting = this->cells.QueueLength();
  const PlacementCounts& decisions = this->cells.DecisionCounts();
  snapshot.placed_on_time = decisions.placed_on_time;
  snapshot.placed_late = decisions.placed_late;
  snapshot.placements_refused = decisions.refused;
  snapshot.reservations = this->cells.HeldReservations();
  snapshot.borrowed_tokens = this->shares.Borrowed();
  snapshot.retries_left = this->router.Core().RetriesLeft();
  snapshot.config_version = this->state.Config()->version;
  snapshot.config_age_ms = now - this->config_adopted_at;
  snapshot.endpoints_age_ms = now - this->endpoints_updated_at;
  snapshot.endpoints = this->table.All().size();
  snapshot.ejected = this->router.Core().Ejected();
  snapshot.limited = this->router.Core().limits.Size();
  snapshot.paused = this->router.Core().pauses.Size();
  snapshot.said_leaving = this->table.SaidLeaving().Size();
  snapshot.quarantined_parts = this->quarantine.Quarantined(now).size();
  snapshot.members = this->gossip.Members().ServingMembers().size();
  snapshot.roles = this->roles.Split();
  snapshot.role_leases = this->roles.HeldLeases(now);
  snapshot.connections_made = this->pool.DialCount();
  snapshot.dropped_log_lines = DroppedLogLines();
  snapshot.source_calls = this->source_follower.SourceCalls();
  snapshot.reads_source = this->source_follower.ReadsSource();
  snapshot.source_reader = this->source_follower.IsReader();
  snapshot.state_age_ms = this->source_follower.StateAgeMs(now);
  this->metrics.SetGauges(snapshot);
  this->metrics.SetPlainShares(this->router.Core().plain.Shares());
  return this->metrics.Text();
}

Tokens EntryNode::BorrowedTokens() const noexcept {
  return this->shares.Borrowed();
}

void EntryNode::ApplyConfiguration(const Configuration& next) {
  this->state.OnConfiguration(next);
}

std::vector<std::string> EntryNode::AddressesFor(
    std::string_view data_centre) const {
  static_cast<void>(data_centre);
  const std::string& callers_address = this->settings.callers_address;
  const std::string port = callers_address.substr(callers_address.rfind(':'));
  std::vector<std::string> serving = this->gossip.Members().ServingAddresses();
  std::mt19937_64 random(RandomBits());
  std::ranges::shuffle(serving, random);
  if (serving.size() > kMaxAddressesPerAnswer) {
    serving.resize(kMaxAddressesPerAnswer);
  }
  std::ranges::transform(serving, serving.begin(),
                         [&port](const std::string& ip) { return ip + port; });
  return serving;
}

}  // namespace limpethaven
