/// @file
/// Membership: detection, refutation, restarts, pauses and partitions.
#include "limpethaven/membership.h"

#include <catch2/catch.hpp>

#include "membership_fleet.h"

namespace limpethaven {
namespace {

using testing::FleetNetwork;
using testing::MembershipFleet;

constexpr DurationMs kSettleMs = 5000;
constexpr DurationMs kDetectMs = 15'000;

TEST_CASE("membership finds every listed process alive") {
  MembershipFleet fleet(8, FleetNetwork{}, 1);
  fleet.RunFor(kSettleMs);
  for (std::size_t of = 0; of < 8; ++of) {
    REQUIRE(fleet.AllSee(of, MemberState::kAlive));
  }
  REQUIRE(fleet.FalseSuspicions() == 0);
}

TEST_CASE("membership finds a killed process dead") {
  MembershipFleet fleet(8, FleetNetwork{}, 2);
  fleet.RunFor(kSettleMs);
  fleet.Kill(3);
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.AllSee(3, MemberState::kDead));
  REQUIRE(fleet.FalseDeaths() == 0);
}

TEST_CASE(
    "membership spreads a death at once in a fleet that has just started") {
  // Found by the benchmark at 460 members: first contacts filled the messages
  // for minutes.
  MembershipFleet fleet(300, FleetNetwork{}, 9);
  fleet.RunFor(2 * kSettleMs);
  fleet.Kill(50);
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.AllSee(50, MemberState::kDead));
}

TEST_CASE("membership takes a restarted process as a new incarnation") {
  MembershipFleet fleet(8, FleetNetwork{}, 3);
  fleet.RunFor(kSettleMs);
  fleet.Kill(3);
  fleet.RunFor(100);
  fleet.Restart(3);
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.AllSee(3, MemberState::kAlive));
  for (std::size_t by = 0; by < 8; ++by) {
    if (by != 3) REQUIRE(fleet.IncarnationSeen(by, 3) == 2);
  }
}

TEST_CASE("membership returns a dead process that restarts later") {
  MembershipFleet fleet(8, FleetNetwork{}, 4);
  fleet.RunFor(kSettleMs);
  fleet.Kill(3);
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.AllSee(3, MemberState::kDead));
  fleet.Restart(3);
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.AllSee(3, MemberState::kAlive));
}

TEST_CASE("membership notices its own pause and is found alive again") {
  MembershipFleet fleet(8, FleetNetwork{}, 5);
  fleet.RunFor(kSettleMs);
  fleet.Pause(2, 10'000);
  fleet.RunFor(9000);
  REQUIRE(fleet.AllSee(2, MemberState::kDead));
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.WasPaused(2));
  REQUIRE(fleet.AllSee(2, MemberState::kAlive));
  // The one that slept blames nobody else for its own silence.
  REQUIRE(fleet.FalseDeaths() == 0);
}

TEST_CASE("membership heals after a partition") {
  MembershipFleet fleet(8, FleetNetwork{}, 6);
  fleet.RunFor(kSettleMs);
  fleet.SetCut(
      [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); });
  fleet.RunFor(kDetectMs);
  REQUIRE(fleet.StateSeen(0, 7) == MemberState::kDead);
  REQUIRE(fleet.StateSeen(0, 1) == MemberState::kAlive);
  fleet.SetCut(nullptr);
  fleet.RunFor(kDetectMs);
  for (std::size_t of = 0; of < 8; ++of) {
    REQUIRE(fleet.AllSee(of, MemberState::kAlive));
  }
}

TEST_CASE("membership reaches round a link that loses messages one way") {
  MembershipFleet fleet(8, FleetNetwork{}, 7);
  fleet.RunFor(kSettleMs);
  fleet.SetCut(
      [](std::size_t from, std::size_t to) { return from == 0 && to == 1; });
  fleet.RunFor(60'000);
  REQUIRE(fleet.FalseDeaths() == 0);
}

TEST_CASE("membership spreads that a process is leaving") {
  MembershipFleet fleet(8, FleetNetwork{}, 8);
  fleet.RunFor(kSettleMs);
  fleet.Leave(5);
  fleet.RunFor(kSettleMs);
  REQUIRE(fleet.AllSee(5, MemberState::kLeaving));
}

TEST_CASE("membership takes nothing in from messages for another incarnation") {
  Membership membership(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  GossipMessage message;
  message.from = VmId{"10.0.0.2", 5};
  message.sequence = 1;
  message.to_incarnation = 6;
  message.updates.push_back(
      MemberUpdate{"10.0.0.3", "zone", 9, 0, MemberState::kAlive});
  const auto introduced = membership.Receive(message, 0);
  // The sender learns whom it speaks with; nothing else happens.
  REQUIRE(introduced.value().size() == 1);
  REQUIRE(introduced.value()[0].message.kind == GossipKind::kPing);
  REQUIRE(introduced.value()[0].message.from == VmId{"10.0.0.1", 7});
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

TEST_CASE("membership does not bring back an incarnation by hearsay") {
  Membership membership(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  GossipMessage message;
  message.from = VmId{"10.0.0.2", 5};
  REQUIRE(membership.Receive(message, 0));
  message.from.incarnation = 8;
  REQUIRE(membership.Receive(message, 10));
  GossipMessage hearsay;
  hearsay.from = VmId{"10.0.0.3", 1};
  hearsay.updates.push_back(
      MemberUpdate{"10.0.0.2", "zone", 5, 9, MemberState::kAlive});
  REQUIRE(membership.Receive(hearsay, 20));
  REQUIRE(membership.Members()[0].latest.incarnation == 8);
}

TEST_CASE("membership learns of a whole fleet from one seed") {
  MembershipFleet fleet(12, FleetNetwork{}, 5);
  fleet.ListOnly(0);
  fleet.RunFor(kSettleMs);
  for (std::size_t of = 0; of < 12; ++of) {
    REQUIRE(fleet.AllSee(of, MemberState::kAlive));
  }
}

TEST_CASE("membership tells who serves callers") {
  Membership one(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  Membership two(VmId{"10.0.0.2", 8}, "zone", MembershipSettings{}, 2);
  two.SetListed({ListedVm{"10.0.0.1", "", false}}, 0);
  const auto tell = [&](TimeMs now) {
    for (const OutgoingGossip& ping : two.Tick(now)) {
      static_cast<void>(one.Receive(ping.message, now));
    }
  };
  tell(0);
  REQUIRE(one.ServingAddresses().empty());
  two.SetServing(true);
  tell(1000);
  REQUIRE(one.ServingAddresses() == std::vector<std::string>{"10.0.0.2"});
  two.Leave();
  tell(2000);
  REQUIRE(one.ServingAddresses().empty());
}

TEST_CASE("membership passes on that a member has begun to serve") {
  Membership one(VmId{"10.0.0.1", 7}, "zone", MembershipSettings{}, 1);
  Membership two(VmId{"10.0.0.2", 8}, "zone", MembershipSettings{}, 2);
  Membership three(VmId{"10.0.0.3", 9}, "zone", MembershipSettings{}, 3);
  two.SetListed({ListedVm{"10.0.0.1", "", false}}, 0);
  one.SetListed({ListedVm{"10.0.0.3", "", false}}, 0);
  const auto tell = [](Membership& from, Membership& to, TimeMs now) {
    for (const OutgoingGossip& ping : from.Tick(now)) {
      static_cast<void>(to.Receive(ping.message, now));
    }
  };
  // All know that the second is alive; only the first hears that it serves.
  tell(two, one, 0);
  static_cast<void>(three.Receive(one.MakePing("10.0.0.3").message, 0));
  static_cast<void>(three.Receive(two.MakePing("10.0.0.3").message, 0));
  two.SetServing(true);
  tell(two, one, 1000);
  REQUIRE(three.ServingAddresses().empty());
  static_cast<void>(three.Receive(one.MakePing("10.0.0.3").message, 1000));
  REQUIRE(three.ServingAddresses() == std::vector<std::string>{"10.0.0.2"});
}

TEST_CASE(
    "gossip codec refuses what another secret signed and what was changed") {
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
