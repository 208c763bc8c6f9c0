/// @file
/// A store that falls silent while processes wait for its answer. Guards
/// against processes that know nothing of leaving endpoints long after it has
/// returned.
#include <catch2/catch.hpp>
#include <string>

#include "platform/store_source.h"
#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::ScriptedEngine;

/// Counts the complete lists of endpoints.
class CountingListener final : public SourceListener {
 public:
  void OnConfiguration(const Configuration&) override {}
  void OnEndpoint(const EndpointRecord&, const SourceRevision&) override {}
  void OnEndpointGone(const std::string&, const SourceRevision&) override {}
  void OnAllEndpoints(const std::vector<EndpointRecord>&, const SourceRevision&,
                      std::optional<TimeMs>) override {
    ++this->lists;
  }
  void OnVms(const std::vector<ListedVm>&) override {}
  void OnSourceReachable(bool) override {}
  void OnUnreadable(const std::string&, const Error&) override {}

  int lists = 0;
};

TEST_CASE("platform: a watch that the store never answers is given up") {
  // Time after an outage until changes must come into force in time again.
  constexpr DurationMs kBoundMs = 3000;
  Loop loop(1);
  const std::string address = "127.93.0.1:18194";
  ScriptedEngine store(loop, address, [](const RequestHead& call) {
    const bool watch = PathOf(call.target) == "/limpethaven/kv-watch";
    if (watch) return EngineAnswer{};
    return EngineAnswer{
        WriteResponse(ResponseHead{200, {}}, R"({"items":[],"as_of":5})")};
  });
  store.Listen();
  CountingListener listener;
  platform::StoreSource source(loop, platform::StoreSettings{address});
  source.Start(listener);
  const TimeMs started_at = LoopNow();
  while (listener.lists < 2 && LoopNow() < started_at + 2 * kBoundMs) {
    loop.run_for(std::chrono::milliseconds(20));
  }
  CHECK(listener.lists == 2);
  CHECK(LoopNow() - started_at <= kBoundMs);
  store.Stop();
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
}

}  // namespace
}  // namespace limpethaven
