/// @file
/// Membership over datagrams: how fast a whole fleet finds itself.
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
  void OnPeerNews(const std::string&, std::uint64_t, std::uint64_t) override {}
  void OnMemberChange(const MemberChange&) override {}
  void OnPause() override {}
};

TEST_CASE("gossip makes members that share a seed know each other at once") {
  Loop loop(1);
  NoListener listener;
  // No probe is due for an hour: what is known comes from the first contacts.
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
    return std::ranges::all_of(fleet, [](const auto& each) {
      return each->Members().ServingMembers().size() == kCount;
    });
  };
  constexpr DurationMs kLimitMs = 20'000;
  const TimeMs give_up_at = LoopNow() + kLimitMs;
  while (!all_known() && LoopNow() < give_up_at) {
    loop.run_for(std::chrono::milliseconds(20));
  }
  REQUIRE(all_known());
  for (const auto& each : fleet) each->Stop();
  loop.poll();
}

}  // namespace
}  // namespace limpethaven
