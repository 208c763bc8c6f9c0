#include "limpethaven/membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <ostream>

#include "core/membership/member_state.h"

namespace limpethaven {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {
    "unknown", "alive", "suspect", "dead", "leaving"};

/// Precedence of a state: of two updates with the same incarnation and
/// refutation, the one with the higher precedence replaces the other.
int PrecedenceOf(MemberState state) {
  switch (state) {
    case MemberState::kUnknown:
      return 0;
    case MemberState::kAlive:
      return 1;
    case MemberState::kLeaving:
      return 2;
    case MemberState::kSuspect:
      return 3;
    case MemberState::kDead:
      return 4;
  }
  return 0;
}

/// Members that a process informs as soon as it is told the size of the fleet.
constexpr std::size_t kToldFanout = 8;
/// Most replaced incarnations that are recorded for an address.
constexpr std::size_t kMaxReplacedIncarnationCount = 8;

/// Whether the left update replaces the right one of the same incarnation.
bool IsNewer(const MemberUpdate& left, const MemberUpdate& right) {
  const auto key = [](const MemberUpdate& update) {
    return std::tuple(update.refutation, PrecedenceOf(update.state));
  };
  return key(left) > key(right);
}

bool WasReplaced(const Member& member, std::uint64_t incarnation) {
  return std::ranges::find(member.replaced_incarnations, incarnation) !=
         member.replaced_incarnations.end();
}

/// Adds the member's present incarnation to the replaced ones.
void RecordReplacedIncarnation(Member& member) {
  if (member.latest.incarnation == 0) return;
  member.replaced_incarnations.push_back(member.latest.incarnation);
  if (member.replaced_incarnations.size() > kMaxReplacedIncarnationCount) {
    member.replaced_incarnations.erase(member.replaced_incarnations.begin());
  }
}

}  // namespace

std::string_view NameOf(MemberState state) noexcept {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::ostream& operator<<(std::ostream& out, const Member& member) {
  return out << member.latest.address << '@' << member.latest.incarnation << ' '
             << NameOf(member.latest.state)
             << (member.listed ? "" : " (not listed)");
}

Membership::Membership(VmId vm_id, std::string vm_data_centre,
                       MembershipSettings membership_settings,
                       std::uint64_t random_seed)
    : self(std::move(vm_id)),
      data_centre(std::move(vm_data_centre)),
      settings(membership_settings),
      random(random_seed) {}

void Membership::SetListed(const std::vector<ListedVm>& vms, TimeMs now,
                           ListScope scope) {
  this->list_scope = scope;
  std::ranges::for_each(this->members,
                        [](auto& row) { row.second.listed = false; });
  std::ranges::for_each(vms, [&](const ListedVm& vm) {
    if (vm.address == this->self.address) return;
    Member& member = this->members[vm.address];
    member.listed = true;
    if (member.latest.address.empty()) {
      member.latest.address = vm.address;
      member.latest.data_centre = vm.data_centre;
      member.state_since = now;
    }
  });
}

void Membership::SetConfig(std::uint64_t version, std::string_view digest) {
  this->config_version = version;
  this->config_digest = std::string(digest.substr(0, 16));
}

void Membership::SetEndpointsRevision(const SourceRevision& revision) {
  this->endpoints_revision = revision;
}

void Membership::SetCpuMillicores(std::int64_t millicores) {
  this->cpu_millicores = millicores;
}

void Membership::SetServing(bool is_serving) {
  if (this->serving == is_serving) return;
  this->serving = is_serving;
  ++this->refutation;
}

void Membership::Leave() {
  this->leaving = true;
  ++this->refutation;
  this->QueueUpdate(this->self.address, false);
}

std::vector<OutgoingGossip> Membership::Tick(TimeMs now) {
  std::vector<OutgoingGossip> out;
  if (this->ticked &&
      now - this->last_tick > this->settings.pause_threshold_ms) {
    // Acks that were missed during the pause say nothing about the other
    // members: drop the open probes and restart the suspicion time-outs.
    this->pause_detected = true;
    this->probes.clear();
    std::ranges::for_each(this->members,
                          [now](auto& row) { row.second.state_since = now; });
  }
  if (!this->ticked) this->started_at = now;
  this->last_tick = now;
  this->ticked = true;
  this->ExpireProbes(now, out);
  this->ExpireSuspects(now);
  this->EvictDead(now);
  if (now >= this->next_probe) {
    this->next_probe = now + this->settings.probe_period_ms;
    this->StartProbe(now, out);
  }
  this->LearnFleet(now, out);
  return out;
}

std::vector<OutgoingGossip> Membership::Announce(std::size_t fanout) {
  std::vector<std::string> targets;
  std::ranges::for_each(this->members, [&targets](const auto& row) {
    if (IsUsable(row.second)) targets.push_back(row.first);
  });
  std::ranges::shuffle(targets, this->random);
  targets.resize(std::min(targets.size(), fanout));
  std::vector<OutgoingGossip> out;
  std::ranges::transform(
      targets, std::back_inserter(out), [this](const std::string& target) {
        return OutgoingGossip{target,
                              this->NewMessage(GossipKind::kPing, target)};
      });
  return out;
}

OutgoingGossip Membership::MakePing(const std::string& address) {
  return OutgoingGossip{address, this->NewMessage(GossipKind::kPing, address)};
}

Result<std::vector<OutgoingGossip>> Membership::Receive(
    const GossipMessage& message, TimeMs now) {
  if (message.from.address == this->self.address) {
    return Error::Of(ErrorKind::kPeerRejected,
                     "gossip message with this process's own address " +
                         this->self.address + " as its sender");
  }
  const auto known = this->members.find(message.from.address);
  if (known != this->members.end() &&
      WasReplaced(known->second, message.from.incarnation)) {
    return Error::Of(ErrorKind::kPeerRejected,
                     "gossip message from replaced incarnation " +
                         std::to_string(message.from.incarnation) + " of " +
                         message.from.address);
  }
  const bool newcomer =
      known == this->members.end() ||
      known->second.latest.incarnation != message.from.incarnation;
  if (message.to_incarnation != 0 &&
      message.to_incarnation != this->self.incarnation) {
    // The sender has recorded another incarnation of this process: the answer
    // is a ping that carries the present one.
    std::vector<OutgoingGossip> answers;
    answers.push_back(OutgoingGossip{
        message.from.address,
        this->NewMessage(GossipKind::kPing, message.from.address)});
    answers.back().message.to_incarnation = message.from.incarnation;
    return answers;
  }
  if (newcomer) this->ReplaceIncarnation(message.from, now);
  const bool was_told = this->told_by_peer || this->KnowsFleet();
  this->MergeSender(message, now);
  std::ranges::for_each(message.updates, [&](const MemberUpdate& update) {
    this->Merge(update, now);
  });
  std::vector<OutgoingGossip> out;
  // Processes that have started together learn of the fleet through the first
  // one that any other member reaches.
  if (!was_told && this->told_by_peer) out = this->Announce(kToldFanout);
  switch (message.kind) {
    case GossipKind::kPing:
    case GossipKind::kRelayedPing:
      out.push_back(
          this->MakeAck(message, message.from.address, message.sequence));
      if (newcomer) {
        this->AttachRandomMembers(out.back().message,
                                  this->settings.random_members_for_newcomer);
      }
      break;
    case GossipKind::kPingRequest: {
      GossipMessage ping =
          this->NewMessage(GossipKind::kRelayedPing, message.target);
      this->relays.push_back(
          Relay{message.from.address, message.sequence, ping.sequence, now});
      out.push_back(OutgoingGossip{message.target, std::move(ping)});
      break;
    }
    case GossipKind::kAck: {
      std::erase_if(this->probes, [&](const Probe& probe) {
        return probe.sequence == message.sequence;
      });
      const auto relay = std::ranges::find(this->relays, message.sequence,
                                           &Relay::ping_sequence);
      if (relay != this->relays.end()) {
        out.push_back(this->MakeAck(message, relay->requester,
                                    relay->requester_sequence));
        this->relays.erase(relay);
      }
      break;
    }
  }
  return out;
}

bool Membership::TakePauseDetected() noexcept {
  const bool was_paused = this->pause_detected;
  this->pause_detected = false;
  return was_paused;
}

std::vector<MemberChange> Membership::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> rows;
  rows.reserve(this->members.size());
  std::ranges::transform(this->members, std::back_inserter(rows),
                         [](const auto& row) { return row.second; });
  return rows;
}

std::vector<std::string> Membership::UsableAddresses() const {
  return this->UsableAddresses(std::string_view());
}

std::vector<std::string> Membership::UsableAddresses(
    std::string_view centre) const {
  std::vector<std::string> addresses;
  if (!this->leaving && (centre.empty() || centre == this->data_centre)) {
    addresses.push_back(this->self.address);
  }
  std::ranges::for_each(this->members, [&](const auto& row) {
    const Member& member = row.second;
    if (!IsUsable(member) ||
        (!centre.empty() && centre != member.latest.data_centre)) {
      return;
    }
    addresses.push_back(member.latest.address);
  });
  return addresses;
}

std::vector<std::string> Membership::ServingAddresses() const {
  const std::vector<MemberUpdate> serving_now = this->ServingMembers();
  std::vector<std::string> addresses;
  std::ranges::transform(serving_now, std::back_inserter(addresses),
                         &MemberUpdate::address);
  return addresses;
}

std::vector<MemberUpdate> Membership::ServingMembers() const {
  std::vector<MemberUpdate> rows;
  if (!this->leaving && this->serving) {
    rows.push_back(MemberUpdate{
        this->self.address, this->data_centre, this->self.incarnation,
        this->refutation, MemberState::kAlive, true, this->cpu_millicores});
  }
  std::ranges::for_each(this->members, [&rows](const auto& row) {
    const MemberUpdate& member = row.second.latest;
    if (member.state == MemberState::kAlive && member.serving) {
      rows.push_back(member);
    }
  });
  return rows;
}

std::size_t Membership::FleetSize() const {
  return std::accumulate(
      this->members.begin(), this->members.end(), this->members.size() + 1,
      [](std::size_t largest, const auto& row) {
        return IsUsable(row.second)
                   ? std::max(largest, row.second.known_processes)
                   : largest;
      });
}

std::string Membership::DataCentreOf(std::string_view address) const {
  if (address == this->self.address) return this->data_centre;
  const auto row = this->members.find(address);
  return row == this->members.end() ? std::string()
                                    : row->second.latest.data_centre;
}

const VmId& Membership::Self() const noexcept { return this->self; }

GossipMessage Membership::NewMessage(GossipKind kind, std::string_view to) {
  GossipMessage message;
  message.kind = kind;
  message.from = this->self;
  message.from_data_centre = this->data_centre;
  message.from_refutation = this->refutation;
  message.from_leaving = this->leaving;
  message.from_serving = this->serving;
  message.from_cpu_millicores = this->cpu_millicores;
  message.sequence = this->next_sequence++;
  message.config_version = this->config_version;
  message.config_digest = this->config_digest;
  message.endpoints_revision = this->endpoints_revision;
  message.known_processes = this->ReportedProcesses();
  message.knows_fleet = this->told_by_peer || this->KnowsFleet();
  const auto row = this->members.find(to);
  if (row != this->members.end()) {
    message.to_incarnation = row->second.latest.incarnation;
    const MemberState state = row->second.latest.state;
    // A suspect or dead member is sent the update that declares it suspect or
    // dead, so that it can refute it. A message to a dead member names no
    // incarnation: another process may have started at the address, which would
    // not accept a message for the dead incarnation.
    if (state == MemberState::kDead) message.to_incarnation = 0;
    if (state == MemberState::kDead || state == MemberState::kSuspect) {
      message.updates.push_back(row->second.latest);
    }
  }
  this->AttachPendingUpdates(message);
  this->AttachRandomMembers(message, this->settings.random_members_per_message);
  return message;
}

void Membership::AttachRandomMembers(GossipMessage& message,
                                     std::size_t count) {
  std::vector<const Member*> known;
  std::ranges::for_each(this->members, [&known](const auto& row) {
    const MemberState state = row.second.latest.state;
    const bool shared =
        state == MemberState::kAlive || state == MemberState::kLeaving;
    if (shared) known.push_back(&row.second);
  });
  std::ranges::shuffle(known, this->random);
  known.resize(std::min(known.size(), count));
  std::ranges::for_each(known, [&message](const Member* member) {
    message.updates.push_back(member->latest);
  });
}

void Membership::ReplaceIncarnation(const VmId& successor, TimeMs now) {
  const auto row = this->members.find(successor.address);
  if (row == this->members.end()) return;
  Member& member = row->second;
  RecordReplacedIncarnation(member);
  member.latest.incarnation = successor.incarnation;
  member.latest.refutation = 0;
  member.latest.serving = false;
  member.latest.state = MemberState::kUnknown;
  member.config_version = 0;
  member.state_since = now;
}

void Membership::AttachPendingUpdates(GossipMessage& message) {
  // Three times log2(n) transmissions reach all n members with high
  // probability.
  const auto max_transmissions = static_cast<std::int64_t>(
      3.0 *
      std::ceil(std::log2(static_cast<double>(this->members.size()) + 2.0)));
  const auto count = static_cast<std::ptrdiff_t>(std::min(
      this->pending_updates.size(), this->settings.updates_per_message));
  // Low-priority updates come last; within a priority, the least sent go first.
  std::ranges::partial_sort(
      this->pending_updates, this->pending_updates.begin() + count, {},
      [](const PendingUpdate& pending) {
        return std::pair(pending.low_priority, pending.transmissions);
      });
  std::for_each(this->pending_updates.begin(),
                this->pending_updates.begin() + count,
                [&](PendingUpdate& pending) {
                  ++pending.transmissions;
                  const auto row = this->members.find(pending.address);
                  if (row != this->members.end()) {
                    message.updates.push_back(row->second.latest);
                  }
                });
  std::erase_if(this->pending_updates, [&](const PendingUpdate& pending) {
    return pending.transmissions >= max_transmissions ||
           !this->members.contains(pending.address);
  });
}

void Membership::QueueUpdate(const std::string& address, bool low_priority) {
  std::erase_if(this->pending_updates, [&](const PendingUpdate& pending) {
    return pending.address == address;
  });
  this->pending_updates.push_back(PendingUpdate{address, low_priority, 0});
}

void Membership::Merge(const MemberUpdate& update, TimeMs now) {
  if (update.address == this->self.address) {
    this->RefuteSuspicion(update);
    return;
  }
  Member& member = this->members[update.address];
  if (member.latest.address.empty()) {
    member.latest.address = update.address;
    member.latest.data_centre = update.data_centre;
    member.state_since = now;
  }
  if (update.incarnation != member.latest.incarnation) {
    // Incarnations have no order: only a message from the process itself shows
    // which one is later. An update from another member is accepted only if the
    // recorded incarnation is not known or is dead.
    const bool replaceable = member.latest.incarnation == 0 ||
                             member.latest.state == MemberState::kUnknown ||
                             member.latest.state == MemberState::kDead;
    if (!replaceable || WasReplaced(member, update.incarnation)) return;
    RecordReplacedIncarnation(member);
    this->SetState(member, update, now);
    return;
  }
  if (!IsNewer(update, member.latest)) return;
  this->SetState(member, update, now);
}

void Membership::RefuteSuspicion(const MemberUpdate& update) {
  if (update.incarnation != this->self.incarnation ||
      update.refutation < this->refutation) {
    return;
  }
  if (update.state != MemberState::kSuspect &&
      update.state != MemberState::kDead) {
    return;
  }
  this->refutation = update.refutation + 1;
}

void Membership::SetState(Member& member, const MemberUpdate& update,
                          TimeMs now) {
  const MemberState previous_state = member.latest.state;
  const bool changed = previous_state != update.state ||
                       member.latest.incarnation != update.incarnation;
  const bool serving_changed = member.latest.serving != update.serving;
  member.latest = update;
  // Owners of cells are chosen among the serving members, so this change is
  // gossiped too.
  if (!changed && serving_changed) {
    this->QueueUpdate(member.latest.address, false);
  }
  if (!changed) return;
  member.state_since = now;
  this->changes.push_back(MemberChange{member, previous_state});
  // Every process probes the listed members itself, so an update about the
  // first contact with one has low priority. Otherwise, when a fleet of 460
  // members starts at once, first contacts fill the messages and delay other
  // updates for minutes.
  const bool low_priority = member.listed &&
                            previous_state == MemberState::kUnknown &&
                            update.state == MemberState::kAlive;
  this->QueueUpdate(member.latest.address, low_priority);
}

void Membership::MergeSender(const GossipMessage& message, TimeMs now) {
  const MemberUpdate update{
      message.from.address,
      message.from_data_centre,
      message.from.incarnation,
      message.from_refutation,
      message.from_leaving ? MemberState::kLeaving : MemberState::kAlive,
      message.from_serving,
      message.from_cpu_millicores};
  this->Merge(update, now);
  Member& sender = this->members[message.from.address];
  sender.config_version = message.config_version;
  sender.known_processes = message.known_processes;
  sender.heard = true;
  if (message.knows_fleet && message.known_processes > 0) {
    this->told_by_peer = true;
  }
}

OutgoingGossip Membership::MakeAck(const GossipMessage& message,
                                   std::string_view to,
                                   std::uint64_t sequence) {
  GossipMessage ack = this->NewMessage(GossipKind::kAck, to);
  ack.sequence = sequence;
  if (to == message.from.address) ack.to_incarnation = message.from.incarnation;
  return OutgoingGossip{std::string(to), std::move(ack)};
}

}  // namespace limpethaven
