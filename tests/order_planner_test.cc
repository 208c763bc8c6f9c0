/// @file
/// Tests of placement orders: fencing tokens, leases of earlier owners, and the
/// limit on engines that load at once.
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

/// Runs one placement step on a new event loop, with one member that owns all
/// engines.
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

TEST_CASE("fencing tokens are ordered by configuration version first") {
  const std::uint64_t early_start = MakeIncarnation(1'780'000'000'000, 1);
  const std::uint64_t late_start = MakeIncarnation(1'790'000'000'000, 1);
  REQUIRE(MakeFencingToken(2, early_start, 1) >
          MakeFencingToken(1, late_start, 4000));
  REQUIRE(MakeFencingToken(2, late_start, 1) >
          MakeFencingToken(2, early_start, 4000));
  REQUIRE(MakeFencingToken(2, early_start, 2) >
          MakeFencingToken(2, early_start, 1));
}

TEST_CASE(
    "order planner sends no order before an earlier owner's lease has ended") {
  const Configuration config = GoalFor({"e1"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 5000});
  planner.SetOwned({"e1"}, 0);
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 0);
  REQUIRE(planner.Plan(config, 4999).empty());
  REQUIRE(planner.Plan(config, 5000).size() == 1);
  // As after a pause of this process: the new lease counts from the next time
  // that it owns the engine.
  planner.ReleaseAll();
  planner.SetOwned({"e1"}, 6000);
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 6000);
  REQUIRE(planner.Plan(config, 7000).empty());
}

TEST_CASE(
    "order planner plans no order for an engine that serves its goal or is "
    "unread") {
  const Configuration config = GoalFor({"e1"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 0});
  planner.SetOwned({"e1"}, 0);
  REQUIRE(planner.Plan(config, 0).empty());
  planner.Observe("e1", EngineState{"m", "v1", "decode", 0}, 0);
  REQUIRE(planner.Plan(config, 0).empty());
  // An engine that does not check fencing tokens has acted on an outdated order
  // of a paused process, so it gets the order again.
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 10);
  REQUIRE(planner.Plan(config, 10).size() == 1);
}

TEST_CASE("order planner limits how many engines load at once") {
  const Configuration config = GoalFor({"e1", "e2", "e3"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 0, .max_loading_count = 2});
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
    "engine that checks fencing refuses an outdated order of a paused owner") {
  EngineStandin engine(EngineStandinSettings{});
  REQUIRE(engine.Start());
  HttpEngineClient client;
  OrderPlanner paused_owner(MakeIncarnation(1000, 1),
                            OrderSettings{.lease_ms = 0});
  OrderPlanner successor(MakeIncarnation(2'000'000, 1),
                         OrderSettings{.lease_ms = 0});
  const std::string address = engine.Address();
  // The paused owner planned for version 1 and resumes after its successor has
  // sent an order for version 2.
  paused_owner.SetOwned({address}, 0);
  paused_owner.Observe(address, EngineState{}, 0);
  const auto outdated_orders =
      paused_owner.Plan(GoalFor({address}, "v1", 1), 0);
  REQUIRE(outdated_orders.size() == 1);
  Step(GoalFor({address}, "v2", 2), successor, 0);
  REQUIRE(client.ReadState(address).value().model_version == "v2");
  REQUIRE_FALSE(client.Order(address, outdated_orders[0].order));
  REQUIRE(client.ReadState(address).value().model_version == "v2");
  REQUIRE(engine.OrdersRefused() == 1);
}

TEST_CASE(
    "engine that ignores fencing converges again after an outdated order") {
  EngineStandin engine(EngineStandinSettings{.checks_fencing = false});
  REQUIRE(engine.Start());
  HttpEngineClient client;
  OrderPlanner owner(MakeIncarnation(1000, 1),
                     OrderSettings{.lease_ms = 0, .repeat_interval_ms = 0});
  const Configuration config = GoalFor({engine.Address()}, "v2", 2);
  Step(config, owner, 0);
  REQUIRE(client.Order(engine.Address(), EngineOrder{"m", "v1", "decode", 1}));
  Step(config, owner, 10);
  REQUIRE(client.ReadState(engine.Address()).value().model_version == "v2");
}

}  // namespace
}  // namespace limpethaven
