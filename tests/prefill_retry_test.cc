/// @file
/// Prefill calls while decode engines are down, on a fleet of entry nodes.
#include <catch2/catch.hpp>

#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;

TEST_CASE("repeated prefills of a prompt stay within the retry budget") {
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.timeout_ms = 2500;
  settings.engines = 6;
  settings.prefill_engines = 2;
  settings.retries = RetrySettings{0, 0, 10'000};
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    return EngineAnswer{testing::PrefillAnswer(call)};
  });
  for (std::size_t index = 0; index < settings.engines; ++index) {
    fleet.engines[index]->Stop();
  }
  constexpr std::size_t kRequests = 4;
  for (std::size_t number = 0; number < kRequests; ++number) {
    static_cast<void>(
        fleet.Call(0, "first:80,own" + std::to_string(number) + ":9"));
  }
  CHECK(fleet.CallsWith("first:") <= kRequests);
}

TEST_CASE("prefills that engines reject count against the retry budget") {
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.timeout_ms = 2500;
  settings.engines = 2;
  settings.prefill_engines = 4;
  settings.retries = RetrySettings{0, 2.4, 10'000};
  // The decode engines are full too, so that the request is sent again.
  PlatformFleet fleet(settings, [](const RequestHead&) {
    return EngineAnswer{
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  static_cast<void>(fleet.Call(0, "first:80,own:9"));
  // One run, and as many further calls as the budget allows.
  CHECK(fleet.CallsWith("first:") <= 1 + 2);
}

TEST_CASE("runs after rejected prefills exceed the retry budget") {
  // A rejected prefill is a call of its own, so that the run is a second one.
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.engines = 2;
  settings.prefill_engines = 2;
  settings.retries = RetrySettings{0, 0, 10'000};
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    if (!call.headers.Has("X-Stage")) {
      return EngineAnswer{testing::WholeStream(call, 1)};
    }
    return EngineAnswer{
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  constexpr std::size_t kRequests = 6;
  std::size_t answered = 0;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const HttpResponse response =
        fleet.Call(0, "first:80,own" + std::to_string(number) + ":9");
    REQUIRE(response.fault == CallFault::kNone);
    if (response.head.status == 200) ++answered;
  }
  CHECK(fleet.CallsWith("first:") <= kRequests);
  // After the first rejection the prompts are read where they run.
  CHECK(answered >= kRequests - 1);
}

}  // namespace
}  // namespace limpethaven
