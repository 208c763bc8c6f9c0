/// @file
/// Convergence of the published state when the source fails for some of the
/// processes.
#include "node/published_state.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "limpethaven/config_codec.h"
#include "limpethaven/endpoint_table.h"
#include "peer/gossip.h"
#include "slow_relay.h"

namespace limpethaven {
namespace {

constexpr int kPort = 18'191;
/// Long enough that a missing endpoint is removed only when a peer reports it
/// gone.
constexpr DurationMs kRetentionMs = 3'600'000;
/// Upper limit of each wait; a wait ends as soon as its condition holds.
constexpr DurationMs kTimeoutMs = 20'000;

/// A process with its published state. The test takes the place of its source.
class Process final : public GossipListener, public StateListener {
 public:
  Process(Loop& loop, const PeerIdentity& identity,
          DurationMs retention_ms = kRetentionMs)
      : gossip(loop, identity, MembershipSettings{}, *this),
        link(loop, identity),
        state(link, gossip, table, *this, retention_ms) {
    REQUIRE(this->link.Start());
    REQUIRE(this->gossip.Start({"127.91.0.1", "127.91.0.2"}));
    this->gossip.SetServing(true);
  }

  void OnPeerVersions(const std::string& address, std::uint64_t version,
                      const SourceRevision& endpoints_revision) override {
    this->state.OnPeerVersions(address, version, endpoints_revision);
  }
  void OnMemberChange(const MemberChange&) override {}
  void OnPause() override {}
  void OnConfig(const std::shared_ptr<const Configuration>& config) override {
    this->gossip.SetConfig(config->version, config->digest);
  }
  void OnEndpoints() override {
    this->gossip.SetEndpointsRevision(this->table.Revision());
  }
  void OnListedVms(const std::vector<ListedVm>&) override {}

  EndpointTable table;
  Gossip gossip;
  PeerLink link;
  PublishedState state;
};

EndpointRecord EndpointOf(const std::string& id, bool leaving) {
  EndpointRecord endpoint;
  endpoint.id = id;
  endpoint.address = "127.0.0.1:1";
  endpoint.pool = "p";
  endpoint.slots = 1;
  endpoint.leaving = leaving;
  return endpoint;
}

TEST_CASE(
    "published state is pulled from a peer while the source's watch hangs") {
  Loop loop(1);
  std::vector<std::unique_ptr<Process>> processes;
  for (int index = 1; index <= 3; ++index) {
    PeerIdentity identity;
    identity.self = VmId{"127.91.0." + std::to_string(index),
                         static_cast<std::uint64_t>(index) + 100};
    identity.data_centre = "a";
    identity.port = kPort;
    processes.push_back(std::make_unique<Process>(loop, identity));
  }
  Configuration config;
  config.version = 1;
  for (const auto& process : processes) {
    process->state.OnSourceReachable(true);
    process->state.OnConfiguration(config);
    process->state.OnAllEndpoints({EndpointOf("e1", false)}, {0, 5},
                                  std::nullopt);
  }
  // Only the first process's watch reports that the endpoint leaves. The
  // watches of the others hang on connections that stay open, so that their
  // source still counts as reachable.
  processes[0]->state.OnEndpoint(EndpointOf("e1", true), {0, 6});
  const auto all_leaving = [&] {
    return std::ranges::all_of(processes, [](const auto& process) {
      const EndpointRecord* known = process->table.Find("e1");
      return known != nullptr && known->leaving;
    });
  };
  const TimeMs deadline = LoopNow() + kTimeoutMs;
  while (!all_leaving() && LoopNow() < deadline) {
    loop.run_for(std::chrono::milliseconds(20));
    for (const auto& process : processes) process->state.Tick();
  }
  REQUIRE(all_leaving());
  for (const auto& process : processes) {
    process->link.Stop();
    process->gossip.Stop();
  }
  CloseAllConnections(loop);
  loop.poll();
}

TEST_CASE(
    "published state removes an endpoint that a peer reports gone after a "
    "source outage") {
  Loop loop(1);
  std::vector<std::unique_ptr<Process>> processes;
  for (int index = 1; index <= 2; ++index) {
    PeerIdentity identity;
    identity.self = VmId{"127.91.0." + std::to_string(index),
                         static_cast<std::uint64_t>(index) + 200};
    identity.data_centre = "a";
    identity.port = kPort;
    processes.push_back(std::make_unique<Process>(loop, identity));
  }
  Configuration config;
  config.version = 1;
  for (const auto& process : processes) {
    process->state.OnSourceReachable(true);
    process->state.OnConfiguration(config);
    process->state.OnAllEndpoints(
        {EndpointOf("e1", false), EndpointOf("e2", false)}, {0, 5},
        std::nullopt);
  }
  // The first process follows the source without interruption. The second could
  // not reach it while e1 was removed, and reads an incomplete list afterwards.
  processes[0]->state.OnEndpointGone("e1", {0, 6});
  processes[1]->state.OnAllEndpoints({EndpointOf("e2", false)}, {0, 7},
                                     LoopNow());
  REQUIRE(processes[1]->table.Find("e1") != nullptr);
  const TimeMs deadline = LoopNow() + kTimeoutMs;
  while (processes[1]->table.Find("e1") != nullptr && LoopNow() < deadline) {
    loop.run_for(std::chrono::milliseconds(20));
    for (const auto& process : processes) process->state.Tick();
  }
  REQUIRE(processes[1]->table.Find("e1") == nullptr);
  REQUIRE(processes[1]->table.Find("e2") != nullptr);
  for (const auto& process : processes) {
    process->link.Stop();
    process->gossip.Stop();
  }
  CloseAllConnections(loop);
  loop.poll();
}

TEST_CASE(
    "published state keeps an endpoint for ever that a peer removed after "
    "retaining it") {
  Loop loop(1);
  std::vector<std::unique_ptr<Process>> processes;
  for (int index = 1; index <= 2; ++index) {
    PeerIdentity identity;
    identity.self = VmId{"127.91.0." + std::to_string(index),
                         static_cast<std::uint64_t>(index) + 300};
    identity.data_centre = "a";
    identity.port = kPort;
    processes.push_back(std::make_unique<Process>(loop, identity, 1000));
  }
  Configuration config;
  config.version = 1;
  for (const auto& process : processes) {
    process->state.OnSourceReachable(true);
    process->state.OnConfiguration(config);
    process->state.OnAllEndpoints(
        {EndpointOf("e1", false), EndpointOf("e2", false)}, {0, 5},
        std::nullopt);
  }
  // Both miss the removal of e1 in an outage. The source then answers the first
  // process only, which retains e1 for a time.
  processes[1]->state.OnSourceReachable(false);
  processes[0]->state.OnAllEndpoints({EndpointOf("e2", false)}, {0, 7},
                                     LoopNow());
  const auto removed_everywhere = [&] {
    return std::ranges::all_of(processes, [](const auto& process) {
      return process->table.Find("e1") == nullptr;
    });
  };
  const TimeMs deadline = LoopNow() + kTimeoutMs;
  while (!removed_everywhere() && LoopNow() < deadline) {
    loop.run_for(std::chrono::milliseconds(20));
    for (const auto& process : processes) process->state.Tick();
  }
  CHECK(removed_everywhere());
  CHECK(processes[1]->table.Find("e2") != nullptr);
  for (const auto& process : processes) {
    process->link.Stop();
    process->gossip.Stop();
  }
  CloseAllConnections(loop);
  loop.poll();
}

// A change that the later version takes back is not in the peer's change.
TEST_CASE(
    "published state applies a peer's change to another version than the one "
    "that it begins at") {
  Loop loop(1);
  PeerIdentity identity;
  identity.port = kPort;
  identity.self = VmId{"127.91.0.1", 501};
  Process peer(loop, identity);
  identity.self = VmId{"127.91.0.2", 502};
  Process behind(loop, identity);
  const auto config_of = [](std::uint64_t version, const std::string& pool) {
    Configuration config;
    config.version = version;
    config.routes.emplace("/a", RouteSpec{.path = "/a", .pool = pool});
    config.routes.emplace(
        "/b", RouteSpec{.path = "/b", .pool = "v" + std::to_string(version)});
    return config;
  };
  peer.state.OnConfiguration(config_of(1, "old"));
  peer.state.OnConfiguration(config_of(3, "old"));
  behind.state.OnConfiguration(config_of(1, "old"));
  const std::string answer =
      peer.state.StateAfter(1, {}, ConfigForm::kChangeOrWhole).dump();
  behind.state.OnConfiguration(config_of(2, "new"));
  CHECK(behind.state.ApplyPeerState(answer, "127.91.0.1"));
  CHECK(behind.state.ConfigVersion() == 2);
  CHECK(behind.state.ApplyPeerState(
      peer.state.StateAfter(2, {}, ConfigForm::kChangeOrWhole).dump(),
      "127.91.0.1"));
  CHECK(behind.state.ConfigVersion() == 3);
  CHECK(behind.state.Config()->routes == config_of(3, "old").routes);
  for (Process* process : {&peer, &behind}) {
    process->link.Stop();
    process->gossip.Stop();
  }
  CloseAllConnections(loop);
  loop.poll();
}

TEST_CASE(
    "published state: a large configuration never arrives over a slow link to "
    "a peer") {
  constexpr int kRelayPort = 18'189;
  constexpr std::int64_t kBytesPerS = 300'000;
  constexpr int kManyRoutes = 4000;
  Loop loop(1);
  PeerIdentity identity;
  identity.self = VmId{"127.91.0.1", 401};
  identity.port = kPort;
  Process ahead(loop, identity);
  Configuration config;
  config.version = 2;
  for (int number = 0; number < kManyRoutes; ++number) {
    const std::string path = "/route" + std::to_string(number);
    config.routes.emplace(path, RouteSpec{.path = path});
  }
  ahead.state.OnConfiguration(config);
  // A process calls its peers at its own port.
  identity.self = VmId{"127.91.0.2", 402};
  identity.port = kRelayPort;
  Process behind(loop, identity);
  behind.state.OnSourceReachable(false);
  testing::SlowRelay relay(loop, "127.91.0.1:" + std::to_string(kRelayPort),
                           "127.91.0.1:" + std::to_string(kPort), kBytesPerS);
  const auto needed_ms = static_cast<DurationMs>(
      EncodeEntityList(EncodeEntities(config)).size() * 1000 / kBytesPerS);
  REQUIRE(needed_ms > 1000);
  const TimeMs end = LoopNow() + 2 * needed_ms;
  while (behind.state.Config()->version != 2 && LoopNow() < end) {
    behind.state.OnPeerVersions("127.91.0.1", 2, {});
    loop.run_for(std::chrono::milliseconds(20));
  }
  CHECK(behind.state.Config()->version == 2);
  relay.Stop();
  for (Process* process : {&ahead, &behind}) {
    process->link.Stop();
    process->gossip.Stop();
  }
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
}

TEST_CASE(
    "published state rejects a peer's configuration with entities of a later "
    "release") {
  Loop loop(1);
  PeerIdentity identity;
  identity.self = VmId{"127.91.0.1", 301};
  identity.port = kPort;
  Process process(loop, identity);
  Configuration config;
  config.routes.emplace("/a", RouteSpec{.path = "/a"});
  std::vector<Entity> entities = EncodeEntities(config);
  entities.push_back(Entity{"later/x", "{}"});
  EntityTable table;
  table.Apply(entities, {});
  const nlohmann::json answer = {{"version", 2},
                                 {"digest", table.Digest()},
                                 {"known", false},
                                 {"revision", 0},
                                 {"entities", EncodeEntityList(entities)},
                                 {"announced", nlohmann::json::array()},
                                 {"gone", nlohmann::json::array()}};
  CHECK(process.state.ApplyPeerState(answer.dump(), "127.91.0.2"));
  CHECK(process.state.Config()->version == 2);
  process.link.Stop();
  process.gossip.Stop();
  CloseAllConnections(loop);
  loop.poll();
}

}  // namespace
}  // namespace limpethaven
