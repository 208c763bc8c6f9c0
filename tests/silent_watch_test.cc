/// @file
/// Watches of the store whose connections fall silent for good, without a
/// reset, while new connections work. Guards against processes that learn of a
/// change later than the bound because they wait on such a connection.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/tasks.h"
#include "platform/store_source.h"
#include "store_standin.h"

namespace limpethaven {
namespace {

using testing::ConfigItem;
using testing::EndpointItem;
using testing::StoreStandin;

/// Time within which a change must be in force.
constexpr DurationMs kBoundMs = 3000;

/// Forwards connections to a store. The connections that are open when
/// `Silence` is called stay open and carry nothing from then on.
class SilencingProxy {
 public:
  SilencingProxy(Loop& event_loop, const std::string& listen_address,
                 std::string store_address)
      : loop(event_loop),
        acceptor(event_loop, *ParseAddress(listen_address)),
        target(std::move(store_address)) {
    Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  }

  void Silence() {
    ++this->era;
    this->silenced_at = LoopNow();
  }
  void Stop() {
    error_code ignored;
    this->acceptor.close(ignored);
  }

  /// Calls that were sent over silent connections after `Silence`.
  int lost_calls = 0;

 private:
  Task<> Accept() {
    for (;;) {
      error_code fault;
      asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, fault));
      if (fault) co_return;
      auto caller =
          std::make_shared<Connection>(this->loop, std::move(socket), "");
      caller->Start();
      const int accepted_in = this->era;
      const ConnectionPtr store = co_await Connection::Dial(
          this->loop, this->target, LoopNow() + kBoundMs);
      if (!store) continue;
      Spawn(this->loop, [this, caller, store, accepted_in]() -> Task<> {
        co_await this->Forward(caller, store, accepted_in, true);
      });
      Spawn(this->loop, [this, caller, store, accepted_in]() -> Task<> {
        co_await this->Forward(store, caller, accepted_in, false);
      });
    }
  }

  Task<> Forward(ConnectionPtr from, ConnectionPtr to, int accepted_in,
                 bool to_store) {
    while (from->State() == InputState::kOpen) {
      co_await from->WaitInput(0, LoopNow() + 60'000);
      if (from->Input().empty()) continue;
      std::string bytes(from->Input());
      from->Consume(bytes.size());
      if (accepted_in == this->era) {
        co_await to->Write(std::move(bytes), LoopNow() + kBoundMs);
      } else if (to_store) {
        ++this->lost_calls;
      }
    }
    to->Close();
  }

  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  std::string target;
  int era = 0;
  TimeMs silenced_at = 0;
};

/// Records when the version 2 and the leaving of an endpoint become known.
class TimingListener final : public SourceListener {
 public:
  void OnConfiguration(const Configuration& config) override {
    this->version = config.version;
    if (config.version == 2 && !this->version_at) this->version_at = LoopNow();
  }
  void OnEndpoint(const EndpointRecord& endpoint,
                  const SourceRevision&) override {
    this->Note(endpoint);
  }
  void OnEndpointGone(const std::string&, const SourceRevision&) override {}
  void OnAllEndpoints(const std::vector<EndpointRecord>& endpoints,
                      const SourceRevision&, std::optional<TimeMs>) override {
    this->listed = true;
    std::ranges::for_each(endpoints, [this](const EndpointRecord& endpoint) {
      this->Note(endpoint);
    });
  }
  void OnVms(const std::vector<ListedVm>&) override {}
  void OnSourceReachable(bool) override {}
  void OnUnreadable(const std::string&, const Error&) override {}

  bool listed = false;
  std::uint64_t version = 0;
  std::optional<TimeMs> version_at;
  std::optional<TimeMs> leaving_at;

 private:
  void Note(const EndpointRecord& endpoint) {
    if (endpoint.id == "e1" && endpoint.leaving && !this->leaving_at) {
      this->leaving_at = LoopNow();
    }
  }
};

/// A source that follows its own store through a proxy.
struct Follower {
  Follower(Loop& loop, int number)
      : store(loop, Address(number, 18'196)),
        proxy(loop, Address(number, 18'197), Address(number, 18'196)),
        source(loop,
               platform::StoreSettings{.address = Address(number, 18'197)}) {
    this->store.Put("op/config", ConfigItem(1));
    this->store.Put("servers/e1", EndpointItem("127.0.0.1:9", "ready", 1));
    this->store.Listen();
  }
  static std::string Address(int number, int port) {
    return "127.94.0." + std::to_string(number) + ":" + std::to_string(port);
  }
  StoreStandin store;
  SilencingProxy proxy;
  TimingListener listener;
  platform::StoreSource source;
  DurationMs silent_after_ms = 0;
  std::optional<TimeMs> changed_at;
};

/// Runs followers whose connections fall silent at moments `step_ms` apart, and
/// changes both items right after that.
/// @param answer_first Whether another change is answered at the beginning, so
/// that the moments lie in the pause after the answer and in the next watch.
/// @returns the longest time until a change was known, and the most calls that
/// one follower lost.
std::pair<DurationMs, int> LongestDelay(int count, DurationMs step_ms,
                                        bool answer_first) {
  Loop loop(1);
  std::vector<std::unique_ptr<Follower>> followers;
  for (int number = 1; number <= count; ++number) {
    followers.push_back(std::make_unique<Follower>(loop, number));
    followers.back()->silent_after_ms = (number - 1) * step_ms;
    followers.back()->source.Start(followers.back()->listener);
  }
  const auto run_until = [&loop](const auto& holds, DurationMs limit_ms) {
    const TimeMs end = LoopNow() + limit_ms;
    while (!holds() && LoopNow() < end) {
      loop.run_for(std::chrono::milliseconds(2));
    }
    return holds();
  };
  const auto all = [&followers](const auto& holds) {
    return std::ranges::all_of(
        followers, [&](const auto& follower) { return holds(*follower); });
  };
  REQUIRE(run_until(
      [&] {
        return all([](const Follower& follower) {
          return follower.listener.listed && follower.listener.version == 1 &&
                 follower.store.CallsWith("kv-watch").size() >= 2;
        });
      },
      kBoundMs));
  const TimeMs started_at = LoopNow();
  if (answer_first) {
    std::ranges::for_each(followers, [](const auto& follower) {
      follower->store.Put("servers/e2",
                          EndpointItem("127.0.0.1:8", "ready", 1));
    });
  }
  const bool known = run_until(
      [&] {
        const TimeMs now = LoopNow();
        std::ranges::for_each(followers, [&](const auto& follower) {
          if (follower->changed_at ||
              now < started_at + follower->silent_after_ms) {
            return;
          }
          follower->proxy.Silence();
          follower->store.Put("op/config", ConfigItem(2));
          follower->store.Put("servers/e1",
                              EndpointItem("127.0.0.1:9", "draining", 1));
          follower->changed_at = now;
        });
        return all([](const Follower& follower) {
          return follower.listener.version_at && follower.listener.leaving_at;
        });
      },
      count * step_ms + 3 * kBoundMs);
  REQUIRE(known);
  DurationMs longest = 0;
  int lost = 0;
  std::ranges::for_each(followers, [&](const auto& follower) {
    longest = std::max(
        {longest, *follower->listener.version_at - *follower->changed_at,
         *follower->listener.leaving_at - *follower->changed_at});
    lost = std::max(lost, follower->proxy.lost_calls);
    follower->store.Stop();
    follower->proxy.Stop();
  });
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
  return {longest, lost};
}

TEST_CASE("platform: watches on connections that fall silent are given up") {
  // One watch waits for 2 s, so that the moments lie everywhere in it and right
  // after its answer.
  const auto [longest, lost] = LongestDelay(32, 70, false);
  CHECK(longest <= kBoundMs);
  // Each of the two watches sends at most one call over a silent connection.
  CHECK(lost <= 2);
}

TEST_CASE("platform: connections fall silent in the pause after an answer") {
  // The watch after the pause begins late, and must be given up in time all the
  // same.
  const DurationMs step_ms = GENERATE(3, 20);
  const auto [longest, lost] = LongestDelay(32, step_ms, true);
  CHECK(longest <= kBoundMs);
  CHECK(lost <= 2);
}

}  // namespace
}  // namespace limpethaven
