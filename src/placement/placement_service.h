/// @file
/// One step of placement: finds the engines that this process owns, reads their
/// state and sends orders to those that differ from their goal.
#pragma once

#include <string>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/order_planner.h"
#include "placement/engine_orders.h"

namespace limpethaven {

/// Addresses of the engines that `self` owns. Each engine of a pool with a goal
/// is owned by the member that rendezvous hashing chooses.
/// @param members Addresses of the placement processes, `self` included.
[[nodiscard]] std::vector<std::string> OwnedEngines(
    const Configuration& config, const std::string& self,
    const std::vector<std::string>& members);

/// Reads the state of every owned engine, plans orders and sends them. An
/// engine that does not answer or refuses its order is tried again in a later
/// step; refused orders are logged.
/// @param self Address of this process.
/// @param now Monotonic time at which the step begins.
Task<> RunPlacementStep(const Configuration& config, std::string self,
                        std::vector<std::string> members, EngineOrders& engines,
                        OrderPlanner& planner, TimeMs now);

}  // namespace limpethaven
