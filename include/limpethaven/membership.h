/// @file
/// Membership: which processes are alive, found by probing and spread by
/// gossip.
///
/// Seeds or the platform's lagging list of VMs name whom to probe first;
/// members learn of the others from each other. Each process has a random
/// incarnation: incarnations have no order, so a successor is known by what the
/// process itself says, or by news of it once its predecessor is dead. Members
/// are alive, suspect, dead or leaving.
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
#include "limpethaven/vm_id.h"

namespace limpethaven {

/// State of a member as one process sees it.
enum class MemberState { kUnknown, kAlive, kSuspect, kDead, kLeaving };

/// `unknown`, `alive`, `suspect`, `dead` or `leaving`.
[[nodiscard]] std::string_view NameOf(MemberState state) noexcept;

/// Settings of membership.
struct MembershipSettings {
  DurationMs probe_period_ms = 500;  ///< One member is probed each period.
  DurationMs ack_timeout_ms =
      200;  ///< After this, others are asked to probe too.
  DurationMs suspicion_ms =
      1500;  ///< A suspect that does not refute becomes dead.
  std::int64_t indirect_probes = 2;  ///< Members asked to probe in our place.
  std::size_t updates_per_message = 8;
  /// Members told with each message whether there is news of them or not, so
  /// that every process comes to know all.
  std::size_t known_per_message = 2;
  /// The same, in the first answer to a process that was not known.
  std::size_t known_for_newcomer = 16;
  DurationMs pause_ms =
      2000;  ///< A longer gap between ticks is a pause of our own.
};

/// One piece of news about a member.
struct MemberUpdate {
  std::string address;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  std::uint64_t refutation =
      0;  ///< Raised by the member itself to refute suspicion.
  MemberState state = MemberState::kUnknown;
  bool serving = false;  ///< Has what it needs to serve callers.
  std::int64_t cpu_millicores =
      0;  ///< Processor share, in thousandths of a core.
  friend auto operator<=>(const MemberUpdate&, const MemberUpdate&) = default;
};

/// A row of the member table.
struct Member {
  MemberUpdate latest;
  bool listed = false;  ///< On the platform's list when it was last read.
  TimeMs since = 0;     ///< When the state was entered.
  std::uint64_t config_version = 0;
  std::vector<std::uint64_t> retired;  ///< Earlier incarnations, oldest first.
  friend auto operator<=>(const Member&, const Member&) = default;
};

std::ostream& operator<<(std::ostream& out, const Member& member);

/// Kinds of gossip messages.
enum class GossipKind { kPing, kAck, kPingRequest, kRelayedPing };

/// A gossip datagram.
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  VmId from;
  std::string from_data_centre;
  std::uint64_t from_refutation = 0;
  bool from_leaving = false;
  bool from_serving = false;
  std::int64_t from_cpu_millicores = 0;
  std::uint64_t to_incarnation = 0;  ///< 0: the sender does not know it yet.
  std::uint64_t sequence = 0;
  std::string
      target;  ///< For ping requests: whom to probe. For relays: for whom.
  std::uint64_t config_version = 0;
  std::string config_digest;  ///< First digits of the configuration's digest.
  /// Newest revision of the source's endpoints that the sender has heard of.
  std::uint64_t endpoints_revision = 0;
  std::vector<MemberUpdate> updates;
  friend auto operator<=>(const GossipMessage&, const GossipMessage&) = default;
};

/// Bytes of a message under the fleet's secret: CBOR behind a 16-byte
/// authentication tag.
[[nodiscard]] std::string EncodeGossip(std::string_view secret,
                                       const GossipMessage& message);
/// Reads a message; an error when it is malformed or its tag does not fit.
[[nodiscard]] Result<GossipMessage> DecodeGossip(std::string_view secret,
                                                 std::string_view bytes);

/// A message to send.
struct OutgoingGossip {
  std::string address;
  GossipMessage message;
};

/// A change of state, for logs and for those who hold leases of the member.
struct MemberChange {
  Member member;
  MemberState previous_state = MemberState::kUnknown;
};

/// Membership of one process. Not thread safe; no I/O, no clock, randomness
/// from the seed.
class Membership {
 public:
  Membership(VmId self, std::string data_centre, MembershipSettings settings,
             std::uint64_t seed);

  /// Takes in the platform's list. Members off the list are kept while they
  /// answer.
  void SetListed(const std::vector<ListedVm>& vms, TimeMs now);
  /// Version and digest that messages carry.
  void SetConfig(std::uint64_t version, std::string_view digest);
  /// Sets the endpoints' revision that messages carry.
  void SetEndpointsRevision(std::uint64_t revision);
  /// Processor share that this process tells, in thousandths of a core.
  void SetCpuMillicores(std::int64_t cpu_millicores);
  /// Says whether this process has what it needs to serve callers.
  /// A ping to one member, for one that was heard of through others.
  [[nodiscard]] OutgoingGossip MakePing(const std::string& address);
  void SetServing(bool serving);
  /// Announces that this process is leaving.
  void Leave();
  /// Probes, times out and spreads news. Call it several times each probe
  /// period.
  [[nodiscard]] std::vector<OutgoingGossip> Tick(TimeMs now);
  /// Messages that tell up to `fanout` random usable members what is new,
  /// outside of probing.
  [[nodiscard]] std::vector<OutgoingGossip> Announce(std::size_t fanout);
  /// Takes in a message; returns answers. Messages from an earlier incarnation
  /// are refused; one for an earlier incarnation of this process is only
  /// answered by an introduction.
  [[nodiscard]] Result<std::vector<OutgoingGossip>> Receive(
      const GossipMessage& message, TimeMs now);
  /// Whether the last `Tick` found that this process had been paused; cleared
  /// by reading it.
  [[nodiscard]] bool TakePauseDetected() noexcept;
  /// State changes since the last call.
  [[nodiscard]] std::vector<MemberChange> TakeChanges();

  [[nodiscard]] std::vector<Member> Members() const;
  /// Addresses that can be given work: alive or suspect, this process included
  /// unless leaving.
  [[nodiscard]] std::vector<std::string> UsableAddresses() const;
  /// Addresses of a data centre that can be given work.
  [[nodiscard]] std::vector<std::string> UsableAddresses(
      std::string_view data_centre) const;
  /// Addresses that serve callers: alive and serving, this process included.
  [[nodiscard]] std::vector<std::string> ServingAddresses() const;
  /// The same with what is known of each.
  [[nodiscard]] std::vector<MemberUpdate> ServingMembers() const;
  /// Data centre of a member; empty when unknown.
  [[nodiscard]] std::string DataCentreOf(std::string_view address) const;
  [[nodiscard]] const VmId& Self() const noexcept;

 private:
  struct Probe {
    std::string address;
    std::uint64_t sequence = 0;
    TimeMs sent_at = 0;
    bool indirect_sent = false;
  };
  struct News {
    std::string address;
    bool expected =
        false;  ///< A first contact that others will make themselves.
    std::int64_t transmissions = 0;
  };
  struct Relay {
    std::string requester;
    std::uint64_t requester_sequence = 0;
    std::uint64_t own_sequence = 0;
    TimeMs sent_at = 0;
  };

  [[nodiscard]] GossipMessage NewMessage(GossipKind kind, std::string_view to);
  void AttachNews(GossipMessage& message);
  /// Adds members whether there is news of them or not.
  void AttachKnown(GossipMessage& message, std::size_t count);
  /// The process at this address says that it is another incarnation.
  void Succeed(const VmId& successor, TimeMs now);
  void Spread(const std::string& address, bool expected);
  void Merge(const MemberUpdate& update, TimeMs now);
  void MergeSelf(const MemberUpdate& update);
  void SetState(Member& member, const MemberUpdate& update, TimeMs now);
  void HearFrom(const GossipMessage& message, TimeMs now);
  void ExpireProbe(TimeMs now, std::vector<OutgoingGossip>& out);
  void ExpireSuspects(TimeMs now);
  void ForgetDead(TimeMs now);
  void StartProbe(TimeMs now, std::vector<OutgoingGossip>& out);
  [[nodiscard]] std::string NextTarget();
  [[nodiscard]] OutgoingGossip AckOf(const GossipMessage& message,
                                     std::string_view to,
                                     std::uint64_t sequence);

  VmId self;
  std::string data_centre;
  MembershipSettings settings;
  std::mt19937_64 random;
  std::map<std::string, Member, std::less<>>
      members;  ///< Without this process.
  std::vector<std::string> probe_order;
  std::vector<Probe> probes;
  std::vector<Relay> relays;
  std::vector<News> news;
  std::vector<MemberChange> changes;
  std::uint64_t next_sequence = 1;
  std::uint64_t refutation = 0;
  bool leaving = false;
  bool serving = false;
  std::int64_t cpu_millicores = 0;
  bool paused = false;
  TimeMs last_tick = 0;
  TimeMs next_probe = 0;
  bool ticked = false;
  std::uint64_t config_version = 0;
  std::string config_digest;
  std::uint64_t endpoints_revision = 0;
};

}  // namespace limpethaven
