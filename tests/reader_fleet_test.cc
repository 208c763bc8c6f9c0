/// @file
/// Processes that follow readers of a store. Guards against changes that come
/// into force late, or are taken back, because of what happens to the readers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "limpethaven/crypto.h"
#include "node/entry_node.h"
#include "node/source_follower.h"
#include "node/state_watch.h"
#include "platform/dialect.h"
#include "platform/store_source.h"
#include "store_standin.h"

namespace limpethaven {
namespace {

using testing::ConfigItem;
using testing::EndpointItem;
using testing::LargeConfigItem;
using testing::StoreStandin;

constexpr int kPort = 18'198;
constexpr std::size_t kProcesses = 5;
/// The first ones have the larger processor share; two of them are readers.
constexpr std::size_t kLarge = 3;
/// Time within which a change must be in force.
constexpr DurationMs kBoundMs = 3000;
/// Time within which processes whose readers have failed know a change.
constexpr DurationMs kDetectedMs =
    ReaderFreshnessSettings{}.max_silence_ms + 400;
constexpr DurationMs kStartMs = 20'000;
constexpr DurationMs kTickMs = 100;
/// What a link of 10 Mbit/s brings from each of two readers at once within the
/// time that an answer has.
constexpr std::size_t kMaxAnswerBytes =
    1250 * ReaderFreshnessSettings{}.max_answer_ms / 2;
constexpr int kManyRoutes = 4000;

std::string IpOf(std::size_t index) {
  return "127.96.0." + std::to_string(index + 1);
}

/// A source that can be made to lag: it reports nothing any more, and says that
/// its state is complete.
class LaggingSource final : public Source {
 public:
  LaggingSource(Loop& loop, platform::StoreSettings settings)
      : inner(loop, std::move(settings)) {}
  void Start(SourceListener& listener) override { this->inner.Start(listener); }
  void Pause() override { this->inner.Pause(); }
  void Resume() override { this->inner.Resume(); }
  void SetReader(bool reader) override { this->inner.SetReader(reader); }
  [[nodiscard]] SourceProgress Progress() const override {
    SourceProgress progress = this->inner.Progress();
    if (this->lagging) progress.complete_at = LoopNow();
    return progress;
  }
  void Lag() {
    this->lagging = true;
    this->inner.Pause();
  }

 private:
  platform::StoreSource inner;
  bool lagging = false;
};

/// A process that follows the store or readers, on a loop of its own: one that
/// is not run is stopped.
class Process final : public GossipListener, public StateListener {
 public:
  Process(std::size_t index, const std::string& store)
      : ip(IpOf(index)),
        gossip(this->loop, IdentityOf(index), SlowMembership(), *this),
        link(this->loop, IdentityOf(index)),
        state(this->link, this->gossip, this->table, *this),
        watch(this->link, this->state),
        follower(this->link, this->gossip, this->state, "a",
                 ReaderRoleSettings{2, 3}, SettingsOf()),
        source(this->loop, platform::StoreSettings{store, 500, 2500}) {
    REQUIRE(this->link.Start());
    REQUIRE(this->gossip.Start({IpOf(0), IpOf(1), IpOf(2)}));
    this->gossip.SetServing(true);
    this->source.Start(this->state);
    this->watch.SetSource(this->source);
    this->follower.SetSource(this->source);
  }
  ~Process() override {
    this->CutOff();
    this->loop.poll();
    this->loop.EndTasks();
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void OnPeerVersions(const std::string& address, std::uint64_t version,
                      const SourceRevision& revision) override {
    this->state.OnPeerVersions(address, version, revision);
  }
  void OnMemberChange(const MemberChange&) override {}
  void OnPause() override { this->follower.OnPause(LoopNow()); }
  void OnConfig(const std::shared_ptr<const Configuration>& config) override {
    if (config->version < this->highest_version) this->fell_back = true;
    this->highest_version = std::max(this->highest_version, config->version);
    this->gossip.SetConfig(config->version, config->digest);
    this->watch.NotifyChange();
  }
  void OnEndpoints() override {
    this->gossip.SetEndpointsRevision(this->table.Revision());
    this->watch.NotifyChange();
  }
  void OnListedVms(const std::vector<ListedVm>&) override {}

  void Run(TimeMs now) {
    if (this->stopped) return;
    this->loop.poll();
    if (now < this->next_tick) return;
    this->next_tick = now + kTickMs;
    this->state.Tick();
    this->follower.Tick(now);
  }
  /// Closes all connections and takes no more from peers.
  void CutOff() {
    this->link.Stop();
    this->gossip.Stop();
    CloseAllConnections(this->loop);
  }
  [[nodiscard]] bool Uses(std::string_view id) const {
    const EndpointRecord* known = this->table.Find(id);
    return known != nullptr && !known->leaving;
  }

  const std::string ip;
  Loop loop{1};
  EndpointTable table;
  Gossip gossip;
  PeerLink link;
  PublishedState state;
  StateWatch watch;
  SourceFollower follower;
  LaggingSource source;
  bool stopped = false;
  bool disturbed = false;  ///< Whether it may learn of changes late.
  bool fell_back = false;

 private:
  static PeerIdentity IdentityOf(std::size_t index) {
    PeerIdentity identity;
    identity.self = VmId{IpOf(index), RandomBits() | 1U};
    identity.data_centre = "a";
    identity.port = kPort;
    identity.cpu_millicores = index < kLarge ? 500 : 120;
    identity.secret = "fleet";
    return identity;
  }
  /// In a fleet of five, members would be found dead, and changes spread by
  /// gossip, sooner than in a large one.
  static MembershipSettings SlowMembership() {
    MembershipSettings settings;
    settings.probe_period_ms = 3000;
    return settings;
  }
  static ReaderFreshnessSettings SettingsOf() {
    ReaderFreshnessSettings settings;
    settings.settle_ms = 1500;
    return settings;
  }

  TimeMs next_tick = 0;
  std::uint64_t highest_version = 0;
};

/// Five processes of which two are readers and three follow them. Each has its
/// own store with the same items and revisions, so that it can be cut off.
class Fleet {
 public:
  Fleet() {
    for (std::size_t index = 0; index < kProcesses; ++index) {
      this->stores.push_back(std::make_unique<StoreStandin>(
          this->store_loop,
          "127.96.1." + std::to_string(index + 1) + ":18197"));
      this->stores.back()->Listen();
    }
    this->Write(1);
    for (std::size_t index = 0; index < kProcesses; ++index) {
      this->processes.push_back(
          std::make_unique<Process>(index, this->stores[index]->address));
    }
    REQUIRE(this->RunUntil(
        [this] {
          const bool settled = this->Readers().size() == 2 &&
                               this->Followers().size() == kProcesses - 2;
          return settled && this->AllKnow(1);
        },
        kStartMs));
  }
  ~Fleet() {
    this->processes.clear();
    for (const auto& store : this->stores) store->Stop();
    CloseAllConnections(this->store_loop);
    this->store_loop.poll();
    this->store_loop.EndTasks();
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Writes a configuration, and an endpoint that leaves at odd versions.
  void Write(std::uint64_t version) {
    this->Write(version, ConfigItem(version));
  }
  void Write(std::uint64_t version, const std::string& config) {
    const std::string item =
        EndpointItem("127.0.0.1:9", version % 2 == 0 ? "draining" : "ready",
                     static_cast<std::int64_t>(version / 2 + 1));
    for (const auto& store : this->stores) {
      store->Put("op/config", config);
      store->Put("servers/e1", item);
    }
  }
  /// Writes a configuration with `routes` routes; see `Write`.
  void WriteLarge(std::uint64_t version, int routes) {
    this->Write(version, LargeConfigItem(version, routes));
  }
  /// Readers by their own view.
  [[nodiscard]] std::vector<Process*> Readers() const {
    return this->Where(
        [](const Process& process) { return process.follower.IsReader(); });
  }
  /// Processes whose source is paused.
  [[nodiscard]] std::vector<Process*> Followers() const {
    return this->Where(
        [](const Process& process) { return !process.follower.ReadsSource(); });
  }
  /// Whether all undisturbed processes know what `Write(version)` wrote.
  [[nodiscard]] bool AllKnow(std::uint64_t version) const {
    return std::ranges::all_of(this->processes, [&](const auto& process) {
      return process->stopped || process->disturbed ||
             (process->state.Config()->version == version &&
              process->Uses("e1") == (version % 2 != 0));
    });
  }
  template <typename Condition>
  bool RunUntil(const Condition& holds, DurationMs limit_ms) {
    const TimeMs end = LoopNow() + limit_ms;
    while (!holds() && LoopNow() < end) {
      this->store_loop.poll();
      const TimeMs now = LoopNow();
      for (const auto& process : this->processes) process->Run(now);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return holds();
  }
  void RunFor(DurationMs duration_ms) {
    static_cast<void>(this->RunUntil([] { return false; }, duration_ms));
  }
  /// Whether all undisturbed processes know a change, which is written now, in
  /// time.
  [[nodiscard]] bool Follows(std::uint64_t version,
                             DurationMs limit_ms = kBoundMs) {
    this->Write(version);
    return this->RunUntil([&] { return this->AllKnow(version); }, limit_ms);
  }
  [[nodiscard]] StoreStandin& StoreOf(const Process& process) const {
    const auto found = std::ranges::find_if(
        this->processes,
        [&process](const auto& entry) { return entry.get() == &process; });
    return *this->stores[static_cast<std::size_t>(found -
                                                  this->processes.begin())];
  }
  [[nodiscard]] bool NoneFellBack() const {
    return std::ranges::none_of(this->processes, [](const auto& process) {
      return process->fell_back;
    });
  }

  Loop store_loop{1};
  std::vector<std::unique_ptr<StoreStandin>> stores;
  std::vector<std::unique_ptr<Process>> processes;

 private:
  template <typename Condition>
  [[nodiscard]] std::vector<Process*> Where(const Condition& holds) const {
    std::vector<Process*> found;
    for (const auto& process : this->processes) {
      if (!process->stopped && holds(*process)) found.push_back(process.get());
    }
    return found;
  }
};

TEST_CASE(
    "reader fleet: followers learn of changes without calls of their own") {
  Fleet fleet;
  // Watches that began before the pause have ended by then.
  fleet.RunFor(2500);
  const std::vector<Process*> followers = fleet.Followers();
  REQUIRE(followers.size() == kProcesses - 2);
  std::vector<std::uint64_t> calls;
  calls.reserve(followers.size());
  for (const Process* process : followers) {
    calls.push_back(process->follower.SourceCalls());
  }
  for (std::uint64_t version = 2; version < 8; ++version) {
    CHECK(fleet.Follows(version, 1000));
    fleet.RunFor(300);
  }
  for (std::size_t index = 0; index < followers.size(); ++index) {
    CHECK(followers[index]->follower.SourceCalls() == calls[index]);
    CHECK(followers[index]->follower.StateAgeMs(LoopNow()) <= 2000);
  }
}

TEST_CASE("reader fleet: a reader that is killed delays a change") {
  Fleet fleet;
  Process* reader = fleet.Readers()[0];
  reader->CutOff();
  reader->stopped = true;
  CHECK(fleet.Follows(2, 500));
  CHECK_FALSE(fleet.Followers().empty());
}

TEST_CASE("reader fleet: readers that are killed hide a change") {
  Fleet fleet;
  for (Process* reader : fleet.Readers()) {
    reader->CutOff();
    reader->stopped = true;
  }
  CHECK(fleet.Follows(2, kDetectedMs));
  CHECK(fleet.Follows(3));
}

TEST_CASE("reader fleet: readers that are stopped hide a change") {
  Fleet fleet;
  const std::vector<Process*> readers = fleet.Readers();
  for (Process* reader : readers) reader->stopped = true;
  CHECK(fleet.Follows(2, kDetectedMs));
  CHECK(fleet.Follows(3));
  for (Process* reader : readers) reader->stopped = false;
  CHECK(fleet.Follows(4));
  CHECK(fleet.NoneFellBack());
  CHECK(fleet.RunUntil([&] { return !fleet.Followers().empty(); }, kStartMs));
}

TEST_CASE("reader fleet: readers that lose the store alone hide a change") {
  Fleet fleet;
  for (Process* reader : fleet.Readers()) {
    reader->disturbed = true;
    fleet.StoreOf(*reader).SetSilent(true);
  }
  CHECK(fleet.Follows(2));
  CHECK(fleet.Follows(3));
}

TEST_CASE("reader fleet: readers that lose their peers alone hide a change") {
  Fleet fleet;
  for (Process* reader : fleet.Readers()) reader->CutOff();
  CHECK(fleet.Follows(2, kDetectedMs));
  CHECK(fleet.Follows(3));
}

TEST_CASE("reader fleet: a reader that lags and says that it is fresh") {
  Fleet fleet;
  const std::vector<Process*> readers = fleet.Readers();
  readers[0]->disturbed = true;
  readers[0]->source.Lag();
  // Otherwise it would learn of changes by gossip.
  readers[0]->gossip.Stop();
  // Its last watch has ended by then.
  fleet.RunFor(1000);
  CHECK(fleet.Follows(2, 500));
  readers[1]->CutOff();
  readers[1]->stopped = true;
  CHECK(fleet.Follows(3, kDetectedMs));
}

TEST_CASE("reader fleet: the store is silent for all and returns") {
  Fleet fleet;
  for (const auto& store : fleet.stores) store->SetSilent(true);
  fleet.RunFor(3500);
  CHECK(fleet.Followers().empty());
  for (const auto& store : fleet.stores) store->SetSilent(false);
  CHECK(fleet.Follows(2));
  CHECK(
      fleet.RunUntil([&] { return fleet.Followers().size() == 3; }, kStartMs));
  CHECK(fleet.Follows(3));
}

TEST_CASE("reader fleet: the store is restored while a reader is replaced") {
  Fleet fleet;
  const StoreStandin::Copy copy = fleet.stores[0]->Save();
  CHECK(fleet.Follows(2));
  CHECK(fleet.Follows(3));
  Process* gone = fleet.Readers()[0];
  gone->CutOff();
  gone->stopped = true;
  for (const auto& store : fleet.stores) store->Restore(copy);
  CHECK(fleet.Follows(4));
  CHECK(fleet.RunUntil(
      [&] { return fleet.Readers().size() == 2 && !fleet.Followers().empty(); },
      kStartMs));
  CHECK(fleet.Follows(5));
  CHECK(fleet.NoneFellBack());
}

// Guards against parts of the process that are not connected.
TEST_CASE("reader fleet: whole processes leave the store to their readers") {
  Loop loop(1);
  StoreStandin store(loop, "127.96.2.9:18197");
  store.Listen();
  store.Put("op/config", ConfigItem(1));
  store.Put("servers/e1", EndpointItem("127.0.0.1:9", "ready", 1));
  std::vector<std::unique_ptr<platform::StoreSource>> sources;
  std::vector<std::unique_ptr<EntryNode>> nodes;
  for (int index = 1; index <= 3; ++index) {
    NodeSettings settings;
    settings.ip = "127.96.2." + std::to_string(index);
    settings.vm = settings.ip;
    settings.data_centre = "a";
    settings.callers_address = settings.ip + ":18199";
    settings.peer_port = kPort;
    settings.seeds = {"127.96.2.1", "127.96.2.2"};
    settings.cpu_millicores = index < 3 ? 500 : 120;
    settings.source_readers = 2;
    settings.min_members_for_readers = 3;
    NodeDialects dialects;
    dialects.callers = std::make_unique<platform::PlatformCallers>();
    dialects.endpoints = std::make_unique<platform::PlatformEndpoints>();
    sources.push_back(std::make_unique<platform::StoreSource>(
        loop, platform::StoreSettings{store.address}));
    nodes.push_back(std::make_unique<EntryNode>(loop, std::move(settings),
                                                std::move(dialects)));
    REQUIRE(nodes.back()->Start(*sources.back()));
  }
  const auto run_until = [&loop](const auto& holds, DurationMs limit_ms) {
    const TimeMs end = LoopNow() + limit_ms;
    while (!holds() && LoopNow() < end) {
      loop.run_for(std::chrono::milliseconds(5));
    }
    return holds();
  };
  const auto has_gauge = [&](std::size_t node, const std::string& text) {
    return nodes[node]->MetricsText().find("{item=\"" + text + "\n") !=
           std::string::npos;
  };
  CHECK(run_until([&] { return has_gauge(2, "source_read\"} 0"); }, kStartMs));
  CHECK(has_gauge(0, "source_reader\"} 1"));
  CHECK(has_gauge(1, "source_reader\"} 1"));
  CHECK(has_gauge(0, "source_read\"} 1"));
  store.Put("op/config", ConfigItem(2));
  CHECK(run_until([&] { return nodes[2]->ConfigVersion() == 2; }, 500));
  for (const auto& node : nodes) node->CloseSockets();
  store.Stop();
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
}

/// Bytes of the answer of a reader to a process that knows `version`.
std::size_t AnswerBytes(Fleet& fleet, Process& follower,
                        std::uint64_t version) {
  const std::string reader = fleet.Readers()[0]->ip;
  const KnownState known{version, follower.state.Revision()};
  std::optional<std::size_t> bytes;
  Spawn(follower.loop, [&]() -> Task<> {
    const Result<std::string> answer = co_await follower.link.Call(
        reader, std::string(kStateWatchPath),
        EncodeWatchRequest(StateWatchRequest{known, 0}), LoopNow() + kBoundMs);
    bytes = answer ? answer.value().size() : kMaxAnswerBytes + 1;
  });
  REQUIRE(fleet.RunUntil([&] { return bytes.has_value(); }, kBoundMs));
  return *bytes;
}

TEST_CASE(
    "reader fleet: an answer with a large configuration is too long for the "
    "link of a small VM") {
  Fleet fleet;
  Process& follower = *fleet.Followers()[0];
  fleet.WriteLarge(2, kManyRoutes);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllKnow(2); }, kBoundMs));
  fleet.WriteLarge(3, kManyRoutes + 1);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllKnow(3); }, kBoundMs));
  CHECK(AnswerBytes(fleet, follower, 1) <= kMaxAnswerBytes);
  CHECK(AnswerBytes(fleet, follower, 2) <= kMaxAnswerBytes);
}

TEST_CASE(
    "reader fleet: a process that reads the source again is sent each version "
    "of the meantime") {
  constexpr int kRoutes = 200;
  Fleet fleet;
  const std::vector<Process*> followers = fleet.Followers();
  for (std::uint64_t version = 2; version < 22; ++version) {
    fleet.WriteLarge(version, kRoutes);
    fleet.RunFor(100);
  }
  REQUIRE(fleet.RunUntil([&] { return fleet.AllKnow(21); }, kBoundMs));
  REQUIRE(fleet.Followers().size() == followers.size());
  std::vector<std::size_t> sent;
  sent.reserve(followers.size());
  for (const Process* process : followers) {
    sent.push_back(fleet.StoreOf(*process).SentBytes());
  }
  for (Process* reader : fleet.Readers()) {
    reader->CutOff();
    reader->stopped = true;
  }
  CHECK(fleet.Follows(22, kDetectedMs));
  const std::size_t value_bytes = LargeConfigItem(22, kRoutes).size() * 4 / 3;
  for (std::size_t index = 0; index < followers.size(); ++index) {
    CHECK(fleet.StoreOf(*followers[index]).SentBytes() - sent[index] <=
          3 * value_bytes);
  }
}

}  // namespace
}  // namespace limpethaven
