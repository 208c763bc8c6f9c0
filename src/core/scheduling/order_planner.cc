#include "limpethaven/order_planner.h"

#include <algorithm>
#include <ostream>

namespace limpethaven {
namespace {

/// Layout of a fencing token, from the high bits: 26 bits of configuration
/// version, then the sum of the start time in minutes, shifted by 12 bits, and
/// the counter.
constexpr unsigned kVersionShift = 38;
constexpr unsigned kMinuteShift = 12;
constexpr std::uint64_t kOrderMask = (1ULL << kVersionShift) - 1;
/// Bit position of the start time, in milliseconds, in an incarnation.
constexpr std::uint64_t kIncarnationMsShift = 16;
constexpr std::uint64_t kMsPerMinute = 60'000;

bool Serves(const EngineState& state, const GoalSpec& goal) {
  return state.model == goal.model && state.model_version == goal.model_version;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const PlannedOrder& planned) {
  return out << planned.engine << ": " << planned.order.model << '@'
             << planned.order.model_version << " fence " << planned.order.fence;
}

std::uint64_t MakeFencingToken(std::uint64_t config_version,
                               std::uint64_t incarnation,
                               std::uint64_t counter) noexcept {
  const std::uint64_t start_minute =
      (incarnation >> kIncarnationMsShift) / kMsPerMinute;
  return (config_version << kVersionShift) |
         (((start_minute << kMinuteShift) + counter) & kOrderMask);
}

OrderPlanner::OrderPlanner(std::uint64_t process_incarnation,
                           OrderSettings initial)
    : incarnation(process_incarnation), settings(initial) {}

void OrderPlanner::SetOwned(const std::vector<std::string>& engines,
                            TimeMs now) {
  std::erase_if(this->rows, [&engines](const auto& row) {
    return std::ranges::find(engines, row.first) == engines.end();
  });
  std::ranges::for_each(engines, [&](const std::string& engine) {
    this->rows.try_emplace(engine, OwnedEngine{.owned_since = now});
  });
}

void OrderPlanner::ReleaseAll() noexcept { this->rows.clear(); }

void OrderPlanner::Observe(const std::string& engine, const EngineState& state,
                           TimeMs now) {
  const auto row = this->rows.find(engine);
  if (row == this->rows.end()) return;
  row->second.state = state;
  row->second.observed = true;
  if (now - row->second.ordered_at >= this->settings.loading_timeout_ms) {
    row->second.loading = false;
  }
}

std::vector<PlannedOrder> OrderPlanner::Plan(const Configuration& config,
                                             TimeMs now) {
  if (!this->first_plan_at) this->first_plan_at = now;
  const auto elapsed_minutes =
      static_cast<std::uint64_t>(now - *this->first_plan_at) / kMsPerMinute;
  this->counter = std::max(this->counter, elapsed_minutes << kMinuteShift);
  std::vector<PlannedOrder> orders;
  std::int64_t loading = 0;
  // Engines that serve their goal are no longer loading. They are found first,
  // so that others can take their place within the loading limit.
  std::ranges::for_each(config.goals, [&](const auto& goal) {
    const auto pool = config.pools.find(goal.first);
    if (pool == config.pools.end()) return;
    std::ranges::for_each(pool->second.endpoints,
                          [&](const EndpointSpec& endpoint) {
                            const auto row = this->rows.find(endpoint.address);
                            if (row == this->rows.end()) return;
                            if (Serves(row->second.state, goal.second)) {
                              row->second.loading = false;
                            }
                            if (row->second.loading) ++loading;
                          });
  });
  std::ranges::for_each(config.goals, [&](const auto& goal) {
    const auto pool = config.pools.find(goal.first);
    if (pool == config.pools.end()) return;
    std::ranges::for_each(
        pool->second.endpoints, [&](const EndpointSpec& endpoint) {
          const auto found = this->rows.find(endpoint.address);
          if (found == this->rows.end()) return;
          OwnedEngine& row = found->second;
          if (!row.observed || Serves(row.state, goal.second)) return;
          if (now - row.owned_since < this->settings.lease_ms) return;
          if (row.ordered &&
              now - row.ordered_at < this->settings.repeat_interval_ms) {
            return;
          }
          if (!row.loading && loading >= this->settings.max_loading_count) {
            return;
          }
          if (!row.loading) ++loading;
          row.loading = true;
          row.ordered = true;
          row.ordered_at = now;
          const std::uint64_t fence = MakeFencingToken(
              config.version, this->incarnation, ++this->counter);
          orders.push_back(PlannedOrder{
              endpoint.address,
              EngineOrder{goal.second.model, goal.second.model_version,
                          std::string(NameOf(pool->second.role)), fence},
              "serves " + row.state.model + "@" + row.state.model_version});
        });
  });
  return orders;
}

}  // namespace limpethaven
