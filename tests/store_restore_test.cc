/// @file
/// A store that is restored from an older copy. Guards against processes that
/// ignore what is written afterwards, take back what they know, or keep what
/// the store has lost.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "node/published_state.h"
#include "peer/gossip.h"
#include "platform/store_source.h"
#include "store_standin.h"

namespace limpethaven {
namespace {

using testing::ConfigItem;
using testing::EndpointItem;
using testing::StoreStandin;

constexpr int kPort = 18'196;
constexpr DurationMs kBatchMs = 50;
constexpr DurationMs kSilenceMs = 500;
constexpr DurationMs kRetentionMs = 600;
/// Time within which a process must have followed a change.
constexpr DurationMs kFollowMs = 1500;
/// Longest time for which anything that the store has lost may stay.
constexpr DurationMs kForgetMs = 4000;
/// Time for which what a process knows holds against a restored store.
constexpr DurationMs kGraceMs = 1500;

/// A process that follows a store.
class Follower final : public GossipListener, public StateListener {
 public:
  Follower(Loop& event_loop, const std::string& ip, const std::string& store)
      : loop(event_loop),
        gossip(event_loop, IdentityOf(ip), MembershipSettings{}, *this),
        link(event_loop, IdentityOf(ip)),
        state(this->link, this->gossip, this->table, *this, kRetentionMs),
        source(event_loop,
               platform::StoreSettings{store, kBatchMs, kSilenceMs, kGraceMs}) {
    this->gossip.ShareLeaving(this->table.SaidLeaving());
    REQUIRE(this->link.Start());
    REQUIRE(this->gossip.Start({"127.94.0.1", "127.94.0.2"}));
    this->gossip.SetServing(true);
    this->source.Start(this->state);
  }
  ~Follower() override {
    this->link.Stop();
    this->gossip.Stop();
  }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  void OnPeerVersions(const std::string& address, std::uint64_t version,
                      const SourceRevision& endpoints_revision) override {
    this->state.OnPeerVersions(address, version, endpoints_revision);
  }
  void OnMemberChange(const MemberChange&) override {}
  void OnLeavingEndpoints(
      const std::string& peer,
      const std::vector<LeavingEndpoint>& endpoints) override {
    static_cast<void>(this->state.MarkLeaving(endpoints, peer));
  }
  void OnPause() override {}
  void OnConfig(const std::shared_ptr<const Configuration>& config) override {
    this->gossip.SetConfig(config->version, config->digest);
  }
  void OnEndpoints() override {
    this->gossip.SetEndpointsRevision(this->table.Revision());
  }
  void OnListedVms(const std::vector<ListedVm>&) override {}

  /// Whether requests may be sent to an endpoint.
  [[nodiscard]] bool Uses(std::string_view id) const {
    const EndpointRecord* known = this->table.Find(id);
    return known != nullptr && !known->leaving;
  }

  Loop& loop;
  EndpointTable table{kGraceMs};
  Gossip gossip;
  PeerLink link;
  PublishedState state;
  platform::StoreSource source;

 private:
  static PeerIdentity IdentityOf(const std::string& ip) {
    PeerIdentity identity;
    identity.self = VmId{ip, 1};
    identity.data_centre = "a";
    identity.port = kPort;
    return identity;
  }
};

/// A store with two endpoints, and a process that has read both.
class RestoredStore {
 public:
  explicit RestoredStore(const std::string& address)
      : store(this->loop, address) {
    this->store.Listen();
    this->store.Put("op/config", ConfigItem(3));
    this->Write("e1", "ready", 100);
    this->Write("e2", "ready", 100);
    this->process =
        std::make_unique<Follower>(this->loop, "127.94.0.1", address);
    REQUIRE(this->RunUntil(
        [this] {
          return this->process->Uses("e1") && this->process->Uses("e2") &&
                 this->process->state.Config()->version == 3;
        },
        kFollowMs));
  }
  ~RestoredStore() {
    this->store.Stop();
    CloseAllConnections(this->loop);
    this->loop.poll();
    this->loop.EndTasks();
  }
  RestoredStore(const RestoredStore&) = delete;
  RestoredStore& operator=(const RestoredStore&) = delete;

  void Write(const std::string& id, std::string_view status,
             std::int64_t born) {
    this->store.Put("servers/" + id, EndpointItem("127.0.0.1:9", status, born));
  }
  /// Writes that raise the revision and change nothing else.
  void Rewrite(int count) {
    for (int index = 0; index < count; ++index) {
      this->Write("e1", "ready", 100);
      this->Write("e2", "ready", 100);
    }
  }
  template <typename Condition>
  bool RunUntil(const Condition& holds, DurationMs limit_ms) {
    const TimeMs end = LoopNow() + limit_ms;
    while (!holds() && LoopNow() < end) {
      this->loop.run_for(std::chrono::milliseconds(5));
      if (this->process) this->process->state.Tick();
      if (this->peer) this->peer->state.Tick();
    }
    return holds();
  }
  /// Whether a condition holds at all times for a while.
  template <typename Condition>
  bool HoldsFor(const Condition& holds, DurationMs duration_ms) {
    return !this->RunUntil([&] { return !holds(); }, duration_ms);
  }

  Loop loop{1};
  StoreStandin store;
  std::unique_ptr<Follower> process;
  std::unique_ptr<Follower> peer;
};

TEST_CASE("restored store: changes with lower revisions are ignored") {
  RestoredStore setup("127.94.0.11:18195");
  const StoreStandin::Copy copy = setup.store.Save();
  setup.Rewrite(20);
  REQUIRE(setup.RunUntil(
      [&] {
        return setup.process->table.Revision().number >=
               setup.store.Save().revision;
      },
      kFollowMs));
  setup.store.Restore(copy);
  setup.Write("e1", "draining", 100);
  CHECK(setup.RunUntil([&] { return !setup.process->Uses("e1"); }, kFollowMs));
  setup.Write("e3", "ready", 100);
  CHECK(setup.RunUntil([&] { return setup.process->Uses("e3"); }, kFollowMs));
}

TEST_CASE(
    "restored store: a change is missed when revisions overtake a watch") {
  RestoredStore setup("127.94.0.12:18195");
  setup.Rewrite(1);
  const StoreStandin::Copy copy = setup.store.Save();
  setup.Rewrite(3);
  // The process is between two watches and notices nothing of the restore.
  REQUIRE(setup.RunUntil(
      [&] {
        return setup.process->table.Revision().number >=
               setup.store.Save().revision;
      },
      kFollowMs));
  setup.store.Restore(copy);
  setup.store.Delete("servers/e1");
  for (int count = 0; count < 20; ++count) setup.Write("e2", "ready", 100);
  CHECK(setup.RunUntil([&] { return !setup.process->Uses("e1"); },
                       kFollowMs + kRetentionMs));
}

TEST_CASE("restored store: an endpoint that is leaving is used again") {
  RestoredStore setup("127.94.0.13:18195");
  const StoreStandin::Copy copy = setup.store.Save();
  setup.Write("e1", "draining", 100);
  REQUIRE(
      setup.RunUntil([&] { return !setup.process->Uses("e1"); }, kFollowMs));
  setup.store.Restore(copy);
  CHECK(setup.HoldsFor([&] { return !setup.process->Uses("e1"); }, kForgetMs));
  // Another start under the same id is another endpoint.
  setup.Write("e1", "ready", 200);
  CHECK(setup.RunUntil([&] { return setup.process->Uses("e1"); }, kFollowMs));
}

TEST_CASE("restored store: an endpoint that is gone is used again, or never") {
  RestoredStore setup("127.94.0.14:18195");
  const StoreStandin::Copy copy = setup.store.Save();
  setup.store.Delete("servers/e1");
  REQUIRE(
      setup.RunUntil([&] { return !setup.process->Uses("e1"); }, kFollowMs));
  setup.store.Restore(copy);
  // The store removes it once more when its lease has run out.
  CHECK(
      setup.HoldsFor([&] { return !setup.process->Uses("e1"); }, kGraceMs / 2));
  // It is alive after all if it is still listed then.
  CHECK(setup.RunUntil([&] { return setup.process->Uses("e1"); }, kForgetMs));
}

TEST_CASE(
    "restored store: an earlier start of an endpoint replaces the later") {
  RestoredStore setup("127.94.0.15:18195");
  const StoreStandin::Copy copy = setup.store.Save();
  setup.Write("e1", "ready", 200);
  const auto born = [&] {
    const EndpointRecord* known = setup.process->table.Find("e1");
    return known == nullptr ? 0 : known->born;
  };
  REQUIRE(setup.RunUntil([&] { return born() == 200; }, kFollowMs));
  setup.store.Restore(copy);
  CHECK(setup.HoldsFor([&] { return born() != 100; }, 1000));
  setup.Write("e1", "ready", 200);
  CHECK(setup.RunUntil([&] { return born() == 200; }, kFollowMs));
}

TEST_CASE("restored store: an endpoint that the store lost stays for ever") {
  RestoredStore setup("127.94.0.16:18195");
  const StoreStandin::Copy copy = setup.store.Save();
  setup.Write("e3", "ready", 100);
  setup.Write("e4", "ready", 100);
  REQUIRE(setup.RunUntil(
      [&] { return setup.process->Uses("e3") && setup.process->Uses("e4"); },
      kFollowMs));
  setup.store.Restore(copy);
  // Only e4 is alive and announces itself again.
  const bool kept = setup.HoldsFor([&] { return setup.process->Uses("e4"); },
                                   kRetentionMs / 2);
  CHECK(kept);
  setup.Write("e4", "ready", 100);
  CHECK(setup.RunUntil([&] { return !setup.process->Uses("e3"); }, kForgetMs));
  CHECK(setup.process->Uses("e4"));
}

TEST_CASE("restored store: the configuration falls back") {
  RestoredStore setup("127.94.0.17:18195");
  const StoreStandin::Copy copy = setup.store.Save();
  setup.store.Put("op/config", ConfigItem(5));
  const auto version = [&] { return setup.process->state.Config()->version; };
  REQUIRE(setup.RunUntil([&] { return version() == 5; }, kFollowMs));
  setup.Rewrite(10);
  setup.store.Restore(copy);
  CHECK(setup.HoldsFor([&] { return version() == 5; }, kFollowMs));
  setup.store.Put("op/config", ConfigItem(5));
  setup.store.Put("op/config", ConfigItem(8));
  CHECK(setup.RunUntil([&] { return version() == 8; }, kFollowMs));
}

TEST_CASE("restored store: a process that only peers inform keeps what was") {
  RestoredStore setup("127.94.0.18:18195");
  // No store listens at the address of the second process.
  setup.peer =
      std::make_unique<Follower>(setup.loop, "127.94.0.2", "127.94.0.9:1");
  REQUIRE(setup.RunUntil([&] { return setup.peer->Uses("e1"); }, kForgetMs));
  StoreStandin::Copy copy = setup.store.Save();
  setup.Rewrite(20);
  setup.Write("e3", "ready", 100);
  REQUIRE(setup.RunUntil([&] { return setup.peer->Uses("e3"); }, kForgetMs));
  setup.store.Restore(copy);
  setup.Write("e1", "draining", 100);
  CHECK(setup.RunUntil([&] { return !setup.peer->Uses("e1"); }, kForgetMs));
  CHECK(setup.RunUntil([&] { return !setup.peer->Uses("e3"); }, kForgetMs));
  copy = setup.store.Save();
  setup.Rewrite(20);
  setup.Write("e4", "ready", 100);
  REQUIRE(setup.RunUntil([&] { return setup.peer->Uses("e4"); }, kForgetMs));
  setup.store.Restore(copy);
  setup.store.Delete("servers/e2");
  setup.Write("e5", "ready", 100);
  CHECK(setup.RunUntil([&] { return setup.peer->Uses("e5"); }, kForgetMs));
  CHECK(setup.RunUntil([&] { return !setup.peer->Uses("e2"); }, kForgetMs));
  CHECK(setup.RunUntil([&] { return !setup.peer->Uses("e4"); }, kForgetMs));
  CHECK_FALSE(setup.peer->Uses("e1"));
}

}  // namespace
}  // namespace limpethaven
