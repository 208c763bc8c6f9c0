/// @file
/// What endpoints say about themselves in their answers: that they are leaving,
/// and that they want no requests for a while. Guards against signals that are
/// passed on and not obeyed.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/endpoint_pauses.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/membership.h"
#include "platform/dialect.h"
#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;
using testing::ScriptedEngine;

/// Time after which all entries must know what an endpoint has told one.
constexpr DurationMs kContactMs = 3000;

EndpointRecord EndpointOf(const std::string& id, std::int64_t born) {
  EndpointRecord endpoint;
  endpoint.id = id;
  endpoint.born = born;
  endpoint.address = "127.0.0.1:1";
  endpoint.pool = "p";
  return endpoint;
}

TEST_CASE("an endpoint's own word that it leaves holds for its incarnation") {
  EndpointTable table;
  table.Put(EndpointOf("a", 10), {0, 1}, 0, EndpointTable::Origin::kChange);
  table.Put(EndpointOf("b", 10), {0, 1}, 0, EndpointTable::Origin::kChange);
  REQUIRE(table.MarkLeaving({"a", 10}, 0));
  REQUIRE_FALSE(table.MarkLeaving({"a", 10}, 0));
  REQUIRE(table.Usable("p").size() == 1);
  // The source lags behind, or announces the endpoint as ready again.
  table.Put(EndpointOf("a", 10), {0, 5}, 0, EndpointTable::Origin::kChange);
  REQUIRE(table.Find("a")->leaving);
  table.Remove("a", {0, 6});
  table.Put(EndpointOf("a", 10), {0, 7}, 0, EndpointTable::Origin::kChange);
  REQUIRE(table.Find("a")->leaving);
  // A later incarnation has not said so.
  table.Put(EndpointOf("a", 11), {0, 8}, 0, EndpointTable::Origin::kChange);
  REQUIRE_FALSE(table.Find("a")->leaving);
  // News of the earlier one that arrives late does not concern it.
  table.MarkLeaving({"a", 10}, 0);
  REQUIRE_FALSE(table.Find("a")->leaving);
}

TEST_CASE("a leaving endpoint may be reported before the source announces it") {
  EndpointTable table;
  REQUIRE(table.MarkLeaving({"a", 10}, 0));
  REQUIRE(table.Find("a") == nullptr);
  table.Put(EndpointOf("a", 10), {0, 1}, 0, EndpointTable::Origin::kChange);
  REQUIRE(table.Find("a")->leaving);
}

TEST_CASE("leaving endpoints are told to peers in turn, and for a time only") {
  LeavingEndpoints leaving;
  for (int index = 0; index < 5; ++index) {
    leaving.Add({"e" + std::to_string(index), 1}, 0);
  }
  std::vector<std::string> told;
  for (int message = 0; message < 5; ++message) {
    for (const LeavingEndpoint& endpoint : leaving.Outgoing(2, 100)) {
      told.push_back(endpoint.id);
    }
  }
  for (int index = 0; index < 5; ++index) {
    REQUIRE(std::ranges::count(told, "e" + std::to_string(index)) == 2);
  }
  REQUIRE(leaving.Outgoing(2, 60'000).empty());
  REQUIRE(leaving.Contains("e0", 1));
  for (std::size_t index = 0; index < 2 * LeavingEndpoints::kMaxCount;
       ++index) {
    leaving.Add({"x" + std::to_string(index), 1}, 0);
  }
  REQUIRE(leaving.Size() == LeavingEndpoints::kMaxCount);
}

TEST_CASE("gossip carries leaving endpoints, with and without evidence") {
  GossipMessage message;
  message.from = VmId{"10.0.0.1", 7};
  message.leaving_endpoints = {{"a", 1'700'000'000'123}, {"b", 2}};
  REQUIRE(DecodeGossip("s", EncodeGossip("s", message)).value() == message);
  message.evidence.push_back(PartEvidence{"part", 1, {{5, 100}}, {}});
  REQUIRE(DecodeGossip("s", EncodeGossip("s", message)).value() == message);
  message.leaving_endpoints.clear();
  REQUIRE(DecodeGossip("s", EncodeGossip("s", message)).value() == message);
}

TEST_CASE(
    "a pause is kept for as long as the endpoint asked, up to a maximum") {
  EndpointPauses pauses;
  REQUIRE(pauses.WaitMs("a", 0) == 0);
  REQUIRE(pauses.Pause("a", 2000, 0));
  REQUIRE_FALSE(pauses.Pause("a", 100, 500));
  REQUIRE(pauses.WaitMs("a", 500) == 1500);
  REQUIRE(pauses.Paused(500) == std::vector<std::string>{"a"});
  REQUIRE(pauses.Expire(1999).empty());
  REQUIRE(pauses.WaitMs("a", 2000) == 0);
  REQUIRE(pauses.Expire(2000) == std::vector<std::string>{"a"});
  REQUIRE_FALSE(pauses.Pause("a", 0, 3000));
  pauses.Pause("a", 1'000'000'000'000, 3000);
  REQUIRE(pauses.WaitMs("a", 3000) == EndpointPauses::kMaxPauseMs);
}

/// Classification of a response with one header beside the attempt's id.
AnswerClass Classified(int status, std::string_view name,
                       std::string_view value, bool not_run = true) {
  ResponseHead head{status, {}};
  head.headers.Add("X-Attempt-Id", "r1");
  if (not_run) head.headers.Add("X-Not-Run", "1");
  head.headers.Add(name, value);
  CallerRequest request;
  request.attempt_id = "r1";
  return platform::PlatformEndpoints().Classify(head, {}, request);
}

TEST_CASE("platform: what endpoints say in their answers is decoded") {
  for (const int status : {200, 429, 500, 503, 504}) {
    REQUIRE(Classified(status, "Server-Leaving", "1").leaving);
  }
  // Another endpoint has the address now.
  REQUIRE_FALSE(Classified(421, "Server-Leaving", "1").leaving);
  for (const char* value : {"0", "true", "11"}) {
    const AnswerClass answer = Classified(200, "Server-Leaving", value);
    REQUIRE_FALSE(answer.leaving);
    REQUIRE(answer.unusable_header.find(value) != std::string::npos);
  }
  REQUIRE(Classified(503, "Retry-After", "1.5").pause_ms == 1500);
  REQUIRE(Classified(503, "Retry-After", "0").pause_ms == 0);
  REQUIRE_FALSE(Classified(429, "Retry-After", "2").pause_ms);
  REQUIRE_FALSE(Classified(421, "Retry-After", "2").pause_ms);
  REQUIRE(Classified(503, "Retry-After", "99999999999999999999").pause_ms ==
          EndpointPauses::kMaxPauseMs);
  for (const char* value :
       {"-1", "soon", "Fri, 04 Dec 2026 10:00:00 GMT", "", "1e999", "nan"}) {
    const AnswerClass answer = Classified(503, "Retry-After", value);
    INFO(value);
    REQUIRE_FALSE(answer.pause_ms);
    REQUIRE(answer.unusable_header.starts_with("Retry-After"));
  }
  const AnswerClass long_value =
      Classified(503, "Retry-After", std::string(5000, 'x'));
  REQUIRE(long_value.unusable_header.size() < 100);
  // A response to another request says nothing.
  ResponseHead other{503, {}};
  other.headers.Add("X-Attempt-Id", "r2");
  other.headers.Add("Server-Leaving", "1");
  other.headers.Add("Retry-After", "5");
  CallerRequest request;
  request.attempt_id = "r1";
  const AnswerClass surplus =
      platform::PlatformEndpoints().Classify(other, {}, request);
  REQUIRE_FALSE(surplus.leaving);
  REQUIRE_FALSE(surplus.pause_ms);
}

std::string WithHeader(std::string answer, std::string_view line) {
  return answer.insert(answer.find("\r\n") + 2, std::string(line) + "\r\n");
}

std::string Refusal(const RequestHead& call, int status,
                    std::string_view line = "X-Other: 1") {
  ResponseHead head{status, {}};
  head.headers.Add("X-Attempt-Id", call.headers.Get("X-Attempt-Id"));
  head.headers.Add("X-Not-Run", "1");
  return WithHeader(WriteResponse(head, ""), line);
}

std::string Answer(const RequestHead& call) {
  return call.headers.Has("X-Stage") ? testing::PrefillAnswer(call)
                                     : testing::WholeStream(call, 3);
}

bool IsTo(const RequestHead& call, std::string_view endpoint) {
  return call.headers.Get("X-Expect-Instance") == endpoint;
}

std::string OwnPart(int number) {
  return "first:80,own" + std::to_string(number) + ":9";
}

/// Starts a generation and a plain call at each entry in turn.
void Press(PlatformFleet& fleet, DurationMs duration_ms, bool plain) {
  constexpr DurationMs kPauseMs = 20;
  static int number = 0;
  const TimeMs end = LoopNow() + duration_ms;
  while (LoopNow() < end) {
    const auto entry =
        static_cast<std::size_t>(++number) % fleet.entries.size();
    if (plain) {
      fleet.StartService(entry);
    } else {
      fleet.Start(entry, OwnPart(number));
    }
    fleet.RunFor(kPauseMs);
  }
}

TEST_CASE("a plain endpoint that says it leaves gets no calls from any entry") {
  PlatformFleetSettings settings;
  settings.engines = 1;
  settings.service_endpoints = 2;
  settings.balance_plain_pools = GENERATE(false, true);
  // The endpoint says so to one entry only.
  PlatformFleet fleet(settings,
                      [told = false](const RequestHead& call) mutable {
                        std::string answer = testing::WholeStream(call, 1);
                        if (IsTo(call, "engine-3") && !told) {
                          told = true;
                          answer = WithHeader(answer, "Server-Leaving: 1");
                        }
                        return EngineAnswer{answer};
                      });
  Press(fleet, kContactMs, true);
  const std::size_t reached = fleet.engines[2]->calls.size();
  REQUIRE(reached > 0);
  Press(fleet, kContactMs / 3, true);
  CHECK(fleet.engines[2]->calls.size() == reached);
}

TEST_CASE("an engine that says it leaves in any answer gets no more requests") {
  const std::string kind =
      GENERATE(as<std::string>(), "stream", "prefill", "error", "refusal");
  PlatformFleetSettings settings;
  settings.engines = 3;
  settings.prefill_engines = 2;
  const std::string leaver = kind == "prefill" ? "engine-4" : "engine-2";
  PlatformFleet fleet(settings, [&kind, &leaver](const RequestHead& call) {
    std::string answer = Answer(call);
    if (!IsTo(call, leaver)) return EngineAnswer{answer};
    if (kind == "refusal") answer = Refusal(call, 503);
    if (kind == "error") {
      ResponseHead head{500, {}};
      head.headers.Add("X-Attempt-Id", call.headers.Get("X-Attempt-Id"));
      answer = WriteResponse(head, "fault");
    }
    return EngineAnswer{WithHeader(answer, "Server-Leaving: 1")};
  });
  ScriptedEngine& leaving = *fleet.engines[kind == "prefill" ? 3 : 1];
  Press(fleet, kContactMs, false);
  const std::size_t reached = leaving.calls.size();
  INFO(kind);
  REQUIRE(reached > 0);
  Press(fleet, kContactMs / 3, false);
  CHECK(leaving.calls.size() == reached);
  // Only requests that were on their way when it said so.
  CHECK(reached <= 20);
}

// The answer is that of an endpoint that has taken over the address.
TEST_CASE(
    "a leaving endpoint's 421 does not mark the endpoint that was meant") {
  PlatformFleetSettings settings;
  settings.engines = 1;
  settings.service_endpoints = 2;
  PlatformFleet fleet(settings, [count = 0](const RequestHead& call) mutable {
    if (IsTo(call, "engine-3") && ++count == 1) {
      ResponseHead head{421, {}};
      head.headers.Add("Server-Leaving", "1");
      return EngineAnswer{WriteResponse(head, "")};
    }
    return EngineAnswer{testing::WholeStream(call, 1)};
  });
  Press(fleet, kContactMs, true);
  CHECK(fleet.engines[2]->calls.size() > 20);
}

/// Requests that each of three entries sent to an endpoint between half a
/// second after its first refusal to that entry and the end of the pause.
std::size_t CallsInPause(const ScriptedEngine& endpoint, DurationMs pause_ms,
                         std::size_t entry) {
  constexpr DurationMs kGraceMs = 500;
  constexpr std::string_view kIdPrefix = "request-";
  std::vector<TimeMs> times;
  for (std::size_t index = 0; index < endpoint.calls.size(); ++index) {
    const std::string id(endpoint.calls[index].headers.Get("X-Attempt-Id"));
    if (std::stoul(id.substr(kIdPrefix.size())) % 3 == entry) {
      times.push_back(endpoint.call_times[index]);
    }
  }
  if (times.empty()) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(times, [&](TimeMs at) {
    return at > times.front() + kGraceMs && at < times.front() + pause_ms;
  }));
}

TEST_CASE("an endpoint that asks for a pause gets no requests during it") {
  constexpr DurationMs kPauseMs = 2500;
  const bool plain = GENERATE(true, false);
  PlatformFleetSettings settings;
  settings.engines = 3;
  settings.prefill_engines = 2;
  settings.service_endpoints = 2;
  settings.balance_plain_pools = GENERATE(false, true);
  // A decode engine, a prefill engine and a plain endpoint.
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    const bool pauses = IsTo(call, "engine-1") || IsTo(call, "engine-4") ||
                        IsTo(call, "engine-7");
    return EngineAnswer{pauses ? Refusal(call, 503, "Retry-After: 2.5")
                               : Answer(call)};
  });
  Press(fleet, kPauseMs, plain);
  static_cast<void>(fleet.RunUntil(
      [&fleet] { return fleet.responses.size() >= 100; }, kContactMs));
  for (const std::size_t index : {0U, 3U, 6U}) {
    for (std::size_t entry = 0; entry < 3; ++entry) {
      INFO(index << " " << entry);
      CHECK(CallsInPause(*fleet.engines[index], kPauseMs, entry) <= 2);
    }
  }
  // The others serve, and a refused request is served by one of them.
  const auto served =
      std::ranges::count_if(fleet.responses, [](const HttpResponse& response) {
        return response.fault == CallFault::kNone &&
               response.head.status == 200;
      });
  CHECK(served * 10 >= static_cast<std::ptrdiff_t>(fleet.responses.size()) * 9);
}

TEST_CASE(
    "a request is refused at once when all endpoints have asked to wait") {
  const bool plain = GENERATE(true, false);
  PlatformFleetSettings settings;
  settings.engines = 2;
  settings.service_endpoints = 2;
  settings.balance_plain_pools = GENERATE(false, true);
  // The second one asks for less.
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    const bool shorter = IsTo(call, "engine-2") || IsTo(call, "engine-4");
    return EngineAnswer{
        Refusal(call, 503, shorter ? "Retry-After: 3" : "Retry-After: 60")};
  });
  const auto call = [&] {
    return plain ? fleet.CallService(0) : fleet.Call(0, "first:80,own:9");
  };
  for (int number = 0; number < 3; ++number) static_cast<void>(call());
  const std::size_t reached =
      fleet.engines[0]->calls.size() + fleet.engines[1]->calls.size() +
      fleet.engines[2]->calls.size() + fleet.engines[3]->calls.size();
  const HttpResponse refused = call();
  CHECK(refused.head.status == 503);
  CHECK(fleet.response_times.back() < 300);
  const std::string after(refused.head.headers.Get("Retry-After"));
  REQUIRE_FALSE(after.empty());
  CHECK(std::stod(after) > 1);
  CHECK(std::stod(after) <= 3);
  CHECK(fleet.engines[0]->calls.size() + fleet.engines[1]->calls.size() +
            fleet.engines[2]->calls.size() + fleet.engines[3]->calls.size() ==
        reached);
}

// Guards against prompts that are prefilled again and again because decode
// engines refuse them for their load.
TEST_CASE("a prefilled prompt goes to another engine when one has no room") {
  PlatformFleetSettings settings;
  settings.engines = 2;
  settings.prefill_engines = 2;
  settings.repeat = RepeatRule::kResumable;
  // It wants no load, or another endpoint has its address now.
  const int status = GENERATE(429, 421);
  INFO(status);
  bool refused = false;  // By whichever engine is called first.
  PlatformFleet fleet(settings, [&refused, status](const RequestHead& call) {
    const bool refuses = !call.headers.Has("X-Stage") && !refused;
    refused = refused || refuses;
    return EngineAnswer{refuses ? Refusal(call, status) : Answer(call)};
  });
  const HttpResponse response = fleet.Call(0, "first:80,own:9");
  CHECK(response.head.status == 200);
  const auto calls = [&fleet](auto counts) {
    std::ptrdiff_t count = 0;
    for (const auto& engine : fleet.engines) {
      count += std::ranges::count_if(engine->calls, counts);
    }
    return count;
  };
  CHECK(calls([](const RequestHead& call) {
          return call.headers.Has("X-Stage");
        }) == 1);
  CHECK(calls([](const RequestHead& call) {
          return call.headers.Get("X-Kv-From").find("/h1") !=
                 std::string_view::npos;
        }) == 2);
}

/// A cell with two engines that decode and one that prefills.
CellScheduler SmallCell() {
  CellScheduler cell("m/0", "o");
  const auto engine = [](const char* id, PoolRole role) {
    CellEngine spec;
    spec.id = id;
    spec.data_centre = "zone";
    spec.role = role;
    spec.memory = 100'000;
    return spec;
  };
  cell.Configure(
      {engine("p1", PoolRole::kPrefill), engine("d1", PoolRole::kDecode),
       engine("d2", PoolRole::kDecode)},
      0);
  return cell;
}

PlacementRequest RequestOf(const std::string& id) {
  PlacementRequest request;
  request.request_id = id;
  request.team = "north";
  request.prompt_tokens = 3000;
  request.max_tokens = 100;
  request.budget_ms = 900;
  return request;
}

/// The engine that a request is placed on at once; `refused` or `queued`.
std::string PlacedOn(CellScheduler& cell, PlacementRequest request,
                     TimeMs now) {
  cell.Submit(std::move(request), now);
  for (const CellCommand& command : cell.Tick(now)) {
    if (const auto* place = std::get_if<PlaceCommand>(&command)) {
      return place->placement.decode + " " + place->placement.prefill;
    }
    if (std::holds_alternative<RefuseCommand>(command)) return "refused";
  }
  return "queued";
}

TEST_CASE("a cell spends no prefills on engines that refuse again and again") {
  CellScheduler cell = SmallCell();
  int prefills = 0;
  // One of two engines refuses for nine seconds; a request comes each 20 ms.
  for (TimeMs now = 0; now < 9000; now += 20) {
    const std::string id = "r" + std::to_string(now);
    const std::string placed = PlacedOn(cell, RequestOf(id), now);
    if (placed == "d1 p1") {
      ++prefills;
      cell.EngineFull("d1", now);
    } else {
      cell.EngineServed("d2", now);
    }
    cell.Withdraw(id, now);
  }
  REQUIRE(prefills > 0);
  // With a constant cool-down of 150 ms it would be 50 or more.
  CHECK(prefills <= 12);
  // A success ends it.
  cell.EngineServed("d1", 20'000);
  cell.EngineFull("d1", 20'000);
  const auto excluding = [](const std::string& id, const char* engine) {
    PlacementRequest request = RequestOf(id);
    request.excluded = {engine};
    return request;
  };
  CHECK(PlacedOn(cell, excluding("s1", "d2"), 20'100) == "queued");
  cell.Withdraw("s1", 20'100);
  CHECK(PlacedOn(cell, excluding("s2", "d2"), 20'160) == "d1 p1");
}

TEST_CASE("a cell gives a prefilled prompt a decode engine only") {
  CellScheduler cell = SmallCell();
  PlacementRequest request = RequestOf("r1");
  request.prefilled = true;
  request.excluded = {"d1"};
  CHECK(PlacedOn(cell, request, 0) == "d2 ");
}

TEST_CASE("a cell refuses at once a request that no engine may take") {
  CellScheduler cell = SmallCell();
  PlacementRequest request = RequestOf("r1");
  request.excluded = {"d1", "d2"};
  CHECK(PlacedOn(cell, request, 0) == "refused");
}

}  // namespace
}  // namespace limpethaven
