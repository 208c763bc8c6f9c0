/// @file
/// Division of engine pools into cells, and the choice of cells for a prompt.
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

/// A cell: engines of one model that share one queue and one scheduler.
struct CellSpec {
  std::string name;   ///< `MODEL/INDEX` or `POOL/INDEX`.
  std::string model;  ///< Name of the model or, for cells of a pool, the pool.
  std::string data_centre;  ///< Data centre with the most of its engines.
  std::vector<CellEngine> engines;
  bool on_time_first = false;  ///< As in `EngineSpec`.
  friend auto operator<=>(const CellSpec&, const CellSpec&) = default;
};

/// Divides the engines of each route that has a model into cells, one or
/// more for each such route.
/// @param max_engines Most engines in one cell, prefill and decode together.
[[nodiscard]] std::vector<CellSpec> BuildCells(const Configuration& config,
                                               std::size_t max_engines);

/// Divides engines that announce themselves into cells: one or more cells for
/// each pool that has `PoolSpec::engine`, also if it has no endpoints. In these
/// cells `CellSpec::model` is the name of the pool, and the names of the cells
/// are `POOL/INDEX`.
/// @param max_engines Most engines in one cell, prefill and decode together.
[[nodiscard]] std::vector<CellSpec> BuildCells(
    const Configuration& config, const std::vector<EndpointRecord>& endpoints,
    std::size_t max_engines);

/// Returns the names of the `count` cells of a model that are preferred for a
/// prompt, most preferred first. Prompts with the same leading block prefer the
/// same cell, so that they hit its prefix caches.
/// @param prefix_hash Hash of the prompt's leading block.
[[nodiscard]] std::vector<std::string> PreferredCells(
    std::span<const CellSpec> cells, std::string_view model,
    std::uint64_t prefix_hash, std::size_t count);

}  // namespace limpethaven
