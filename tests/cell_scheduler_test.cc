/// @file
/// Tests of the cell scheduler: memory reservation before prefill, fairness
/// across teams, leases, cancels and ejection.
#include "limpethaven/cell_scheduler.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace limpethaven {
namespace {

CellEngine Engine(const std::string& id, PoolRole role, std::int64_t pieces) {
  CellEngine engine;
  engine.id = id;
  engine.data_centre = "zone";
  engine.role = role;
  engine.memory = pieces * kTokensPerPiece;
  return engine;
}

/// Renewal of a reservation of `pieces` memory pieces on the engine `d:1`.
Renewal RenewalOf(const std::string& id, const std::string& request,
                  std::int64_t pieces = 1) {
  return Renewal{id, request, "d:1", 0, pieces * kTokensPerPiece, 0, 0};
}

/// One prefill engine, `p:1`, and one decode engine, `d:1`.
std::vector<CellEngine> PrefillAndDecodeEngine(std::int64_t pieces) {
  return {Engine("p:1", PoolRole::kPrefill, pieces),
          Engine("d:1", PoolRole::kDecode, pieces)};
}

PlacementRequest Request(const std::string& id, Tokens prompt, Tokens answer,
                         const std::string& team = "north",
                         DurationMs budget_ms = 900) {
  PlacementRequest request;
  request.request_id = id;
  request.team = team;
  request.prompt_tokens = prompt;
  request.max_tokens = answer;
  request.budget_ms = budget_ms;
  return request;
}

template <typename Command>
std::vector<Command> CommandsOf(const std::vector<CellCommand>& commands) {
  std::vector<Command> matches;
  for (const CellCommand& command : commands) {
    if (const auto* match = std::get_if<Command>(&command)) {
      matches.push_back(*match);
    }
  }
  return matches;
}

TEST_CASE("cell places a request on a prefill and a decode engine") {
  CellScheduler cell("m/0", "o");
  cell.Configure(PrefillAndDecodeEngine(8), 0);
  cell.Submit(Request("r1", 1500, 400), 0);
  const auto placed = CommandsOf<PlaceCommand>(cell.Tick(0));
  REQUIRE(placed.size() == 1);
  REQUIRE(placed[0].placement.prefill == "p:1");
  REQUIRE(placed[0].placement.decode == "d:1");
  REQUIRE(placed[0].placement.tokens == 1900);
}

// A prefill is wasted if no decode engine has memory for its result.
TEST_CASE("cell starts no prefill before decode memory is free") {
  CellScheduler cell("m/0", "o",
                     CellSettings{.max_prefill_backlog_ms = 10'000});
  cell.Configure(PrefillAndDecodeEngine(2), 0);
  cell.Submit(Request("r1", 1500, 400), 0);
  cell.Submit(Request("r2", 1500, 400), 0);
  const auto placed = CommandsOf<PlaceCommand>(cell.Tick(0));
  REQUIRE(placed.size() == 1);
  REQUIRE(cell.QueueLength() == 1);
  cell.Finish(placed[0].placement.reservation, 0, 10);
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(10)).size() == 1);
}

TEST_CASE(
    "cell refuses at once a request that needs more memory than any engine "
    "has, and a waiting one when its first-token target has passed") {
  CellScheduler cell("m/0", "o");
  cell.Configure(PrefillAndDecodeEngine(2), 0);
  cell.Submit(Request("big", 5000, 400), 0);
  const auto refused = CommandsOf<RefuseCommand>(cell.Tick(0));
  REQUIRE(refused.size() == 1);
  REQUIRE(refused[0].error.ran == Ran::kNo);
  cell.Submit(Request("r1", 1500, 400), 0);
  cell.Submit(Request("r2", 1500, 400), 0);
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(0)).size() == 1);
  const auto late = CommandsOf<RefuseCommand>(cell.Tick(901));
  REQUIRE(late.size() == 1);
  REQUIRE(late[0].request_id == "r2");
  REQUIRE(late[0].error.kind == ErrorKind::kDeadline);
}

// Guards against prefill engines that stay ejected because nothing counts their
// successes.
TEST_CASE("cell readmits a prefill engine when its probe succeeds") {
  CellScheduler cell("m/0", "o");
  cell.Configure(PrefillAndDecodeEngine(8), 0);
  for (int failure = 0; failure < 3; ++failure) cell.EngineFailed("p:1", 0);
  const auto place = [&cell](const std::string& id, TimeMs now) {
    cell.Submit(Request(id, 1500, 400), now);
    return CommandsOf<PlaceCommand>(cell.Tick(now));
  };
  REQUIRE(place("r1", 500).empty());
  cell.Withdraw("r1", 500);
  const auto probe = place("r2", 1100);
  REQUIRE(probe.size() == 1);
  cell.PrefillDone(probe[0].placement.reservation, 50, 1150);
  REQUIRE(place("r3", 1160).size() == 1);
}

TEST_CASE(
    "cell repeats the cancel of an expired lease until the engine confirms "
    "it") {
  CellScheduler cell("m/0", "o",
                     CellSettings{.lease_ms = 1000, .cancel_retry_ms = 300});
  cell.Configure(PrefillAndDecodeEngine(8), 0);
  cell.Submit(Request("r1", 500, 400), 0);
  const std::string id =
      CommandsOf<PlaceCommand>(cell.Tick(0)).at(0).placement.reservation;
  cell.Renew({RenewalOf(id, "r1")}, 800);
  REQUIRE(CommandsOf<CancelCommand>(cell.Tick(1500)).empty());
  const auto first = CommandsOf<CancelCommand>(cell.Tick(1800));
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].reservation == id);
  REQUIRE(cell.Reservations() == 0);
  REQUIRE(CommandsOf<CancelCommand>(cell.Tick(1900)).empty());
  REQUIRE(CommandsOf<CancelCommand>(cell.Tick(2100)).size() == 1);
  cell.CancelDone(id);
  REQUIRE(CommandsOf<CancelCommand>(cell.Tick(2400)).empty());
  // A late renewal must not revive the reservation.
  cell.Renew({RenewalOf(id, "r1")}, 2500);
  REQUIRE(cell.Reservations() == 0);
}

// Without adoption a new owner would place requests on memory that is in use.
TEST_CASE("cell adopts the reservations of its previous owner") {
  CellScheduler cell("m/0", "new-owner");
  cell.Configure(PrefillAndDecodeEngine(2), 0);
  cell.Renew({RenewalOf("old-owner-1", "r1", 2)}, 0);
  cell.Submit(Request("r2", 500, 400), 0);
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(0)).empty());
  cell.Finish("old-owner-1", 0, 5);
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(5)).size() == 1);
}

TEST_CASE(
    "cell counts memory that engines hold without a reservation and cancels "
    "requests without an open stream") {
  CellScheduler cell("m/0", "o", CellSettings{.orphan_grace_ms = 4000});
  cell.Configure(PrefillAndDecodeEngine(2), 0);
  EngineLoad load{2, 2, {HeldRequest{"lost", "old-1", 2, 3000, 1000}}};
  cell.Report("d:1", load, 0);
  cell.Submit(Request("r1", 500, 400), 0);
  REQUIRE(cell.Tick(0).empty());
  load.held[0].detached_ms = 4000;
  cell.Report("d:1", load, 100);
  const auto cancels = CommandsOf<CancelCommand>(cell.Tick(100));
  REQUIRE(cancels.size() == 1);
  REQUIRE(cancels[0].orphan);
  cell.Report("d:1", EngineLoad{0, 2, {}}, 200);
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(200)).size() == 1);
}

TEST_CASE("cell gives leaving and ejected engines no new work") {
  CellScheduler cell("m/0", "o");
  auto engines = PrefillAndDecodeEngine(8);
  engines.push_back(Engine("d:2", PoolRole::kDecode, 8));
  cell.Configure(engines, 0);
  for (int failure = 0; failure < 3; ++failure) cell.EngineFailed("d:1", 0);
  engines[2].leaving = true;
  cell.Configure(engines, 0);
  cell.Submit(Request("r1", 500, 400, "north", 10'000), 0);
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(0)).empty());
  // The ejection of 1000 ms ends without any further call.
  REQUIRE(CommandsOf<PlaceCommand>(cell.Tick(1001)).at(0).placement.decode ==
          "d:1");
}

TEST_CASE("cell prefers the prefill engine that has the prefix cached") {
  CellScheduler cell("m/0", "o");
  auto engines = PrefillAndDecodeEngine(64);
  engines.push_back(Engine("p:2", PoolRole::kPrefill, 64));
  cell.Configure(engines, 0);
  cell.OnCacheEvents("p:2", {CacheEvent{1, 11, true}, CacheEvent{2, 12, true}});
  auto request = Request("r1", 2500, 100);
  request.prefix = {11, 12};
  cell.Submit(request, 0);
  const auto placed = CommandsOf<PlaceCommand>(cell.Tick(0));
  REQUIRE(placed.at(0).placement.prefill == "p:2");
  REQUIRE(placed.at(0).placement.cached_tokens == 2000);
  REQUIRE(placed.at(0).placement.runner_up == "p:1");
}

TEST_CASE(
    "cell serves teams of equal weight equally while one sends five times as "
    "many requests") {
  CellScheduler cell("m/0", "o");
  cell.Configure(PrefillAndDecodeEngine(4), 0);
  std::map<std::string, int> served;
  std::vector<std::string> placed;
  TimeMs now = 0;
  int number = 0;
  const auto submit = [&](const std::string& team) {
    cell.Submit(
        Request("r" + std::to_string(number++), 500, 400, team, 10'000'000),
        now);
  };
  for (int count = 0; count < 500; ++count) {
    for (int copy = 0; copy < 5; ++copy) submit("large");
    submit("small");
  }
  for (int round = 0; round < 200; ++round) {
    now += 50;
    for (const std::string& id : placed) cell.Finish(id, 0, now);
    placed.clear();
    for (const auto& place : CommandsOf<PlaceCommand>(cell.Tick(now))) {
      placed.push_back(place.placement.reservation);
      const int index = std::stoi(place.request_id.substr(1));
      // Every sixth request is of team `small`.
      ++served[index % 6 == 5 ? "small" : "large"];
    }
  }
  REQUIRE(served["small"] > 100);
  REQUIRE(std::abs(served["small"] - served["large"]) <= 2);
}

TEST_CASE(
    "cell never reserves more memory than an engine has and answers no request "
    "twice, for any order of events") {
  REQUIRE(rc::check("reserved <= memory, no request answered twice", [] {
    CellScheduler cell("m/0", "o", CellSettings{.lease_ms = 500});
    auto engines = PrefillAndDecodeEngine(6);
    engines.push_back(Engine("d:2", PoolRole::kDecode, 4));
    cell.Configure(engines, 0);
    const auto steps = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, 10'000U));
    TimeMs now = 0;
    std::vector<std::string> placed;
    std::map<std::string, int> answers;
    int number = 0;
    for (const unsigned step : steps) {
      now += step % 97;
      switch (step % 6) {
        case 0:
        case 1:
          cell.Submit(Request("r" + std::to_string(number), 1 + step % 4000,
                              1 + step % 900),
                      now);
          ++number;
          break;
        case 2:
          if (!placed.empty()) {
            cell.Finish(placed[step % placed.size()], 0, now);
          }
          break;
        case 3:
          if (!placed.empty()) {
            cell.PrefillDone(placed[step % placed.size()], 5, now);
          }
          break;
        case 4:
          if (number > 0) {
            cell.Withdraw("r" + std::to_string(step % number), now);
          }
          break;
        default:
          cell.EngineFailed(engines[step % engines.size()].id, now);
          break;
      }
      for (const CellCommand& command : cell.Tick(now)) {
        if (const auto* place = std::get_if<PlaceCommand>(&command)) {
          ++answers[place->request_id];
          placed.push_back(place->placement.reservation);
        }
        if (const auto* refuse = std::get_if<RefuseCommand>(&command)) {
          ++answers[refuse->request_id];
        }
      }
      for (const EngineView& engine : cell.Engines(now)) {
        RC_ASSERT(engine.peak >= 0);
        RC_ASSERT(engine.peak <= engine.memory);
      }
    }
    for (const auto& [request, count] : answers) {
      RC_ASSERT(count == 1);
    }
  }));
}

TEST_CASE("cell places no more on an engine than the limit that it names") {
  CellScheduler cell("m/0", "o");
  cell.Configure({Engine("p:1", PoolRole::kPrefill, 1000),
                  Engine("d:1", PoolRole::kDecode, 1000),
                  Engine("d:2", PoolRole::kDecode, 1000)},
                 0);
  cell.LimitEngine("d:1", 2.0, 0);
  std::map<std::string, int> placements;
  int number = 0;
  const auto run_until = [&](TimeMs from, TimeMs until) {
    for (TimeMs now = from; now < until; now += 100) {
      cell.Submit(Request("r" + std::to_string(number++), 1000, 10), now);
      for (const auto& placed : CommandsOf<PlaceCommand>(cell.Tick(now))) {
        ++placements[placed.placement.decode];
        cell.PrefillDone(placed.placement.reservation, 30, now);
        cell.Finish(placed.placement.reservation, 10, now);
      }
    }
  };
  run_until(0, 4000);
  REQUIRE(placements["d:1"] <= 1.5 * 2 * 4 + 5);
  REQUIRE(placements["d:1"] >= 2);
  REQUIRE(placements["d:2"] >= 20);
  // Without a limit, half of the requests go to each again.
  cell.LimitEngine("d:1", std::nullopt, 4000);
  placements.clear();
  run_until(4000, 8000);
  REQUIRE(placements["d:1"] >= 15);
}

TEST_CASE("cell refuses at once what limited engines cannot take in time") {
  CellScheduler cell("m/0", "o");
  cell.Configure(PrefillAndDecodeEngine(1000), 0);
  cell.LimitEngine("d:1", 1.0, 0);
  std::size_t refused = 0;
  for (int number = 0; number < 20; ++number) {
    cell.Submit(Request("r" + std::to_string(number), 1000, 10), 0);
    for (const auto& command : CommandsOf<RefuseCommand>(cell.Tick(0))) {
      ++refused;
      REQUIRE(command.error.kind == ErrorKind::kCapacity);
      REQUIRE(command.error.retry_after_ms > 0);
      REQUIRE(command.error.ran == Ran::kNo);
    }
  }
  // One request a second, and a first-token target of 0.9 s.
  REQUIRE(refused >= 17);
}

}  // namespace
}  // namespace limpethaven
