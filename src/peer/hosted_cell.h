/// @file
/// A cell whose scheduler runs in this process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/limit_divisor.h"
#include "net/notifier.h"
#include "peer/cell_directory.h"
#include "peer/cell_messages.h"

namespace limpethaven {

/// A request that was submitted to a hosted cell's scheduler.
struct PendingPlacement {
  explicit PendingPlacement(Loop& loop) : decided(loop) {}
  Notifier decided;
  std::optional<Result<Placement>> decision;
  /// Whether the cell is no longer among those of this process, so that the
  /// request must be placed in another one.
  bool cell_gone = false;
};

/// Numbers of placements made and requests refused.
struct PlacementCounts {
  std::uint64_t placed_on_time = 0;
  std::uint64_t placed_late = 0;
  std::uint64_t refused = 0;
};

/// A cell whose scheduler runs in this process.
struct HostedCell {
  /// @param owner_id Unique id of the scheduler, made of the address and
  /// incarnation of this process and the cell's name.
  HostedCell(const std::string& name, const std::string& owner_id,
             const CellSettings& settings);

  /// Passes a notice to the scheduler.
  void Apply(const CellNotice& notice, TimeMs now);
  /// Runs the scheduler and answers the pending requests that it decided.
  /// @param counts Is raised by the decisions.
  /// @returns the cancels that it commands.
  [[nodiscard]] std::vector<CancelCommand> Run(TimeMs now,
                                               PlacementCounts& counts);

  /// Sets the part of the engines' limits that the scheduler uses.
  void UpdateLimitDivisor(const OwnerPlace& place, TimeMs now);

  CellScheduler scheduler;
  LimitDivisor limit_divisor;
  std::int64_t divisor = 0;  ///< Last result of `limit_divisor`.
  /// Keyed by request id.
  std::unordered_map<std::string, PendingPlacement*> pending;
};

}  // namespace limpethaven
