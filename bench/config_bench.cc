/// @file
/// Time in which a follower applies a configuration change, and heap that a
/// follower uses, by the size of the configuration.
#include <benchmark/benchmark.h>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_follower.h"
#include "limpethaven/crypto.h"
#include "memory.h"

namespace limpethaven {
namespace {

/// Builds a configuration with the proportions of the size that the design
/// targets: 1,600 teams, 20,000 keys and 3,300 workers.
Configuration MakeConfiguration(std::int64_t keys) {
  Configuration config;
  const std::int64_t teams = std::max<std::int64_t>(1, keys * 1600 / 20'000);
  const std::int64_t workers = std::max<std::int64_t>(2, keys * 3300 / 20'000);
  for (std::int64_t team = 0; team < teams; ++team) {
    const std::string name = "team-" + std::to_string(team);
    config.teams.emplace(name, TeamSpec{name, 10'000, 60'000, 1});
  }
  for (std::int64_t key = 0; key < keys; ++key) {
    const std::string digest = Sha256Hex("key-" + std::to_string(key));
    config.keys.emplace(digest,
                        KeySpec{digest, "team-" + std::to_string(key % teams)});
  }
  for (std::int64_t pool = 0; pool < 8; ++pool) {
    const std::string name = "pool-" + std::to_string(pool);
    PoolSpec spec{name,
                  pool % 2 == 0 ? PoolRole::kPrefill : PoolRole::kDecode,
                  "model-" + std::to_string(pool / 2),
                  64,
                  true,
                  {}};
    for (std::int64_t worker = pool; worker < workers; worker += 8) {
      spec.endpoints.push_back(
          EndpointSpec{"10.0." + std::to_string(worker / 250) + "." +
                           std::to_string(worker % 250) + ":9000",
                       "centre-" + std::to_string(worker % 10), false});
    }
    config.pools.emplace(name, spec);
  }
  return config;
}

/// Loads `config` into `follower` as version 1; returns the version.
std::uint64_t Load(ConfigFollower& follower, const Configuration& config) {
  const std::vector<Entity> entities = EncodeEntities(config);
  EntityTable table;
  table.Apply(entities, {});
  static_cast<void>(follower.ApplySnapshot(1, table.Digest(), entities));
  return follower.Snapshot()->version;
}

/// Applies changes that remove one key and add it again in turn.
void ConfigApplyChange(benchmark::State& state) {
  ConfigFollower follower;
  std::uint64_t version = Load(follower, MakeConfiguration(state.range(0)));
  EntityTable table;
  table.Apply(follower.Entities(), {});
  const std::string digest = Sha256Hex("key-0");
  const Entity entity{"key/" + digest,
                      R"({"sha256":")" + digest + R"(","team":"team-0"})"};
  double bytes = 0;
  for (auto _ : state) {
    state.PauseTiming();
    ConfigChange change;
    change.version = ++version;
    if (version % 2 == 0) {
      change.removals.push_back(entity.key);
    } else {
      change.upserts.push_back(entity);
    }
    table.Apply(change.upserts, change.removals);
    change.digest = table.Digest();
    bytes = static_cast<double>(EncodeChange(change).size());
    state.ResumeTiming();
    const auto outcome = follower.ApplyChanges({change});
    if (!outcome) state.SkipWithError(outcome.error().message.c_str());
  }
  state.counters["keys"] = static_cast<double>(state.range(0));
  state.counters["bytes_per_change"] = bytes;
}
BENCHMARK(ConfigApplyChange)
    ->Arg(200)
    ->Arg(2000)
    ->Arg(20'000)
    ->Unit(benchmark::kMicrosecond);

/// Measures the heap that a follower uses after it loaded a configuration.
void ConfigMemory(benchmark::State& state) {
  double heap_bytes = 0;
  for (auto _ : state) {
    const double before = bench::HeapBytes();
    ConfigFollower follower;
    Load(follower, MakeConfiguration(state.range(0)));
    heap_bytes = bench::HeapBytes() - before;
  }
  state.counters["keys"] = static_cast<double>(state.range(0));
  state.counters["bytes_held"] = heap_bytes;
}
BENCHMARK(ConfigMemory)
    ->Arg(200)
    ->Arg(2000)
    ->Arg(20'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace limpethaven
