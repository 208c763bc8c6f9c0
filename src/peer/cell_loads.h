/// @file
/// Loads of the cells that other processes own.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/cells.h"
#include "limpethaven/clock.h"

namespace limpethaven {

/// Loads of cells that other processes own, and the choice of a cell to
/// redirect a request to.
class CellLoads {
 public:
  void OnLoad(const std::string& cell, const CellLoad& load, TimeMs now);
  /// The cell of the same pool with the most headroom, to redirect a request
  /// to; empty when none has enough. Subtracts `tokens` from the headroom of
  /// the cell that it returns.
  /// @param cells All cells, of all pools.
  [[nodiscard]] std::string TakeRedirect(const std::vector<CellSpec>& cells,
                                         const CellSpec& cell, Tokens tokens,
                                         TimeMs now);

 private:
  /// Load of a cell that another process owns.
  struct RemoteLoad {
    CellLoad load;
    TimeMs received_at = 0;
  };

  std::unordered_map<std::string, RemoteLoad> rows;  ///< Keyed by cell name.
};

}  // namespace limpethaven
