/// @file
/// Prompts with a part that crashes engines, on a fleet of entry nodes.
#include <catch2/catch.hpp>

#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;

/// Time after which all entries must know that five engines have crashed.
constexpr DurationMs kContactMs = 3000;
constexpr std::size_t kToleratedCrashes = 5;
constexpr std::size_t kToleratedCalls = 3;

/// Engine that crashes when it begins to answer a prompt with the part `dead`.
EngineAnswer CrashOnPart(const RequestHead& call) {
  if (call.headers.Get("X-Prefix-Hash").find("dead:") ==
      std::string_view::npos) {
    return EngineAnswer{testing::WholeStream(call, 3)};
  }
  return EngineAnswer{testing::StreamHeadUntilClose(call), "", false, true};
}

std::string OwnPart(int number) {
  return "own" + std::to_string(number) + ":9";
}

TEST_CASE("a prompt part that crashes engines stops reaching them") {
  PlatformFleet fleet(PlatformFleetSettings{}, CrashOnPart);
  for (int number = 0; number < 20; ++number) {
    const auto entry = static_cast<std::size_t>(number) % fleet.entries.size();
    static_cast<void>(fleet.Call(entry, "first:80,dead:30," + OwnPart(number)));
    // Requests that share only the first part are answered.
    const HttpResponse sound =
        fleet.Call(entry, "first:80," + OwnPart(100 + number));
    CHECK(sound.fault == CallFault::kNone);
    CHECK(sound.head.status == 200);
    if (fleet.CallsWith("dead:") == kToleratedCrashes) fleet.RunFor(kContactMs);
  }
  CHECK(fleet.CallsWith("dead:") <= kToleratedCrashes + kToleratedCalls);
}

// Guards against a fleet that learns of the part again by further crashes.
TEST_CASE("entries that restart learn of a crashing prompt part from peers") {
  PlatformFleet fleet(PlatformFleetSettings{}, CrashOnPart);
  for (int number = 0; number < 4; ++number) {
    static_cast<void>(fleet.Call(static_cast<std::size_t>(number) % 3,
                                 "first:80,dead:30," + OwnPart(number)));
  }
  const std::size_t reached = fleet.CallsWith("dead:");
  for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry) {
    fleet.RestartEntry(entry);
    REQUIRE(fleet.RunUntil(
        [&] { return fleet.entries[entry]->HasServingMembers(3); },
        kContactMs));
    fleet.RunFor(kContactMs / 3);
    const HttpResponse refused =
        fleet.Call(entry, "first:80,dead:30," + OwnPart(50));
    CHECK(refused.head.status == 503);
    CHECK(refused.head.headers.Has("Retry-After"));
  }
  CHECK(fleet.CallsWith("dead:") == reached);
}

// Guards against a crash by which one request ends several engines.
TEST_CASE("a resumable prompt that crashes engines is not sent on and on") {
  PlatformFleetSettings settings;
  settings.repeat = RepeatRule::kResumable;
  PlatformFleet fleet(settings, CrashOnPart);
  const HttpResponse broken = fleet.Call(0, "first:80,dead:30,own:9");
  CHECK(broken.fault != CallFault::kNone);
  CHECK(fleet.CallsWith("dead:") <= QuarantineSettings{}.min_crashes);
}

TEST_CASE("a plain request that crashes endpoints reaches one after another") {
  constexpr std::string_view kDeadly = "/plain/deadly";
  constexpr std::size_t kCrashes = 3;
  const RepeatRule repeat =
      GENERATE(RepeatRule::kOnce, RepeatRule::kRepeatable);
  PlatformFleetSettings settings;
  settings.service_endpoints = 3;
  settings.plain_repeat = repeat;
  PlatformFleet fleet(settings, [&](const RequestHead& call) {
    EngineAnswer answer{testing::WholeStream(call, 1)};
    if (call.target == kDeadly) answer = EngineAnswer{"", "", false, true};
    return answer;
  });
  bool known = false;  // Whether all entries must know of the third crash.
  for (std::size_t number = 0; number < 20; ++number) {
    const std::size_t entry = number % fleet.entries.size();
    static_cast<void>(fleet.CallService(entry, kDeadly));
    fleet.RunFor(fleet.engines.back()->down_ms + 100);
    if (!known && fleet.CallsTo(kDeadly) >= kCrashes) {
      fleet.RunFor(kContactMs);
      known = true;
    }
    CHECK(fleet.CallService(entry).head.status == 200);
  }
  CHECK(fleet.CallsTo(kDeadly) <= kCrashes + kToleratedCalls);
  const HttpResponse refused = fleet.CallService(0, kDeadly);
  CHECK(refused.head.status == 503);
  CHECK(refused.head.headers.Has("Retry-After"));
}

TEST_CASE(
    "a repeated prompt that crashes engines makes other prompts refused") {
  PlatformFleet fleet(PlatformFleetSettings{}, CrashOnPart);
  for (std::size_t number = 0; number < 12; ++number) {
    const std::size_t entry = number % fleet.entries.size();
    static_cast<void>(fleet.Call(entry, "first:80,second:30,dead:9"));
    if (fleet.CallsWith("dead:") == kToleratedCrashes) fleet.RunFor(kContactMs);
    const HttpResponse sound = fleet.Call(
        entry, "first:80,second:30," + OwnPart(static_cast<int>(number)));
    CHECK(sound.head.status == 200);
  }
  CHECK(fleet.CallsWith("dead:") <= kToleratedCrashes + kToleratedCalls);
}

TEST_CASE(
    "a plain request that was under way when its VM was cut off is taken for a "
    "deadly one") {
  PlatformFleetSettings settings;
  settings.service_endpoints = 3;
  settings.plain_repeat = RepeatRule::kRepeatable;
  bool cut_off = true;
  PlatformFleet fleet(settings, [&](const RequestHead& call) {
    if (cut_off) return EngineAnswer{"", "", false, true};
    return EngineAnswer{testing::WholeStream(call, 1)};
  });
  for (const auto& engine : fleet.engines) engine->cut_off_when_down = true;
  for (std::size_t number = 0; number < 6; ++number) {
    static_cast<void>(fleet.CallService(number % fleet.entries.size()));
    fleet.RunFor(fleet.engines.back()->down_ms + 100);
  }
  cut_off = false;
  CHECK(fleet.CallService(0).head.status == 200);
}

// Guards against endpoints that break single calls and are alive.
TEST_CASE("a plain request whose answers are lost is taken for a deadly one") {
  PlatformFleetSettings settings;
  settings.service_endpoints = 3;
  settings.plain_repeat = RepeatRule::kRepeatable;
  bool breaks = true;
  PlatformFleet fleet(settings, [&](const RequestHead& call) {
    if (breaks) return EngineAnswer{"", "", true};
    return EngineAnswer{testing::WholeStream(call, 1)};
  });
  for (std::size_t number = 0; number < 6; ++number) {
    static_cast<void>(fleet.CallService(number % fleet.entries.size()));
  }
  breaks = false;
  CHECK(fleet.CallService(0).head.status == 200);
}

}  // namespace
}  // namespace limpethaven
