/// @file
/// Tests of the order and refusal rules of a cell's queue, one rule at a time,
/// and of the failures that must not upset it.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/memory_forecast.h"

namespace limpethaven {
namespace {

constexpr Tokens kMemory = 20'000;

CellSettings Settings(bool rules) {
  CellSettings settings;
  settings.lease_ms = 1'000'000;
  settings.max_prefill_backlog_ms = 10'000;
  settings.prefill_latency_ms = 0;
  settings.prefill_ms_per_token = 0.01;
  settings.late_after_on_time = rules;
  settings.refuse_by_drain_rate = rules;
  return settings;
}

CellEngine Engine(const std::string& id, PoolRole role) {
  CellEngine engine;
  engine.id = id;
  engine.data_centre = "zone";
  engine.role = role;
  engine.memory = kMemory;
  return engine;
}

/// A cell with one decode engine, on which ten requests of 2,000 tokens fit.
class Cell {
 public:
  explicit Cell(bool rules) : scheduler("m/0", "o", Settings(rules)) {
    this->scheduler.Configure(
        {Engine("p:1", PoolRole::kPrefill), Engine("d:1", PoolRole::kDecode)},
        0);
  }

  /// @returns the commands of the tick that follows.
  std::vector<CellCommand> Submit(const std::string& id, TimeMs now,
                                  std::int64_t priority = 0,
                                  DurationMs budget_ms = 900,
                                  Tokens tokens = 2000,
                                  const std::string& team = "north") {
    PlacementRequest request;
    request.request_id = id;
    request.team = team;
    request.priority = priority;
    request.data_centre = "zone";
    request.prompt_tokens = tokens / 2;
    request.max_tokens = tokens / 2;
    request.budget_ms = budget_ms;
    request.patience_ms = 4 * budget_ms;
    this->scheduler.Submit(request, now);
    return this->Tick(now);
  }

  std::vector<CellCommand> Tick(TimeMs now) {
    std::vector<CellCommand> commands = this->scheduler.Tick(now);
    for (const CellCommand& command : commands) {
      if (const auto* place = std::get_if<PlaceCommand>(&command)) {
        this->started.push_back(place->request_id);
        this->running.push_back(place->placement.reservation);
        this->scheduler.PrefillDone(place->placement.reservation, 10, now);
      }
    }
    return commands;
  }

  /// Ends the generation that was placed first.
  std::vector<CellCommand> FinishOldest(TimeMs now) {
    if (this->running.empty()) return {};
    this->scheduler.Finish(this->running.front(), 0, now);
    this->running.erase(this->running.begin());
    return this->Tick(now);
  }

  CellScheduler scheduler;
  std::vector<std::string> started;  ///< Request ids in the order of starts.
  std::vector<std::string> running;  ///< Reservations, oldest first.
};

std::vector<RefuseCommand> RefusalsOf(
    const std::vector<CellCommand>& commands) {
  std::vector<RefuseCommand> refusals;
  for (const CellCommand& command : commands) {
    if (const auto* refuse = std::get_if<RefuseCommand>(&command)) {
      refusals.push_back(*refuse);
    }
  }
  return refusals;
}

bool Waits(Cell& cell, std::size_t length) {
  return cell.scheduler.QueueLength() == length;
}

// Guards against late requests that take memory from requests that can still
// be on time. The large one does not fit yet, but the late ones would.
TEST_CASE("late requests start after those that can be on time") {
  for (const bool rules : {false, true}) {
    Cell cell(rules);
    for (int index = 0; index < 10; ++index) {
      cell.Submit("r" + std::to_string(index), 0);
    }
    cell.Submit("late", 0, 0, 500);
    REQUIRE(Waits(cell, 1));
    cell.Tick(600);
    cell.Submit("large", 600, 0, 900, 6000);
    cell.FinishOldest(700);
    REQUIRE((cell.started.back() == "late") == !rules);
    cell.FinishOldest(710);
    cell.FinishOldest(720);
    if (rules) REQUIRE(cell.started.back() == "large");
    cell.FinishOldest(730);
    if (rules) REQUIRE(cell.started.back() == "late");
  }
}

// Guards against a priority that gets nothing while more urgent requests use
// all memory.
TEST_CASE("a less urgent priority gets 5% of the starts") {
  Cell cell(true);
  int number = 0;
  for (TimeMs now = 0; now < 40'000; now += 100) {
    // Twice as many requests of priority 0 as the engine can take.
    cell.Submit("a" + std::to_string(number++), now, 0, 2000);
    cell.Submit("a" + std::to_string(number++), now, 0, 2000);
    cell.Submit("b" + std::to_string(number++), now, 2, 2000);
    cell.FinishOldest(now);
  }
  const auto low = std::ranges::count_if(
      cell.started, [](const std::string& id) { return id[0] == 'b'; });
  const auto all = static_cast<double>(cell.started.size());
  REQUIRE(all > 300);
  REQUIRE(static_cast<double>(low) >= 0.04 * all);
  REQUIRE(static_cast<double>(low) <= 0.2 * all);
}

// Guards against long requests that wait behind all short ones of their team.
TEST_CASE("long requests start while short ones fill the engines") {
  Cell cell(true);
  int number = 0;
  for (TimeMs now = 0; now < 40'000; now += 100) {
    cell.Submit("a" + std::to_string(number++), now, 0, 2000);
    if (now % 400 == 0) {
      cell.Submit("b" + std::to_string(number++), now, 0, 2000, 4000);
    }
    cell.FinishOldest(now);
  }
  const auto large = std::ranges::count_if(
      cell.started, [](const std::string& id) { return id[0] == 'b'; });
  REQUIRE(static_cast<double>(large) >=
          0.04 * static_cast<double>(cell.started.size()));
}

// Guards against a team that gets more than its weight by sending more.
TEST_CASE("teams get equal starts while one sends three times as many") {
  Cell cell(true);
  int number = 0;
  for (TimeMs now = 0; now < 40'000; now += 100) {
    for (int copy = 0; copy < 3; ++copy) {
      cell.Submit("a" + std::to_string(number++), now, 0, 900, 2000, "a");
    }
    cell.Submit("b" + std::to_string(number++), now, 0, 900, 2000, "b");
    cell.FinishOldest(now);
  }
  const auto starts = static_cast<double>(cell.started.size());
  const auto of_a = static_cast<double>(std::ranges::count_if(
      cell.started, [](const std::string& id) { return id[0] == 'a'; }));
  REQUIRE(starts > 300);
  REQUIRE(of_a <= 0.6 * starts);
  REQUIRE(of_a >= 0.4 * starts);
}

// Guards against callers that wait for nothing and against times to come back
// that are too early.
TEST_CASE("a request that cannot be on time or begin late is refused at once") {
  Cell cell(true);
  int number = 0;
  std::vector<RefuseCommand> refusals;
  std::vector<TimeMs> returns;
  TimeMs now = 0;
  // One generation ends every 100 ms and three requests come.
  for (; now < 6000; now += 100) {
    for (int copy = 0; copy < 3; ++copy) {
      for (const RefuseCommand& refusal :
           RefusalsOf(cell.Submit("r" + std::to_string(number++), now))) {
        refusals.push_back(refusal);
        returns.push_back(now + refusal.error.retry_after_ms);
      }
    }
    cell.FinishOldest(now);
  }
  REQUIRE(refusals.size() > 50);
  REQUIRE(std::ranges::is_sorted(returns));
  for (const RefuseCommand& refusal : refusals) {
    REQUIRE(refusal.error.ran == Ran::kNo);
    REQUIRE(refusal.error.retry_after_ms >= 100);
  }
  // 2,000 tokens in 100 ms, and 900 ms until the first event is due.
  const RefuseCommand& last = refusals.back();
  REQUIRE(last.drain_tokens_per_ms == Approx(20).epsilon(0.2));
  REQUIRE(last.estimate_ms > last.allowed_ms);
  REQUIRE(last.allowed_ms <= 900);
  // The queue is short enough for all that wait to be on time.
  REQUIRE(cell.scheduler.QueueLength() <= 12);
}

// Guards against the refusal of a request that comes after its first event was
// due, as after a failed attempt, while engines have room.
TEST_CASE("an overdue request starts at once while memory is free") {
  Cell cell(true);
  int number = 0;
  for (TimeMs now = 0; now < 5000; now += 100) {
    cell.Submit("r" + std::to_string(number++), now);
    if (now >= 500) cell.FinishOldest(now);
  }
  PlacementRequest request;
  request.request_id = "overdue";
  request.team = "north";
  request.prompt_tokens = 1000;
  request.max_tokens = 1000;
  request.budget_ms = -50;
  request.patience_ms = 2000;
  cell.scheduler.Submit(request, 5000);
  cell.Tick(5001);
  REQUIRE(cell.started.back() == "overdue");
}

TEST_CASE("without a rate of freed memory the engines' memory decides") {
  Cell cell(true);
  std::size_t refused = 0;
  for (int index = 0; index < 200; ++index) {
    refused += RefusalsOf(cell.Submit("r" + std::to_string(index), 0)).size();
  }
  REQUIRE(refused > 0);
  REQUIRE(cell.scheduler.QueueLength() > 0);
}

// Guards against a new owner that refuses what its engines can take, because it
// has no queue and no rate of freed memory yet.
TEST_CASE("a new owner places what is submitted to it again") {
  Cell cell(true);
  cell.scheduler.Renew({Renewal{"old-1", "r1", "d:1", 1000, 1000, 0, 500}}, 0);
  for (int index = 2; index < 11; ++index) {
    cell.Submit("r" + std::to_string(index), 10);
  }
  REQUIRE(cell.started.size() == 9);
  REQUIRE(RefusalsOf(cell.Submit("r11", 20)).empty());
  cell.scheduler.Finish("old-1", 1000, 100);
  cell.Tick(100);
  REQUIRE(cell.started.back() == "r11");
}

// Guards against memory that is counted as freed twice, or prompts that are
// counted as done twice, when messages are repeated or come late.
TEST_CASE("repeated and late notices do not take effect twice") {
  Cell once(true);
  Cell twice(true);
  for (Cell* cell : {&once, &twice}) {
    const int copies = cell == &twice ? 2 : 1;
    std::vector<std::string> reservations;
    for (int index = 0; index < 60; ++index) {
      const TimeMs now = 100 * index;
      cell->Submit("r" + std::to_string(index), now);
      if (cell->running.empty()) continue;
      const std::string oldest = cell->running.front();
      for (int copy = 0; copy < copies; ++copy) {
        cell->scheduler.PrefillDone(oldest, 10, now);
        cell->scheduler.Finish(oldest, 0, now);
        // A renewal that was sent before the end.
        cell->scheduler.Renew(
            {Renewal{oldest, "late", "d:1", 1000, 1000, 0, 10}}, now);
        cell->scheduler.PrefillDone(oldest, 900, now);
      }
      cell->running.erase(cell->running.begin());
      cell->Tick(now);
    }
  }
  REQUIRE(once.started == twice.started);
  REQUIRE(once.scheduler.Reservations() == twice.scheduler.Reservations());
  const auto view = [](Cell& cell) {
    const EngineView engine = cell.scheduler.Engines(6000).front();
    return std::pair(engine.backlog_ms, engine.generations);
  };
  REQUIRE(view(once) == view(twice));
}

// Guards against requests that stay where only the rules would start them.
TEST_CASE("all requests are answered when the rules are switched off") {
  Cell cell(true);
  for (int index = 0; index < 10; ++index) {
    cell.Submit("r" + std::to_string(index), 0);
  }
  cell.Submit("late", 0, 0, 500);
  cell.Tick(600);
  cell.scheduler.SetRules(false, false);
  // Its caller gives up at 2000, and a prefill takes 10 ms.
  cell.FinishOldest(1980);
  REQUIRE(cell.started.back() == "late");
}

TEST_CASE("a kept forecast of memory equals one that is computed anew") {
  REQUIRE(rc::check("forecast with one more", [] {
    const auto generation = rc::gen::apply(
        [](Tokens held, Tokens remaining) {
          return HeldGeneration{held, remaining};
        },
        rc::gen::inRange<Tokens>(1, 5000), rc::gen::inRange<Tokens>(0, 2000));
    auto generations =
        *rc::gen::container<std::vector<HeldGeneration>>(generation);
    const HeldGeneration additional = *generation;
    const Tokens peak = MemoryForecast(generations).PeakWith(additional);
    generations.push_back(additional);
    RC_ASSERT(peak == PeakMemory(generations));
  }));
}

}  // namespace
}  // namespace limpethaven
