/// @file
/// Failures of endpoints that are read after the deadline of their request.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;

TEST_CASE("a failure read after the deadline leaves its caller unanswered") {
  // The request may be sent again, but there is no time left for it.
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.engines = 2;
  settings.repeat = RepeatRule::kResumable;
  settings.max_sends = 2;
  settings.timeout_ms = 300;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    // Holds the loop, so that the entry reads the answer late.
    std::this_thread::sleep_for(std::chrono::milliseconds(320));
    ResponseHead head{504, {}};
    head.headers.Add("X-Attempt-Id", call.headers.Get("X-Attempt-Id"));
    return EngineAnswer{WriteResponse(head, "late")};
  });
  const HttpResponse response = fleet.Call(0, "first:80,own:9");
  CHECK(response.fault == CallFault::kNone);
  CHECK(response.head.status == 504);
  CHECK(fleet.CallsWith("first:") == 1);
}

}  // namespace
}  // namespace limpethaven
