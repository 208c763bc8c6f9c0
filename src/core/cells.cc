#include "limpethaven/cells.h"

#include <algorithm>
#include <map>

#include "limpethaven/rendezvous.h"

namespace limpethaven {
namespace {

std::vector<CellEngine> EnginesOf(const Configuration& config,
                                  const RouteSpec& route) {
  std::vector<CellEngine> engines;
  const auto add = [&](const std::string& pool_name) {
    const auto pool = config.pools.find(pool_name);
    if (pool == config.pools.end()) return;
    std::ranges::transform(pool->second.endpoints, std::back_inserter(engines),
                           [&](const EndpointSpec& endpoint) {
                             return CellEngine{
                                 endpoint.address, endpoint.data_centre,
                                 pool->second.role, pool->second.memory_pieces,
                                 endpoint.leaving};
                           });
  };
  add(route.prefill_pool);
  if (route.decode_pool != route.prefill_pool) add(route.decode_pool);
  std::ranges::sort(engines, {}, [](const CellEngine& engine) {
    return std::tie(engine.role, engine.data_centre, engine.address);
  });
  return engines;
}

std::string MainDataCentre(const std::vector<CellEngine>& engines) {
  std::map<std::string, std::size_t> counts;
  std::ranges::for_each(engines, [&counts](const CellEngine& engine) {
    ++counts[engine.data_centre];
  });
  const auto largest = std::ranges::max_element(
      counts, {}, [](const auto& entry) { return entry.second; });
  return largest == counts.end() ? std::string() : largest->first;
}

}  // namespace

std::vector<CellSpec> BuildCells(const Configuration& config,
                                 std::size_t max_engines) {
  std::vector<CellSpec> cells;
  std::ranges::for_each(config.routes, [&](const auto& entry) {
    const RouteSpec& route = entry.second;
    if (route.model.empty()) return;
    const std::vector<CellEngine> engines = EnginesOf(config, route);
    const std::size_t count = std::max<std::size_t>(
        1, (engines.size() + max_engines - 1) / max_engines);
    std::vector<CellSpec> parts(count);
    for (std::size_t index = 0; index < engines.size(); ++index) {
      parts[index % count].engines.push_back(engines[index]);
    }
    for (std::size_t index = 0; index < count; ++index) {
      parts[index].name = route.model + "/" + std::to_string(index);
      parts[index].model = route.model;
      parts[index].data_centre = MainDataCentre(parts[index].engines);
    }
    std::ranges::move(parts, std::back_inserter(cells));
  });
  return cells;
}

std::vector<std::string> CellOrder(std::span<const CellSpec> cells,
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
