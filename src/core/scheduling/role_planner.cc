#include "limpethaven/role_planner.h"

#include <algorithm>
#include <cmath>
#include <ostream>
#include <sstream>
#include <utility>

namespace limpethaven {
namespace {

constexpr DurationMs kSliceMs = 100;
/// Weight of a new sample of the prefill time against the estimate so far.
constexpr double kLearningRate = 0.05;
/// Bound of one sample against the estimate, since an engine may be slow for a
/// moment.
constexpr double kMaxSampleRatio = 2.0;
constexpr std::int64_t kPermille = 1000;
/// Multiple of the change time after which a change without an announcement is
/// given up.
constexpr std::int64_t kChangeTimeoutMultiple = 2;

bool IsSplitRole(PoolRole role) {
  return role == PoolRole::kPrefill || role == PoolRole::kDecode;
}

PoolRole OtherRole(PoolRole role) {
  return role == PoolRole::kPrefill ? PoolRole::kDecode : PoolRole::kPrefill;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const RoleOrder& order) {
  return out << order.engine << " -> " << NameOf(order.role) << ": "
             << order.reason;
}

std::string_view NameOf(RoleOrderOutcome outcome) noexcept {
  switch (outcome) {
    case RoleOrderOutcome::kAccepted:
      return "accepted";
    case RoleOrderOutcome::kAlreadyInRole:
      return "already_in_role";
    case RoleOrderOutcome::kBusy:
      return "busy";
    case RoleOrderOutcome::kOutdated:
      return "outdated";
    case RoleOrderOutcome::kRefused:
      return "refused";
    case RoleOrderOutcome::kUnknown:
      break;
  }
  return "unknown";
}

RoleDemandWindow::RoleDemandWindow(double initial_ms_per_token)
    : prefill_ms_per_token(initial_ms_per_token) {}

void RoleDemandWindow::LearnPrefill(Tokens prompt, DurationMs measured_ms) {
  if (prompt <= 0 || measured_ms <= 0) return;
  const double sample =
      static_cast<double>(measured_ms) / static_cast<double>(prompt);
  const double ratio = std::clamp(sample / this->prefill_ms_per_token,
                                  1 / kMaxSampleRatio, kMaxSampleRatio);
  this->prefill_ms_per_token *= std::pow(ratio, kLearningRate);
}

double RoleDemandWindow::PrefillMs(Tokens prompt) const noexcept {
  return this->prefill_ms_per_token * static_cast<double>(prompt);
}

void RoleDemandWindow::Add(double prefill_ms, double decode_ms, TimeMs now) {
  if (this->slices.empty() || now - this->slices.back().start >= kSliceMs) {
    this->slices.push_back(Slice{now, {}});
  }
  RoleDemand& sum = this->slices.back().sum;
  sum.prefill += prefill_ms;
  sum.decode += decode_ms;
  ++sum.generations;
}

RoleDemand RoleDemandWindow::Sum(TimeMs now) {
  while (!this->slices.empty() &&
         now - this->slices.front().start >= kWindowMs) {
    this->slices.pop_front();
  }
  RoleDemand total;
  std::ranges::for_each(this->slices, [&total](const Slice& slice) {
    total.prefill += slice.sum.prefill;
    total.decode += slice.sum.decode;
    total.generations += slice.sum.generations;
  });
  total.prefill /= static_cast<double>(kWindowMs);
  total.decode /= static_cast<double>(kWindowMs);
  return total;
}

RolePlanner::RolePlanner(RolePlannerSettings initial) : settings(initial) {}

void RolePlanner::Configure(const RolePlannerSettings& next) {
  this->settings = next;
}

void RolePlanner::Restart() {
  std::ranges::for_each(this->engines,
                        [](auto& row) { row.second.observed_since.reset(); });
  this->deviates_since.reset();
}

void RolePlanner::Update(const std::vector<RoleEngine>& next,
                         const RoleDemand& next_demand, TimeMs now) {
  this->demand = next_demand;
  std::ranges::for_each(this->engines,
                        [](auto& row) { row.second.present = false; });
  std::ranges::for_each(next, [&](const RoleEngine& engine) {
    if (!IsSplitRole(engine.role)) return;
    EngineState& state = this->engines[engine.id];
    state.latest = engine;
    state.present = true;
    if (!state.observed_since) state.observed_since = now;
  });
  std::ranges::for_each(this->engines, [&](auto& row) {
    this->UpdateChange(row.second, now);
    // An engine that comes back is new: it may be another start.
    if (!row.second.present) row.second.observed_since.reset();
  });
  std::erase_if(this->engines, [&](const auto& row) {
    const EngineState& engine = row.second;
    return !engine.present &&
           (!engine.ordered_at ||
            now - *engine.ordered_at >= this->settings.repeat_ms);
  });
  this->split = RoleSplit{};
  std::ranges::for_each(this->engines, [this](const auto& row) {
    const EngineState& engine = row.second;
    const bool changing = engine.change != Change::kNone;
    if (changing) ++this->split.changing;
    // An engine that changes its role may be missing meanwhile.
    if (!changing && (!engine.present || !engine.latest.usable)) return;
    ++(ExpectedRole(engine) == PoolRole::kPrefill ? this->split.prefill
                                                  : this->split.decode);
  });
  const std::int64_t count = this->split.prefill + this->split.decode;
  if (!this->initial_known && this->split.prefill > 0) {
    this->initial_known = true;
    this->initial_permille = this->split.prefill * kPermille / count;
  }
  this->split.wanted_prefill = this->split.prefill;
  const bool known = next_demand.generations >= this->settings.min_generations;
  if (known) {
    this->split.wanted_prefill = this->WantedPrefill(next_demand, count);
  }
  const std::int64_t previous = this->deviation;
  this->deviation = this->split.prefill - this->split.wanted_prefill;
  if (!this->Deviates()) {
    this->deviates_since.reset();
    return;
  }
  const bool same_direction = (previous > 0) == (this->deviation > 0);
  if (!this->deviates_since || !same_direction) this->deviates_since = now;
}

std::optional<RoleOrder> RolePlanner::NextOrder(TimeMs now) {
  if (!this->deviates_since ||
      now - *this->deviates_since < this->settings.deviation_ms ||
      this->split.changing >= this->settings.max_changing) {
    return std::nullopt;
  }
  const bool pending = std::ranges::any_of(this->engines, [](const auto& row) {
    return row.second.change == Change::kSent;
  });
  if (pending) return std::nullopt;
  const PoolRole from =
      this->deviation > 0 ? PoolRole::kPrefill : PoolRole::kDecode;
  EngineState* best = nullptr;
  std::int64_t best_work = 0;
  // Engines that are taken to change to a role may stay in the other one, and
  // the reverse, so both are left out of the fewest engines of a role.
  std::int64_t certain = 0;
  std::ranges::for_each(this->engines, [&](auto& row) {
    EngineState& engine = row.second;
    const bool settled = engine.present && engine.latest.usable &&
                         engine.change == Change::kNone &&
                         engine.latest.role == from;
    if (!settled) return;
    ++certain;
    if (!this->MayOrder(engine, from, now)) return;
    const std::int64_t work =
        engine.latest.running_prefills + engine.latest.running_generations;
    if (best != nullptr && work >= best_work) return;
    best = &engine;
    best_work = work;
  });
  const std::int64_t fewest =
      from == PoolRole::kPrefill
          ? this->MinPrefill(this->split.prefill + this->split.decode)
          : this->settings.min_engines;
  if (best == nullptr || certain <= fewest) return std::nullopt;
  best->change = Change::kSent;
  best->ordered_role = OtherRole(from);
  best->ordered_at = now;
  std::ostringstream reason;
  reason << this->split.prefill << " of "
         << this->split.prefill + this->split.decode
         << " engines prefill, best " << this->split.wanted_prefill
         << "; demand " << std::round(this->demand.prefill * 10) / 10
         << " prefill, " << std::round(this->demand.decode * 10) / 10
         << " decode engines; deviates for " << now - *this->deviates_since
         << " ms";
  return RoleOrder{best->latest.id, best->ordered_role, reason.str()};
}

void RolePlanner::OnOutcome(const std::string& engine, RoleOrderOutcome outcome,
                            TimeMs now) {
  const auto row = this->engines.find(engine);
  if (row == this->engines.end() || row->second.change != Change::kSent) return;
  EngineState& state = row->second;
  // The time limits count from the outcome, which may come later than the
  // engine's start of the change.
  state.ordered_at = now;
  switch (outcome) {
    case RoleOrderOutcome::kAccepted:
      state.change = Change::kRunning;
      return;
    case RoleOrderOutcome::kUnknown:
      state.change = Change::kUnknown;
      return;
    case RoleOrderOutcome::kAlreadyInRole:
    case RoleOrderOutcome::kBusy:
    case RoleOrderOutcome::kOutdated:
    case RoleOrderOutcome::kRefused:
      state.change = Change::kNone;
      return;
  }
}

std::vector<RoleChangeEnd> RolePlanner::TakeEnded() {
  return std::exchange(this->ended, {});
}

bool RolePlanner::Deviates() const noexcept {
  return std::abs(this->deviation) >= this->settings.min_deviation;
}

RoleSplit RolePlanner::Split() const noexcept { return this->split; }

std::int64_t RolePlanner::InitialPrefillPermille() const noexcept {
  return this->initial_permille;
}

void RolePlanner::SetInitialPrefillPermille(std::int64_t permille) noexcept {
  if (permille <= 0 || permille > kPermille) return;
  this->initial_permille = permille;
  this->initial_known = true;
}

PoolRole RolePlanner::ExpectedRole(const EngineState& engine) {
  // After an unknown outcome nothing is assumed: the engine has its announced
  // role.
  const bool accepted =
      engine.change == Change::kRunning || engine.change == Change::kSent;
  return accepted ? engine.ordered_role : engine.latest.role;
}

void RolePlanner::UpdateChange(EngineState& engine, TimeMs now) {
  if (engine.change == Change::kNone) return;
  if (engine.change == Change::kSent) {
    // An outcome that is never reported must not end the planning.
    if (now - *engine.ordered_at < this->settings.settle_ms) return;
    engine.change = Change::kUnknown;
  }
  const bool announced =
      engine.present && engine.latest.role == engine.ordered_role;
  const bool timed_out = now - *engine.ordered_at >=
                         kChangeTimeoutMultiple * this->settings.role_change_ms;
  if (!announced && !timed_out) return;
  if (engine.change == Change::kRunning) {
    this->ended.push_back(RoleChangeEnd{engine.latest.id, engine.ordered_role,
                                        announced, now - *engine.ordered_at});
  }
  engine.change = Change::kNone;
}

std::int64_t RolePlanner::WantedPrefill(const RoleDemand& wanted,
                                        std::int64_t count) const {
  const double prefill =
      wanted.prefill / this->settings.max_prefill_utilization;
  const double decode = wanted.decode / this->settings.max_decode_utilization;
  const double sum = prefill + decode;
  if (sum <= 0) return this->split.prefill;
  const auto share = static_cast<std::int64_t>(
      std::llround(static_cast<double>(count) * prefill / sum));
  const std::int64_t fewest = this->MinPrefill(count);
  return std::clamp(share, fewest,
                    std::max(fewest, count - this->settings.min_engines));
}

std::int64_t RolePlanner::MinPrefill(std::int64_t count) const {
  const double initial = static_cast<double>(this->initial_permille) *
                         static_cast<double>(count) /
                         static_cast<double>(kPermille);
  // The share was rounded down to thousandths, so it is rounded up here.
  return std::max(this->settings.min_engines,
                  static_cast<std::int64_t>(
                      std::ceil(this->settings.min_prefill_ratio * initial)));
}

bool RolePlanner::MayOrder(const EngineState& engine, PoolRole from,
                           TimeMs now) const {
  if (engine.latest.role != from) return false;
  if (engine.ordered_at &&
      now - *engine.ordered_at < this->settings.repeat_ms) {
    return false;
  }
  return now - *engine.observed_since >=
         std::max(this->settings.settle_ms, this->settings.role_change_ms);
}

}  // namespace limpethaven
