#include "entry/entry_node.h"

#include <algorithm>
#include <thread>

#include "edge/log.h"
#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr DurationMs kVmListPeriodMs = 1000;
constexpr DurationMs kRenewPeriodMs = 700;
constexpr std::chrono::milliseconds kPollPause(20);

}  // namespace

EntryNode::EntryNode(EntrySettings entry_settings)
    : settings(std::move(entry_settings)),
      self(VmId{this->settings.address,
                MakeIncarnation(this->clock.WallNow(), RandomBits())}),
      transport(PeerTransportSettings{this->self, this->settings.peer_port,
                                      this->settings.fleet_secret}),
      platform(this->settings.platform),
      active(this->settings.max_streams) {
  this->gossip = std::make_unique<GossipService>(
      this->self, this->settings.data_centre, this->settings.fleet_secret,
      this->transport, this->clock,
      [this](const std::string& address, std::uint64_t version,
             const std::string& digest) {
        if (this->config) this->config->OnPeerVersion(address, version, digest);
      });
  this->shares = std::make_unique<ShareService>(
      this->self, this->transport, this->clock,
      [this] { return this->gossip->Usable(); }, this->settings.token_wait_ms);
  this->cells = std::make_unique<CellService>(this->transport, *this->gossip,
                                              this->engines, this->clock,
                                              this->settings.cell_size);
  this->departures = std::make_unique<Departures>(*this->cells, this->engines,
                                                  *this->shares, this->clock);
  this->router = std::make_unique<ServiceRouter>(
      this->self, this->settings.fleet_secret, this->services, this->transport,
      this->clock);
  this->config = std::make_unique<ConfigService>(
      this->platform, this->transport,
      [this](const Configuration& configuration) {
        this->OnConfig(configuration);
      });
  this->session_context = std::make_unique<SessionContext>(SessionContext{
      *this->cells, this->engines, *this->shares, this->active,
      *this->departures, this->metrics, this->clock,
      this->settings.fleet_secret, this->retry_mutex, this->retry_budget});
  this->AddPeerHandlers();
}

EntryNode::~EntryNode() { this->Stop(); }

Result<void> EntryNode::Start(DurationMs ready_wait_ms) {
  LogEvent(EventId::kProcessStarted,
           {LogField::Of("vm", this->self),
            {"data_centre", this->settings.data_centre}});
  BOOST_OUTCOME_TRY(this->transport.Start(
      [this](std::string_view bytes) { this->gossip->OnDatagram(bytes); }));
  std::vector<ListedVm> seeds;
  std::ranges::transform(this->settings.seed_vms, std::back_inserter(seeds),
                         [](const std::string& address) {
                           return ListedVm{address, "", false};
                         });
  this->gossip->SetListed(seeds);
  this->gossip->Start();
  this->cells->Start();
  this->departures->Start();
  this->config->Start();
  this->vm_reader.Start(kVmListPeriodMs, [this] { this->ReadVmList(); });
  this->renewer.Start(kRenewPeriodMs, [this] { this->RenewReservations(); });
  const TimeMs give_up_at = this->clock.Now() + ready_wait_ms;
  while (!this->Ready() && this->clock.Now() < give_up_at) {
    std::this_thread::sleep_for(kPollPause);
  }
  LogEvent(EventId::kProcessReady,
           {LogField::Of("ready", this->Ready()),
            LogField::Of("version", this->config->Snapshot()->version)});
  return Success();
}

void EntryNode::Drain(const std::function<bool()>& hurry) {
  LogEvent(EventId::kProcessStopping,
           {LogField::Of("active", this->active.Size())});
  this->BeginLeaving();
  // Callers keep an answer of /v1/addresses this long; until then they may
  // still come here.
  const TimeMs accept_until = this->clock.Now() + this->settings.address_ttl_ms;
  const TimeMs give_up_at = accept_until + this->settings.drain_limit_ms;
  while (!hurry()) {
    const TimeMs now = this->clock.Now();
    if (now >= give_up_at) break;
    if (now >= accept_until && this->active.Size() == 0) break;
    std::this_thread::sleep_for(kPollPause);
  }
}

void EntryNode::Stop() {
  this->renewer.Stop();
  this->vm_reader.Stop();
  this->config->Stop();
  this->departures->Stop();
  this->cells->Stop();
  this->gossip->Stop();
  this->transport.Stop();
}

bool EntryNode::Ready() const {
  const bool asked = this->config->SourceAnswered() || this->seeds_asked;
  return asked && this->config->Snapshot()->version > 0;
}

bool EntryNode::Leaving() const noexcept { return this->leaving; }

void EntryNode::BeginLeaving() {
  if (this->leaving.exchange(true)) return;
  this->gossip->Leave();
}

void EntryNode::AddPeerHandlers() {
  this->transport.Handle("/peer/v1/place",
                         [this](const VmId&, const std::string& body) {
                           return this->cells->AnswerPlace(body);
                         });
  this->transport.Handle("/peer/v1/notices",
                         [this](const VmId&, const std::string& body) {
                           return this->cells->AnswerNotices(body);
                         });
  this->transport.Handle("/peer/v1/lend",
                         [this](const VmId& from, const std::string& body) {
                           return this->shares->AnswerLend(from, body);
                         });
  this->transport.Handle("/peer/v1/confirm",
                         [this](const VmId&, const std::string& body) {
                           return this->shares->AnswerConfirm(body);
                         });
  this->transport.Handle(
      "/peer/v1/ticket_run", [this](const VmId&, const std::string& body) {
        return this->router->AnswerTicketRun(*this->config->Snapshot(), body);
      });
  this->transport.Handle("/peer/v1/config",
                         [this](const VmId&, const std::string& body) {
                           return this->config->AnswerPull(body);
                         });
  this->transport.Handle(
      "/peer/v1/cancel",
      [this](const VmId&, const std::string& body) -> Result<std::string> {
        BOOST_OUTCOME_TRY(cancel, ReadJson<CancelRequestBody>(body, "cancel"));
        const bool found = this->active.Cancel(cancel.request_id, cancel.team);
        return std::string(found ? "true" : "false");
      });
}

void EntryNode::OnConfig(const Configuration& configuration) {
  this->shares->Configure(configuration);
  this->cells->Configure(configuration);
  this->active.CutWithdrawn(configuration);
  this->metrics.SetConfigVersion(configuration.version);
  this->gossip->SetConfig(configuration.version, configuration.digest);
}

void EntryNode::ReadVmList() {
  const auto vms = this->platform.Read();
  if (vms) this->gossip->SetListed(vms.value());
  if (!this->seeds_asked) this->AskSeeds();
  this->metrics.SetMembersAlive(this->gossip->Usable().size());
  this->metrics.SetActive(this->active.Size());
  this->router->Tick();
}

void EntryNode::RenewReservations() {
  std::ranges::for_each(this->active.Places(), [this](const auto& row) {
    const ActivePlace& place = row.second;
    this->cells->Notify(CellNotice{NoticeKind::kRenew, place.cell,
                                   place.reservation, row.first, place.engine,
                                   place.pieces, 0});
  });
}

void EntryNode::AskSeeds() {
  // A process that has just started remembers nothing: a peer may know a newer
  // version than the platform, which can be stale.
  const std::vector<Member> members = this->gossip->Members();
  const auto answers =
      std::ranges::count_if(members, [this](const Member& member) {
        return this->config->PullFrom(member.news.address);
      });
  this->seeds_asked =
      answers > 0 || members.empty() || this->config->SourceAnswered();
}

}  // namespace limpethaven
