/// @file
/// Failure detection and membership by gossip: members probe each other and
/// attach membership updates to the messages of the probes (as in SWIM).
///
/// A process starts with addresses to probe: configured seeds or the platform's
/// list of VMs, which lags behind. It learns of all other members by gossip.
///
/// Each start of a process has its own incarnation number. Incarnations of one
/// address are compared for equality only, because those of entry processes are
/// random. A new incarnation replaces the recorded one when a message from
/// the process itself carries it; an update from another member replaces it
/// only when the recorded incarnation is dead or its state is unknown.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"
#include "limpethaven/interfaces.h"
#include "limpethaven/leaving_endpoints.h"
#include "limpethaven/load_report.h"
#include "limpethaven/prompt_quarantine.h"
#include "limpethaven/source_revision.h"
#include "limpethaven/vm_id.h"

namespace limpethaven {

/// State of a member as one process sees it. Values are sent as numbers, so
/// their order is part of the wire format. `kUnknown` is a member without any
/// accepted update: it was only listed, or another incarnation has just
/// replaced the recorded one.
enum class MemberState { kUnknown, kAlive, kSuspect, kDead, kLeaving };

/// Name of a state: `unknown`, `alive`, `suspect`, `dead` or `leaving`.
[[nodiscard]] std::string_view NameOf(MemberState state) noexcept;

/// Settings of membership.
struct MembershipSettings {
  /// One member is probed in each period. A probe that is unanswered after a
  /// whole period makes the member suspect.
  DurationMs probe_period_ms = 500;
  /// Time that a probed member has to send its ack. When it has passed, other
  /// members are asked to probe the member too.
  DurationMs ack_timeout_ms = 200;
  /// A suspect that does not refute the suspicion within this time becomes
  /// dead.
  DurationMs suspicion_timeout_ms = 1500;
  /// Number of members that are asked for an indirect probe.
  std::int64_t indirect_probes = 2;
  /// Limit of pending updates that are attached to one message.
  std::size_t updates_per_message = 8;
  /// Randomly chosen members whose state is attached to each message, whether
  /// they have a pending update or not (anti-entropy). Thus every process
  /// learns of all others.
  std::size_t random_members_per_message = 2;
  /// Further randomly chosen members that are attached to the ack of the first
  /// ping from an incarnation.
  std::size_t random_members_for_newcomer = 16;
  /// If two calls of `Tick` are further apart than this, this process was
  /// paused.
  DurationMs pause_threshold_ms = 2000;
  /// Time after its start in which a process does not rely on the number of
  /// processes that it knows: others may have started with it.
  DurationMs discovery_ms = 700;
  /// A listed member that has not answered for this time since the start of
  /// this process is taken for one that is no longer there.
  DurationMs silent_member_ms = 60'000;
};

/// Which VMs a list names.
enum class ListScope {
  kSeeds,  ///< Some VMs of the fleet.
  kFleet,  ///< All VMs, by the source.
};

/// How a process has learned how many processes there are.
enum class FleetKnowledge {
  kNone,         ///< There may be any number that it has not heard of.
  kList,         ///< The source lists all VMs.
  kPeer,         ///< A member that knew it has told this process.
  kSeeds,        ///< All seeds have answered, and none of them knew more.
  kSilentSeeds,  ///< As `kSeeds`, but for seeds that have been silent too long.
};

/// Name of a kind of knowledge: `none`, `list`, `peer`, `seeds` or
/// `silent_seeds`.
[[nodiscard]] std::string_view NameOf(FleetKnowledge knowledge) noexcept;

/// State of a member, as exchanged by gossip.
struct MemberUpdate {
  std::string address;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  /// Counter that only the member itself raises: when it refutes a suspicion,
  /// when its readiness changes (`SetServing`) and when it leaves (`Leave`). Of
  /// two updates of one incarnation, the one with the higher counter replaces
  /// the other.
  std::uint64_t refutation = 0;
  MemberState state = MemberState::kUnknown;
  /// Whether the member is ready to serve callers.
  bool serving = false;
  /// Processor share, in thousandths of a core.
  std::int64_t cpu_millicores = 0;
  friend auto operator<=>(const MemberUpdate&, const MemberUpdate&) = default;
};

/// A row of the member table.
struct Member {
  /// Last update that was accepted.
  MemberUpdate latest;
  /// Whether the seeds or the platform's list named the member when they were
  /// last set.
  bool listed = false;
  /// When the state was entered. A pause of this process sets it to the end of
  /// the pause.
  TimeMs state_since = 0;
  /// Configuration version in the member's last message.
  std::uint64_t config_version = 0;
  /// Processes that the member reported in its last message; 0: none.
  std::size_t known_processes = 0;
  /// Whether this process has received a message from the member itself.
  bool heard = false;
  /// The latest 8 incarnations that were replaced, oldest first. Messages from
  /// them are refused.
  std::vector<std::uint64_t> replaced_incarnations;
  friend auto operator<=>(const Member&, const Member&) = default;
};

std::ostream& operator<<(std::ostream& out, const Member& member);

/// Kinds of gossip messages, sent as numbers: their order is part of the wire
/// format. `kPing` and `kRelayedPing` are answered by `kAck`. `kPingRequest`
/// asks the receiver to send `kRelayedPing` to a third member and to pass its
/// ack on.
enum class GossipKind { kPing, kAck, kPingRequest, kRelayedPing };

/// A gossip datagram.
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  VmId from;
  std::string from_data_centre;
  std::uint64_t from_refutation = 0;
  bool from_leaving = false;
  bool from_serving = false;
  /// Processor share of the sender, in thousandths of a core.
  std::int64_t from_cpu_millicores = 0;
  /// Incarnation that the message is meant for; 0 when the sender does not know
  /// it or has recorded it as dead.
  std::uint64_t to_incarnation = 0;
  /// Matches an ack to its ping; a ping request carries the sequence of the
  /// probe that it stands for.
  std::uint64_t sequence = 0;
  /// Address to probe, in a ping request; otherwise empty.
  std::string target;
  std::uint64_t config_version = 0;
  /// First 16 digits of the configuration's digest.
  std::string config_digest;
  /// Latest revision of the endpoints at the configuration source that the
  /// sender has received.
  SourceRevision endpoints_revision;
  /// Processes that the sender knows, itself included, or, shortly after its
  /// start, that others know; 0 in messages of earlier versions.
  std::size_t known_processes = 0;
  /// Whether the sender knows the fleet (`Membership::KnowsFleet`) or a member
  /// that does has told it. Missing in messages of earlier versions, whose
  /// processes are taken to know it.
  bool knows_fleet = true;
  std::vector<MemberUpdate> updates;
  /// Evidence against parts of prompts; `Membership` neither reads nor sets it.
  std::vector<PartEvidence> evidence;
  /// Endpoints that are leaving by their own word; `Membership` neither reads
  /// nor sets them.
  std::vector<LeavingEndpoint> leaving_endpoints;
  /// Calls of the sender to plain endpoints; `Membership` neither reads nor
  /// sets it. Sequence 0: the sender reports none.
  LoadReport load;
  friend auto operator<=>(const GossipMessage&, const GossipMessage&) = default;
};

/// Encodes a message as CBOR behind a 16-byte authentication tag, which is the
/// start of the HMAC-SHA-256 of the CBOR under the fleet's secret.
[[nodiscard]] std::string EncodeGossip(std::string_view secret,
                                       const GossipMessage& message);
/// Decodes a message. The error is `kPeerRejected` when the message is
/// malformed or its tag does not match.
[[nodiscard]] Result<GossipMessage> DecodeGossip(std::string_view secret,
                                                 std::string_view bytes);

/// A gossip message and the address to send it to.
struct OutgoingGossip {
  std::string address;
  GossipMessage message;
};

/// A change of a member's state or incarnation. It is used for logs, and to
/// ping a member as soon as another one reports it alive.
struct MemberChange {
  Member member;
  MemberState previous_state = MemberState::kUnknown;
};

/// Membership of one process. Not thread safe. Does no I/O and reads no clock;
/// its randomness comes from `random_seed` alone.
class Membership {
 public:
  Membership(VmId self, std::string data_centre, MembershipSettings settings,
             std::uint64_t random_seed);

  /// Replaces the list of VMs to probe. Members that are no longer listed stay
  /// as long as they answer.
  void SetListed(const std::vector<ListedVm>& vms, TimeMs now,
                 ListScope scope = ListScope::kSeeds);
  /// Sets the configuration version and digest that messages carry.
  void SetConfig(std::uint64_t version, std::string_view digest);
  /// Sets the revision of the endpoints that messages carry.
  void SetEndpointsRevision(const SourceRevision& revision);
  /// Sets the processor share of this process that messages carry, in
  /// thousandths of a core.
  void SetCpuMillicores(std::int64_t millicores);
  /// Makes a ping to one member outside the probe schedule, for a member that
  /// is known only through others. It is no probe: a missing ack has no effect.
  [[nodiscard]] OutgoingGossip MakePing(const std::string& address);
  /// Sets whether this process is ready to serve callers.
  void SetServing(bool serving);
  /// Marks this process as leaving in all messages from now on.
  void Leave();
  /// Starts and expires probes and suspicions. Returns the messages to send.
  /// Call it several times in each probe period.
  [[nodiscard]] std::vector<OutgoingGossip> Tick(TimeMs now);
  /// Makes pings to up to `fanout` random usable members outside the probe
  /// schedule, so that a change of this process's own state spreads at once.
  [[nodiscard]] std::vector<OutgoingGossip> Announce(std::size_t fanout);
  /// Handles a message and returns the answers to send. The error is
  /// `kPeerRejected` for a message from a replaced incarnation or under this
  /// process's own address. A message for another incarnation of this process
  /// changes nothing here and is answered by a ping that carries the present
  /// incarnation.
  [[nodiscard]] Result<std::vector<OutgoingGossip>> Receive(
      const GossipMessage& message, TimeMs now);
  /// Returns whether `Tick` has found a pause of this process since the last
  /// call, and clears the flag.
  [[nodiscard]] bool TakePauseDetected() noexcept;
  /// Returns the changes since the last call.
  [[nodiscard]] std::vector<MemberChange> TakeChanges();

  /// All members without this process, ascending by address.
  [[nodiscard]] std::vector<Member> Members() const;
  /// Addresses that can be given work: alive or suspect. Includes this process
  /// unless it is leaving. Other members that are leaving are included only
  /// while they are suspect.
  [[nodiscard]] std::vector<std::string> UsableAddresses() const;
  /// Addresses of one data centre that can be given work.
  [[nodiscard]] std::vector<std::string> UsableAddresses(
      std::string_view data_centre) const;
  /// Addresses of the members that serve callers: alive and serving. Includes
  /// this process if it serves and is not leaving.
  [[nodiscard]] std::vector<std::string> ServingAddresses() const;
  /// Latest updates of the members that `ServingAddresses` returns.
  [[nodiscard]] std::vector<MemberUpdate> ServingMembers() const;
  /// Number of processes that may be alive, this one included: those that it
  /// knows, or those that a member knows, whichever is more. It may be too
  /// small while `KnowsFleet` is false.
  [[nodiscard]] std::size_t FleetSize() const;
  /// Whether this process can rely on `FleetSize`. A process that has just
  /// started, alone or with others, cannot tell a small fleet from one that it
  /// is cut off from. Once true it stays so.
  [[nodiscard]] bool KnowsFleet() const noexcept;
  /// Number of processes that may be alive, this one included; 0 while this
  /// process cannot rely on it.
  [[nodiscard]] std::size_t KnownFleetSize() const;
  /// How this process has learned of the size of the fleet.
  [[nodiscard]] FleetKnowledge Knowledge() const noexcept;
  /// Listed members that this process has not heard from, ascending.
  [[nodiscard]] std::vector<std::string> SilentListed() const;
  [[nodiscard]] const MembershipSettings& Settings() const noexcept;
  /// Data centre of a member; empty when the member is not known.
  [[nodiscard]] std::string DataCentreOf(std::string_view address) const;
  [[nodiscard]] const VmId& Self() const noexcept;

 private:
  struct Probe {
    std::string address;
    std::uint64_t sequence = 0;
    TimeMs sent_at = 0;
    bool indirect_sent = false;
  };
  /// The latest update of one member, attached to messages until it has been
  /// sent a number of times that grows with the logarithm of the fleet's size.
  struct PendingUpdate {
    std::string address;
    /// Whether the update is about the first contact with a listed member.
    /// The other processes probe listed members themselves, so other updates go
    /// first.
    bool low_priority = false;
    std::int64_t transmissions = 0;
  };
  /// An indirect probe that this process makes for another member.
  struct Relay {
    std::string requester;
    std::uint64_t requester_sequence = 0;
    std::uint64_t ping_sequence = 0;
    TimeMs sent_at = 0;
  };

  [[nodiscard]] GossipMessage NewMessage(GossipKind kind, std::string_view to);
  void AttachPendingUpdates(GossipMessage& message);
  /// Attaches the state of `count` random members that are alive or leaving.
  void AttachRandomMembers(GossipMessage& message, std::size_t count);
  /// Resets the row of an address whose process reports another incarnation.
  void ReplaceIncarnation(const VmId& successor, TimeMs now);
  /// Adds a pending update in place of an earlier one for the same address.
  void QueueUpdate(const std::string& address, bool low_priority);
  void Merge(const MemberUpdate& update, TimeMs now);
  /// Raises this process's refutation above that of an update which calls it
  /// suspect or dead.
  void RefuteSuspicion(const MemberUpdate& update);
  void SetState(Member& member, const MemberUpdate& update, TimeMs now);
  /// Merges the state of the sender that a message carries.
  void MergeSender(const GossipMessage& message, TimeMs now);
  /// Sends indirect probes, and makes members suspect whose probe failed.
  void ExpireProbes(TimeMs now, std::vector<OutgoingGossip>& out);
  void ExpireSuspects(TimeMs now);
  /// Removes unlisted members that have been dead or unknown for
  /// `kDeadRetentionMs`.
  void EvictDead(TimeMs now);
  /// Learns how large the fleet is, from what the members have told. Pings the
  /// listed members that have not answered yet.
  void LearnFleet(TimeMs now, std::vector<OutgoingGossip>& out);
  /// Number of processes that messages report.
  [[nodiscard]] std::size_t ReportedProcesses() const;
  /// What the members have told of the size of the fleet so far.
  [[nodiscard]] FleetKnowledge KnowledgeAt(TimeMs now) const;
  void StartProbe(TimeMs now, std::vector<OutgoingGossip>& out);
  [[nodiscard]] std::string NextProbeTarget();
  [[nodiscard]] OutgoingGossip MakeAck(const GossipMessage& message,
                                       std::string_view to,
                                       std::uint64_t sequence);

  VmId self;
  std::string data_centre;
  MembershipSettings settings;
  std::mt19937_64 random;
  /// Members by address, without this process.
  std::map<std::string, Member, std::less<>> members;
  std::vector<std::string> probe_order;
  std::vector<Probe> probes;
  std::vector<Relay> relays;
  std::vector<PendingUpdate> pending_updates;
  std::vector<MemberChange> changes;
  std::uint64_t next_sequence = 1;
  std::uint64_t refutation = 0;
  bool leaving = false;
  bool serving = false;
  std::int64_t cpu_millicores = 0;
  bool pause_detected = false;
  TimeMs started_at = 0;  ///< First call of `Tick`.
  TimeMs last_tick = 0;
  TimeMs next_probe = 0;
  bool ticked = false;
  ListScope list_scope = ListScope::kSeeds;
  FleetKnowledge knowledge = FleetKnowledge::kNone;
  /// Whether a member that knows the fleet has told its size.
  bool told_by_peer = false;
  TimeMs next_listed_ping = 0;
  std::uint64_t config_version = 0;
  std::string config_digest;
  SourceRevision endpoints_revision;
};

}  // namespace limpethaven
