#include <algorithm>
#include <iterator>

#include "core/membership/member_state.h"
#include "limpethaven/membership.h"

namespace limpethaven {
namespace {

/// Unlisted members that are dead or unknown stay in the table for this time.
constexpr DurationMs kDeadRetentionMs = 60'000;
/// An indirect probe expires after this time: an ack that arrives later is not
/// passed on.
constexpr DurationMs kRelayLifetimeMs = 1000;
}  // namespace

void Membership::ExpireProbes(TimeMs now, std::vector<OutgoingGossip>& out) {
  std::vector<std::string> failed;
  for (Probe& probe : this->probes) {
    const DurationMs age = now - probe.sent_at;
    if (age >= this->settings.probe_period_ms) {
      failed.push_back(probe.address);
    } else if (age >= this->settings.ack_timeout_ms && !probe.indirect_sent) {
      probe.indirect_sent = true;
      std::vector<std::string> helpers;
      std::ranges::for_each(this->members, [&](const auto& row) {
        if (IsUsable(row.second) && row.first != probe.address) {
          helpers.push_back(row.first);
        }
      });
      std::ranges::shuffle(helpers, this->random);
      helpers.resize(std::min<std::size_t>(
          helpers.size(),
          static_cast<std::size_t>(this->settings.indirect_probes)));
      std::ranges::for_each(helpers, [&](const std::string& helper) {
        GossipMessage request =
            this->NewMessage(GossipKind::kPingRequest, helper);
        request.sequence = probe.sequence;
        request.target = probe.address;
        out.push_back(OutgoingGossip{helper, std::move(request)});
      });
    }
  }
  std::erase_if(this->probes, [&](const Probe& probe) {
    return now - probe.sent_at >= this->settings.probe_period_ms;
  });
  std::erase_if(this->relays, [now](const Relay& relay) {
    return now - relay.sent_at >= kRelayLifetimeMs;
  });
  std::ranges::for_each(failed, [&](const std::string& address) {
    const auto row = this->members.find(address);
    if (row == this->members.end()) return;
    const MemberState state = row->second.latest.state;
    if (state != MemberState::kAlive && state != MemberState::kLeaving) return;
    MemberUpdate update = row->second.latest;
    update.state = MemberState::kSuspect;
    this->SetState(row->second, update, now);
  });
}

void Membership::ExpireSuspects(TimeMs now) {
  std::ranges::for_each(this->members, [&](auto& row) {
    Member& member = row.second;
    if (member.latest.state != MemberState::kSuspect) return;
    if (now - member.state_since < this->settings.suspicion_timeout_ms) return;
    MemberUpdate update = member.latest;
    update.state = MemberState::kDead;
    this->SetState(member, update, now);
  });
}

void Membership::EvictDead(TimeMs now) {
  std::erase_if(this->members, [now](const auto& row) {
    const Member& member = row.second;
    const bool unreachable = member.latest.state == MemberState::kDead ||
                             member.latest.state == MemberState::kUnknown;
    return unreachable && !member.listed &&
           now - member.state_since >= kDeadRetentionMs;
  });
}

void Membership::StartProbe(TimeMs now, std::vector<OutgoingGossip>& out) {
  const std::string target = this->NextProbeTarget();
  if (target.empty()) return;
  GossipMessage ping = this->NewMessage(GossipKind::kPing, target);
  this->probes.push_back(Probe{target, ping.sequence, now, false});
  out.push_back(OutgoingGossip{target, std::move(ping)});
}

std::string Membership::NextProbeTarget() {
  // Goes through a shuffled list of all members, so that each is probed once in
  // a round.
  if (this->probe_order.empty()) {
    std::ranges::transform(this->members, std::back_inserter(this->probe_order),
                           [](const auto& row) { return row.first; });
    std::ranges::shuffle(this->probe_order, this->random);
  }
  while (!this->probe_order.empty()) {
    std::string target = std::move(this->probe_order.back());
    this->probe_order.pop_back();
    if (this->members.contains(target)) return target;
  }
  return {};
}

}  // namespace limpethaven
