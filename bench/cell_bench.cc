/// @file
/// Benchmarks of the cell scheduler: time of placement decisions, by the number
/// of engines, queued requests and workers, and memory of the queue.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/cells.h"
#include "limpethaven/rendezvous.h"
#include "memory.h"

namespace limpethaven {
namespace {

constexpr std::int64_t kPieces = 64;
constexpr std::int64_t kTeams = 40;

std::vector<CellEngine> Engines(std::int64_t count) {
  std::vector<CellEngine> engines;
  for (std::int64_t index = 0; index < count; ++index) {
    CellEngine engine;
    engine.id = "10.0.0." + std::to_string(index) + ":9000";
    engine.data_centre = "centre";
    engine.role = index % 4 == 0 ? PoolRole::kPrefill : PoolRole::kDecode;
    engine.memory = kPieces * kTokensPerPiece;
    engines.push_back(std::move(engine));
  }
  return engines;
}

PlacementRequest Request(std::int64_t number) {
  PlacementRequest request;
  request.request_id = "r" + std::to_string(number);
  request.team = "team-" + std::to_string(number % kTeams);
  request.prompt_tokens = 500 + number % 3000;
  request.max_tokens = 300;
  request.budget_ms = 100'000;
  for (std::int64_t block = 0; block < request.prompt_tokens / kTokensPerPiece;
       ++block) {
    request.prefix.push_back(
        static_cast<std::uint64_t>(number % 64 * 1000 + block));
  }
  return request;
}

/// Time of one placement decision at a constant queue length: submits a
/// request, finishes the oldest placed one and ticks. Each decision is timed on
/// its own, for the percentiles.
void CellDecision(benchmark::State& state) {
  const std::int64_t engines = state.range(0);
  const std::int64_t queue = state.range(1);
  // The leases outlast the run; `CellRenew` measures renewals.
  CellScheduler scheduler("model/0", "owner",
                          CellSettings{.lease_ms = 100'000'000});
  scheduler.Configure(Engines(engines), 0);
  TimeMs now = 1;
  std::int64_t number = 0;
  std::vector<std::string> placed;
  std::size_t oldest = 0;
  const auto tick = [&] {
    for (const CellCommand& command : scheduler.Tick(now)) {
      if (const auto* place = std::get_if<PlaceCommand>(&command)) {
        placed.push_back(place->placement.reservation);
      }
    }
  };
  while (scheduler.QueueLength() < static_cast<std::size_t>(queue)) {
    scheduler.Submit(Request(number++), now);
    now += 5;
    tick();
  }
  std::vector<double> samples_us;
  for (auto _ : state) {
    const auto start = std::chrono::steady_clock::now();
    scheduler.Submit(Request(number++), now);
    scheduler.PrefillDone(placed[oldest], 20, now);
    scheduler.Finish(placed[oldest++], 0, now);
    tick();
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - start;
    samples_us.push_back(took.count());
    now += 5;
    if (oldest + 1 >= placed.size()) {
      state.SkipWithError("the scheduler placed no request");
    }
  }
  std::ranges::sort(samples_us);
  const auto at = [&](double part) {
    return samples_us[static_cast<std::size_t>(
        part * static_cast<double>(samples_us.size() - 1))];
  };
  state.counters["engines"] = static_cast<double>(engines);
  state.counters["queue"] = static_cast<double>(queue);
  state.counters["p50_us"] = at(0.5);
  state.counters["p99_us"] = at(0.99);
}
BENCHMARK(CellDecision)
    ->Args({8, 500})
    ->Args({16, 500})
    ->Args({32, 500})
    ->Args({64, 500})
    ->Args({64, 4000})
    ->Args({128, 500})
    ->Iterations(3000);

/// Time to choose the cell of a prompt and the owners of that cell, by the
/// number of workers in the fleet and of members in the data centre.
void CellChoice(benchmark::State& state) {
  const std::int64_t workers = state.range(0);
  Configuration config;
  config.pools.emplace(
      "p", PoolSpec{"p", PoolRole::kMixed, "m", kPieces, false, {}});
  for (std::int64_t worker = 0; worker < workers; ++worker) {
    config.pools.at("p").endpoints.push_back(
        EndpointSpec{"10.0.0.1:" + std::to_string(worker), "centre", false});
  }
  RouteSpec route;
  route.path = "/v1/completions";
  route.model = "m";
  route.prefill_pool = "p";
  route.decode_pool = "p";
  config.routes.emplace("r", route);
  const std::vector<CellSpec> cells = BuildCells(config, 64);
  const std::size_t members = static_cast<std::size_t>(state.range(1));
  std::vector<std::string> vms;
  vms.reserve(members);
  for (std::size_t member = 0; member < members; ++member) {
    vms.push_back("10.1.0." + std::to_string(member));
  }
  std::uint64_t prefix = 0;
  for (auto _ : state) {
    const auto preferred = PreferredCells(cells, "m", ++prefix, 2);
    benchmark::DoNotOptimize(
        RendezvousTop("cell/" + preferred.front(), vms, 3));
  }
  state.counters["workers"] = static_cast<double>(workers);
  state.counters["members_of_data_centre"] = static_cast<double>(members);
}
BENCHMARK(CellChoice)
    ->Args({200, 8})
    ->Args({800, 46})
    ->Args({3300, 46})
    ->Args({3300, 460});

/// Time to renew a batch of leases.
void CellRenew(benchmark::State& state) {
  CellScheduler scheduler("model/0", "owner");
  scheduler.Configure(Engines(64), 0);
  std::vector<Renewal> renewals;
  renewals.reserve(static_cast<std::size_t>(state.range(0)));
  for (std::int64_t index = 0; index < state.range(0); ++index) {
    renewals.push_back(Renewal{"x-" + std::to_string(index),
                               "r" + std::to_string(index), "10.0.0.1:9000", 0,
                               kTokensPerPiece, 0, 0});
  }
  TimeMs now = 0;
  for (auto _ : state) scheduler.Renew(renewals, now += 700);
  state.counters["reservations"] = static_cast<double>(state.range(0));
}
BENCHMARK(CellRenew)->Arg(100)->Arg(1000)->Arg(4000)->Unit(
    benchmark::kMicrosecond);

/// Time of a tick without queued requests, by the number of reservations.
void CellIdleTick(benchmark::State& state) {
  CellScheduler scheduler("model/0", "owner");
  scheduler.Configure(Engines(64), 0);
  std::vector<Renewal> renewals;
  renewals.reserve(static_cast<std::size_t>(state.range(0)));
  for (std::int64_t index = 0; index < state.range(0); ++index) {
    renewals.push_back(Renewal{"x-" + std::to_string(index),
                               "r" + std::to_string(index), "10.0.0.1:9000", 0,
                               kTokensPerPiece, 0, 0});
  }
  scheduler.Renew(renewals, 0);
  for (auto _ : state) benchmark::DoNotOptimize(scheduler.Tick(1));
  state.counters["reservations"] = static_cast<double>(state.range(0));
}
BENCHMARK(CellIdleTick)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(4000)
    ->Unit(benchmark::kMicrosecond);

/// Memory held by a scheduler with queued requests.
void CellMemory(benchmark::State& state) {
  double held = 0;
  for (auto _ : state) {
    const double before = bench::HeapBytes();
    CellScheduler scheduler("model/0", "owner");
    scheduler.Configure(Engines(64), 0);
    for (std::int64_t number = 0; number < state.range(0); ++number) {
      scheduler.Submit(Request(number), 0);
    }
    held = bench::HeapBytes() - before;
  }
  state.counters["queued"] = static_cast<double>(state.range(0));
  state.counters["bytes_held"] = held;
}
BENCHMARK(CellMemory)->Arg(0)->Arg(500)->Arg(4000)->Iterations(1);

}  // namespace
}  // namespace limpethaven
