/// @file
/// Tests of the split of a cell's engines into prefill and decode, and of the
/// limits on orders.
#include "limpethaven/role_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "limpethaven/cell_scheduler.h"

namespace limpethaven {
namespace {

constexpr DurationMs kRoleChangeMs = 6000;
/// `prefill` engines that do prefill and `decode` engines, all idle.
std::vector<RoleEngine> Engines(std::size_t prefill, std::size_t decode) {
  std::vector<RoleEngine> rows;
  rows.reserve(prefill + decode);
  for (std::size_t index = 0; index < prefill + decode; ++index) {
    rows.push_back(RoleEngine{
        "engine-" + std::to_string(100 + index),
        index < prefill ? PoolRole::kPrefill : PoolRole::kDecode, 0, 0, true});
  }
  return rows;
}

/// Demand whose best split is 13 prefill engines of 56.
constexpr RoleDemand kDemand{4.4, 19.2, 230};

RolePlannerSettings Settings() {
  RolePlannerSettings settings;
  settings.role_change_ms = kRoleChangeMs;
  return settings;
}

/// Updates a planner every 100 ms and collects its orders, each of which has
/// the outcome.
std::vector<RoleOrder> Plan(RolePlanner& planner,
                            const std::vector<RoleEngine>& engines,
                            const RoleDemand& demand, TimeMs from, TimeMs to,
                            std::optional<RoleOrderOutcome> outcome) {
  std::vector<RoleOrder> orders;
  for (TimeMs now = from; now <= to; now += 100) {
    planner.Update(engines, demand, now);
    const auto order = planner.NextOrder(now);
    if (!order) continue;
    orders.push_back(*order);
    if (outcome) planner.OnOutcome(order->engine, *outcome, now);
  }
  return orders;
}

PoolRole& RoleIn(std::vector<RoleEngine>& engines, const std::string& id) {
  return std::ranges::find(engines, id, &RoleEngine::id)->role;
}

}  // namespace

TEST_CASE("the best split follows the mix of the demand and not its level") {
  RolePlanner planner(Settings());
  const std::vector<RoleEngine> engines = Engines(20, 36);
  planner.Update(engines, kDemand, 0);
  CHECK(planner.Split().wanted_prefill == 13);
  planner.Update(engines, RoleDemand{8.8, 38.4, 460}, 100);
  CHECK(planner.Split().wanted_prefill == 13);
  planner.Update(engines, RoleDemand{12, 12, 460}, 200);
  CHECK(planner.Split().wanted_prefill == 32);
}

TEST_CASE("an order follows a deviation that has lasted") {
  RolePlanner planner(Settings());
  const std::vector<RoleEngine> engines = Engines(20, 36);
  // Engines are new for 6 s: an earlier owner may have ordered them.
  CHECK(Plan(planner, engines, kDemand, 0, 5900, std::nullopt).empty());
  // A deviation that ends is not corrected later.
  const RoleDemand fitting{7.0, 16.5, 230};
  CHECK(Plan(planner, engines, fitting, 6000, 6000, std::nullopt).empty());
  CHECK(Plan(planner, engines, kDemand, 6100, 9000, std::nullopt).empty());
  const auto orders =
      Plan(planner, engines, kDemand, 9100, 9100, RoleOrderOutcome::kAccepted);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().role == PoolRole::kDecode);
}

TEST_CASE("small deviations and rare requests change nothing") {
  RolePlanner planner(Settings());
  const RoleDemand few{0.4, 1.9, 49};
  CHECK(Plan(planner, Engines(20, 36), few, 0, 20'000, std::nullopt).empty());
  CHECK_FALSE(planner.Deviates());
  CHECK(Plan(planner, Engines(14, 42), kDemand, 20'100, 40'000, std::nullopt)
            .empty());
}

TEST_CASE("engines without running work are ordered first") {
  RolePlanner planner(Settings());
  std::vector<RoleEngine> engines = Engines(20, 36);
  std::ranges::for_each(engines, [](RoleEngine& engine) {
    engine.running_prefills = engine.role == PoolRole::kPrefill ? 1 : 0;
  });
  engines[7].running_prefills = 0;
  engines[8].running_prefills = 0;
  engines[8].usable = false;
  const auto orders =
      Plan(planner, engines, kDemand, 0, 6000, RoleOrderOutcome::kAccepted);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().engine == engines[7].id);
}

TEST_CASE("at most three engines change at once, and each once in 30 s") {
  RolePlanner planner(Settings());
  std::vector<RoleEngine> engines = Engines(20, 36);
  auto orders =
      Plan(planner, engines, kDemand, 0, 10'000, RoleOrderOutcome::kAccepted);
  REQUIRE(orders.size() == 3);
  CHECK(planner.Split() == RoleSplit{17, 39, 13, 3});
  RoleIn(engines, orders.front().engine) = PoolRole::kDecode;
  orders = Plan(planner, engines, kDemand, 10'100, 11'000,
                RoleOrderOutcome::kAccepted);
  CHECK(orders.size() == 1);
  const auto ended = planner.TakeEnded();
  REQUIRE(ended.size() == 1);
  CHECK(ended.front().announced);
  // The others are never announced: they count as prefill engines again after
  // twice the change time, and are not ordered again before 30 s.
  orders = Plan(planner, engines, kDemand, 11'100, 35'000,
                RoleOrderOutcome::kRefused);
  std::vector<std::string> ordered;
  std::ranges::transform(orders, std::back_inserter(ordered),
                         &RoleOrder::engine);
  std::ranges::sort(ordered);
  CHECK(std::ranges::adjacent_find(ordered) == ordered.end());
  CHECK(planner.TakeEnded().size() == 3);
}

TEST_CASE("a lost order leaves the engine in its role and is not repeated") {
  const auto outcome =
      GENERATE(RoleOrderOutcome::kUnknown, RoleOrderOutcome::kRefused,
               RoleOrderOutcome::kBusy, RoleOrderOutcome::kOutdated);
  RolePlanner planner(Settings());
  std::vector<RoleEngine> engines = Engines(20, 36);
  const auto orders = Plan(planner, engines, kDemand, 0, 6000, outcome);
  REQUIRE(orders.size() == 1);
  planner.Update(engines, kDemand, 6100);
  CHECK(planner.Split().prefill == 20);
  // Engines that may be changing count among the three.
  const auto more = Plan(planner, engines, kDemand, 6200, 7000, outcome);
  CHECK(more.size() == (outcome == RoleOrderOutcome::kUnknown ? 2 : 9));
  CHECK(std::ranges::none_of(more, [&](const RoleOrder& order) {
    return order.engine == orders.front().engine;
  }));
}

TEST_CASE("an order without an outcome blocks the next one for a while") {
  RolePlanner planner(Settings());
  const std::vector<RoleEngine> engines = Engines(20, 36);
  CHECK(Plan(planner, engines, kDemand, 0, 10'900, std::nullopt).size() == 1);
  CHECK(Plan(planner, engines, kDemand, 11'000, 11'100, std::nullopt).size() ==
        1);
}

TEST_CASE("the fewest prefill engines are half of the initial number") {
  RolePlanner planner(Settings());
  std::vector<RoleEngine> engines = Engines(20, 36);
  const RoleDemand decode_only{0.1, 30, 230};
  for (TimeMs now = 0; now < 120'000; now += 100) {
    planner.Update(engines, decode_only, now);
    const auto order = planner.NextOrder(now);
    if (!order) continue;
    planner.OnOutcome(order->engine, RoleOrderOutcome::kAccepted, now);
    RoleIn(engines, order->engine) = order->role;
  }
  // A deviation of one engine is not corrected.
  CHECK(planner.Split().prefill >= 10);
  CHECK(planner.Split().prefill <= 11);
  // A successor would take half of what is left, without the share that it is
  // told.
  RolePlanner successor(Settings());
  successor.SetInitialPrefillPermille(planner.InitialPrefillPermille());
  CHECK(Plan(successor, engines, decode_only, 0, 60'000,
             RoleOrderOutcome::kAccepted)
            .empty());
}

TEST_CASE("a role keeps two engines") {
  RolePlanner planner(Settings());
  const RoleDemand prefill_only{30, 0.1, 230};
  const auto orders = Plan(planner, Engines(2, 4), prefill_only, 0, 17'000,
                           RoleOrderOutcome::kUnknown);
  // Both may have changed although the outcome is not known.
  CHECK(orders.size() == 2);
  RolePlanner small(Settings());
  CHECK(Plan(small, Engines(2, 2), prefill_only, 0, 60'000,
             RoleOrderOutcome::kAccepted)
            .empty());
}

TEST_CASE("an engine that restarts with its published role counts as new") {
  RolePlanner planner(Settings());
  std::vector<RoleEngine> engines = Engines(4, 8);
  const RoleDemand decode_only{0.1, 30, 230};
  const auto orders =
      Plan(planner, engines, decode_only, 0, 6000, RoleOrderOutcome::kAccepted);
  REQUIRE(orders.size() == 1);
  // It ends, and comes back in its old role under another id.
  const auto gone =
      std::ranges::find(engines, orders.front().engine, &RoleEngine::id);
  gone->id = "restarted";
  const auto more = Plan(planner, engines, decode_only, 6100, 12'000,
                         RoleOrderOutcome::kAccepted);
  CHECK(std::ranges::none_of(more, [](const RoleOrder& order) {
    return order.engine == "restarted";
  }));
  CHECK(planner.Split().prefill >= 2);
}

TEST_CASE("after an interruption the engines are observed anew") {
  RolePlanner planner(Settings());
  const std::vector<RoleEngine> engines = Engines(20, 36);
  CHECK(Plan(planner, engines, kDemand, 0, 5900, std::nullopt).empty());
  planner.Restart();
  CHECK(Plan(planner, engines, kDemand, 6000, 11'900, std::nullopt).empty());
  CHECK(Plan(planner, engines, kDemand, 12'000, 12'000, std::nullopt).size() ==
        1);
}

TEST_CASE("the demand includes refused requests and ends with its window") {
  // A cell without decode engines refuses all.
  CellScheduler scheduler("pool/0", "owner");
  scheduler.Configure({CellEngine{"p", "zone", PoolRole::kPrefill, 8000}}, 0);
  PlacementRequest request;
  request.request_id = "r";
  request.prompt_tokens = 1000;
  request.max_tokens = 500;
  scheduler.Submit(request, 0);
  CHECK(scheduler.Tick(0).size() == 1);
  CHECK(scheduler.Demand(100).generations == 1);
  CHECK(scheduler.Demand(100).prefill > 0);
  CHECK(scheduler.Demand(5000).generations == 0);
}

TEST_CASE(
    "an engine that changes its role gets no work until it is announced") {
  CellSettings settings;
  settings.reserve_maximum = false;
  CellScheduler scheduler("pool/0", "owner", settings);
  std::vector<CellEngine> engines = {
      CellEngine{"p", "zone", PoolRole::kPrefill, 8000},
      CellEngine{"d1", "zone", PoolRole::kDecode, 8000},
      CellEngine{"d2", "zone", PoolRole::kDecode, 8000}};
  scheduler.Configure(engines, 0);
  const auto decode_of = [&scheduler](const std::string& id, TimeMs now) {
    PlacementRequest request;
    request.request_id = id;
    request.prompt_tokens = 100;
    request.max_tokens = 100;
    request.budget_ms = 1000;
    scheduler.Submit(request, now);
    const auto commands = scheduler.Tick(now);
    const auto* place = commands.empty()
                            ? nullptr
                            : std::get_if<PlaceCommand>(&commands.front());
    return place == nullptr ? std::string() : place->placement.decode;
  };
  scheduler.BeginRoleChange("d1", 12'000);
  CHECK(decode_of("a", 0) == "d2");
  CHECK(decode_of("b", 200) == "d2");
  SECTION("it serves its announced role after twice the change time") {
    CHECK(decode_of("c", 12'000) == "d1");
  }
  SECTION("it serves its new role at once") {
    engines[1].role = PoolRole::kPrefill;
    scheduler.Configure(engines, 6000);
    const auto views = scheduler.Engines(6000);
    CHECK(views[1].usable);
    CHECK_FALSE(views[1].changing_role);
  }
}

}  // namespace limpethaven
