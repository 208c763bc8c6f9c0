/// @file
/// Planned stops of an entry process, played on a fleet with real sockets.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "limpethaven/stop_admission.h"
#include "net/http_parser.h"
#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;

constexpr DurationMs kStopMs = 1500;
/// Time for which the endpoints work on a request.
constexpr DurationMs kRunMs = 500;
/// Time within which a response that needs no endpoint arrives.
constexpr DurationMs kPromptMs = 250;

PlatformFleetSettings OneEntry() {
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.engines = 1;
  settings.shutdown_timeout_ms = kStopMs;
  settings.address_ttl_ms = kStopMs;
  return settings;
}

/// Begins its answer at once and ends it after `kRunMs`.
EngineAnswer SlowStream(const RequestHead& call) {
  const std::string whole = testing::WholeStream(call, 1);
  EngineAnswer answer{whole.substr(0, whole.size() - 5)};
  answer.late = whole.substr(whole.size() - 5);
  answer.late_ms = kRunMs;
  return answer;
}

/// Answers as a whole after `kRunMs`.
EngineAnswer SlowAnswer(const RequestHead& call) {
  EngineAnswer answer;
  answer.late = testing::WholeStream(call, 1);
  answer.late_ms = kRunMs;
  return answer;
}

bool SaysNotRun(const HttpResponse& response) {
  return response.fault == CallFault::kNone && response.head.status == 503;
}

bool AnnouncesClose(const HttpResponse& response) {
  return response.head.headers.HasToken("Connection", "close");
}

TEST_CASE("a process that stops admits what must end before it does") {
  StopAdmission admission;
  CHECK(admission.Admits(1'000'000));
  admission.StopAt(8000);
  CHECK(admission.Admits(8000));
  CHECK_FALSE(admission.Admits(8001));
}

TEST_CASE("planned stop: a request that may outlast the process is passed on") {
  // All requests before it were short, so that their durations bound nothing.
  PlatformFleet fleet(OneEntry(), [](const RequestHead& call) {
    return EngineAnswer{testing::WholeStream(call, 1)};
  });
  REQUIRE(fleet.Call(0, "aa:60,bb:60").head.status == 200);
  REQUIRE(fleet.CallService(0).head.status == 200);
  fleet.DrainEntry(0);
  fleet.Start(0, "aa:60,dd:60");
  fleet.StartService(0);
  fleet.RunFor(kPromptMs);
  REQUIRE(fleet.responses.size() == 4);
  CHECK(SaysNotRun(fleet.responses[2]));
  CHECK(SaysNotRun(fleet.responses[3]));
  CHECK(AnnouncesClose(fleet.responses[2]));
  CHECK(fleet.CallsWith("dd:60") == 0);
}

TEST_CASE("planned stop: a request whose deadline lies in it is refused") {
  PlatformFleetSettings settings = OneEntry();
  settings.timeout_ms = kStopMs - 200;
  PlatformFleet fleet(settings, SlowAnswer);
  fleet.DrainEntry(0);
  fleet.Start(0, "aa:60,bb:60");
  fleet.StartService(0);
  fleet.RunFor(2 * kRunMs);
  REQUIRE(fleet.responses.size() == 2);
  CHECK(fleet.responses[0].head.status == 200);
  CHECK(fleet.responses[1].head.status == 200);
}

TEST_CASE("planned stop: a queued request waits until the process ends") {
  PlatformFleetSettings settings = OneEntry();
  settings.slots = 1;
  PlatformFleet fleet(settings, SlowStream);
  fleet.Start(0, "aa:60,bb:60");
  fleet.RunFor(100);
  REQUIRE(fleet.CallsWith("bb:60") == 1);
  fleet.Start(0, "aa:60,cc:60");
  fleet.RunFor(100);
  REQUIRE(fleet.CallsWith("cc:60") == 0);
  fleet.DrainEntry(0);
  fleet.RunFor(kPromptMs);
  REQUIRE(fleet.responses.size() == 1);
  CHECK(SaysNotRun(fleet.responses[0]));
  fleet.RunFor(2 * kRunMs);
  REQUIRE(fleet.responses.size() == 2);
  CHECK(fleet.responses[1].head.status == 200);
  CHECK(fleet.CallsWith("cc:60") == 0);
}

TEST_CASE("planned stop: a response that begins in it keeps its connection") {
  PlatformFleet fleet(OneEntry(), SlowAnswer);
  fleet.StartService(0);
  fleet.RunFor(100);
  fleet.DrainEntry(0);
  fleet.RunFor(2 * kRunMs);
  REQUIRE(fleet.responses.size() == 1);
  CHECK(fleet.responses[0].head.status == 200);
  CHECK(AnnouncesClose(fleet.responses[0]));
}

TEST_CASE("planned stop: an unanswered request is cut at the end") {
  PlatformFleet fleet(OneEntry(),
                      [](const RequestHead&) { return EngineAnswer{}; });
  fleet.StartService(0);
  fleet.RunFor(100);
  fleet.DrainEntry(0);
  fleet.RunFor(kStopMs + 500);
  REQUIRE(fleet.responses.size() == 1);
  CHECK(fleet.responses[0].fault == CallFault::kNone);
  // It was sent, so that it may have run.
  CHECK(fleet.responses[0].head.status == 502);
}

TEST_CASE("planned stop: a repeated signal cuts open requests") {
  PlatformFleetSettings settings = OneEntry();
  settings.address_ttl_ms = 100;
  PlatformFleet fleet(settings, SlowStream);
  fleet.Start(0, "aa:60,bb:60");
  fleet.StartService(0);
  fleet.RunFor(100);
  fleet.DrainEntry(0);
  fleet.RunFor(50);
  fleet.DrainEntry(0);
  fleet.RunFor(2 * kRunMs);
  REQUIRE(fleet.responses.size() == 2);
  for (const HttpResponse& response : fleet.responses) {
    CHECK(response.fault == CallFault::kNone);
    CHECK(response.head.status == 200);
  }
}

TEST_CASE("planned stop: a kept connection that idles stays open") {
  PlatformFleetSettings settings = OneEntry();
  settings.timeout_ms = 2 * kStopMs;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    return EngineAnswer{testing::WholeStream(call, 1)};
  });
  const ConnectionPtr connection = fleet.Connect(0);
  REQUIRE(connection);
  fleet.RunFor(kPromptMs);
  fleet.DrainEntry(0);
  CHECK(fleet.RunUntil(
      [&] { return connection->State() == InputState::kEnded; }, kStopMs / 2));
}

TEST_CASE("planned stop: a request right after a long answer is cut") {
  // The head of the answer was sent before the stop and promised to keep the
  // connection.
  PlatformFleet fleet(OneEntry(), SlowStream);
  const ConnectionPtr connection = fleet.Connect(0);
  REQUIRE(connection);
  const auto response = [&](std::string_view prefix) {
    HttpParser parser(HttpParser::Kind::kResponse, MessageLimits{});
    fleet.Write(*connection, prefix);
    static_cast<void>(fleet.RunUntil(
        [&] {
          connection->Consume(parser.Put(connection->Input()));
          if (!fleet.entries[0]->Leaving() && parser.HeadDone()) {
            fleet.DrainEntry(0);
          }
          return parser.Done() || connection->State() != InputState::kOpen;
        },
        kStopMs));
    return parser.Done() ? parser.Response() : ResponseHead{0, {}};
  };
  const ResponseHead first = response("aa:60,bb:60");
  CHECK(first.status == 200);
  REQUIRE(first.keep_alive);
  const ResponseHead second = response("aa:60,cc:60");
  CHECK(second.status == 503);
  CHECK_FALSE(second.keep_alive);
  CHECK(fleet.CallsWith("cc:60") == 0);
}

}  // namespace
}  // namespace limpethaven
