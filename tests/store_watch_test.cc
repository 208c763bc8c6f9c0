/// @file
/// Following a store that loses watches, forgets or goes back. Guards
/// against processes that keep to an older state than the bounds allow.
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_source.h"
#include "store_standin.h"

namespace limpethaven {
namespace {

using testing::ConfigItem;
using testing::EndpointItem;
using testing::LargeConfigItem;
using testing::StoreStandin;

/// Time after an outage until changes must come into force in time again.
constexpr DurationMs kContactMs = 3000;
/// Half of a link of 10 Mbit/s; the other half is for callers.
constexpr std::int64_t kSlowBytesPerS = 1'250'000 / 2;

/// Keeps what the source reports.
class RecordingListener final : public SourceListener {
 public:
  void OnConfiguration(const Configuration& config) override {
    this->version = config.version;
  }
  void OnEndpoint(const EndpointRecord& endpoint,
                  const SourceRevision&) override {
    this->usable.insert(endpoint.id);
    if (endpoint.leaving) this->usable.erase(endpoint.id);
  }
  void OnEndpointGone(const std::string& id, const SourceRevision&) override {
    this->usable.erase(id);
  }
  void OnAllEndpoints(const std::vector<EndpointRecord>& endpoints,
                      const SourceRevision&,
                      std::optional<TimeMs> source_returned_at) override {
    ++this->lists;
    this->returned_at = source_returned_at;
    this->usable.clear();
    for (const EndpointRecord& endpoint : endpoints) {
      if (!endpoint.leaving) this->usable.insert(endpoint.id);
    }
  }
  void OnVms(const std::vector<ListedVm>&) override {}
  void OnSourceReachable(bool) override {}
  void OnUnreadable(const std::string&, const Error&) override {}

  std::uint64_t version = 0;
  std::set<std::string> usable;
  int lists = 0;
  std::optional<TimeMs> returned_at;  ///< Of the last list.
};

/// A store and a source that follows it.
class FollowedStore {
 public:
  explicit FollowedStore(const std::string& address,
                         platform::StoreSettings settings = {})
      : store(this->loop, address), source(this->loop, [&] {
          settings.address = address;
          return settings;
        }()) {
    this->store.Put("op/config", ConfigItem(1));
    this->store.Put("servers/e1", EndpointItem("127.0.0.1:9", "ready", 1));
    this->store.Put("servers/e2", EndpointItem("127.0.0.1:8", "ready", 1));
    this->store.Listen();
    this->source.Start(this->listener);
    REQUIRE(this->RunUntil(
        [this] {
          return this->listener.version == 1 && this->listener.lists == 1 &&
                 this->store.CallsWith("kv-watch").size() == 2;
        },
        kContactMs));
  }
  ~FollowedStore() {
    this->store.Stop();
    CloseAllConnections(this->loop);
    this->loop.poll();
    this->loop.EndTasks();
  }
  FollowedStore(const FollowedStore&) = delete;
  FollowedStore& operator=(const FollowedStore&) = delete;

  template <typename Condition>
  bool RunUntil(const Condition& holds, DurationMs limit_ms) {
    const TimeMs end = LoopNow() + limit_ms;
    while (!holds() && LoopNow() < end) {
      this->loop.run_for(std::chrono::milliseconds(5));
    }
    return holds();
  }

  Loop loop{1};
  StoreStandin store;
  RecordingListener listener;
  platform::StoreSource source;
};

TEST_CASE(
    "platform: watches that hang hide a change after the bounds hold again") {
  FollowedStore followed("127.93.0.1:18194");
  // All watches are lost at once, as when their connections fall silent, so
  // that no peer knows of the change either.
  followed.store.SetWatchesSilent(true);
  followed.store.SetWatchesSilent(false);
  followed.store.Put("op/config", ConfigItem(2));
  followed.store.Put("servers/e1", EndpointItem("127.0.0.1:9", "draining", 1));
  CHECK(followed.RunUntil(
      [&] {
        return followed.listener.version == 2 &&
               followed.listener.usable == std::set<std::string>{"e2"};
      },
      kContactMs));
}

TEST_CASE(
    "platform: a list read late after an outage counts as incomplete from its "
    "reading on") {
  constexpr DurationMs kSilenceMs = 1500;
  FollowedStore followed(
      "127.93.0.2:18194",
      platform::StoreSettings{.batch_ms = 50, .max_silence_ms = kSilenceMs});
  // The watch of the endpoints begins a second after that of the configuration.
  followed.loop.run_for(std::chrono::milliseconds(900));
  followed.store.Put("servers/e3", EndpointItem("127.0.0.1:7", "ready", 1));
  REQUIRE(followed.RunUntil(
      [&] { return followed.store.CallsWith("kv-watch").size() == 3; }, 500));
  // Both watches are lost, and that of the configuration is given up first.
  followed.store.SetSilent(true);
  followed.loop.run_for(std::chrono::milliseconds(200));
  followed.store.SetSilent(false);
  REQUIRE(followed.RunUntil(
      [&] { return followed.store.CallsWith("config").size() >= 3; },
      kSilenceMs));
  const TimeMs returned_by = LoopNow() + 100;
  REQUIRE(followed.RunUntil([&] { return followed.listener.lists == 2; },
                            kSilenceMs + 500));
  REQUIRE(followed.listener.returned_at.has_value());
  CHECK(LoopNow() > returned_by + 300);
  CHECK(*followed.listener.returned_at <= returned_by);
}

TEST_CASE("platform: calls made late in a silent outage hide a change") {
  FollowedStore followed("127.93.0.5:18194");
  // No call that the store receives during the outage is ever answered.
  followed.store.SetSilent(true);
  followed.loop.run_for(std::chrono::milliseconds(3300));
  followed.store.SetSilent(false);
  followed.store.Put("op/config", ConfigItem(2));
  followed.store.Put("servers/e1", EndpointItem("127.0.0.1:9", "draining", 1));
  CHECK(followed.RunUntil(
      [&] {
        return followed.listener.version == 2 &&
               followed.listener.usable == std::set<std::string>{"e2"};
      },
      kContactMs));
}

TEST_CASE("platform: a paused source brings all changes when it is resumed") {
  FollowedStore followed(
      "127.93.0.6:18194",
      platform::StoreSettings{.batch_ms = 50, .max_silence_ms = 500});
  followed.source.Pause();
  followed.loop.run_for(std::chrono::milliseconds(700));
  const std::size_t calls = followed.store.CallsWith("kv-").size();
  followed.store.Put("op/config", ConfigItem(2));
  followed.store.Delete("servers/e1");
  followed.loop.run_for(std::chrono::milliseconds(700));
  CHECK(followed.store.CallsWith("kv-").size() == calls);
  CHECK(followed.listener.version == 1);
  followed.source.Resume();
  CHECK(followed.RunUntil(
      [&] {
        return followed.listener.version == 2 &&
               followed.listener.usable == std::set<std::string>{"e2"};
      },
      400));
  // A list after a pause would count as incomplete, so that what it lacks would
  // stay in use.
  CHECK(followed.listener.lists == 1);
}

TEST_CASE("platform: the state of a reader of the store becomes stale") {
  FollowedStore followed("127.93.0.7:18194");
  followed.source.SetReader(true);
  // The longer watches that wait now have ended by then.
  followed.loop.run_for(std::chrono::milliseconds(2600));
  const auto age_ms = [&] {
    const auto complete_at = followed.source.Progress().complete_at;
    return complete_at ? LoopNow() - *complete_at : DurationMs{1'000'000};
  };
  REQUIRE(followed.RunUntil([&] { return age_ms() < 200; }, kContactMs));
  const std::size_t calls_before = followed.store.CallsWith("kv-").size();
  const auto stale = [&] { return age_ms() > 1200; };
  CHECK_FALSE(followed.RunUntil(stale, 4000));
  const std::size_t calls =
      followed.store.CallsWith("kv-").size() - calls_before;
  CHECK(calls <= 12);
  // Changes at any time within a watch, each followed by the pause after it.
  for (int count = 0; count < 8; ++count) {
    followed.store.Put("servers/e1", EndpointItem("127.0.0.1:9", "ready", 1));
    CHECK_FALSE(followed.RunUntil(stale, 370));
  }
  // A watch that is lost is found before its state is stale, and a store that
  // is silent makes it stale.
  followed.store.SetWatchesSilent(true);
  followed.store.SetWatchesSilent(false);
  CHECK_FALSE(followed.RunUntil(stale, 3000));
  followed.store.SetSilent(true);
  CHECK(followed.RunUntil(stale, 1300));
}

TEST_CASE("reported: an odd item among the endpoints ends or stops a process") {
  const std::string ready = EndpointItem("127.0.0.1:9", "ready", 1);
  const auto with = [&ready](std::string_view field, std::string_view text) {
    std::string item = ready;
    const std::size_t name = item.find("\"" + std::string(field) + "\":");
    const std::size_t begin = item.find(':', name) + 1;
    const std::size_t end = item.find_first_of(",}", begin);
    return item.replace(begin, end - begin, text);
  };
  constexpr std::size_t kDepth = 50'000;
  const std::string deep(kDepth, '[');
  const std::vector<std::string> odd = {
      deep,
      deep + std::string(kDepth, ']'),
      with("cold_left_ms", deep + std::string(kDepth, ']')),
      with("cold_left_ms", "1e999"),
      with("slots", "9223372036854775807"),
      with("slots", "18446744073709551616"),
      with("slots", "1e30"),
      with("slots", "-1"),
      with("born", "18446744073709551615"),
      with("born", "-1e400"),
      with("addr", "\"127.0.0.1:65536\""),
      with("addr", "\"127.0.0.1:0\""),
      with("addr", "\"127.0.0.1:99999999999999999999\""),
      with("addr", "\"127.0.0.1\\r\\nX: 1:9\""),
      std::string("\0\xff\xfe", 3),
      "null",
      ""};
  FollowedStore followed(
      "127.93.0.3:18194",
      platform::StoreSettings{.batch_ms = 10, .max_silence_ms = 1500});
  const std::set<std::string> sound = {"e1", "e2"};
  const auto follows = [&](std::string_view status) {
    followed.store.Put("servers/e2", EndpointItem("127.0.0.1:8", status, 1));
    const bool leaving = status == "draining";
    return followed.RunUntil(
        [&] { return followed.listener.usable.contains("e2") != leaving; },
        1000);
  };
  for (std::size_t index = 0; index < odd.size(); ++index) {
    INFO(index);
    followed.store.Put("servers/odd" + std::to_string(index), odd[index]);
    CHECK(follows("draining"));
    CHECK(follows("ready"));
    CHECK(followed.listener.usable == sound);
  }
  // The same items in a list, after the watches that wait now are lost.
  followed.loop.run_for(std::chrono::milliseconds(100));
  followed.store.SetWatchesSilent(true);
  followed.store.SetWatchesSilent(false);
  REQUIRE(
      followed.RunUntil([&] { return followed.listener.lists == 2; }, 3000));
  CHECK(followed.listener.usable == sound);
  CHECK(follows("draining"));
}

TEST_CASE("platform: a configuration that is sent slowly is never adopted") {
  FollowedStore followed("127.93.0.4:18194");
  followed.store.bytes_per_s = kSlowBytesPerS;
  // The watch has waited when the change comes.
  followed.loop.run_for(std::chrono::milliseconds(1000));
  followed.store.Put("op/config", LargeConfigItem(2, 7500));
  CHECK(followed.RunUntil([&] { return followed.listener.version == 2; },
                          2 * kContactMs));
}

TEST_CASE(
    "platform: changes that come faster than they can be received take longer "
    "and longer to come into force") {
  constexpr DurationMs kGapMs = 50;
  constexpr DurationMs kApplyMs = 2000;
  FollowedStore followed("127.93.0.5:18194");
  followed.store.bytes_per_s = kSlowBytesPerS;
  std::vector<TimeMs> written_at = {0, 0};  // By version.
  std::size_t known = 1;
  DurationMs oldest_ms = 0;
  const TimeMs end = LoopNow() + 2 * kContactMs;
  while (LoopNow() < end) {
    followed.store.Put("op/config", LargeConfigItem(written_at.size(), 700));
    written_at.push_back(LoopNow());
    followed.loop.run_for(std::chrono::milliseconds(kGapMs));
    known = followed.listener.version;
    oldest_ms = std::max(oldest_ms, LoopNow() - written_at[known + 1]);
  }
  CHECK(oldest_ms <= kApplyMs);
}

}  // namespace
}  // namespace limpethaven
