/// @file
/// Limits on requests that engines have named to one process.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "peer/cell_messages.h"

namespace limpethaven {

/// Limits that the engines of each cell have named to this process. Each call
/// to the owner of a cell carries them, because an owner that has taken over
/// the cell or was restarted at its address does not know them.
class NamedLimits {
 public:
  /// Records a notice of kind `kEngineLimit`.
  void OnNotice(const CellNotice& notice, TimeMs now);
  /// Limits that the engines of a cell have named, with their age.
  [[nodiscard]] std::vector<EngineLimit> Of(const std::string& cell,
                                            TimeMs now);

 private:
  struct Limit {
    double max_per_s = 0;
    TimeMs named_at = 0;
  };

  /// Keyed by cell and engine.
  std::map<std::string, std::map<std::string, Limit>> rows;
};

}  // namespace limpethaven
