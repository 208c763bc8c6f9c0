/// @file
/// Test of what callers get from role changes of engines under the loads of
/// docs/design/scarce-capacity.md.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <numbers>
#include <random>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/role_planner.h"

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

}  // namespace limpethaven
