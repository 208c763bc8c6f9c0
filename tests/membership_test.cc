/// @file
/// Membership of simulated fleets: detection of deaths, refutation of
/// suspicions, restarts, pauses, partitions and gossip of updates.
#include "limpethaven/membership.h"

#include <catch2/catch.hpp>

#include "membership_fleet.h"

namespace limpethaven {
namespace {

using testing::FleetNetwork;
using testing::MembershipFleet;

constexpr DurationMs kSettleMs = 5000;
constexpr DurationMs kDetectionMs = 15'000;

TEST_CASE("membership sees every listed process as alive") {
  MembershipFleet fleet(8, FleetNetwork{}, 1);
  fleet.RunFor(kSettleMs);
  for (std::size_t of = 0; of < 8; ++of) {
    REQUIRE(fleet.AllSee(of, MemberState::kAlive));
  }
  REQUIRE(fleet.FalseSuspicions() == 0);
}

TEST_CASE("membership sees a killed process as dead") {
  MembershipFleet fleet(8, FleetNetwork{}, 2);
  fleet.RunFor(kSettleMs);
  fleet.Kill(3);
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.AllSee(3, MemberState::kDead));
  REQUIRE(fleet.FalseDeaths() == 0);
}

TEST_CASE(
    "membership gossips a death at once in a fleet that has just started") {
  // Guards against updates about first contacts that fill the messages: the
  // benchmark at 460 members showed that these delayed a death for minutes.
  MembershipFleet fleet(300, FleetNetwork{}, 9);
  fleet.RunFor(2 * kSettleMs);
  fleet.Kill(50);
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.AllSee(50, MemberState::kDead));
}

TEST_CASE("membership replaces the incarnation of a restarted process") {
  MembershipFleet fleet(8, FleetNetwork{}, 3);
  fleet.RunFor(kSettleMs);
  fleet.Kill(3);
  fleet.RunFor(100);
  fleet.Restart(3);
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.AllSee(3, MemberState::kAlive));
  for (std::size_t by = 0; by < 8; ++by) {
    if (by != 3) REQUIRE(fleet.IncarnationSeen(by, 3) == 2);
  }
}

TEST_CASE("membership sees a dead process as alive after its restart") {
  MembershipFleet fleet(8, FleetNetwork{}, 4);
  fleet.RunFor(kSettleMs);
  fleet.Kill(3);
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.AllSee(3, MemberState::kDead));
  fleet.Restart(3);
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.AllSee(3, MemberState::kAlive));
}

TEST_CASE("membership detects its own pause and is seen as alive again") {
  MembershipFleet fleet(8, FleetNetwork{}, 5);
  fleet.RunFor(kSettleMs);
  fleet.Pause(2, 10'000);
  fleet.RunFor(9000);
  REQUIRE(fleet.AllSee(2, MemberState::kDead));
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.PauseDetected(2));
  REQUIRE(fleet.AllSee(2, MemberState::kAlive));
  // The paused process must not declare others dead because of acks that it
  // missed during the pause.
  REQUIRE(fleet.FalseDeaths() == 0);
}

TEST_CASE("membership sees all members as alive again after a partition") {
  MembershipFleet fleet(8, FleetNetwork{}, 6);
  fleet.RunFor(kSettleMs);
  fleet.SetDropRule(
      [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); });
  fleet.RunFor(kDetectionMs);
  REQUIRE(fleet.StateSeen(0, 7) == MemberState::kDead);
  REQUIRE(fleet.StateSeen(0, 1) == MemberState::kAlive);
  fleet.SetDropRule(nullptr);
  fleet.RunFor(kDetectionMs);
  for (std::size_t of = 0; of < 8; ++of) {
    REQUIRE(fleet.AllSee(of, MemberState::kAlive));
  }
}

TEST_CASE("membership declares no death when a link loses messages one way") {
  MembershipFleet fleet(8, FleetNetwork{}, 7);
  fleet.RunFor(kSettleMs);
  fleet.SetDropRule(
      [](std::size_t from, std::size_t to) { return from == 0 && to == 1; });
  fleet.RunFor(60'000);
  REQUIRE(fleet.FalseDeaths() == 0);
}

TEST_CASE("membership gossips that a process is leaving") {
  MembershipFleet fleet(8, FleetNetwork{}, 8);
  fleet.RunFor(kSettleMs);
  fleet.Leave(5);
  fleet.RunFor(kSettleMs);
  REQUIRE(fleet.AllSee(5, MemberState::kLeaving));
}

TEST_CASE("membership merges nothing from messages for another incarnation") {
  Membership membership(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  GossipMessage message;
  message.from = VmId{"10.0.0.2", 5};
  message.sequence = 1;
  message.to_incarnation = 6;
  message.updates.push_back(
      MemberUpdate{"10.0.0.3", "zone", 9, 0, MemberState::kAlive});
  const auto answers = membership.Receive(message, 0);
  // The only effect is a ping that carries the present incarnation to the
  // sender.
  REQUIRE(answers.value().size() == 1);
  REQUIRE(answers.value()[0].message.kind == GossipKind::kPing);
  REQUIRE(answers.value()[0].message.from == VmId{"10.0.0.1", 7});
  REQUIRE(membership.Members().empty());
}

TEST_CASE("membership refuses messages from an incarnation that was replaced") {
  Membership membership(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  GossipMessage message;
  message.from = VmId{"10.0.0.2", 5};
  message.to_incarnation = 7;
  REQUIRE(membership.Receive(message, 0));
  // Incarnations are random: a successor may have a lower one.
  message.from.incarnation = 4;
  REQUIRE(membership.Receive(message, 10));
  REQUIRE(membership.Members()[0].latest.incarnation == 4);
  message.from.incarnation = 5;
  REQUIRE_FALSE(membership.Receive(message, 20));
  REQUIRE(membership.Members()[0].latest.incarnation == 4);
}

TEST_CASE("membership ignores gossip about an incarnation that was replaced") {
  Membership membership(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  GossipMessage message;
  message.from = VmId{"10.0.0.2", 5};
  REQUIRE(membership.Receive(message, 0));
  message.from.incarnation = 8;
  REQUIRE(membership.Receive(message, 10));
  GossipMessage gossip;
  gossip.from = VmId{"10.0.0.3", 1};
  gossip.updates.push_back(
      MemberUpdate{"10.0.0.2", "zone", 5, 9, MemberState::kAlive});
  REQUIRE(membership.Receive(gossip, 20));
  REQUIRE(membership.Members()[0].latest.incarnation == 8);
}

TEST_CASE("membership discovers the whole fleet from one seed") {
  MembershipFleet fleet(12, FleetNetwork{}, 5);
  fleet.UseSingleSeed(0);
  fleet.RunFor(kSettleMs);
  for (std::size_t of = 0; of < 12; ++of) {
    REQUIRE(fleet.AllSee(of, MemberState::kAlive));
  }
}

TEST_CASE("membership reports which members serve callers") {
  Membership one(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  Membership two(VmId{"10.0.0.2", 8}, "zone", MembershipSettings{}, 2);
  two.SetListed({ListedVm{"10.0.0.1", "", false}}, 0);
  const auto deliver_tick = [&](TimeMs now) {
    for (const OutgoingGossip& ping : two.Tick(now)) {
      static_cast<void>(one.Receive(ping.message, now));
    }
  };
  deliver_tick(0);
  REQUIRE(one.ServingAddresses().empty());
  two.SetServing(true);
  deliver_tick(1000);
  REQUIRE(one.ServingAddresses() == std::vector<std::string>{"10.0.0.2"});
  two.Leave();
  deliver_tick(2000);
  REQUIRE(one.ServingAddresses().empty());
}

TEST_CASE("membership gossips that a member has begun to serve") {
  Membership one(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  Membership two(VmId{"10.0.0.2", 8}, "zone", MembershipSettings{}, 2);
  Membership three(VmId{"10.0.0.3", 9}, "zone", MembershipSettings{}, 3);
  two.SetListed({ListedVm{"10.0.0.1", "", false}}, 0);
  one.SetListed({ListedVm{"10.0.0.3", "", false}}, 0);
  const auto deliver_tick = [](Membership& from, Membership& to, TimeMs now) {
    for (const OutgoingGossip& ping : from.Tick(now)) {
      static_cast<void>(to.Receive(ping.message, now));
    }
  };
  // All processes know that the second is alive. Only the first receives from
  // it that it serves, and must gossip this although the state is unchanged.
  deliver_tick(two, one, 0);
  static_cast<void>(three.Receive(one.MakePing("10.0.0.3").message, 0));
  static_cast<void>(three.Receive(two.MakePing("10.0.0.3").message, 0));
  two.SetServing(true);
  deliver_tick(two, one, 1000);
  REQUIRE(three.ServingAddresses().empty());
  static_cast<void>(three.Receive(one.MakePing("10.0.0.3").message, 1000));
  REQUIRE(three.ServingAddresses() == std::vector<std::string>{"10.0.0.2"});
}

TEST_CASE(
    "gossip codec refuses messages with another secret or a changed byte") {
  GossipMessage message;
  message.from = VmId{"10.0.0.2", 5};
  message.updates.push_back(
      MemberUpdate{"10.0.0.3", "zone", 9, 1, MemberState::kSuspect});
  const std::string bytes = EncodeGossip("a-secret-for-tests", message);
  REQUIRE(DecodeGossip("a-secret-for-tests", bytes).value() == message);
  REQUIRE_FALSE(DecodeGossip("another-secret-text", bytes));
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    std::string changed = bytes;
    changed[index] = static_cast<char>(changed[index] ^ 1);
    REQUIRE_FALSE(DecodeGossip("a-secret-for-tests", changed));
  }
  REQUIRE_FALSE(DecodeGossip("a-secret-for-tests", ""));
}

}  // namespace
}  // namespace limpethaven
