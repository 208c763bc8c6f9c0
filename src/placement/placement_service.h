/// @file
/// One step of placement: learn who owns which engine, read engines, send the
/// orders that are due.
#pragma once

#include <string>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/order_planner.h"
#include "placement/engine_orders.h"

namespace limpethaven {

/// Engines of all pools with a goal that rendezvous hashing gives to `self`
/// among `members`.
[[nodiscard]] std::vector<std::string> OwnedEngines(
    const Configuration& config, const std::string& self,
    const std::vector<std::string>& members);

/// Reads every owned engine, plans, and sends. Errors of single engines are
/// logged and met again at the next step.
Task<> RunPlacementStep(const Configuration& config, std::string self,
                        std::vector<std::string> members, EngineOrders& engines,
                        OrderPlanner& planner, TimeMs now);

}  // namespace limpethaven
