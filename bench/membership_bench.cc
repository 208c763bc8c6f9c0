/// @file
/// Cost of membership per process and time to detect a killed process, for
/// simulated fleets of several sizes.
#include <benchmark/benchmark.h>

#include <cmath>

#include "membership_fleet.h"

namespace limpethaven {
namespace {

using testing::FleetNetwork;
using testing::MembershipFleet;

constexpr DurationMs kWarmUpMs = 10'000;
constexpr DurationMs kMeasuredMs = 30'000;
constexpr double kMeasuredS = 30.0;

/// Cost of a fleet without failures. The reported processor time is that of the
/// whole simulated fleet over `kMeasuredMs` of simulated time, codec included.
void MembershipSteady(benchmark::State& state) {
  const auto members = static_cast<std::size_t>(state.range(0));
  double bytes = 0;
  double messages = 0;
  double cpu_s = 0;
  double suspicions = 0;
  for (auto _ : state) {
    state.PauseTiming();
    MembershipFleet fleet(members, FleetNetwork{1, 4, 0.001}, 11);
    fleet.RunFor(kWarmUpMs);
    const std::uint64_t bytes_before = fleet.BytesSent();
    const std::uint64_t messages_before = fleet.MessagesSent();
    const std::clock_t cpu_start = std::clock();
    state.ResumeTiming();
    fleet.RunFor(kMeasuredMs);
    state.PauseTiming();
    cpu_s += static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC;
    bytes += static_cast<double>(fleet.BytesSent() - bytes_before);
    messages += static_cast<double>(fleet.MessagesSent() - messages_before);
    suspicions += static_cast<double>(fleet.FalseSuspicions());
    state.ResumeTiming();
  }
  const double process_seconds = static_cast<double>(members) * kMeasuredS *
                                 static_cast<double>(state.iterations());
  state.counters["members"] = static_cast<double>(members);
  state.counters["bytes_per_daemon_s"] = bytes / process_seconds;
  state.counters["messages_per_daemon_s"] = messages / process_seconds;
  state.counters["core_percent"] = 100.0 * cpu_s / process_seconds;
  state.counters["false_suspicions"] =
      suspicions / static_cast<double>(state.iterations());
}
BENCHMARK(MembershipSteady)
    ->Arg(8)
    ->Arg(64)
    ->Arg(460)
    ->Iterations(2)
    ->Unit(benchmark::kMillisecond);

/// Simulated time from a kill until process 0 and until every other process
/// sees the killed one as dead.
void MembershipDetection(benchmark::State& state) {
  const auto members = static_cast<std::size_t>(state.range(0));
  double first_ms = 0;
  double all_ms = 0;
  double worst_ms = 0;
  std::uint64_t seed = 100;
  for (auto _ : state) {
    MembershipFleet fleet(members, FleetNetwork{1, 4, 0.001}, seed++);
    fleet.RunFor(kWarmUpMs);
    const TimeMs killed_at = fleet.Now();
    fleet.Kill(members / 2);
    TimeMs first = 0;
    while (!fleet.AllSee(members / 2, MemberState::kDead)) {
      fleet.RunFor(50);
      const bool seen = fleet.StateSeen(0, members / 2) == MemberState::kDead;
      if (first == 0 && seen) first = fleet.Now();
    }
    first_ms += static_cast<double>(first - killed_at);
    all_ms += static_cast<double>(fleet.Now() - killed_at);
    worst_ms = std::max(worst_ms, static_cast<double>(fleet.Now() - killed_at));
  }
  const auto runs = static_cast<double>(state.iterations());
  state.counters["members"] = static_cast<double>(members);
  state.counters["one_sees_ms"] = first_ms / runs;
  state.counters["all_see_ms"] = all_ms / runs;
  state.counters["all_see_worst_ms"] = worst_ms;
}
BENCHMARK(MembershipDetection)
    ->Arg(8)
    ->Arg(64)
    ->Iterations(20)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(MembershipDetection)
    ->Arg(460)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace limpethaven
