#include "placement/placement_service.h"

#include <algorithm>

#include "edge/log.h"
#include "limpethaven/rendezvous.h"

namespace limpethaven {

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

void RunPlacementStep(const Configuration& config, const std::string& self,
                      const std::vector<std::string>& members,
                      EngineClient& engines, OrderPlanner& planner,
                      TimeMs now) {
  const std::vector<std::string> owned = OwnedEngines(config, self, members);
  planner.SetOwned(owned, now);
  std::ranges::for_each(owned, [&](const std::string& engine) {
    const auto state = engines.ReadState(engine);
    if (state) planner.Observe(engine, state.value(), now);
  });
  std::ranges::for_each(
      planner.Plan(config, now), [&](const PlannedOrder& planned) {
        LogEvent(EventId::kOrderSent,
                 {{"engine", planned.engine},
                  {"model", planned.order.model},
                  {"version", planned.order.model_version},
                  LogField::Of("fence", planned.order.fence),
                  {"why", planned.reason}});
        const auto outcome = engines.Order(planned.engine, planned.order);
        if (!outcome) {
          LogWarning(EventId::kOrderRefused,
                     {{"engine", planned.engine},
                      LogField::Of("fence", planned.order.fence),
                      LogField::Of("why", outcome.error())});
          return;
        }
        const auto state = engines.ReadState(planned.engine);
        if (!state) return;
        planner.Observe(planned.engine, state.value(), now);
        if (state.value().model_version != planned.order.model_version) return;
        LogEvent(EventId::kOrderConverged,
                 {{"engine", planned.engine},
                  {"model", planned.order.model},
                  {"version", planned.order.model_version}});
      });
}

}  // namespace limpethaven
