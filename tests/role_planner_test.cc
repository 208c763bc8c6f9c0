/// @file
/// Tests of the split of a cell's engines into prefill and decode: what callers
/// get under the loads of docs/design/scarce-capacity.md, and the limits on
/// orders.
#include "limpethaven/role_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <numbers>
#include <random>

#include "limpethaven/cell_scheduler.h"

namespace limpethaven {
namespace {

constexpr DurationMs kRoleChangeMs = 6000;
constexpr DurationMs kSecondMs = 1000;

/// A load of the design page, with spikes of twice the rate.
struct Load {
  double per_s = 0;
  std::size_t engines = 0;
  std::size_t prefill_engines = 0;
  Tokens kv_tokens = 0;
  Tokens output = 0;  ///< Mean tokens of an answer.
  double tokens_per_ms = 0;
  DurationMs due_ms = 0;
  DurationMs patience_ms = 0;
  /// Share of urgent requests, with priority 0 and targets of their own.
  double urgent_ratio = 0;
  DurationMs urgent_due_ms = 0;
  DurationMs urgent_patience_ms = 0;
};
constexpr Load kFirstLoad{.per_s = 46,
                          .engines = 56,
                          .prefill_engines = 20,
                          .kv_tokens = 29'588,
                          .output = 860,
                          .tokens_per_ms = 0.253,
                          .due_ms = 900,
                          .patience_ms = 3600};
constexpr Load kSecondLoad{.per_s = 83,
                           .engines = 90,
                           .prefill_engines = 31,
                           .kv_tokens = 28'217,
                           .output = 600,
                           .tokens_per_ms = 0.182,
                           .due_ms = 2000,
                           .patience_ms = 8000,
                           .urgent_ratio = 0.12,
                           .urgent_due_ms = 800,
                           .urgent_patience_ms = 3200};
/// Mean tokens of a prompt. The lengths vary, as the scheduler cannot tell the
/// fixed part of the prefill time from the other when all are equal.
constexpr Tokens kPromptTokens = 3200;
constexpr double kPrefillMsPerToken = 0.03;
/// At a decode engine, whose generations go on meanwhile.
constexpr double kLocalPrefillSlowdown = 3.0;

struct PlayResult {
  std::int64_t requests = 0;
  std::int64_t on_time = 0;
  std::int64_t prefill_engines = 0;  ///< At the end.
  std::int64_t orders = 0;
};

/// Plays a load against the scheduler of a cell and simple engines: prefills
/// one after the other, and generations at a constant rate.
class Play {
 public:
  Play(const Load& played, bool balances)
      : load(played),
        balance(balances),
        planner(PlannerSettings()),
        scheduler("pool/0", "owner", SchedulerSettings()) {
    for (std::size_t index = 0; index < this->load.engines; ++index) {
      CellEngine engine;
      engine.id = "engine-" + std::to_string(index);
      engine.role = index < this->load.prefill_engines ? PoolRole::kPrefill
                                                       : PoolRole::kDecode;
      engine.memory = this->load.kv_tokens;
      engine.slots = 12;
      this->engines.push_back(engine);
    }
    this->scheduler.Configure(this->engines, 0);
  }

  PlayResult Run(DurationMs duration_ms) {
    for (TimeMs now = 0; now < duration_ms; now += kStepMs) this->Step(now);
    this->result.prefill_engines = std::ranges::count(
        this->engines, PoolRole::kPrefill, &CellEngine::role);
    return this->result;
  }

 private:
  static constexpr DurationMs kStepMs = 10;

  struct Running {
    Renewal renewal;
    TimeMs submitted_at = 0;
    DurationMs due_ms = 0;
    DurationMs patience_ms = 0;
    TimeMs placed_at = 0;
    TimeMs prefilled_at = 0;  ///< 0 until it is placed.
    bool prefilled = false;
  };

  static RolePlannerSettings PlannerSettings() {
    RolePlannerSettings settings;
    settings.role_change_ms = kRoleChangeMs;
    return settings;
  }
  static CellSettings SchedulerSettings() {
    CellSettings settings;
    settings.allow_local_prefill = true;
    settings.reserve_maximum = false;
    settings.planned_memory_ratio = 0.96;
    settings.block_tokens = 16;
    settings.prefill_ms_per_token = 0.03;
    settings.prefill_latency_ms = 5;
    settings.decode_tokens_per_ms = 0.2;
    return settings;
  }

  /// Waves of +-55% over 15 s, and a spike of twice the load for 4 s in each
  /// 20 s.
  [[nodiscard]] double RateAt(TimeMs now) const {
    const double wave =
        std::sin(2 * std::numbers::pi * static_cast<double>(now) / 15'000.0);
    const bool spike = now % 20'000 >= 12'000 && now % 20'000 < 16'000;
    return this->load.per_s * (1 + 0.55 * wave) * (spike ? 2.0 : 1.0);
  }

  void Step(TimeMs now) {
    std::poisson_distribution<int> arrivals(this->RateAt(now) * kStepMs /
                                            kSecondMs);
    for (int left = arrivals(this->random); left > 0; --left) {
      this->Submit(now);
    }
    this->Advance(now);
    if (this->balance && now % 100 == 0) this->Balance(now);
    for (const CellCommand& command : this->scheduler.Tick(now)) {
      if (const auto* place = std::get_if<PlaceCommand>(&command)) {
        this->Begin(*place, now);
      }
    }
  }

  void Submit(TimeMs now) {
    PlacementRequest request;
    request.request_id = "request-" + std::to_string(++this->result.requests);
    request.team = "team";
    std::uniform_int_distribution<Tokens> prompt(kPromptTokens / 2,
                                                 kPromptTokens * 3 / 2);
    request.prompt_tokens = prompt(this->random);
    std::uniform_int_distribution<Tokens> output(this->load.output / 2,
                                                 this->load.output * 3 / 2);
    request.max_tokens = output(this->random);
    request.hint = request.max_tokens;
    std::bernoulli_distribution urgent(this->load.urgent_ratio);
    const bool is_urgent = urgent(this->random);
    request.priority = is_urgent ? 0 : 2;
    request.budget_ms =
        is_urgent ? this->load.urgent_due_ms : this->load.due_ms;
    request.patience_ms =
        is_urgent ? this->load.urgent_patience_ms : this->load.patience_ms;
    Running& row = this->running[request.request_id];
    row.submitted_at = now;
    row.due_ms = request.budget_ms;
    row.patience_ms = request.patience_ms;
    row.renewal.prompt_tokens = request.prompt_tokens;
    row.renewal.max_tokens = request.max_tokens;
    this->scheduler.Submit(std::move(request), now);
  }

  void Begin(const PlaceCommand& place, TimeMs now) {
    Running& row = this->running[place.request_id];
    row.renewal.reservation = place.placement.reservation;
    row.renewal.request_id = place.request_id;
    row.renewal.engine = place.placement.decode;
    row.renewal.expected = row.renewal.max_tokens;
    const bool local = place.placement.prefill.empty();
    TimeMs& free_at = this->prefill_free_at[local ? place.placement.decode
                                                  : place.placement.prefill];
    free_at = std::max(free_at, now) +
              static_cast<DurationMs>(
                  static_cast<double>(row.renewal.prompt_tokens) *
                  kPrefillMsPerToken * (local ? kLocalPrefillSlowdown : 1.0));
    row.placed_at = now;
    row.prefilled_at = free_at;
  }

  /// @returns whether the request has ended.
  [[nodiscard]] bool AdvanceOne(Running& row, TimeMs now) {
    if (row.prefilled_at == 0) {
      return now - row.submitted_at > row.patience_ms;
    }
    if (now < row.prefilled_at) return false;
    if (!row.prefilled) {
      row.prefilled = true;
      this->scheduler.PrefillDone(row.renewal.reservation, now - row.placed_at,
                                  now);
      if (now - row.submitted_at <= row.due_ms) ++this->result.on_time;
    }
    row.renewal.produced = static_cast<Tokens>(
        static_cast<double>(now - row.prefilled_at) * this->load.tokens_per_ms);
    if (row.renewal.produced >= row.renewal.max_tokens) {
      this->scheduler.Finish(row.renewal.reservation, row.renewal.max_tokens,
                             now);
      return true;
    }
    if (now % 500 == 0) this->scheduler.Renew({row.renewal}, now);
    return false;
  }

  /// Reports finished prefills, progress and the ends of generations.
  void Advance(TimeMs now) {
    for (auto entry = this->running.begin(); entry != this->running.end();) {
      const bool ended = this->AdvanceOne(entry->second, now);
      entry = ended ? this->running.erase(entry) : std::next(entry);
    }
    std::erase_if(this->changes, [&](const auto& change) {
      if (now < change.first) return false;
      const auto engine = std::ranges::find(this->engines, change.second.engine,
                                            &CellEngine::id);
      engine->role = change.second.role;
      this->scheduler.Configure(this->engines, now);
      return true;
    });
  }

  void Balance(TimeMs now) {
    this->planner.Update(this->scheduler.RoleEngines(now),
                         this->scheduler.Demand(now), now);
    const auto order = this->planner.NextOrder(now);
    if (!order) return;
    ++this->result.orders;
    this->planner.OnOutcome(order->engine, RoleOrderOutcome::kAccepted, now);
    this->scheduler.BeginRoleChange(order->engine, now + 2 * kRoleChangeMs);
    this->changes.emplace_back(now + kRoleChangeMs, *order);
  }

  Load load;
  bool balance;
  RolePlanner planner;
  CellScheduler scheduler;
  std::vector<CellEngine> engines;
  std::map<std::string, Running> running;  ///< Keyed by request id.
  std::map<std::string, TimeMs> prefill_free_at;
  std::vector<std::pair<TimeMs, RoleOrder>> changes;
  std::mt19937_64 random{20261206};
  PlayResult result;
};

/// Requests that did not begin on time, refused ones included.
std::int64_t Missed(const PlayResult& result) {
  return result.requests - result.on_time;
}

/// `prefill` engines that do prefill and `decode` engines, all idle.
std::vector<RoleEngine> Engines(std::size_t prefill, std::size_t decode) {
  std::vector<RoleEngine> rows;
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

TEST_CASE("more callers begin on time when the split follows the demand") {
  // With the published split, the decode engines are full in a spike while the
  // prefill engines are mostly idle.
  const auto [load, share] =
      GENERATE(std::pair(kFirstLoad, 0.8), std::pair(kSecondLoad, 0.8));
  const PlayResult fixed = Play(load, false).Run(120 * kSecondMs);
  const PlayResult balanced = Play(load, true).Run(120 * kSecondMs);
  CAPTURE(fixed.requests, fixed.on_time, balanced.on_time, balanced.orders,
          balanced.prefill_engines);
  CHECK(balanced.requests == fixed.requests);
  CHECK(static_cast<double>(Missed(balanced)) <
        share * static_cast<double>(Missed(fixed)));
  CHECK(balanced.prefill_engines >=
        static_cast<std::int64_t>(load.prefill_engines) / 2);
  CHECK(balanced.orders > 0);
}

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
