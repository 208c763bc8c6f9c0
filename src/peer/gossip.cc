#include "peer/gossip.h"

#include <algorithm>
#include <numeric>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

constexpr DurationMs kTickPeriodMs = 50;
/// Members to which a new configuration version is announced at once.
constexpr std::size_t kConfigFanout = 3;
/// Members to which a start or an end of serving, or a leave, is announced at
/// once.
constexpr std::size_t kStateFanout = 96;
/// Members to which a leaving endpoint is announced at once. Several processes
/// may announce the same one, and probes reach the other members within a
/// second or two.
constexpr std::size_t kLeavingFanout = 6;
/// Members to which new failures of a plain endpoint are announced at once.
/// With it, most of 83 processes know of a few failures within 6 s.
constexpr std::size_t kLoadFanout = 16;
/// Leaving endpoints that are attached to one message.
constexpr std::size_t kLeavingPerMessage = 8;
/// Parts of prompts whose evidence is attached to one message.
constexpr std::size_t kEvidencePerMessage = 3;

std::string Join(const std::vector<std::string>& names) {
  return std::accumulate(names.begin(), names.end(), std::string(),
                         [](std::string joined, const std::string& name) {
                           if (!joined.empty()) joined += ',';
                           return joined + name;
                         });
}

}  // namespace

Gossip::Gossip(Loop& event_loop, PeerIdentity peer_identity,
               MembershipSettings settings, GossipListener& gossip_listener)
    : loop(event_loop),
      identity(std::move(peer_identity)),
      listener(gossip_listener),
      membership(this->identity.self, this->identity.data_centre, settings,
                 RandomBits()),
      socket(event_loop,
             [this](std::string_view text) { this->OnDatagram(text); }) {
  this->membership.SetCpuMillicores(this->identity.cpu_millicores);
}

bool Gossip::Start(const std::vector<std::string>& seeds) {
  if (!this->socket.Open(this->PeerAddress(this->identity.self.address))) {
    return false;
  }
  this->SetSeeds(seeds);
  this->started_at = LoopNow();
  SpawnService(this->loop, [this]() -> Task<> { co_await this->Tick(); });
  return true;
}

void Gossip::Stop() { this->socket.Close(); }

void Gossip::SetSeeds(const std::vector<std::string>& seeds) {
  std::vector<ListedVm> listed;
  std::ranges::transform(seeds, std::back_inserter(listed),
                         [](const std::string& ip) {
                           return ListedVm{ip, "", false};
                         });
  this->membership.SetListed(listed, LoopNow());
}

void Gossip::SetListed(const std::vector<ListedVm>& vms) {
  this->membership.SetListed(vms, LoopNow(), ListScope::kFleet);
}

std::uint64_t Gossip::Bytes() const noexcept { return this->bytes; }

void Gossip::SetConfig(std::uint64_t version, std::string_view digest) {
  this->membership.SetConfig(version, digest);
  this->Send(this->membership.Announce(kConfigFanout));
}

void Gossip::SetEndpointsRevision(const SourceRevision& revision) {
  this->membership.SetEndpointsRevision(revision);
}

void Gossip::SetServing(bool serving) {
  this->membership.SetServing(serving);
  this->Send(this->membership.Announce(kStateFanout));
}

void Gossip::Leave() {
  this->membership.Leave();
  this->Send(this->membership.Announce(kStateFanout));
}

void Gossip::ShareEvidence(PromptQuarantine& prompt_quarantine) {
  this->quarantine = &prompt_quarantine;
}

void Gossip::AnnounceEvidence() {
  this->Send(this->membership.Announce(kStateFanout));
}

void Gossip::ShareLeaving(LeavingEndpoints& leaving_endpoints) {
  this->said_leaving = &leaving_endpoints;
}

void Gossip::AnnounceLeaving() {
  this->Send(this->membership.Announce(kLeavingFanout));
}

void Gossip::ShareLoad(LoadSharer& sharer) { this->load_sharer = &sharer; }

void Gossip::AnnounceLoad() {
  this->Send(this->membership.Announce(kLoadFanout));
}

const Membership& Gossip::Members() const noexcept { return this->membership; }

std::string Gossip::PeerAddress(std::string_view ip) const {
  return std::string(ip) + ":" + std::to_string(this->identity.port);
}

void Gossip::OnDatagram(std::string_view text) {
  this->bytes += text.size();
  const auto message = DecodeGossip(this->identity.secret, text);
  if (!message) return;
  const auto answers = this->membership.Receive(message.value(), LoopNow());
  if (!answers) return;
  if (this->quarantine != nullptr) {
    this->quarantine->Merge(message.value().evidence, LoopNow());
  }
  const std::string& sender = message.value().from.address;
  if (!message.value().leaving_endpoints.empty()) {
    this->listener.OnLeavingEndpoints(sender,
                                      message.value().leaving_endpoints);
  }
  if (this->load_sharer != nullptr && message.value().load.sequence != 0 &&
      !message.value().from_leaving) {
    this->load_sharer->OnLoadReport(message.value(), LoopNow());
  }
  this->Send(answers.value());
  std::ranges::for_each(
      this->membership.TakeChanges(), [&](const MemberChange& change) {
        this->listener.OnMemberChange(change);
        // When the whole fleet starts, most members discover each other through
        // a seed. Without a ping at once, cells would have several owners until
        // the next probe.
        const MemberUpdate& latest = change.member.latest;
        const bool was_absent =
            change.previous_state == MemberState::kUnknown ||
            change.previous_state == MemberState::kDead;
        if (was_absent && latest.state == MemberState::kAlive &&
            latest.address != sender) {
          this->Send({this->membership.MakePing(latest.address)});
        }
      });
  this->listener.OnPeerVersions(message.value().from.address,
                                message.value().config_version,
                                message.value().endpoints_revision);
}

Task<> Gossip::Tick() {
  for (;;) {
    co_await SleepFor(this->loop, kTickPeriodMs);
    const bool knew_fleet = this->membership.KnowsFleet();
    this->Send(this->membership.Tick(LoopNow()));
    if (!knew_fleet) this->ReportFleetKnowledge();
    if (this->membership.TakePauseDetected()) this->listener.OnPause();
    std::ranges::for_each(this->membership.TakeChanges(),
                          [this](const MemberChange& change) {
                            this->listener.OnMemberChange(change);
                          });
  }
}

void Gossip::ReportFleetKnowledge() {
  const bool known = this->membership.KnowsFleet();
  const bool discovers =
      LoopNow() - this->started_at <= this->membership.Settings().discovery_ms;
  if (!known && (discovers || this->unknown_reported)) return;
  this->unknown_reported = !known;
  LogEvent(known ? EventId::kFleetKnown : EventId::kFleetUnknown,
           {{"why", std::string(NameOf(this->membership.Knowledge()))},
            LogField::Of("processes", this->membership.FleetSize()),
            {"silent", Join(this->membership.SilentListed())}});
}

void Gossip::Send(std::vector<OutgoingGossip> messages) {
  if (messages.empty()) return;
  const LoadReport load = this->load_sharer == nullptr
                              ? LoadReport{}
                              : this->load_sharer->OutgoingLoad(LoopNow());
  std::ranges::for_each(messages, [&](OutgoingGossip& outgoing) {
    outgoing.message.load = load;
    if (this->quarantine != nullptr) {
      outgoing.message.evidence =
          this->quarantine->Outgoing(kEvidencePerMessage, LoopNow());
    }
    if (this->said_leaving != nullptr) {
      outgoing.message.leaving_endpoints =
          this->said_leaving->Outgoing(kLeavingPerMessage, LoopNow());
    }
    const std::string text =
        EncodeGossip(this->identity.secret, outgoing.message);
    this->bytes += text.size();
    this->socket.Send(this->PeerAddress(outgoing.address), text);
  });
}

}  // namespace limpethaven
