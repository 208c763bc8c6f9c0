#include "entry/gossip_service.h"

#include <algorithm>

#include "edge/log.h"
#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr DurationMs kTickMs = 50;
constexpr std::size_t kConfigFanout = 3;
constexpr std::size_t kLeaveFanout = 64;

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

}  // namespace

GossipService::GossipService(VmId own, std::string data_centre,
                             std::string fleet_secret, PeerTransport& peers,
                             const Clock& system_clock, OnPeerConfig on_version)
    : secret(std::move(fleet_secret)),
      transport(peers),
      clock(system_clock),
      on_peer_config(std::move(on_version)),
      membership(std::move(own), std::move(data_centre), MembershipSettings{},
                 RandomBits()) {}

void GossipService::Start() {
  this->ticker.Start(kTickMs, [this] { this->Tick(); });
}

void GossipService::Stop() { this->ticker.Stop(); }

void GossipService::OnDatagram(std::string_view bytes) {
  const auto message = DecodeGossip(this->secret, bytes);
  if (!message) {
    LogWarning(EventId::kPeerMessageRejected,
               {LogField::Of("why", message.error())});
    return;
  }
  std::vector<OutgoingGossip> answers;
  {
    const std::lock_guard lock(this->mutex);
    auto received =
        this->membership.Receive(message.value(), this->clock.Now());
    if (!received) {
      LogWarning(EventId::kPeerMessageRejected,
                 {LogField::Of("from", message.value().from),
                  LogField::Of("why", received.error())});
      return;
    }
    answers = std::move(received.value());
  }
  this->Send(answers);
  this->on_peer_config(message.value().from.address,
                       message.value().config_version,
                       message.value().config_digest);
}

void GossipService::SetListed(const std::vector<ListedVm>& vms) {
  const std::lock_guard lock(this->mutex);
  this->membership.SetListed(vms, this->clock.Now());
}

void GossipService::SetConfig(std::uint64_t version,
                              const std::string& digest) {
  {
    const std::lock_guard lock(this->mutex);
    this->membership.SetConfig(version, digest);
  }
  this->Announce(kConfigFanout);
}

void GossipService::Leave() {
  {
    const std::lock_guard lock(this->mutex);
    this->membership.Leave();
  }
  this->Announce(kLeaveFanout);
}

std::vector<Member> GossipService::Members() const {
  const std::lock_guard lock(this->mutex);
  return this->membership.Members();
}

std::vector<std::string> GossipService::Usable() const {
  const std::lock_guard lock(this->mutex);
  return this->membership.UsableAddresses();
}

std::vector<std::string> GossipService::UsableNear(
    std::string_view data_centre) const {
  const std::lock_guard lock(this->mutex);
  auto near = this->membership.UsableAddresses(data_centre);
  return near.empty() ? this->membership.UsableAddresses() : near;
}

std::string GossipService::DataCentreOf(std::string_view address) const {
  const std::lock_guard lock(this->mutex);
  return this->membership.DataCentreOf(address);
}

const VmId& GossipService::Self() const noexcept {
  return this->membership.Self();
}

void GossipService::Tick() {
  std::vector<OutgoingGossip> messages;
  std::vector<MemberChange> changes;
  bool paused = false;
  {
    const std::lock_guard lock(this->mutex);
    messages = this->membership.Tick(this->clock.Now());
    changes = this->membership.TakeChanges();
    paused = this->membership.TakePause();
  }
  if (paused) {
    LogWarning(EventId::kPauseDetected, {LogField::Of("vm", this->Self())});
  }
  this->LogChanges(changes);
  this->Send(messages);
}

void GossipService::Announce(std::size_t fanout) {
  std::vector<OutgoingGossip> messages;
  {
    const std::lock_guard lock(this->mutex);
    messages = this->membership.Announce(fanout);
  }
  this->Send(messages);
}

void GossipService::Send(const std::vector<OutgoingGossip>& messages) {
  std::ranges::for_each(messages, [this](const OutgoingGossip& outgoing) {
    this->transport.SendDatagram(outgoing.address,
                                 EncodeGossip(this->secret, outgoing.message));
  });
}

void GossipService::LogChanges(const std::vector<MemberChange>& changes) {
  std::ranges::for_each(changes, [](const MemberChange& change) {
    LogEvent(EventOf(change.member.news.state),
             {{"vm", change.member.news.address},
              LogField::Of("incarnation", change.member.news.incarnation),
              {"before", std::string(NameOf(change.before))}});
  });
}

}  // namespace limpethaven
