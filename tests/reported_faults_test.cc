/// @file
/// Faults that operators of other routers have reported, played on a fleet of
/// entry nodes with real sockets. Each test is named after the failure that it
/// guards against.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/stall_rule.h"
#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;
using testing::ScriptedEngine;

PlatformFleetSettings OneEntry() {
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.engines = 1;
  settings.timeout_ms = 3000;
  return settings;
}

std::string IdOf(const RequestHead& call) {
  return std::string(call.headers.Get("X-Attempt-Id"));
}

std::string Plain(const RequestHead& call, std::string_view body) {
  ResponseHead head{200, {}};
  head.headers.Add("X-Attempt-Id", IdOf(call));
  return WriteResponse(head, body);
}

std::string Refusal(const RequestHead& call, bool with_id) {
  ResponseHead head{503, {}};
  if (with_id) head.headers.Add("X-Attempt-Id", IdOf(call));
  head.headers.Add("X-Not-Run", "1");
  return WriteResponse(head, "");
}

/// Whether a caller was told that its request has not run.
bool SaysNotRun(const HttpResponse& response) {
  return response.fault == CallFault::kNone &&
         (response.head.status == 503 || response.head.status == 429);
}

TEST_CASE("reported: a late second copy of an answer goes to the next caller") {
  // The copy comes while the connection serves the second call.
  PlatformFleet fleet(OneEntry(), [count = 0, first = std::string()](
                                      const RequestHead& call) mutable {
    EngineAnswer answer;
    if (++count == 1) {
      first = Plain(call, "first");
      answer.bytes = first;
      return answer;
    }
    if (count == 2) {
      answer.bytes = first;
      answer.late = Plain(call, "second");
      answer.late_ms = 50;
      return answer;
    }
    answer.bytes = Plain(call, "other");
    return answer;
  });
  REQUIRE(fleet.CallService(0).body == "first");
  const HttpResponse second = fleet.CallService(0);
  CHECK(second.body != "first");
  CHECK_FALSE(SaysNotRun(second));
  CHECK(fleet.CallService(0).body == "other");
}

TEST_CASE("reported: a planned stop cuts requests that were just accepted") {
  constexpr DurationMs kTtlMs = 300;
  constexpr DurationMs kRunMs = 150;
  PlatformFleetSettings settings;
  settings.engines = 4;
  settings.address_ttl_ms = kTtlMs;
  // The stop ends after the last deadline, so that none may be refused.
  settings.timeout_ms = 5000;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    // Streams and plain calls take a while, so that many are open.
    const std::string whole = testing::WholeStream(call, 1);
    EngineAnswer answer{whole.substr(0, whole.size() - 5)};
    answer.late = whole.substr(whole.size() - 5);
    answer.late_ms = kRunMs;
    return answer;
  });
  const TimeMs drain_at = LoopNow() + 500;
  const TimeMs end = drain_at + 5 * kTtlMs;
  bool drained = false;
  int number = 0;
  while (LoopNow() < end) {
    fleet.StartService(0);
    fleet.Start(0, "first:80,own" + std::to_string(++number) + ":9");
    fleet.RunFor(5);
    if (drained || LoopNow() < drain_at) continue;
    drained = true;
    fleet.DrainEntry(0);
  }
  fleet.RunFor(10 * kRunMs);
  std::set<std::string> answered;
  for (const HttpResponse& response : fleet.responses) {
    if (response.fault != CallFault::kNone || response.head.status != 200) {
      continue;
    }
    answered.emplace(response.head.headers.Get("X-Attempt-Id"));
  }
  std::size_t cut = 0;
  for (const auto& engine : fleet.engines) {
    for (const RequestHead& call : engine->calls) {
      if (!answered.contains(IdOf(call))) ++cut;
    }
  }
  CHECK(answered.size() > 200);
  CHECK(cut == 0);
}

TEST_CASE("a late refusal without an id is taken for one of the next request") {
  // It comes while the connection serves the second call, which is running.
  PlatformFleetSettings settings = OneEntry();
  settings.service_endpoints = 2;
  settings.max_sends = 2;
  PlatformFleet fleet(settings, [count = 0](const RequestHead& call) mutable {
    EngineAnswer answer;
    if (++count == 1) {
      answer.bytes = Plain(call, "first");
      answer.late = Refusal(call, false);
      answer.late_ms = 50;
      return answer;
    }
    answer.late = Plain(call, "second");
    answer.late_ms = 200;
    return answer;
  });
  REQUIRE(fleet.CallService(0).body == "first");
  const HttpResponse second = fleet.CallService(0);
  REQUIRE(second.fault == CallFault::kNone);
  CHECK_FALSE(SaysNotRun(second));
  std::size_t calls = 0;
  for (const auto& engine : fleet.engines) calls += engine->calls.size();
  CHECK(calls == 2);
}

TEST_CASE("an endpoint that sheds costs each request that may run once") {
  // Its refusals have no id. Only the first one comes over a used connection.
  PlatformFleet fleet(OneEntry(), [count = 0](const RequestHead& call) mutable {
    return EngineAnswer{++count == 1 ? Plain(call, "first")
                                     : Refusal(call, false)};
  });
  REQUIRE(fleet.CallService(0).body == "first");
  CHECK(fleet.CallService(0).head.status == 502);
  for (int call = 0; call < 3; ++call) CHECK(SaysNotRun(fleet.CallService(0)));
}

TEST_CASE("a stream that pauses is cut though no other engine can go on") {
  constexpr DurationMs kPauseMs = 2200;
  PlatformFleetSettings settings = OneEntry();
  settings.repeat = RepeatRule::kResumable;
  settings.max_sends = 2;
  settings.timeout_ms = 8000;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    const std::string whole = testing::WholeStream(call, 1);
    EngineAnswer answer{whole.substr(0, whole.size() - 5)};
    answer.late = whole.substr(whole.size() - 5);
    answer.late_ms = kPauseMs;
    return answer;
  });
  const HttpResponse response = fleet.Call(0, "first:80,own:9");
  CHECK(response.fault == CallFault::kNone);
  CHECK(response.head.status == 200);
  CHECK(fleet.CallsWith("first:") == 1);
}

TEST_CASE("reported: slow but sound streams are cut") {
  // The engine makes an event every 1.2 s, then pauses once for 2.2 s.
  StallRule stall(3600);
  stall.OnProgress(0);
  stall.OnProgress(900);
  CHECK(stall.Deadline() == 2400);
  stall.OnProgress(2100);
  CHECK(stall.Deadline() >= 2100 + 2200);
  // The caller leaves after 3.6 s without an event; another engine needs the
  // time that is left.
  CHECK(stall.Deadline() <= 2100 + 2500);
  // The time to the first event says nothing about the pace.
  StallRule late_start(3600);
  late_start.OnProgress(0);
  late_start.OnProgress(3000);
  late_start.OnProgress(3100);
  CHECK(late_start.Deadline() == 4600);
}

TEST_CASE("reported: a stream that sends a byte now and then never ends") {
  PlatformFleetSettings settings = OneEntry();
  settings.engines = 2;
  settings.repeat = RepeatRule::kResumable;
  settings.max_sends = 2;
  settings.timeout_ms = 8000;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    if (!call.headers.Has("Last-Event-Id")) {
      EngineAnswer answer{testing::StreamHeadUntilClose(call) +
                          "id: 1\ndata: a\n\n"};
      answer.late = ": still here\n\n";
      answer.late_ms = 300;
      answer.late_repeats = true;
      return answer;
    }
    return EngineAnswer{
        testing::StreamHeadUntilClose(call) + "id: 2\ndata: b\n\n", "", true};
  });
  const HttpResponse response = fleet.Call(0, "first:80,own:9");
  CHECK(response.fault == CallFault::kNone);
  CHECK(response.body.find("data: b") != std::string::npos);
  CHECK(fleet.response_times.back() < 3000);
}

TEST_CASE("reported: work that ran is run again after its answer was lost") {
  PlatformFleetSettings settings = OneEntry();
  settings.service_endpoints = 3;
  PlatformFleet fleet(settings, [](const RequestHead&) {
    return EngineAnswer{"", "", true};
  });
  for (int call = 0; call < 6; ++call) {
    const HttpResponse response = fleet.CallService(0);
    CHECK_FALSE(SaysNotRun(response));
  }
  std::multiset<std::string> runs;
  for (const auto& engine : fleet.engines) {
    for (const RequestHead& call : engine->calls) runs.insert(IdOf(call));
  }
  CHECK(runs.size() == 6);
  for (const std::string& id : runs) CHECK(runs.count(id) == 1);
}

TEST_CASE("reported: a refusal written once more hides a run") {
  const bool with_id = GENERATE(true, false);
  INFO((with_id ? "with" : "without") << " the id of the request");
  PlatformFleet fleet(OneEntry(),
                      [with_id, count = 0](const RequestHead& call) mutable {
                        EngineAnswer answer;
                        if (++count == 1) {
                          answer.bytes = Refusal(call, with_id);
                          answer.late = answer.bytes;
                          answer.late_ms = 60;
                          return answer;
                        }
                        // Runs the call; the copy of the refusal comes first.
                        answer.late = Plain(call, "done");
                        answer.late_ms = 200;
                        return answer;
                      });
  CHECK(SaysNotRun(fleet.CallService(0)));
  const HttpResponse second = fleet.CallService(0);
  CHECK(fleet.engines.back()->calls.size() == 2);
  CHECK_FALSE(SaysNotRun(second));
}

// All calls of one request have the same id.
TEST_CASE("reported: a repeated refusal is taken for that of the second call") {
  PlatformFleetSettings settings = OneEntry();
  settings.prefill_engines = 1;
  PlatformFleet fleet(settings, [count = 0](const RequestHead& call) mutable {
    if (call.headers.Has("X-Stage")) {
      return EngineAnswer{testing::PrefillAnswer(call)};
    }
    EngineAnswer answer;
    if (++count == 1) {
      // The KV cache cannot be had, so that the engine is asked once more.
      answer.bytes = Refusal(call, true);
      answer.late = answer.bytes;
      answer.late_ms = 30;
      return answer;
    }
    answer.late = testing::WholeStream(call, 2);
    answer.late_ms = 150;
    return answer;
  });
  const HttpResponse response = fleet.Call(0, "first:80,own:9");
  CHECK(fleet.engines.front()->calls.size() == 2);
  CHECK(response.head.status == 200);
  CHECK(response.body.find("token 2") != std::string::npos);
}

TEST_CASE("reported: the text of an error gets into a stream") {
  const std::string kind = GENERATE(
      as<std::string>(), "error", "refusal", "json", "json with a blank line",
      "no answer", "garbage", "events from the start", "events after a gap");
  PlatformFleetSettings settings = OneEntry();
  settings.engines = 3;
  settings.repeat = RepeatRule::kResumable;
  settings.max_sends = 2;
  PlatformFleet fleet(settings, [&kind](const RequestHead& call) {
    const std::string head = testing::StreamHeadUntilClose(call);
    if (!call.headers.Has("Last-Event-Id")) {
      return EngineAnswer{head + "id: 1\ndata: a\n\nid: 2\nda", "", true};
    }
    ResponseHead failed{500, {}};
    failed.headers.Add("X-Attempt-Id", IdOf(call));
    if (kind == "error") {
      return EngineAnswer{WriteResponse(failed, "fault text\n\n")};
    }
    if (kind == "refusal") return EngineAnswer{Refusal(call, true)};
    if (kind == "json") {
      return EngineAnswer{Plain(call, R"({"error":"fault text"})")};
    }
    if (kind == "json with a blank line") {
      return EngineAnswer{Plain(call, "{\n\n\"error\":\"fault text\"}\n\n")};
    }
    if (kind == "no answer") return EngineAnswer{"", "", true};
    if (kind == "garbage") {
      return EngineAnswer{"fault text\r\n\r\n", "", true};
    }
    const std::string events = kind == "events from the start"
                                   ? "id: 1\ndata: fault text\n\n"
                                   : "id: 3\ndata: fault text\n\n";
    return EngineAnswer{head + events, "", true};
  });
  const HttpResponse response = fleet.Call(0, "first:80,own:9");
  INFO(kind << ": " << response.body);
  // The stream breaks off; it neither seems complete nor has other text in it.
  CHECK(response.fault != CallFault::kNone);
  CHECK(response.body == "id: 1\ndata: a\n\n");
}

TEST_CASE(
    "a decode engine that left while it refused a prompt is asked once more") {
  PlatformFleetSettings settings = OneEntry();
  settings.prefill_engines = 1;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    EngineAnswer answer;
    if (!call.headers.Get("X-Stage").empty()) {
      answer.bytes = testing::PrefillAnswer(call);
    } else if (call.headers.Has("X-Kv-From")) {
      answer.late = Refusal(call, true);
      answer.late_ms = 300;
    } else {
      answer.bytes = testing::WholeStream(call, 3);
    }
    return answer;
  });
  ScriptedEngine& decode = *fleet.engines.front();
  fleet.Start(0, "aa:60,bb:60");
  REQUIRE(fleet.RunUntil([&] { return decode.calls.size() == 1; }, 2000));
  fleet.RemoveEngines(1);
  REQUIRE(fleet.RunUntil([&] { return fleet.responses.size() == 1; }, 4000));
  CHECK(decode.calls.size() == 1);
  CHECK(SaysNotRun(fleet.responses.front()));
}

TEST_CASE("reported: an answer that ends inside its head is framed as whole") {
  const auto cut_at = std::make_shared<std::size_t>(0);
  const auto script = [cut_at](const RequestHead& call) {
    const bool stream = !call.headers.Get("X-Token-Count").empty();
    const std::string whole =
        stream ? testing::WholeStream(call, 1) : Plain(call, "body");
    EngineAnswer answer{whole.substr(0, *cut_at)};
    answer.close = true;
    return answer;
  };
  PlatformFleetSettings settings = OneEntry();
  settings.retries = RetrySettings{1, 1000, 10'000};
  PlatformFleet fleet(settings, script);
  RequestHead call;
  call.headers.Add("X-Attempt-Id", "request-00");
  call.headers.Add("X-Token-Count", "1,1");
  const std::string whole = testing::WholeStream(call, 1);
  const std::size_t head_size = whole.find("\r\n\r\n") + 4;
  for (*cut_at = 1; *cut_at < head_size; *cut_at += 3) {
    INFO(*cut_at);
    const HttpResponse plain = fleet.CallService(0);
    CHECK_FALSE((plain.fault == CallFault::kNone && plain.head.status == 200 &&
                 plain.body != "body"));
    // The engine is left alone for a while after each failure.
    if (*cut_at % 40 != 1) continue;
    const HttpResponse stream =
        fleet.Call(0, "aa:60,x" + std::to_string(*cut_at) + ":60");
    CHECK_FALSE(
        (stream.fault == CallFault::kNone && stream.head.status == 200));
  }
}

}  // namespace
}  // namespace limpethaven
