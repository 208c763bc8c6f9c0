/// @file
/// The whole path on loopback, with the failures that it must survive.
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

/// Longer than any promise allows; a test that needs it all has failed.
constexpr DurationMs kLimitMs = 10'000;

TEST_CASE("fleet answers whole streams at every entry and frees the memory") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  for (std::size_t entry = 0; entry < 3; ++entry) {
    const std::string id = "whole-" + std::to_string(entry);
    const CallerAnswer answer = fleet.Complete(entry, kNorthKey, id, 30);
    REQUIRE(answer.done);
    REQUIRE(answer.text == AnswerText(id, 30));
  }
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; }, kLimitMs));
  REQUIRE_FALSE(fleet.AnyEndpointSaw(kNorthKey));
}

TEST_CASE("fleet refuses callers without a key that stands") {
  FleetFixture fleet(FleetSettings{});
  REQUIRE(fleet.Complete(0, "no-such-key-0001", "r1", 10).error_kind ==
          "key_rejected");
  REQUIRE(fleet.CallService(0, "", "/s/ledger/read", "x").error_kind ==
          "key_missing");
  REQUIRE(fleet.CallService(0, "", "/s/ledger/open", "x").status == 200);
  REQUIRE(fleet.CallService(0, kNorthKey, "/s/nowhere", "x").error_kind ==
          "unknown_route");
  const CallerAnswer leak = fleet.CallService(
      0, kNorthKey, "/s/ledger/read", std::string("my key is ") + kNorthKey);
  REQUIRE(leak.error_kind == "bad_request");
  REQUIRE_FALSE(fleet.AnyEndpointSaw(kNorthKey));
}

TEST_CASE(
    "fleet goes on with a stream at another entry without loss or repetition") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const CallerAnswer first = fleet.Complete(0, kNorthKey, "resume-1", 120, 10);
  REQUIRE_FALSE(first.done);
  const CallerAnswer second =
      fleet.Complete(1, kNorthKey, "resume-1", 120, -1, first.last_id);
  REQUIRE(second.done);
  REQUIRE(first.text + second.text == AnswerText("resume-1", 120));
  std::int64_t attempts = 0;
  for (const auto& engine : fleet.decodes) {
    attempts += engine->AttemptsOf("resume-1");
  }
  REQUIRE(attempts == 1);
  // The stream belongs to the team of the key it began with.
  REQUIRE(fleet.Complete(1, kSouthKey, "resume-1", 120, -1, first.last_id)
              .error_kind == "team_mismatch");
}

TEST_CASE("fleet goes on with a stream whose entry is gone") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const CallerAnswer first = fleet.Complete(0, kNorthKey, "crash-1", 200, 30);
  fleet.KillEntry(0);
  const CallerAnswer second =
      fleet.Complete(2, kNorthKey, "crash-1", 200, -1, first.last_id);
  REQUIRE(second.done);
  REQUIRE(first.text + second.text == AnswerText("crash-1", 200));
}

TEST_CASE("fleet frees engine memory when a caller hangs up") {
  FleetFixture fleet(FleetSettings{});
  const CallerAnswer answer = fleet.Complete(0, kNorthKey, "gone-1", 4000, 5);
  REQUIRE_FALSE(answer.done);
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; }, kLimitMs));
}

TEST_CASE("fleet frees engine memory when the caller of a whole call is gone") {
  FleetFixture fleet(FleetSettings{});
  const auto client = NewHttpClient(fleet.AddressOf(0), kLimitMs);
  httplib::Request request = PostRequest(
      "/v1/completions",
      R"({"model":"model-1","prompt":"p","max_tokens":9000,"stream":false})");
  request.set_header("Authorization", std::string("Bearer ") + kNorthKey);
  std::thread caller([&] { static_cast<void>(client->send(request)); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; }, kLimitMs));
  client->stop();
  caller.join();
  // Left alone, the run would hold its memory for 9,000 steps of 5 ms.
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; }, kLimitMs));
}

/// Hangs up after the first event.
class HangUp final : public StreamObserver {
 public:
  bool OnEvent(const StreamEvent&) override { return false; }
  bool OnIdle() override { return true; }
};

TEST_CASE("fleet frees engine memory that no process knows of") {
  FleetFixture fleet(FleetSettings{});
  // No request came before, so that no scheduler was ever asked for this cell.
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
  HangUp observer;
  REQUIRE(engines.Generate(call, observer));
  REQUIRE(fleet.PiecesHeld() == 7);
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; }, kLimitMs));
}

TEST_CASE("fleet cancels a request at whichever entry serves it") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "cancel-1", 4000); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; }, kLimitMs));
  const auto cancel = [&](const char* key) {
    const auto client = NewHttpClient(fleet.AddressOf(1), kLimitMs);
    const auto response = client->Delete(
        "/v1/requests/cancel-1",
        httplib::Headers{{"Authorization", std::string("Bearer ") + key}});
    return response ? response->status : 0;
  };
  REQUIRE(cancel(kSouthKey) == 404);
  REQUIRE(cancel(kNorthKey) == 200);
  caller.join();
  REQUIRE(answer.error_kind == "cancelled");
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() == 0; }, kLimitMs));
}

TEST_CASE(
    "fleet drops crossed and late events and still delivers the whole answer") {
  for (const EngineFault fault : {EngineFault::kCrossed, EngineFault::kLate}) {
    FleetFixture fleet(FleetSettings{});
    for (const auto& engine : fleet.decodes) engine->SetFault(fault);
    const CallerAnswer answer = fleet.Complete(0, kNorthKey, "crossed-1", 40);
    REQUIRE(answer.done);
    REQUIRE(answer.text == AnswerText("crossed-1", 40));
  }
}

TEST_CASE("fleet replaces a connection that went silent") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "silent-1", 400); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; }, kLimitMs));
  for (const auto& engine : fleet.decodes) {
    engine->SetFault(EngineFault::kSilent);
  }
  caller.join();
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("silent-1", 400));
  std::int64_t attempts = 0;
  for (const auto& engine : fleet.decodes) {
    attempts += engine->AttemptsOf("silent-1");
  }
  REQUIRE(attempts == 1);
}

TEST_CASE("fleet moves an answer from an engine that stalls to another") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "stall-1", 300); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; }, kLimitMs));
  for (const auto& engine : fleet.decodes) {
    if (engine->AttemptsOf("stall-1") > 0) {
      engine->SetFault(EngineFault::kStall);
    }
  }
  caller.join();
  INFO(answer.body);
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("stall-1", 300));
}

TEST_CASE("fleet waits for a silent engine when nothing may be repeated") {
  FleetSettings settings;
  settings.retries.ratio = 0.0;
  settings.retries.extra_retries = 0.0;
  FleetFixture fleet(settings);
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "wait-1", 300); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; }, kLimitMs));
  for (const auto& engine : fleet.decodes) {
    engine->SetFault(EngineFault::kStall);
  }
  // Longer than an engine may be silent while others could go on.
  std::this_thread::sleep_for(std::chrono::milliseconds(4500));
  for (const auto& engine : fleet.decodes) engine->SetFault(EngineFault::kNone);
  caller.join();
  INFO(answer.body);
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("wait-1", 300));
}

TEST_CASE("fleet serves round a prefill engine that refuses work") {
  FleetFixture fleet(FleetSettings{});
  fleet.prefills[0]->SetFault(EngineFault::kRefuse);
  for (int index = 0; index < 6; ++index) {
    const std::string id = "refuse-" + std::to_string(index);
    REQUIRE(fleet.Complete(0, kNorthKey, id, 10).text == AnswerText(id, 10));
  }
}

TEST_CASE(
    "fleet does not say not run once a prefill engine received the prompt") {
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

TEST_CASE("fleet runs a ticketed call once, whoever is asked and how often") {
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
  REQUIRE(fleet.service->RunsOf("t1") == 1);
}

TEST_CASE(
    "fleet never runs a ticketed call again after the endpoint closed on it") {
  FleetFixture fleet(FleetSettings{});
  fleet.service->SetFault(ServiceFault::kNoAnswer);
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  const CallerAnswer answer =
      fleet.CallService(0, kNorthKey, "/s/ledger/transfer", "t2", ticket);
  INFO(answer.body);
  REQUIRE(answer.error_kind == "outcome_unknown");
  REQUIRE(answer.ran == "unknown");
  REQUIRE(fleet.CallService(1, kNorthKey, "/s/ledger/transfer", "t2", ticket)
              .error_kind == "ticket_used");
  REQUIRE(fleet.service->RunsOf("t2") == 1);
}

TEST_CASE(
    "fleet never runs a ticketed call elsewhere when its minter is gone") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  fleet.KillEntry(0);
  const CallerAnswer answer =
      fleet.CallService(1, kNorthKey, "/s/ledger/transfer", "t3", ticket);
  REQUIRE(answer.error_kind == "ticket_minter_unreachable");
  REQUIRE(answer.ran == "unknown");
  REQUIRE(fleet.service->RunsOf("t3") == 0);
}

TEST_CASE("fleet says not run only when nothing was sent") {
  FleetFixture fleet(FleetSettings{});
  fleet.service->Stop();
  const std::string ticket = fleet.MintTicket(0, kNorthKey);
  const CallerAnswer answer =
      fleet.CallService(0, kNorthKey, "/s/ledger/transfer", "t4", ticket);
  REQUIRE(answer.ran == "no");
  REQUIRE(fleet.service->RunsOf("t4") == 0);
}

TEST_CASE(
    "fleet cuts the streams of a withdrawn key and refuses it from then on") {
  FleetFixture fleet(FleetSettings{});
  CallerAnswer cut;
  CallerAnswer kept;
  std::thread south([&] { cut = fleet.Complete(0, kSouthKey, "cut-1", 6000); });
  std::thread north(
      [&] { kept = fleet.Complete(0, kNorthKey, "kept-1", 200); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() >= 7; }, kLimitMs));
  fleet.Publish(
      [](Configuration& config) { config.keys.erase(Sha256Hex(kSouthKey)); });
  south.join();
  north.join();
  REQUIRE(cut.error_kind == "key_withdrawn");
  REQUIRE(kept.done);
  REQUIRE(fleet.WaitForVersion(kLimitMs));
  REQUIRE(fleet.Complete(1, kSouthKey, "after-1", 10).error_kind ==
          "key_rejected");
}

TEST_CASE(
    "fleet spreads a change from peer to peer while the platform is down") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  REQUIRE(fleet.WaitForVersion(kLimitMs));
  fleet.platform->SetDown(true);
  const std::uint64_t before = fleet.VersionOf(1);
  // One entry learns of a version that nobody else can read.
  fleet.Publish(
      [](Configuration& config) { config.teams.at("north").weight = 7; });
  fleet.OfferTo(0);
  REQUIRE(fleet.WaitForVersion(kLimitMs));
  REQUIRE(fleet.VersionOf(2) == before + 1);
  // Requests are served all the while.
  REQUIRE(fleet.Complete(2, kNorthKey, "down-1", 10).done);
}

TEST_CASE(
    "fleet holds a team to its burst over all entries, and borrows before it "
    "refuses") {
  FleetFixture fleet(FleetSettings{.entries = 3, .burst = 3000, .rate = 3000});
  REQUIRE(FleetFixture::WaitFor(
      [&] {
        return fleet.TokensOf(0, "north") >= 1000 &&
               fleet.TokensOf(1, "north") >= 1000 &&
               fleet.TokensOf(2, "north") >= 1000;
      },
      kLimitMs));
  // More than one entry's share of 1000, so it must borrow.
  REQUIRE(fleet.Complete(0, kNorthKey, "borrow-1", 2500, 1).error_kind.empty());
  REQUIRE(fleet.Ask<Tokens>(0, [](const EntryNode& node) {
    return node.BorrowedTokens();
  }) > 0);
  REQUIRE(fleet.Complete(1, kNorthKey, "limit-1", 2900).error_kind ==
          "team_limit");
  REQUIRE(fleet.Complete(1, kNorthKey, "limit-2", 5000).error_kind ==
          "request_over_burst");
}

TEST_CASE("fleet stops an entry without cutting its streams") {
  FleetFixture fleet(FleetSettings{.entries = 3});
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Complete(0, kNorthKey, "drain-1", 300); });
  REQUIRE(
      FleetFixture::WaitFor([&] { return fleet.PiecesHeld() > 0; }, kLimitMs));
  fleet.DrainEntry(0);
  // The process ends only after the stream did.
  REQUIRE(FleetFixture::WaitFor([&] { return fleet.EntryEnded(0); }, kLimitMs));
  caller.join();
  REQUIRE(answer.done);
  REQUIRE(answer.text == AnswerText("drain-1", 300));
  REQUIRE(FleetFixture::WaitFor(
      [&] {
        return fleet.Ask<bool>(
            1, [](const EntryNode& node) { return node.HasServingMembers(2); });
      },
      kLimitMs));
}

TEST_CASE("fleet gives a leaving endpoint no new work") {
  FleetFixture fleet(FleetSettings{});
  const std::string leaving = fleet.decodes[0]->Address();
  fleet.Publish([&](Configuration& config) {
    for (EndpointSpec& endpoint : config.pools.at("decode").endpoints) {
      endpoint.leaving = endpoint.address == leaving;
    }
  });
  REQUIRE(fleet.WaitForVersion(kLimitMs));
  for (int index = 0; index < 8; ++index) {
    const std::string id = "leave-" + std::to_string(index);
    REQUIRE(
        fleet.Complete(static_cast<std::size_t>(index) % 2, kNorthKey, id, 10)
            .done);
    REQUIRE(fleet.decodes[0]->AttemptsOf(id) == 0);
  }
}

}  // namespace
}  // namespace limpethaven
