/// @file
/// Time and memory of the share ledger for different numbers of teams.
#include <benchmark/benchmark.h>

#include "limpethaven/share_ledger.h"
#include "memory.h"

namespace limpethaven {
namespace {

constexpr TimeMs kStartMs = 100'000;

Configuration ConfigWithTeams(std::int64_t count) {
  Configuration config;
  config.fleet.share_slots = 8;
  for (std::int64_t team = 0; team < count; ++team) {
    const std::string name = "team-" + std::to_string(team);
    config.teams.emplace(name, TeamSpec{name, 1'000'000, 10'000'000, 1});
  }
  return config;
}

/// Times one charge and one settlement while `kOpenCount` charges are open.
void ShareChargeSettle(benchmark::State& state) {
  constexpr std::int64_t kOpenCount = 200;
  ShareLedger ledger;
  ledger.Configure(ConfigWithTeams(state.range(0)), 0);
  TimeMs now = kStartMs;
  std::int64_t number = 0;
  const auto team_of = [&](std::int64_t index) {
    return "team-" + std::to_string(index % state.range(0));
  };
  for (; number < kOpenCount; ++number) {
    static_cast<void>(ledger.TryCharge(team_of(number), std::to_string(number),
                                       500, {}, now));
  }
  for (auto _ : state) {
    ++now;
    static_cast<void>(ledger.TryCharge(team_of(number), std::to_string(number),
                                       500, {}, now));
    ledger.Settle(std::to_string(number - kOpenCount), 400, now);
    ++number;
  }
  state.counters["teams"] = static_cast<double>(state.range(0));
}
BENCHMARK(ShareChargeSettle)->Arg(5)->Arg(100)->Arg(1600);

/// Times one loan to a peer and its confirmation.
void ShareLend(benchmark::State& state) {
  ShareLedger ledger;
  ledger.Configure(ConfigWithTeams(state.range(0)), 0);
  TimeMs now = kStartMs;
  std::int64_t number = 0;
  for (auto _ : state) {
    const std::string id = std::to_string(number++);
    benchmark::DoNotOptimize(ledger.Lend("team-0", id, 100, ++now));
    ledger.Confirm(id, now);
  }
  state.counters["teams"] = static_cast<double>(state.range(0));
}
BENCHMARK(ShareLend)->Arg(5)->Arg(1600);

/// Measures the heap of a ledger for a number of teams.
void ShareMemory(benchmark::State& state) {
  const Configuration config = ConfigWithTeams(state.range(0));
  double heap_bytes = 0;
  for (auto _ : state) {
    const double before_bytes = bench::HeapBytes();
    ShareLedger ledger;
    ledger.Configure(config, 0);
    heap_bytes = bench::HeapBytes() - before_bytes;
  }
  state.counters["teams"] = static_cast<double>(state.range(0));
  state.counters["bytes_held"] = heap_bytes;
}
BENCHMARK(ShareMemory)->Arg(5)->Arg(100)->Arg(1600)->Iterations(1);

}  // namespace
}  // namespace limpethaven
