/// @file
/// Engines that move to another cell because the number of engines has changed.
/// Guards against an owner that takes running engines for idle ones.
#include <algorithm>
#include <catch2/catch.hpp>

#include "limpethaven/cell_scheduler.h"
#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;
using testing::ScriptedEngine;

constexpr std::size_t kSlots = 2;
constexpr DurationMs kRunMs = 3000;

/// A stream that lasts `kRunMs`.
EngineAnswer LongStream(const RequestHead& call) {
  const std::string whole = testing::WholeStream(call, 2);
  const std::size_t second = whole.find("id: 2");
  // The line with the length of the second chunk comes before it.
  const std::size_t split = whole.rfind("\r\n", second - 3) + 2;
  EngineAnswer answer{whole.substr(0, split)};
  answer.late = whole.substr(split);
  answer.late_ms = kRunMs;
  return answer;
}

TEST_CASE("engines that move to another cell get no more than they can run") {
  constexpr std::size_t kEngines = 6;
  constexpr std::size_t kRemoved = 2;
  PlatformFleetSettings settings;
  settings.engines = kEngines;
  settings.slots = static_cast<std::int64_t>(kSlots);
  // Six engines make two cells; the four that remain make one.
  settings.cell_size = 5;
  settings.settle_ms = 200;
  PlatformFleet fleet(settings, LongStream);
  int number = 0;
  const auto start = [&](std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      ++number;
      fleet.Start(static_cast<std::size_t>(number) % 3,
                  "first:80,own" + std::to_string(number) + ":9");
    }
  };
  start(kEngines * kSlots);
  fleet.RunFor(kRunMs / 3);
  fleet.RemoveEngines(kRemoved);
  fleet.RunFor(50);
  start(kEngines);
  fleet.RunFor(kRunMs / 3);
  std::size_t running = 0;
  for (std::size_t index = kRemoved; index < kEngines; ++index) {
    INFO(index);
    CHECK(fleet.engines[index]->calls.size() <= kSlots);
    running += fleet.engines[index]->calls.size();
  }
  CHECK(running >= (kEngines - kRemoved) * kSlots / 2);
  // The requests that waited are served once the engines are free.
  CHECK(fleet.RunUntil(
      [&] {
        return std::ranges::count_if(
                   fleet.responses, [](const HttpResponse& response) {
                     return response.fault == CallFault::kNone &&
                            response.head.status == 200;
                   }) >= static_cast<std::ptrdiff_t>(kEngines * kSlots);
      },
      3 * kRunMs));
}

TEST_CASE("a cell adopts a reservation again that it has forgotten") {
  CellScheduler cell("m/0", "o");
  CellEngine engine;
  engine.id = "d";
  engine.role = PoolRole::kMixed;
  engine.memory = 10'000;
  cell.Configure({engine}, 0);
  const Renewal renewal{"r-1", "request", "d", 1000, 100, 100, 0};
  cell.Renew({renewal}, 0);
  REQUIRE(cell.Reservations() == 1);
  cell.Forget("r-1", 10);
  REQUIRE(cell.Reservations() == 0);
  cell.Renew({renewal}, 20);
  REQUIRE(cell.Reservations() == 1);
  // One that has ended is not revived by a late renewal.
  cell.Finish("r-1", 50, 30);
  cell.Renew({renewal}, 40);
  REQUIRE(cell.Reservations() == 0);
}

TEST_CASE("a cell waits before it uses an engine that is new to it") {
  constexpr DurationMs kSettleMs = 200;
  CellScheduler cell("m/0", "o", CellSettings{.settle_ms = kSettleMs});
  CellEngine engine;
  engine.id = "d";
  engine.role = PoolRole::kMixed;
  engine.memory = 10'000;
  engine.slots = 1;
  cell.Configure({engine}, 0);
  PlacementRequest request;
  request.request_id = "a";
  request.prompt_tokens = 1000;
  request.max_tokens = 100;
  request.budget_ms = 900;
  cell.Submit(request, 10);
  REQUIRE(cell.Tick(10).empty());
  // An entry reports that the engine runs a request already.
  cell.Renew({Renewal{"r-1", "other", "d", 1000, 100, 100, 0}}, 100);
  REQUIRE(cell.Tick(kSettleMs).empty());
  cell.Finish("r-1", 50, 300);
  REQUIRE(cell.Tick(300).size() == 1);
}

}  // namespace
}  // namespace limpethaven
