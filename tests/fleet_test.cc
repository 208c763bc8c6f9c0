/// @file
/// End-to-end tests of a fleet on loopback: normal service, and failures of
/// callers, entries, engines, services and the platform.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "edge/engine_client.h"
#include "fleet_fixture.h"
#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

using testing::CallerAnswer;
using testing::FleetFixture;
using testing::FleetSettings;
using testing::kNorthKey;
using testing::kSouthKey;

/// Longer than any delay that the fleet is allowed; a wait that reaches it has
/// failed.
constexpr DurationMs kWaitLimitMs = 10'000;

// Guards against lost tokens, engine memory that is not freed, and keys that
// are passed on to endpoints.
TEST_CASE(
    "fleet streams complete answers at every entry and frees the memory") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  for (std::size_t entry = 0; entry < 3; ++entry) {
    const std::string id = "whole-" + std::to_string(entry);
    const CallerAnswer answer = fleet.Complete(entry, kNorthKey, id, 30);
    REQUIRE(answer.done);
    REQUIRE(answer.text == AnswerText(id, 30));
  }
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; },
                                kWaitLimitMs));
  REQUIRE_FALSE(fleet.AnyEndpointReceived(kNorthKey));
}

// Guards against service without a valid key, and against a caller's key that
// reaches an endpoint in a body.
TEST_CASE("fleet refuses callers without a valid key") {
  FleetFixture fleet(FleetSettings{});
  REQUIRE(fleet.Complete(0, "no-such-key-0001", "r1", 10).error_kind ==
          "key_rejected");
  REQUIRE(fleet.CallService(0, "", "/s/ledger/read", "x").error_kind ==
          "key_missing");
  REQUIRE(fleet.CallService(0, "", "/s/ledger/open", "x").status == 200);
  REQUIRE(fleet.CallService(0, kNorthKey, "/s/nowhere", "x").error_kind ==
          "unknown_route");
  const CallerAnswer key_in_body = fleet.CallService(
      0, kNorthKey, "/s/ledger/read", std::string("my key is ") + kNorthKey);
  REQUIRE(key_in_body.error_kind == "bad_request");
  REQUIRE_FALSE(fleet.AnyEndpointReceived(kNorthKey));
}

// A caller that reconnects may reach another entry. Guards against lost or
// repeated tokens and against a second generation.
TEST_CASE(
    "fleet resumes a stream at another entry without loss or repetition") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const CallerAnswer first = fleet.Complete(0, kNorthKey, "resume-1", 120, 10);
  REQUIRE_FALSE(first.done);
  const CallerAnswer second =
      fleet.Complete(1, kNorthKey, "resume-1", 120, -1, first.last_event_id);
  REQUIRE(second.done);
  REQUIRE(first.text + second.text == AnswerText("resume-1", 120));
  std::int64_t attempts = 0;
  for (const auto& engine : fleet.decodes) {
    attempts += engine->AttemptCount("resume-1");
  }
  REQUIRE(attempts == 1);
  // Only the team that started the stream may resume it.
  REQUIRE(fleet.Complete(1, kSouthKey, "resume-1", 120, -1, first.last_event_id)
              .error_kind == "team_mismatch");
}

// Guards against the loss of a stream with the entry that served it.
TEST_CASE("fleet resumes a stream whose entry has crashed") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const CallerAnswer first = fleet.Complete(0, kNorthKey, "crash-1", 200, 30);
  fleet.KillEntry(0);
  const CallerAnswer second =
      fleet.Complete(2, kNorthKey, "crash-1", 200, -1, first.last_event_id);
  REQUIRE(second.done);
  REQUIRE(first.text + second.text == AnswerText("crash-1", 200));
}

// Guards against a generation that goes on for a caller who left.
TEST_CASE("fleet frees engine memory when a caller closes its stream") {
  FleetFixture fleet(FleetSettings{});
  const CallerAnswer answer = fleet.Complete(0, kNorthKey, "gone-1", 4000, 5);
  REQUIRE_FALSE(answer.done);
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; },
                                kWaitLimitMs));
}

// An unstreamed answer is written at its end, so that no failed write shows
// earlier that the caller has left.
TEST_CASE("fleet frees engine memory when a caller leaves an unstreamed call") {
  FleetFixture fleet(FleetSettings{});
  const auto client = NewHttpClient(fleet.AddressOf(0), kWaitLimitMs);
  httplib::Request request = PostRequest(
      "/v1/completions",
      R"({"model":"model-1","prompt":"p","max_tokens":9000,"stream":false})");
  request.set_header("Authorization", std::string("Bearer ") + kNorthKey);
  std::thread caller([&] { static_cast<void>(client->send(request)); });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  client->stop();
  caller.join();
  // Without a cancel the run holds its memory for 4,500 to 9,000 steps of 5 ms,
  // which is longer than `kWaitLimitMs`.
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; },
                                kWaitLimitMs));
}

// The engine ends while it runs the request, so that no reconnection can be
// sent. Guards against the report that the request has not run.
TEST_CASE("fleet does not report a run as not run when its engine has ended") {
  FleetFixture fleet(FleetSettings{.decode_engines = 1});
  const auto client = NewHttpClient(fleet.AddressOf(0), kWaitLimitMs);
  httplib::Request request = PostRequest(
      "/v1/completions",
      R"({"model":"model-1","prompt":"p","max_tokens":9000,"stream":false})");
  request.set_header("Authorization", std::string("Bearer ") + kNorthKey);
  std::string body;
  std::thread caller([&] {
    const auto response = client->send(request);
    if (response) body = response->body;
  });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  fleet.decodes[0]->Stop();
  caller.join();
  const auto error = ErrorFromJsonBody(body);
  REQUIRE(error);
  INFO(body);
  REQUIRE(error->ran != Ran::kNo);
}

/// Closes the stream after the first event.
class StopAfterFirstEvent final : public StreamObserver {
 public:
  bool OnEvent(const StreamEvent&) override { return false; }
  bool OnIdle() override { return true; }
};

// An attempt can outlast every process that has a record of it. Guards against
// engine memory that such an attempt holds for good.
TEST_CASE(
    "fleet frees the memory of an attempt that no process has a record of") {
  FleetFixture fleet(FleetSettings{});
  // No request came before, so that no process has scheduled in this cell yet.
  HttpEngineClient engines;
  PrefillCall prefill{
      fleet.prefills[0]->Address(), "lost-1", "lost-attempt", "p", 1, 1000};
  const auto kv = engines.Prefill(prefill);
  REQUIRE(kv);
  GenerateCall call;
  call.address = fleet.decodes[0]->Address();
  call.request_id = "lost-1";
  call.attempt = "lost-attempt";
  call.kv_source = prefill.address;
  call.kv_handle = kv.value().kv_handle;
  call.max_tokens = 6000;
  call.pieces = 7;
  call.idle_timeout_ms = 1000;
  StopAfterFirstEvent observer;
  REQUIRE(engines.Generate(call, observer));
  REQUIRE(fleet.PiecesHeld() == 7);
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; },
                                kWaitLimitMs));
}

// Guards against a cancel that fails at an entry which does not serve the
// request, and against a cancel by another team.
TEST_CASE("fleet cancels a request that another entry serves") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "cancel-1", 4000); });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  const auto cancel = [&](const char* key) {
    const auto client = NewHttpClient(fleet.AddressOf(1), kWaitLimitMs);
    const auto response = client->Delete(
        "/v1/requests/cancel-1",
        httplib::Headers{{"Authorization", std::string("Bearer ") + key}});
    return response ? response->status : 0;
  };
  REQUIRE(cancel(kSouthKey) == 404);
  REQUIRE(cancel(kNorthKey) == 200);
  caller.join();
  REQUIRE(answer.error_kind == "cancelled");
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; },
                                kWaitLimitMs));
}

// Guards against tokens of another request, or repeated tokens, in an answer.
TEST_CASE(
    "fleet drops events of other requests and repeats from a complete answer") {
  for (const EngineFault fault : {EngineFault::kCrossed, EngineFault::kLate}) {
    FleetFixture fleet(FleetSettings{});
    for (const auto& engine : fleet.decodes) engine->SetFault(fault);
    const CallerAnswer answer = fleet.Complete(0, kNorthKey, "crossed-1", 40);
    REQUIRE(answer.done);
    REQUIRE(answer.text == AnswerText("crossed-1", 40));
  }
}

// A connection to an engine stays open but brings no bytes. Guards against a
// stalled answer and against a second generation.
TEST_CASE("fleet resumes a stream whose engine connection stays silent") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "silent-1", 400); });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  for (const auto& engine : fleet.decodes) {
    engine->SetFault(EngineFault::kSilent);
  }
  caller.join();
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("silent-1", 400));
  std::int64_t attempts = 0;
  for (const auto& engine : fleet.decodes) {
    attempts += engine->AttemptCount("silent-1");
  }
  REQUIRE(attempts == 1);
}

// Guards against an answer that stops with the engine that generates it.
TEST_CASE("fleet moves an answer from a stalled engine to another") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "stall-1", 300); });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  for (const auto& engine : fleet.decodes) {
    if (engine->AttemptCount("stall-1") > 0) {
      engine->SetFault(EngineFault::kStall);
    }
  }
  caller.join();
  INFO(answer.error_body);
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("stall-1", 300));
}

// Without retry budget, moving the answer is not allowed. Guards against an
// error where the engine needs only more time.
TEST_CASE("fleet waits for a stalled engine when no retry is allowed") {
  FleetSettings settings;
  settings.retries.ratio = 0.0;
  settings.retries.extra_retries = 0.0;
  FleetFixture fleet(settings);
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "wait-1", 300); });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  for (const auto& engine : fleet.decodes) {
    engine->SetFault(EngineFault::kStall);
  }
  // If retries were allowed, the router would move the answer to another engine
  // within this time.
  std::this_thread::sleep_for(std::chrono::milliseconds(4500));
  for (const auto& engine : fleet.decodes) engine->SetFault(EngineFault::kNone);
  caller.join();
  INFO(answer.error_body);
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("wait-1", 300));
}

// Guards against requests that fail because one prefill engine has no capacity.
TEST_CASE("fleet serves requests while one prefill engine refuses work") {
  FleetFixture fleet(FleetSettings{});
  fleet.prefills[0]->SetFault(EngineFault::kRefuse);
  for (int index = 0; index < 6; ++index) {
    const std::string id = "refuse-" + std::to_string(index);
    REQUIRE(fleet.Complete(0, kNorthKey, id, 10).text == AnswerText(id, 10));
  }
}

// A caller may repeat a request reported as not run. Guards against that report
// for a prompt which an engine received.
TEST_CASE(
    "fleet reports not run only if no prefill engine received the prompt") {
  FleetFixture fleet(FleetSettings{});
  for (const auto& engine : fleet.prefills) {
    engine->SetFault(EngineFault::kRefuse);
  }
  const CallerAnswer answer = fleet.Complete(0, kNorthKey, "reached-1", 10);
  REQUIRE_FALSE(answer.error_kind.empty());
  REQUIRE(answer.ran == "unknown");
  for (const auto& engine : fleet.prefills) engine->Stop();
  const CallerAnswer unreached = fleet.Complete(1, kNorthKey, "reached-2", 10);
  REQUIRE_FALSE(unreached.error_kind.empty());
  REQUIRE(unreached.ran == "no");
}

// Guards against a second run when copies of a call reach several entries at
// once.
TEST_CASE("fleet runs a ticketed call once for copies at every entry") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  REQUIRE_FALSE(ticket.empty());
  REQUIRE(
      fleet.CallService(0, kNorthKey, "/s/ledger/transfer", "t1").error_kind ==
      "ticket_required");
  REQUIRE(fleet.CallService(1, kSouthKey, "/s/ledger/transfer", "t1", ticket)
              .error_kind == "team_mismatch");
  std::vector<std::thread> callers;
  callers.reserve(9);
  std::atomic<int> succeeded = 0;
  for (std::size_t copy = 0; copy < 9; ++copy) {
    callers.emplace_back([&, copy] {
      if (fleet
              .CallService(copy % 3, kNorthKey, "/s/ledger/transfer", "t1",
                           ticket)
              .status == 200) {
        ++succeeded;
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  REQUIRE(succeeded == 1);
  REQUIRE(fleet.service->RunCount("t1") == 1);
}

// The endpoint runs the call and closes the connection without an answer.
// Guards against a second run.
TEST_CASE(
    "fleet never repeats a ticketed call whose endpoint closed without "
    "answer") {
  FleetFixture fleet(FleetSettings{});
  fleet.service->SetFault(ServiceFault::kNoAnswer);
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  const CallerAnswer answer =
      fleet.CallService(0, kNorthKey, "/s/ledger/transfer", "t2", ticket);
  INFO(answer.error_body);
  REQUIRE(answer.error_kind == "outcome_unknown");
  REQUIRE(answer.ran == "unknown");
  REQUIRE(fleet.CallService(1, kNorthKey, "/s/ledger/transfer", "t2", ticket)
              .error_kind == "ticket_used");
  REQUIRE(fleet.service->RunCount("t2") == 1);
}

// Only the entry that minted a ticket can tell whether it was used. Guards
// against a run at another entry once that entry has crashed.
TEST_CASE("fleet runs no ticketed call when the minter of its ticket is gone") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  fleet.KillEntry(0);
  const CallerAnswer answer =
      fleet.CallService(1, kNorthKey, "/s/ledger/transfer", "t3", ticket);
  REQUIRE(answer.error_kind == "ticket_minter_unreachable");
  REQUIRE(answer.ran == "unknown");
  REQUIRE(fleet.service->RunCount("t3") == 0);
}

// Guards against an unknown outcome where nothing could be sent.
TEST_CASE("fleet reports a ticketed call as not run when nothing was sent") {
  FleetFixture fleet(FleetSettings{});
  fleet.service->Stop();
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  const CallerAnswer answer =
      fleet.CallService(0, kNorthKey, "/s/ledger/transfer", "t4", ticket);
  REQUIRE(answer.ran == "no");
  REQUIRE(fleet.service->RunCount("t4") == 0);
}

// Guards against a withdrawn key that still gets service, and against an end of
// the streams of other keys.
TEST_CASE(
    "fleet ends the streams of a withdrawn key and refuses it from then on") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer withdrawn;
  CallerAnswer valid;
  std::thread south(
      [&] { withdrawn = fleet.Complete(0, kSouthKey, "cut-1", 6000); });
  std::thread north(
      [&] { valid = fleet.Complete(0, kNorthKey, "kept-1", 200); });
  // `cut-1` reserves 7 pieces for its prompt and 6,000 output tokens.
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() >= 7; },
                                kWaitLimitMs));
  fleet.Publish(
      [](Configuration& config) { config.keys.erase(Sha256Hex(kSouthKey)); });
  south.join();
  north.join();
  REQUIRE(withdrawn.error_kind == "key_withdrawn");
  REQUIRE(valid.done);
  REQUIRE(fleet.WaitForVersion(kWaitLimitMs));
  REQUIRE(fleet.Complete(1, kSouthKey, "after-1", 10).error_kind ==
          "key_rejected");
}

// Guards against entries that stay at an old configuration because the platform
// cannot be reached.
TEST_CASE(
    "fleet passes a change from peer to peer while the platform is down") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  REQUIRE(fleet.WaitForVersion(kWaitLimitMs));
  fleet.platform->SetDown(true);
  const std::uint64_t before = fleet.ConfigVersionOf(1);
  // One entry gets a version that the others cannot read from the platform.
  fleet.Publish(
      [](Configuration& config) { config.teams.at("north").weight = 7; });
  fleet.OfferConfiguration(0);
  REQUIRE(fleet.WaitForVersion(kWaitLimitMs));
  REQUIRE(fleet.ConfigVersionOf(2) == before + 1);
  // Requests are served without the platform.
  REQUIRE(fleet.Complete(2, kNorthKey, "down-1", 10).done);
}

// Guards against a team that gets its burst at each entry, and against a
// refusal while other entries still have tokens of the team to lend.
TEST_CASE(
    "fleet limits a team to its burst over all entries, and borrows before it "
    "refuses") {
  FleetFixture fleet(FleetSettings{
      .entries = 3, .burst_tokens = 3000, .rate_tokens_per_s = 3000});
  REQUIRE(FleetFixture::WaitFor(
      [&] {
        return fleet.TokensOf(0, "north") >= 1000 &&
               fleet.TokensOf(1, "north") >= 1000 &&
               fleet.TokensOf(2, "north") >= 1000;
      },
      kWaitLimitMs));
  // The request needs more than the entry's share of 1,000 tokens.
  REQUIRE(fleet.Complete(0, kNorthKey, "borrow-1", 2500, 1).error_kind.empty());
  REQUIRE(fleet.CallOnLoop<Tokens>(0, [](const EntryNode& node) {
    return node.BorrowedTokens();
  }) > 0);
  REQUIRE(fleet.Complete(1, kNorthKey, "limit-1", 2900).error_kind ==
          "team_limit");
  REQUIRE(fleet.Complete(1, kNorthKey, "limit-2", 5000).error_kind ==
          "request_over_burst");
}

// Guards against a drain that ends streams, or that leaves the entry listed as
// a member.
TEST_CASE("fleet drains an entry without ending its streams") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "drain-1", 300); });
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; },
                                kWaitLimitMs));
  fleet.DrainEntry(0);
  // The entry ends after its stream has.
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.EntryEnded(0); }, kWaitLimitMs));
  caller.join();
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("drain-1", 300));
  REQUIRE(FleetFixture::WaitFor(
      [&] {
        return fleet.CallOnLoop<bool>(
            1, [](const EntryNode& node) { return node.HasServingMembers(2); });
      },
      kWaitLimitMs));
}

// Guards against work for an endpoint that is about to be removed.
TEST_CASE("fleet gives a leaving endpoint no new work") {
  FleetFixture fleet(FleetSettings{});
  const std::string leaving = fleet.decodes[0]->Address();
  fleet.Publish([&](Configuration& config) {
    for (EndpointSpec& endpoint : config.pools.at("decode").endpoints) {
      endpoint.leaving = endpoint.address == leaving;
    }
  });
  REQUIRE(fleet.WaitForVersion(kWaitLimitMs));
  for (int index = 0; index < 8; ++index) {
    const std::string id = "leave-" + std::to_string(index);
    REQUIRE(
        fleet.Complete(static_cast<std::size_t>(index) % 2, kNorthKey, id, 10)
            .done);
    REQUIRE(fleet.decodes[0]->AttemptCount(id) == 0);
  }
}

}  // namespace
}  // namespace limpethaven
