/// @file
/// How pools are cut into cells and who schedules each.
#pragma once

#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"

namespace limpethaven {

/// A cell: engines of one model that share a queue.
struct CellSpec {
  std::string name;  ///< `MODEL/INDEX`.
  std::string model;
  std::string data_centre;  ///< Where most of its engines are.
  std::vector<CellEngine> engines;
  friend auto operator<=>(const CellSpec&, const CellSpec&) = default;
};

/// Cuts the engines of every model route into cells.
/// @param max_engines Engines in one cell at most, prefill and decode together.
[[nodiscard]] std::vector<CellSpec> BuildCells(const Configuration& config,
                                               std::size_t max_engines);

/// The same for pools whose engines announce themselves: one cell or more for
/// each pool that serves a model, named after the pool.
[[nodiscard]] std::vector<CellSpec> BuildCells(
    const Configuration& config, const std::vector<EndpointRecord>& endpoints,
    std::size_t max_engines);

/// The first `count` cells of a model in order of preference for a prompt with
/// this leading block. Prompts that share a prefix go to the same cell first,
/// so that its caches serve them.
[[nodiscard]] std::vector<std::string> PreferredCells(
    std::span<const CellSpec> cells, std::string_view model,
    std::uint64_t prefix_hash, std::size_t count);

}  // namespace limpethaven
