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

/// Configuration in which the pool of the engines is to serve model `m` in the
/// given version.
Configuration ConfigWithGoal(const std::vector<std::string>& engines,
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

// A counter that wrapped would let an engine that checks fencing refuse the
// later orders.
TEST_CASE("fencing tokens grow with every order of one start") {
  const std::uint64_t start = MakeIncarnation(1'780'000'000'000, 1);
  std::uint64_t last = 0;
  for (std::uint64_t counter = 1; counter < 20'000; ++counter) {
    const std::uint64_t token = MakeFencingToken(7, start, counter);
    REQUIRE(token > last);
    last = token;
  }
  REQUIRE(MakeFencingToken(8, start, 1) > last);
}

// An engine may pass from a process to one that started earlier.
TEST_CASE(
    "orders have higher fencing tokens than orders of an earlier minute, "
    "whichever process started first") {
  constexpr TimeMs kMinuteMs = 60'000;
  const Configuration config = ConfigWithGoal({"e1"}, "v1", 1);
  const auto order = [&config](OrderPlanner& planner, TimeMs now) {
    planner.SetOwned({"e1"}, now);
    planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, now);
    const auto planned = planner.Plan(config, now);
    REQUIRE(planned.size() == 1);
    return planned[0].order.fence;
  };
  const OrderSettings settings{.lease_ms = 0, .repeat_interval_ms = 0};
  OrderPlanner first(MakeIncarnation(1'780'000'000'000, 1), settings);
  OrderPlanner later(MakeIncarnation(1'780'000'000'000 + 5 * kMinuteMs, 1),
                     settings);
  static_cast<void>(order(first, 0));
  const std::uint64_t earlier_order = order(later, 0);
  REQUIRE(order(first, 6 * kMinuteMs) > earlier_order);
}

TEST_CASE(
    "order planner sends no order before an earlier owner's lease has ended") {
  const Configuration config = ConfigWithGoal({"e1"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 5000});
  planner.SetOwned({"e1"}, 0);
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 0);
  REQUIRE(planner.Plan(config, 4999).empty());
  REQUIRE(planner.Plan(config, 5000).size() == 1);
  // After a pause of the process it releases its engines. The new lease counts
  // from the time at which it owns the engine again.
  planner.ReleaseAll();
  planner.SetOwned({"e1"}, 6000);
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 6000);
  REQUIRE(planner.Plan(config, 7000).empty());
}

TEST_CASE(
    "order planner plans no order for an engine that serves its goal or whose "
    "state is not known") {
  const Configuration config = ConfigWithGoal({"e1"}, "v1", 1);
  OrderPlanner planner(1, OrderSettings{.lease_ms = 0});
  planner.SetOwned({"e1"}, 0);
  REQUIRE(planner.Plan(config, 0).empty());
  planner.Observe("e1", EngineState{"m", "v1", "decode", 0}, 0);
  REQUIRE(planner.Plan(config, 0).empty());
  // The engine has acted on an outdated order of a paused process, since it
  // does not check fencing tokens. It gets a new order.
  planner.Observe("e1", EngineState{"m", "v0", "decode", 0}, 10);
  REQUIRE(planner.Plan(config, 10).size() == 1);
}

TEST_CASE("order planner limits how many engines load at once") {
  const Configuration config = ConfigWithGoal({"e1", "e2", "e3"}, "v1", 1);
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
      paused_owner.Plan(ConfigWithGoal({address}, "v1", 1), 0);
  REQUIRE(outdated_orders.size() == 1);
  Step(ConfigWithGoal({address}, "v2", 2), successor, 0);
  REQUIRE(client.ReadState(address).value().model_version == "v2");
  REQUIRE_FALSE(client.Order(address, outdated_orders[0].order));
  REQUIRE(client.ReadState(address).value().model_version == "v2");
  REQUIRE(engine.OrdersRefused() == 1);
}

TEST_CASE(
    "engine that ignores fencing is brought back to its goal after an outdated "
    "order") {
  EngineStandin engine(EngineStandinSettings{.checks_fencing = false});
  REQUIRE(engine.Start());
  HttpEngineClient client;
  OrderPlanner owner(MakeIncarnation(1000, 1),
                     OrderSettings{.lease_ms = 0, .repeat_interval_ms = 0});
  const Configuration config = ConfigWithGoal({engine.Address()}, "v2", 2);
  Step(config, owner, 0);
  REQUIRE(client.Order(engine.Address(), EngineOrder{"m", "v1", "decode", 1}));
  Step(config, owner, 10);
  REQUIRE(client.ReadState(engine.Address()).value().model_version == "v2");
}

}  // namespace
}  // namespace limpethaven
