/// @file
/// Tests of small units: fair queue, stream guard, resume ids, endpoint health,
/// retry budget and back-off, hashing, cells, SSE, request bodies, tables, and
/// the history checker.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "entry/completion_request.h"
#include "limpethaven/limpethaven.h"
#include "load/history_check.h"
#include "protocol/sse.h"
#include "standin/engine_standin.h"

namespace limpethaven {
namespace {

constexpr const char* kSecret = "a-secret-for-tests";

TEST_CASE(
    "fair queue orders a team's items by sort key and returns late ones") {
  FairQueue queue;
  queue.Push(QueueItem{"b", "north", 1, 10, 200, 150});
  queue.Push(QueueItem{"a", "north", 1, 10, 100, 50});
  REQUIRE(queue.QueuedTokens() == 20);
  REQUIRE(queue.PopLate(51).at(0).id == "a");
  REQUIRE(queue.PopFirst([](const QueueItem&) { return true; })->id == "b");
  REQUIRE(queue.Size() == 0);
}

TEST_CASE("fair queue limits how often small items bypass a large one") {
  // Without the limit a steady supply of small items starves the large one.
  FairQueue queue(3);
  queue.Push(QueueItem{"large", "a", 1, 1000, 1, 1'000'000});
  for (int index = 0; index < 10; ++index) {
    queue.Push(
        QueueItem{"s" + std::to_string(index), "b", 1, 1, index, 1'000'000});
  }
  const auto small_only = [](const QueueItem& item) { return item.cost < 10; };
  int bypass_count = 0;
  while (queue.PopFirst(small_only)) ++bypass_count;
  REQUIRE(bypass_count == 3);
  REQUIRE(queue.PopFirst([](const QueueItem&) { return true; })->id == "large");
}

TEST_CASE(
    "stream guard drops events of other attempts, duplicates and events after "
    "gaps") {
  StreamGuard guard("r1", "a1", 0);
  REQUIRE(guard.Classify({"r1", "a1", 0, 2, "x y", false, false, 1}) ==
          EventVerdict::kDeliver);
  REQUIRE(guard.Classify({"r2", "a1", 2, 1, "z", false, false, 1}) ==
          EventVerdict::kOtherAttempt);
  REQUIRE(guard.Classify({"r1", "a0", 2, 1, "z", false, false, 1}) ==
          EventVerdict::kOtherAttempt);
  REQUIRE(guard.Classify({"r1", "a1", 1, 1, "y", false, false, 1}) ==
          EventVerdict::kDuplicate);
  REQUIRE(guard.Classify({"r1", "a1", 3, 1, "w", false, false, 1}) ==
          EventVerdict::kGap);
  REQUIRE_FALSE(guard.IsComplete());
  REQUIRE(guard.Classify({"r1", "a1", 2, 0, "", true, false, 1}) ==
          EventVerdict::kDeliver);
  REQUIRE(guard.IsComplete());
  REQUIRE(guard.NextOffset() == 2);
  REQUIRE(guard.Dropped() == 4);
}

TEST_CASE("resume ids survive a round trip and altered ones are rejected") {
  const ResumeToken token{"r1",  "a1", "north", "m", "10.0.0.1:9",
                          "m/0", "a1", 3,       17};
  const std::string id = EncodeResumeId(EncodeResumeBase(kSecret, token), 17);
  REQUIRE(DecodeResumeId(kSecret, id) == token);
  REQUIRE_FALSE(DecodeResumeId("another-secret-text", id));
  REQUIRE_FALSE(DecodeResumeId(kSecret, "17"));
  REQUIRE_FALSE(DecodeResumeId(kSecret, "-1~" + id.substr(3)));
  // Tickets and resume ids are signed with the same secret, but neither is
  // accepted as the other.
  REQUIRE_FALSE(DecodeResumeId(
      kSecret, "0~" + EncodeTicket(kSecret, Ticket{"n", "t", {}})));
  REQUIRE_FALSE(DecodeTicket(kSecret, id.substr(3)));
}

TEST_CASE("signed texts with fields of wrong types are refused") {
  REQUIRE_FALSE(
      DecodeTicket(kSecret, SignText(kSecret, R"(["ticket",1,2,3,4])")));
  REQUIRE_FALSE(DecodeResumeId(
      kSecret, "0~" + SignText(kSecret, R"(["resume",1,2,3,4,5,6,7,"x"])")));
}

TEST_CASE(
    "endpoint health ejects after repeated failures and readmits after a "
    "successful probe") {
  EndpointHealth health;
  REQUIRE_FALSE(health.OnFailure("a", 0));
  REQUIRE_FALSE(health.OnFailure("a", 1));
  REQUIRE(health.OnFailure("a", 2));
  REQUIRE_FALSE(health.Usable("a", 500));
  REQUIRE(health.Usable("a", 1002));
  health.OnChosen("a", 1002);
  REQUIRE_FALSE(health.Usable("a", 1003));
  REQUIRE(health.OnFailure("a", 2100));
  REQUIRE_FALSE(health.Usable("a", 3500));
  REQUIRE(health.Usable("a", 4100));
  REQUIRE(health.OnSuccess("a", 4200));
  REQUIRE(health.Usable("a", 4200));
}

// A probe of a fast endpoint is answered long before the next one is due. A
// success that does not count then would leave the endpoint ejected for good.
TEST_CASE(
    "endpoint health readmits an endpoint as soon as its probe succeeds") {
  constexpr DurationMs kAnswerMs = 15;
  constexpr DurationMs kCallPeriodMs = 20;
  EndpointHealth health;
  for (TimeMs now = 0; now < 3; ++now) health.OnFailure("a", now);
  std::int64_t allowed = 0;
  std::int64_t calls = 0;
  for (TimeMs now = kCallPeriodMs; now < 300'000; now += kCallPeriodMs) {
    ++calls;
    if (!health.Usable("a", now)) continue;
    ++allowed;
    health.OnChosen("a", now);
    health.OnSuccess("a", now + kAnswerMs);
  }
  // The ejection of one second refuses 50 calls.
  REQUIRE(calls - allowed <= 51);
}

TEST_CASE("endpoint health sends one probe at a time") {
  EndpointHealth health;
  for (TimeMs now = 0; now < 3; ++now) health.OnFailure("a", now);
  REQUIRE(health.Usable("a", 1002));
  health.OnChosen("a", 1002);
  REQUIRE_FALSE(health.Usable("a", 1003));
  // The outcome of the probe was lost.
  REQUIRE(health.Usable("a", 2002));
  health.OnChosen("a", 2002);
  REQUIRE(health.OnFailure("a", 2010));
  REQUIRE_FALSE(health.Usable("a", 4009));
}

// All requests that an endpoint holds fail together when it crashes.
TEST_CASE("endpoint health counts the failures of one crash once") {
  EndpointHealth health;
  for (int request = 0; request < 40; ++request) health.OnFailure("a", 10);
  REQUIRE_FALSE(health.Usable("a", 1009));
  REQUIRE(health.Usable("a", 1010));
}

TEST_CASE(
    "endpoint health ejects an endpoint that fails part of its requests for "
    "longer each time") {
  EndpointHealth health;
  std::int64_t failures = 0;
  std::int64_t calls = 0;
  for (TimeMs now = 0; now < 120'000; now += 20) {
    if (!health.Usable("a", now)) continue;
    health.OnChosen("a", now);
    // Two of five calls fail.
    if (++calls % 5 < 2) {
      ++failures;
      health.OnFailure("a", now + 5);
    } else {
      health.OnSuccess("a", now + 15);
    }
  }
  REQUIRE(failures <= 60);
  // Sound again, it returns and is forgiven.
  for (TimeMs now = 160'000; now < 180'000; now += 20) {
    health.OnChosen("a", now);
    health.OnSuccess("a", now + 15);
  }
  for (TimeMs now = 180'000; now < 180'003; ++now) health.OnFailure("a", now);
  REQUIRE_FALSE(health.Usable("a", 181'001));
  REQUIRE(health.Usable("a", 181'002));
}

TEST_CASE("endpoint health does not eject for failures that lie far apart") {
  EndpointHealth health;
  // 20 s between failures is four half-lives, so the count never reaches the
  // threshold.
  for (TimeMs now = 0; now < 600'000; now += 20'000) {
    REQUIRE_FALSE(health.OnFailure("a", now));
  }
}

TEST_CASE("a restarted process makes the retries of the one before again") {
  RetrySettings settings{0.2, 20, 10'000, 10'000};
  RetryBudget budget(settings, 50'000);
  CHECK_FALSE(budget.TryRetry(50'000));
  for (int request = 0; request < 10; ++request) budget.OnRequest(51'000);
  CHECK(budget.TryRetry(52'000));
  CHECK_FALSE(budget.TryRetry(59'999));
  CHECK(budget.RetriesLeft(60'001) >= 15.0);
}

TEST_CASE("processes share the retries of one that has just left once more") {
  RetryBudget budget(RetrySettings{0, 20, 10'000});
  budget.SetProcessCount(4);
  CHECK(budget.RetriesLeft(0) < 5.0);
  budget.SetProcessCount(2);
  CHECK(budget.RetriesLeft(5000) < 5.0);
  CHECK(budget.RetriesLeft(11'000) > 8.0);
}

// The number of processes that share the extra retries is not known yet.
TEST_CASE("a process that starts cut off takes extra retries for few",
          "[.known-red]") {
  RetryBudget budget(RetrySettings{0.2, 20, 10'000});
  budget.SetProcessCount(0);
  CHECK(budget.RetriesLeft(0) < 1.0);
  for (int request = 0; request < 10; ++request) budget.OnRequest(100);
  CHECK(budget.RetriesLeft(100) >= 1.0);
  CHECK(budget.RetriesLeft(100) < 2.0);
  budget.SetProcessCount(4);
  CHECK(budget.RetriesLeft(20'000) >= 4.0);
}

TEST_CASE("retries of requests that a silent endpoint holds pile up") {
  // The endpoint stands still for several windows, then reads all of them.
  RetryBudget budget(RetrySettings{0, 20, 10'000});
  int retries = 0;
  for (TimeMs now = 0; now < 60'000; now += 100) {
    if (budget.RetriesLeft(now) < 1.0) continue;
    budget.OnRetryAfterSilence("endpoint");
    ++retries;
  }
  CHECK(retries <= 20);
  CHECK(retries >= 15);
  budget.OnAnswer("other", 60'000);
  CHECK(budget.RetriesLeft(60'000) < 1.0);
  budget.OnAnswer("endpoint", 60'000);
  CHECK(budget.RetriesLeft(69'000) < 1.0);
  CHECK(budget.RetriesLeft(71'000) >= 15.0);
}

TEST_CASE("retries that wait for an endpoint are made all at once") {
  RetryBudget budget(RetrySettings{0, 20, 10'000});
  int reserved = 0;
  for (TimeMs now = 0; now < 60'000; now += 100) {
    if (budget.RetriesLeft(now) < 1.0) continue;
    budget.Reserve();
    ++reserved;
  }
  CHECK(reserved <= 20);
  for (; reserved > 0; --reserved) {
    budget.Release();
    budget.OnRetry(60'000);
  }
  CHECK(budget.RetriesLeft(69'000) < 1.0);
  CHECK(budget.RetriesLeft(71'000) >= 15.0);
}

TEST_CASE("retry budget limits retries in every window") {
  RetryBudget budget(RetrySettings{0.1, 50.0, 10'000});
  budget.SetProcessCount(10);
  std::vector<TimeMs> retries;
  std::vector<TimeMs> requests;
  for (TimeMs now = 0; now < 60'000; now += 20) {
    requests.push_back(now);
    budget.OnRequest(now);
    while (budget.TryRetry(now)) retries.push_back(now);
  }
  const auto within = [](const std::vector<TimeMs>& times, TimeMs end) {
    return std::ranges::count_if(times, [end](TimeMs time) {
      return time <= end && time > end - 10'000;
    });
  };
  for (TimeMs end = 0; end < 60'000; end += 20) {
    const double allowed =
        0.1 * static_cast<double>(within(requests, end)) + 50.0 / 10.0;
    REQUIRE(static_cast<double>(within(retries, end)) <= allowed);
  }
  // The budget must not refuse most of the retries that the limit allows.
  REQUIRE(within(retries, 59'980) >= 35);
}

TEST_CASE(
    "hashes match published test vectors and base64url survives a round trip") {
  REQUIRE(Sha256Hex("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  REQUIRE(HmacSha256Hex("Jefe", "what do ya want for nothing?") ==
          "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  for (std::size_t length = 0; length < 40; ++length) {
    std::string bytes(length, '\0');
    for (std::size_t index = 0; index < length; ++index) {
      bytes[index] = static_cast<char>(index * 37);
    }
    REQUIRE(Base64UrlDecode(Base64UrlEncode(bytes)) == bytes);
  }
  REQUIRE(Base64UrlDecode("ab=").empty());
}

TEST_CASE("rendezvous hashing moves only the keys of a removed candidate") {
  std::vector<std::string> vms;
  vms.reserve(8);
  for (int vm = 0; vm < 8; ++vm) vms.push_back("10.0.0." + std::to_string(vm));
  std::vector<std::string> fewer(vms.begin(), vms.end() - 1);
  int moved = 0;
  for (int key = 0; key < 1000; ++key) {
    const std::string name = "cell/" + std::to_string(key);
    const std::string before = RendezvousTop(name, vms, 1).front();
    const std::string after = RendezvousTop(name, fewer, 1).front();
    REQUIRE(before == RendezvousOrder(name, vms).front());
    if (before == vms.back()) {
      ++moved;
    } else {
      REQUIRE(before == after);
    }
  }
  REQUIRE(moved > 80);
  REQUIRE(moved < 180);
}

TEST_CASE(
    "cells contain each engine once and do not span data centres when the "
    "engines exceed one cell") {
  for (const int per_centre : {4, 40}) {
    Configuration config;
    PoolSpec prefill{"p", PoolRole::kPrefill, "m", 8, false, {}};
    PoolSpec decode{"d", PoolRole::kDecode, "m", 8, false, {}};
    for (const char* centre : {"a", "b", "c"}) {
      for (int index = 0; index < per_centre; ++index) {
        const std::string number = std::to_string(index);
        prefill.endpoints.push_back(
            {std::string(centre) + "p:" + number, centre, false});
        decode.endpoints.push_back(
            {std::string(centre) + "d:" + number, centre, false});
      }
    }
    config.pools.emplace("p", prefill);
    config.pools.emplace("d", decode);
    RouteSpec route;
    route.path = "/v1/completions";
    route.model = "m";
    route.prefill_pool = "p";
    route.decode_pool = "d";
    config.routes.emplace("/v1/completions#m", route);
    const auto cells = BuildCells(config, 64);
    std::set<std::string> names;
    std::set<std::string> engines;
    std::size_t held = 0;
    for (const CellSpec& cell : cells) {
      names.insert(cell.name);
      held += cell.engines.size();
      REQUIRE(cell.engines.size() <= 64);
      for (const CellEngine& engine : cell.engines) {
        engines.insert(engine.id);
        if (per_centre == 40) REQUIRE(engine.data_centre == cell.data_centre);
      }
    }
    REQUIRE(names.size() == cells.size());
    REQUIRE(held == engines.size());
    REQUIRE(held == static_cast<std::size_t>(6 * per_centre));
    // 24 engines fit one cell of at most 64. With 80 engines in each of the
    // three data centres, each data centre needs two cells.
    REQUIRE(cells.size() == (per_centre == 4 ? 1U : 6U));
  }
}

TEST_CASE("SSE parser reads events that are split at any byte") {
  const std::string text = FormatSse({"1", "", "one"}) + ": note\n\n" +
                           FormatSse({"", "error", "two"}) +
                           "data: a\ndata: b\r\n\r\n";
  for (std::size_t piece = 1; piece < text.size(); ++piece) {
    SseParser parser;
    std::vector<SseEvent> events;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      for (auto& event :
           parser.Feed(std::string_view(text).substr(at, piece))) {
        events.push_back(event);
      }
    }
    REQUIRE(events == std::vector<SseEvent>{{"1", "", "one"},
                                            {"", "error", "two"},
                                            {"", "", "a\nb"}});
  }
  SseParser oversized;
  static_cast<void>(oversized.Feed(
      "data: " + std::string(SseParser::kMaxEventBytes + 1, 'x')));
  REQUIRE(oversized.Failed());
}

TEST_CASE("completion bodies are checked field by field") {
  REQUIRE(ParseCompletionRequest(
              R"({"model":"m","prompt":"p","max_tokens":5,"stream":true})")
              .value() == CompletionRequest{"m", "p", 5, true});
  REQUIRE(ParseCompletionRequest(
              R"({"model":"m","messages":[{"role":"user","content":"hi"}]})")
              .value()
              .prompt == "user: hi\n");
  for (const char* body : {"", "[]", "{}", R"({"model":1,"prompt":"p"})",
                           R"({"model":"m","prompt":""})",
                           R"({"model":"m","prompt":"p","max_tokens":0})",
                           R"({"model":"m","prompt":"p","max_tokens":1e9})",
                           R"({"model":"m","messages":[{"role":"user"}]})",
                           R"({"model":"m","prompt":"p","stream":"yes"})"}) {
    const auto parsed = ParseCompletionRequest(body);
    INFO(body);
    REQUIRE_FALSE(parsed);
    REQUIRE(parsed.error().message.find("expected") != std::string::npos);
  }
}

TEST_CASE(
    "error table has one row per kind in enum order, and error bodies survive "
    "a round trip") {
  for (std::size_t index = 0; index < ErrorTable().size(); ++index) {
    const ErrorRow& row = ErrorTable()[index];
    REQUIRE(static_cast<std::size_t>(row.kind) == index);
    REQUIRE(ErrorKindFromName(row.name) == row.kind);
    const Error error = Error::Of(row.kind, "text").WithRan(Ran::kUnknown);
    REQUIRE(ErrorFromJsonBody(ToJsonBody(error)) == error);
  }
  REQUIRE(ErrorTable().back().kind == ErrorKind::kInternal);
}

TEST_CASE("event catalogue in the docs matches the event table") {
  std::ifstream in(std::string(LIMPETHAVEN_SOURCE_DIR) + "/docs/EVENTS.md");
  std::vector<std::string> documented;
  std::string line;
  while (std::getline(in, line)) {
    if (!line.starts_with("| ") || line.size() < 4 ||
        std::isdigit(line[2]) == 0) {
      continue;
    }
    documented.push_back(
        line.substr(2, line.find(" |", line.find(" | ") + 3) - 2));
  }
  std::vector<std::string> coded;
  for (const EventRow& row : EventTable()) {
    coded.push_back(std::to_string(static_cast<int>(row.id)) + " | " +
                    std::string(row.name));
  }
  REQUIRE(documented == coded);
}

HistoryEvent Event(HistoryKind kind, const std::string& request,
                   TimeMs at = 0) {
  HistoryEvent event;
  event.kind = kind;
  event.request = request;
  event.team = "north";
  event.at_ms = at;
  event.max_tokens = 10;
  if (kind == HistoryKind::kWhole) {
    event.digest = Sha256Hex(AnswerText(request, 10));
  }
  return event;
}

TEST_CASE(
    "history checker accepts correct histories and reports each violation") {
  const HistoryEvent sent = Event(HistoryKind::kSent, "r1");
  const HistoryEvent whole = Event(HistoryKind::kWhole, "r1");
  HistoryEvent refused = Event(HistoryKind::kRefused, "r1");
  refused.error = "team_limit";
  refused.ran = "no";
  HistoryEvent ran = Event(HistoryKind::kEndpointRan, "r1");
  ran.count = 1;
  HistoryEvent once = sent;
  once.once = true;
  HistoryEvent ran_twice = ran;
  ran_twice.count = 2;
  HistoryEvent other_answer = whole;
  other_answer.digest = Sha256Hex("another answer");
  const auto violations = [](const std::vector<HistoryEvent>& events) {
    return CheckHistory(events).violations.size();
  };
  REQUIRE(violations({sent, whole}) == 0);
  REQUIRE(violations({sent, refused}) == 0);
  REQUIRE(violations({sent}) == 1);
  REQUIRE(violations({sent, whole, whole}) == 1);
  REQUIRE(violations({sent, other_answer}) == 1);
  REQUIRE(violations({sent, refused, ran}) == 1);
  REQUIRE(violations({once, refused, ran}) == 1);
  REQUIRE(violations({once, ran_twice, Event(HistoryKind::kCancelled, "r1")}) ==
          1);
  // The key is withdrawn at 1000 ms, and answers may end within the grace
  // period of 5000 ms.
  const HistoryEvent withdrawn = Event(HistoryKind::kWithdrawn, "", 1000);
  REQUIRE(violations(
              {sent, withdrawn, Event(HistoryKind::kWhole, "r1", 6000)}) == 0);
  REQUIRE(violations(
              {sent, withdrawn, Event(HistoryKind::kWhole, "r1", 6001)}) == 1);
}

TEST_CASE("history events survive a round trip") {
  HistoryEvent event = Event(HistoryKind::kWhole, "r1", 5);
  event.detail = "quoted \"text\"\n";
  event.max_gap_ms = 1.5;
  REQUIRE(DecodeHistoryEvent(EncodeHistoryEvent(event)).value() == event);
  REQUIRE_FALSE(DecodeHistoryEvent("{}"));
  REQUIRE_FALSE(DecodeHistoryEvent(R"({"kind":"unheard of"})"));
}

TEST_CASE(
    "retry back-off doubles up to its limit and restarts after a success") {
  RetryBackoff backoff({200, 700});
  REQUIRE(backoff.OnFailure() == 200);
  REQUIRE(backoff.OnFailure() == 400);
  REQUIRE(backoff.OnFailure() == 700);
  REQUIRE(backoff.OnFailure() == 700);
  backoff.OnSuccess();
  REQUIRE(backoff.OnFailure() == 200);
}

}  // namespace
}  // namespace limpethaven
