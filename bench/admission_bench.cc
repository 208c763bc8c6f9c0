/// @file
/// Benchmark of a cell under overload: processor time of its scheduler while
/// 300 requests wait and notices arrive.
#include <benchmark/benchmark.h>

#include <deque>
#include <string>

#include "limpethaven/cell_scheduler.h"

namespace limpethaven {
namespace {

constexpr std::int64_t kMaxCellEngines = 64;
constexpr std::int64_t kWaiting = 300;
/// Generations that end in a second for each engine, at 90 engines 83. Each
/// makes seven notices or renewals.
constexpr double kEndsPerEngineAndS = 83.0 / 90;
constexpr std::int64_t kNoticesPerEnd = 7;
constexpr std::int64_t kTeams = 8;
constexpr double kMsPerS = 1000;

PlacementRequest Request(std::int64_t number) {
  PlacementRequest request;
  request.request_id = "r" + std::to_string(number);
  request.team = "team-" + std::to_string(number % kTeams);
  request.priority = number % 8 == 0 ? 0 : 2;
  request.data_centre = "centre";
  request.prompt_tokens = 1600 + number * 37 % 3200;
  request.hint = 300 + number * 53 % 600;
  request.max_tokens = 1200;
  request.budget_ms = 10'000'000;
  request.patience_ms = 20'000'000;
  return request;
}

/// Processor time of one cell for each second of load, by the engines of the
/// fleet. The rules of scarce slots are on if the second argument is 1.
void CellOverload(benchmark::State& state) {
  const std::int64_t fleet = state.range(0);
  const std::int64_t cells = (fleet + kMaxCellEngines - 1) / kMaxCellEngines;
  const std::int64_t engines = fleet / cells;
  CellSettings settings;
  settings.lease_ms = 100'000'000;
  settings.reserve_maximum = false;
  settings.planned_memory_ratio = 0.96;
  settings.block_tokens = 16;
  settings.allow_local_prefill = true;
  settings.late_after_on_time = state.range(1) == 1;
  settings.refuse_by_drain_rate = state.range(1) == 1;
  CellScheduler scheduler("model/0", "owner", settings);
  std::vector<CellEngine> list;
  for (std::int64_t index = 0; index < engines; ++index) {
    CellEngine engine;
    engine.id = "10.0.0." + std::to_string(index) + ":9000";
    engine.data_centre = "centre";
    engine.role =
        20 * index < 7 * engines ? PoolRole::kPrefill : PoolRole::kDecode;
    engine.memory = 28'217;
    engine.slots = 12;
    list.push_back(std::move(engine));
  }
  scheduler.Configure(list, 0);
  std::deque<Placement> placed;
  std::deque<std::string> requests;
  TimeMs now = 1;
  const auto tick = [&] {
    for (const CellCommand& command : scheduler.Tick(now)) {
      if (const auto* place = std::get_if<PlaceCommand>(&command)) {
        placed.push_back(place->placement);
        requests.push_back(place->request_id);
      }
    }
  };
  std::int64_t number = 0;
  const auto submit = [&] {
    scheduler.Submit(Request(number++), now);
    tick();
  };
  while (scheduler.QueueLength() < kWaiting) {
    submit();
    now += 2;
  }
  double ends = 0;
  for (auto _ : state) {
    now += 10;
    ends += kEndsPerEngineAndS * static_cast<double>(engines) * 10 / kMsPerS;
    for (; ends >= 1 && !placed.empty(); ends -= 1) {
      const Placement oldest = placed.front();
      placed.pop_front();
      Renewal renewal;
      renewal.reservation = oldest.reservation;
      renewal.request_id = requests.front();
      renewal.engine = oldest.decode;
      renewal.produced = 300;
      requests.pop_front();
      for (std::int64_t count = 0; count < kNoticesPerEnd - 2; ++count) {
        scheduler.Renew({renewal}, now);
        scheduler.EngineServed(oldest.decode, now);
        tick();
      }
      scheduler.PrefillDone(oldest.reservation, 100, now);
      tick();
      scheduler.Finish(oldest.reservation, 500, now);
      tick();
      while (scheduler.QueueLength() < kWaiting) submit();
    }
    tick();
  }
  state.counters["cells"] = static_cast<double>(cells);
  state.counters["engines_of_cell"] = static_cast<double>(engines);
  // Processor time for each 10 ms of load.
  state.counters["cores_of_cell"] = benchmark::Counter(
      static_cast<double>(state.iterations()) * 10 / kMsPerS,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(CellOverload)
    ->ArgsProduct({{56, 90, 460, 3300}, {0, 1}})
    ->Iterations(1000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace limpethaven
