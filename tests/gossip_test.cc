/// @file
/// Membership over UDP datagrams. Guards against members that learn of each
/// other through a seed but exchange messages only at their next probe.
#include "peer/gossip.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace limpethaven {
namespace {

constexpr int kPort = 18'192;

class NoListener final : public GossipListener {
 public:
  void OnPeerVersions(const std::string&, std::uint64_t,
                      const SourceRevision&) override {}
  void OnMemberChange(const MemberChange&) override {}
  void OnPause() override {}
};

TEST_CASE(
    "gossip lets members that share a seed discover each other before their "
    "next probe") {
  Loop loop(1);
  NoListener listener;
  // The next probe is an hour away, so members can discover each other only
  // through the pings that gossip sends to members it has just learned of.
  MembershipSettings settings;
  settings.probe_period_ms = 3'600'000;
  std::vector<std::unique_ptr<Gossip>> fleet;
  constexpr std::size_t kCount = 12;
  for (std::size_t index = 0; index < kCount; ++index) {
    PeerIdentity identity;
    identity.self = VmId{"127.92.0." + std::to_string(index + 1), index + 100};
    identity.data_centre = "a";
    identity.port = kPort;
    fleet.push_back(
        std::make_unique<Gossip>(loop, identity, settings, listener));
    REQUIRE(fleet.back()->Start({"127.92.0.1"}));
    fleet.back()->SetServing(true);
  }
  const auto all_known = [&] {
    return std::ranges::all_of(fleet, [](const auto& member) {
      return member->Members().ServingMembers().size() == kCount;
    });
  };
  constexpr DurationMs kLimitMs = 20'000;
  const TimeMs deadline = LoopNow() + kLimitMs;
  while (!all_known() && LoopNow() < deadline) {
    loop.run_for(std::chrono::milliseconds(20));
  }
  REQUIRE(all_known());
  for (const auto& member : fleet) member->Stop();
  loop.poll();
}

}  // namespace
}  // namespace limpethaven
