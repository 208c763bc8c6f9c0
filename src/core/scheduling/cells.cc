#include "limpethaven/cells.h"

#include <algorithm>
#include <map>

#include "limpethaven/rendezvous.h"

namespace limpethaven {
namespace {

/// Engines of a route's prefill and decode pools, ordered by role, data centre
/// and id.
std::vector<CellEngine> EnginesOf(const Configuration& config,
                                  const RouteSpec& route) {
  std::vector<CellEngine> engines;
  const auto add = [&](const std::string& pool_name) {
    const auto pool = config.pools.find(pool_name);
    if (pool == config.pools.end()) return;
    std::ranges::transform(pool->second.endpoints, std::back_inserter(engines),
                           [&](const EndpointSpec& endpoint) {
                             CellEngine engine;
                             engine.id = endpoint.address;
                             engine.data_centre = endpoint.data_centre;
                             engine.role = pool->second.role;
                             engine.memory =
                                 pool->second.memory_pieces * kTokensPerPiece;
                             engine.leaving = endpoint.leaving;
                             return engine;
                           });
  };
  add(route.prefill_pool);
  if (route.decode_pool != route.prefill_pool) add(route.decode_pool);
  std::ranges::sort(engines, {}, [](const CellEngine& engine) {
    return std::tie(engine.role, engine.data_centre, engine.id);
  });
  return engines;
}

/// The data centre with the most engines; empty without engines.
std::string MainDataCentre(const std::vector<CellEngine>& engines) {
  std::map<std::string, std::size_t> counts;
  std::ranges::for_each(engines, [&counts](const CellEngine& engine) {
    ++counts[engine.data_centre];
  });
  const auto largest = std::ranges::max_element(
      counts, {}, [](const auto& entry) { return entry.second; });
  return largest == counts.end() ? std::string() : largest->first;
}

/// Whether the engines cover both prefill and decode.
bool HasPrefillAndDecode(const std::vector<CellEngine>& engines) {
  const auto has = [&engines](PoolRole role) {
    return std::ranges::any_of(engines, [role](const CellEngine& engine) {
      return engine.role == role || engine.role == PoolRole::kMixed;
    });
  };
  return has(PoolRole::kPrefill) && has(PoolRole::kDecode);
}

/// Groups engines that may share cells. Engines that fit one cell form one
/// group. Otherwise each data centre is a group, so that KV memory is not
/// transferred between data centres; if a data centre lacks prefill or decode
/// engines, all engines form one group.
std::vector<std::vector<CellEngine>> GroupEngines(
    const std::vector<CellEngine>& engines, std::size_t max_engines) {
  if (engines.size() <= max_engines) return {engines};
  std::map<std::string, std::vector<CellEngine>> by_data_centre;
  std::ranges::for_each(engines, [&by_data_centre](const CellEngine& engine) {
    by_data_centre[engine.data_centre].push_back(engine);
  });
  std::vector<std::vector<CellEngine>> groups;
  std::ranges::transform(by_data_centre, std::back_inserter(groups),
                         [](const auto& entry) { return entry.second; });
  if (std::ranges::all_of(groups, HasPrefillAndDecode)) return groups;
  return {engines};
}

/// Divides a group into cells of about equal size. The engines are dealt to the
/// cells in turn, so if the group is ordered by role, each cell has about the
/// same number of engines of each role.
/// @param next_index Index of the next cell; advanced by the cells added.
void AddCells(const std::string& model, const std::vector<CellEngine>& group,
              std::size_t max_engines, std::size_t& next_index,
              std::vector<CellSpec>& cells) {
  const std::size_t count =
      std::max<std::size_t>(1, (group.size() + max_engines - 1) / max_engines);
  std::vector<CellSpec> group_cells(count);
  for (std::size_t index = 0; index < group.size(); ++index) {
    group_cells[index % count].engines.push_back(group[index]);
  }
  std::ranges::for_each(group_cells, [&](CellSpec& cell) {
    cell.name = model + "/" + std::to_string(next_index++);
    cell.model = model;
    cell.data_centre = MainDataCentre(cell.engines);
  });
  std::ranges::move(group_cells, std::back_inserter(cells));
}

}  // namespace

std::vector<CellSpec> BuildCells(const Configuration& config,
                                 std::size_t max_engines) {
  std::vector<CellSpec> cells;
  std::ranges::for_each(config.routes, [&](const auto& entry) {
    const RouteSpec& route = entry.second;
    if (route.model.empty()) return;
    std::size_t next_index = 0;
    std::ranges::for_each(GroupEngines(EnginesOf(config, route), max_engines),
                          [&](const std::vector<CellEngine>& group) {
                            AddCells(route.model, group, max_engines,
                                     next_index, cells);
                          });
  });
  return cells;
}

std::vector<CellSpec> BuildCells(const Configuration& config,
                                 const std::vector<EndpointRecord>& endpoints,
                                 std::size_t max_engines) {
  std::vector<CellSpec> cells;
  std::ranges::for_each(config.pools, [&](const auto& entry) {
    const PoolSpec& pool = entry.second;
    if (!pool.engine) return;
    std::vector<CellEngine> engines;
    std::ranges::for_each(endpoints, [&](const EndpointRecord& endpoint) {
      if (endpoint.pool != pool.name) return;
      CellEngine engine;
      engine.id = endpoint.id;
      engine.data_centre = endpoint.data_centre;
      engine.role = endpoint.role;
      engine.memory = pool.engine->kv_tokens;
      engine.slots = endpoint.slots;
      engine.leaving = endpoint.leaving;
      engines.push_back(std::move(engine));
    });
    std::size_t next_index = 0;
    std::ranges::for_each(GroupEngines(engines, max_engines),
                          [&](const std::vector<CellEngine>& group) {
                            AddCells(pool.name, group, max_engines, next_index,
                                     cells);
                          });
    std::ranges::for_each(cells, [&pool](CellSpec& cell) {
      if (cell.model == pool.name) {
        cell.on_time_first = pool.engine->on_time_first;
      }
    });
  });
  return cells;
}

std::vector<std::string> PreferredCells(std::span<const CellSpec> cells,
                                        std::string_view model,
                                        std::uint64_t prefix_hash,
                                        std::size_t count) {
  std::vector<std::string> names;
  std::ranges::for_each(cells, [&](const CellSpec& cell) {
    if (cell.model == model) names.push_back(cell.name);
  });
  return RendezvousTop(std::to_string(prefix_hash), names, count);
}

}  // namespace limpethaven
