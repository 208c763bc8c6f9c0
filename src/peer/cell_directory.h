/// @file
/// The configured cells, and the choice of their owners.
///
/// The owner of a cell is the first eligible serving member in rendezvous
/// order. Eligible are the members in the cell's data centre, or all members if
/// that has none, that have at least half of the largest CPU share among them
/// and are not in a hold-down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/cells.h"
#include "limpethaven/clock.h"
#include "peer/gossip.h"

namespace limpethaven {

/// Place of this process among the processes that may schedule a cell.
struct OwnerPlace {
  /// Place in rendezvous order, 0 for the first; members in a hold-down are
  /// counted. Not below the number of owners considered for a process that is
  /// none of them.
  std::size_t rank = 0;
  std::int64_t processes = 0;  ///< Processes that may schedule the cell.
  std::string first;           ///< Address of the first owner.
};

/// The cells of all pools and their owners, as one process sees them.
class CellDirectory {
 public:
  CellDirectory(const Gossip& peer_gossip, std::string local_data_centre);

  /// Sets the cells of all pools.
  void Configure(std::vector<CellSpec> next);
  [[nodiscard]] const std::vector<CellSpec>& Cells() const noexcept;
  /// @returns null when no cell has this name.
  [[nodiscard]] const CellSpec* Find(std::string_view name) const;
  /// Addresses of the first two eligible owners of a cell, in rendezvous order.
  /// They may include this process.
  [[nodiscard]] std::vector<std::string> OwnersOf(const CellSpec& cell) const;
  /// Whether this process is the first owner of a cell in any case: also when
  /// the members in a hold-down are counted.
  [[nodiscard]] bool IsFirstOwner(const CellSpec& cell) const;
  [[nodiscard]] OwnerPlace PlaceOf(const CellSpec& cell) const;
  /// Starts the hold-down of an owner that did not answer.
  void HoldDown(const std::string& owner, TimeMs now);
  /// Cell of a pool that this process sends its requests to first; empty when
  /// the pool has no cell.
  [[nodiscard]] std::string HomeCell(std::string_view pool) const;

 private:
  /// Addresses of the members among `candidates` that are eligible as owners
  /// of a cell.
  [[nodiscard]] static std::vector<std::string> EligibleOwners(
      const CellSpec& cell, std::vector<MemberUpdate> candidates);

  const Gossip& gossip;
  std::string data_centre;
  std::vector<CellSpec> cells;
  /// Ends of the hold-downs, keyed by address.
  std::unordered_map<std::string, TimeMs> hold_downs;
};

}  // namespace limpethaven
