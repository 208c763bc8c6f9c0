#include "placement/placement_service.h"

#include <algorithm>

#include "limpethaven/rendezvous.h"
#include "log/event_log.h"

namespace limpethaven {
namespace {

/// Sends one order and logs its outcome. After success it reads the engine's
/// state back.
Task<> SendOrder(PlannedOrder planned, EngineOrders& engines,
                 OrderPlanner& planner, TimeMs now) {
  LogEvent(EventId::kOrderSent, {{"engine", planned.engine},
                                 {"model", planned.order.model},
                                 {"version", planned.order.model_version},
                                 LogField::Of("fence", planned.order.fence),
                                 {"why", planned.reason}});
  const Result<void> outcome =
      co_await engines.Order(planned.engine, planned.order);
  if (!outcome) {
    LogEvent(EventId::kOrderRefused,
             {{"engine", planned.engine},
              LogField::Of("fence", planned.order.fence),
              LogField::Of("why", outcome.error())});
    co_return;
  }
  const Result<EngineState> state = co_await engines.ReadState(planned.engine);
  if (!state) co_return;
  planner.Observe(planned.engine, state.value(), now);
  if (state.value().model_version != planned.order.model_version) co_return;
  LogEvent(EventId::kOrderConverged,
           {{"engine", planned.engine},
            {"model", planned.order.model},
            {"version", planned.order.model_version}});
}

}  // namespace

std::vector<std::string> OwnedEngines(const Configuration& config,
                                      const std::string& self,
                                      const std::vector<std::string>& members) {
  std::vector<std::string> owned;
  std::ranges::for_each(config.goals, [&](const auto& goal) {
    const auto pool = config.pools.find(goal.first);
    if (pool == config.pools.end()) return;
    std::ranges::for_each(
        pool->second.endpoints, [&](const EndpointSpec& endpoint) {
          const auto owner =
              RendezvousTop("placement/" + endpoint.address, members, 1);
          if (!owner.empty() && owner.front() == self) {
            owned.push_back(endpoint.address);
          }
        });
  });
  return owned;
}

Task<> RunPlacementStep(const Configuration& config, std::string self,
                        std::vector<std::string> members, EngineOrders& engines,
                        OrderPlanner& planner, TimeMs now) {
  const std::vector<std::string> owned = OwnedEngines(config, self, members);
  planner.SetOwned(owned, now);
  for (const std::string& engine : owned) {
    const Result<EngineState> state = co_await engines.ReadState(engine);
    if (state) planner.Observe(engine, state.value(), now);
  }
  const std::vector<PlannedOrder> plan = planner.Plan(config, now);
  for (const PlannedOrder& planned : plan) {
    co_await SendOrder(planned, engines, planner, now);
  }
}

}  // namespace limpethaven
