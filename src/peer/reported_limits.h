/// @file
/// Limits on requests that one process has reported to the owners of cells.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "peer/cell_messages.h"

namespace limpethaven {

/// Limits that this process has reported for the engines of each cell. They are
/// sent again to later owners of the cell.
class ReportedLimits {
 public:
  /// Records a notice of kind `kEngineLimit`.
  /// @param owner Owner that the notice is sent to.
  void OnReport(const std::string& owner, const CellNotice& notice, TimeMs now);
  /// Limits that the engines of a cell have named, if this owner has not had
  /// them from this process yet: it may have taken over the cell without
  /// knowing them.
  [[nodiscard]] std::vector<EngineLimit> TakeFor(const std::string& cell,
                                                 const std::string& owner,
                                                 TimeMs now);

 private:
  struct Limit {
    double max_per_s = 0;
    TimeMs reported_at = 0;
  };
  struct CellLimits {
    std::string owner;  ///< Owner that they were reported to last.
    std::map<std::string, Limit> engines;  ///< Keyed by engine.
  };

  std::map<std::string, CellLimits> rows;  ///< Keyed by cell.
};

}  // namespace limpethaven
