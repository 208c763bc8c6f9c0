/// @file
/// Placement orders: fencing, waiting out leases, the weight store's budget.
#include "limpethaven/order_planner.h"

#include <catch2/catch.hpp>

#include "edge/engine_client.h"
#include "limpethaven/vm_id.h"
#include "placement/placement_service.h"
#include "standin/engine_standin.h"

namespace limpethaven {
namespace {

Configuration GoalFor(const std::vector<std::string>& engines,
                      const std::string& version,
                      std::uint64_t config_version) {
  Configuration config;
  config.version = config_version;
  PoolSpec pool{"p", PoolRole::kDecode, "m", 8, true, {}};
  for (const std::string& engine : engines) {
    pool.endpoints.push_back({engine, "zone", false});
  }
  config.pools.emplace("p", pool);
  config.goals.emplace("p", GoalSpec{"p", "m", version});
  return config;
}

/// Runs one step of the only member on a loop of its own.
void Step(const Configuration& config, OrderPlanner& planner, TimeMs now) {
  Loop loop(1);
  HttpEngineOrders engines(loop);
  Spawn(loop, [&]() -> Task<> {
    std::vector<std::string> members = {"10.0.0.1"};
    co_await RunPlacementStep(config, "10.0.0.1", std::move(members), engines,
                              planner, now);
  });
  loop.run_for(std::chrono::seconds(5));
}

TEST_CASE("fencing numbers grow with the version before all else") {
  const std::uint64_t early = MakeIncarnation(1'780'000'000'000, 1);
  const std::uint64_t late = MakeIncarnation(1'790'000'000'000, 1);
  REQUIRE(MakeFence(2, early, 1) > MakeFence(1, late, 4000));
  REQUIRE(MakeFence(2, late, 1) > MakeFence(2, early, 4000));
  REQUIRE(MakeFence(2, early, 2) > MakeFence(2, early, 1));
}

TEST_CASE("order planner waits out the lease of an earlier owner") {
  const Configuration config = GoalFor({"e1"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 5000});
  planner.SetOwned({"e1"}, 0);
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 0);
  REQUIRE(planner.Plan(config, 4999).empty());
  REQUIRE(planner.Plan(config, 5000).size() == 1);
  planner.ReleaseAll();
  planner.SetOwned({"e1"}, 6000);
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 6000);
  REQUIRE(planner.Plan(config, 7000).empty());
}

TEST_CASE("order planner orders nothing that is served or not yet read") {
  const Configuration config = GoalFor({"e1"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 0});
  planner.SetOwned({"e1"}, 0);
  REQUIRE(planner.Plan(config, 0).empty());
  planner.Observe("e1", EngineState{"m", "v1", "decode", 0}, 0);
  REQUIRE(planner.Plan(config, 0).empty());
  // An engine without fencing was told otherwise by a process that slept: it is
  // told again.
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 10);
  REQUIRE(planner.Plan(config, 10).size() == 1);
}

TEST_CASE("order planner keeps to the weight store's budget") {
  const Configuration config = GoalFor({"e1", "e2", "e3"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 0, .max_loading = 2});
  planner.SetOwned({"e1", "e2", "e3"}, 0);
  for (const char* engine : {"e1", "e2", "e3"}) {
    planner.Observe(engine, EngineState{"m", "v0", "decode", 0}, 0);
  }
  REQUIRE(planner.Plan(config, 0).size() == 2);
  REQUIRE(planner.Plan(config, 1).empty());
  planner.Observe("e1", EngineState{"m", "v1", "decode", 0}, 2);
  const auto next = planner.Plan(config, 3);
  REQUIRE(next.size() == 1);
  REQUIRE(next[0].engine == "e3");
}

TEST_CASE(
    "engine that checks fencing refuses an order from a process that slept") {
  EngineStandin engine(EngineStandinSettings{});
  REQUIRE(engine.Start());
  HttpEngineClient client;
  OrderPlanner sleeper(MakeIncarnation(1000, 1), OrderSettings{.lease_ms = 0});
  OrderPlanner successor(MakeIncarnation(2'000'000, 1),
                         OrderSettings{.lease_ms = 0});
  const std::string address = engine.Address();
  // The sleeper planned for version 1 and wakes after the successor has acted
  // on version 2.
  sleeper.SetOwned({address}, 0);
  sleeper.Observe(address, EngineState{}, 0);
  const auto old_orders = sleeper.Plan(GoalFor({address}, "v1", 1), 0);
  REQUIRE(old_orders.size() == 1);
  Step(GoalFor({address}, "v2", 2), successor, 0);
  REQUIRE(client.ReadState(address).value().model_version == "v2");
  REQUIRE_FALSE(client.Order(address, old_orders[0].order));
  REQUIRE(client.ReadState(address).value().model_version == "v2");
  REQUIRE(engine.OrdersRefused() == 1);
}

TEST_CASE(
    "engine that ignores fencing converges again after an order out of turn") {
  EngineStandin engine(EngineStandinSettings{.checks_fencing = false});
  REQUIRE(engine.Start());
  HttpEngineClient client;
  OrderPlanner owner(MakeIncarnation(1000, 1),
                     OrderSettings{.lease_ms = 0, .repeat_ms = 0});
  const Configuration config = GoalFor({engine.Address()}, "v2", 2);
  Step(config, owner, 0);
  REQUIRE(client.Order(engine.Address(), EngineOrder{"m", "v1", "decode", 1}));
  Step(config, owner, 10);
  REQUIRE(client.ReadState(engine.Address()).value().model_version == "v2");
}

}  // namespace
}  // namespace limpethaven
