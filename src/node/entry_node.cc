#include "node/entry_node.h"

#include <algorithm>
#include <random>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

/// Idle connections kept to each endpoint.
constexpr std::size_t kIdlePerEndpoint = 16;
/// Callers' connections served at once.
constexpr std::size_t kMaxConnections = 3000;
constexpr DurationMs kTickMs = 100;
/// Addresses in one answer.
constexpr std::size_t kMaxAddresses = 64;

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
  // No clock: it may jump between two starts.
  return PeerIdentity{VmId{settings.ip, RandomBits() | 1U},
                      settings.data_centre, settings.strength,
                      settings.peer_port, settings.fleet_secret};
}

Error CannotListen(const std::string& address) {
  return Error::Of(ErrorKind::kInternal, "cannot listen on " + address);
}

}  // namespace

EntryNode2::EntryNode2(Loop& event_loop, NodeSettings node_settings,
                       NodeDialects node_dialects)
    : loop(event_loop),
      settings(std::move(node_settings)),
      dialects(std::move(node_dialects)),
      identity(IdentityOf(this->settings)),
      pool(event_loop, kIdlePerEndpoint),
      gossip(event_loop, this->identity, MembershipSettings{}, *this),
      link(event_loop, this->identity),
      shares(this->link, this->gossip, this->settings.tolerance),
      cells(this->link, this->gossip, this->settings.data_centre,
            this->settings.cells),
      state(this->link, this->gossip, this->table, *this),
      router(RouterParts{event_loop, *this->dialects.callers,
                         *this->dialects.endpoints, this->pool, this->table,
                         this->shares, this->cells, this->gossip,
                         this->settings.retries, this->settings.data_centre}),
      callers(
          event_loop,
          [this](Exchange& exchange) { return this->router.Serve(exchange); },
          kMaxConnections),
      ready(
          event_loop,
          [this](Exchange& exchange) { return this->AnswerReady(exchange); },
          kMaxConnections),
      addresses(
          event_loop,
          [this](Exchange& exchange) {
            return this->AnswerAddresses(exchange);
          },
          kMaxConnections) {}

EntryNode2::~EntryNode2() = default;

Result<void> EntryNode2::Start(Source& source) {
  LogEvent(EventId::kProcessStarted,
           {LogField::Of("incarnation", this->identity.self.incarnation),
            {"data_centre", this->settings.data_centre}});
  if (!this->callers.Listen(this->settings.callers_address)) {
    return CannotListen(this->settings.callers_address);
  }
  if (!this->settings.ready_address.empty() &&
      !this->ready.Listen(this->settings.ready_address)) {
    return CannotListen(this->settings.ready_address);
  }
  if (!this->settings.addresses_address.empty() &&
      !this->addresses.Listen(this->settings.addresses_address)) {
    return CannotListen(this->settings.addresses_address);
  }
  const std::string peers = this->gossip.PeerAddress(this->settings.ip);
  if (!this->link.Start()) return CannotListen(peers);
  if (!this->gossip.Start(this->settings.seeds)) return CannotListen(peers);
  source.Start(this->state);
  Spawn(this->loop, [this]() -> Task<> { co_await this->Tick(); });
  return Success();
}

void EntryNode2::Drain() {
  if (this->leaving) {
    this->hurry = true;
    return;
  }
  LogEvent(EventId::kProcessStopping,
           {LogField::Of("requests", this->callers.OpenRequests()),
            LogField::Of("connections", this->callers.OpenConnections())});
  this->leaving = true;
  this->left_at = LoopNow();
  this->gossip.Leave();
  this->callers.Drain(false);
}

void EntryNode2::Reconfigure(const NodeSettings& next) {
  this->settings.seeds = next.seeds;
  this->gossip.SetSeeds(next.seeds);
}

void EntryNode2::OnPeerVersion(const std::string& address,
                               std::uint64_t version) {
  this->state.OnPeerVersion(address, version);
}

void EntryNode2::OnMemberChange(const MemberChange& change) {
  LogEvent(EventOf(change.member.news.state),
           {{"member", change.member.news.address},
            LogField::Of("incarnation", change.member.news.incarnation),
            {"before", std::string(NameOf(change.before))}});
}

void EntryNode2::OnPause() { LogEvent(EventId::kPauseDetected, {}); }

void EntryNode2::OnConfig(const std::shared_ptr<const Configuration>& config) {
  const CallerLimits& limits = config->fleet.limits;
  this->callers.SetLimits(ServerLimits{
      MessageLimits{static_cast<std::uint32_t>(limits.max_header_bytes),
                    static_cast<std::uint64_t>(limits.max_body_bytes)},
      limits.header_timeout_ms, limits.idle_timeout_ms});
  this->shares.Configure(*config);
  this->router.SetConfig(config);
  this->ConfigureCells();
  this->gossip.SetConfig(config->version, config->digest);
}

void EntryNode2::OnEndpoints() { this->ConfigureCells(); }

void EntryNode2::ConfigureCells() {
  this->cells.Configure(BuildCells(*this->state.Config(), this->table.All(),
                                   this->settings.cell_size));
}

Task<> EntryNode2::AnswerReady(Exchange& exchange) {
  co_await exchange.Answer(ResponseHead{this->Ready() ? 200 : 503, {}}, "");
}

Task<> EntryNode2::AnswerAddresses(Exchange& exchange) {
  if (!this->dialects.addresses->Asks(exchange.Head())) {
    co_await exchange.Answer(ResponseHead{404, {}}, "");
    co_return;
  }
  const std::vector<std::string> chosen = this->AddressesFor(
      this->dialects.addresses->CallerDataCentre(exchange.Head()));
  if (chosen.empty()) {
    co_await exchange.Answer(ResponseHead{503, {}}, "");
    co_return;
  }
  const AddressAnswer answer =
      this->dialects.addresses->Answer(chosen, this->settings.address_ttl_ms);
  co_await exchange.Answer(answer.head, answer.body);
}

Task<> EntryNode2::Tick() {
  bool was_ready = false;
  for (;;) {
    co_await SleepFor(this->loop, kTickMs);
    const TimeMs now = LoopNow();
    this->pool.Tick(now);
    this->link.Tick(now);
    this->state.Tick();
    this->shares.Tick();
    this->cells.Tick(now);
    const bool is_ready = this->Ready();
    if (is_ready != was_ready) {
      was_ready = is_ready;
      this->gossip.SetServing(is_ready);
      if (is_ready) {
        LogEvent(EventId::kProcessReady,
                 {LogField::Of("version", this->state.Config()->version),
                  LogField::Of("endpoints", this->table.All().size())});
      }
    }
    if (this->leaving) this->TickDrain(now);
  }
}

void EntryNode2::TickDrain(TimeMs now) {
  const DurationMs answers_lapse_ms =
      this->settings.address_ttl_ms * this->settings.stale_answers;
  const bool lapsed = now - this->left_at >= answers_lapse_ms;
  if (lapsed && !this->idle_closed) {
    this->idle_closed = true;
    this->callers.StopAccepting();
    this->addresses.StopAccepting();
    this->callers.Drain(true);
  }
  const bool done = lapsed && this->callers.OpenRequests() == 0;
  const bool over = now - this->left_at >= this->settings.stop_ms;
  if (!done && !over && !this->hurry) return;
  LogEvent(EventId::kProcessStopped,
           {LogField::Of("requests", this->callers.OpenRequests())});
  this->loop.stop();
}

bool EntryNode2::Ready() const {
  return this->state.Complete() && !this->leaving;
}

std::vector<std::string> EntryNode2::AddressesFor(
    std::string_view data_centre) const {
  static_cast<void>(data_centre);
  const std::string& own = this->settings.callers_address;
  const std::string port = own.substr(own.rfind(':'));
  std::vector<std::string> serving = this->gossip.Members().ServingAddresses();
  std::mt19937_64 random(RandomBits());
  std::ranges::shuffle(serving, random);
  if (serving.size() > kMaxAddresses) serving.resize(kMaxAddresses);
  std::ranges::transform(serving, serving.begin(),
                         [&port](const std::string& ip) { return ip + port; });
  return serving;
}

}  // namespace limpethaven
