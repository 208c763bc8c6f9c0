/// @file
/// The part of the engines' limits on requests that one scheduler of a cell may
/// use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Decides which part of each limit a scheduler of a cell uses.
///
/// Several processes may schedule a cell at the same time: callers that get no
/// answer from the owner within the acknowledgement time call the next process,
/// while others still call the owner. If each of them used the whole limit, an
/// engine would get a multiple of it. Only the first owner therefore uses it
/// whole; the second uses an eighth and all others together another eighth. Not
/// thread safe.
class LimitDivisor {
 public:
  /// A process that becomes the first owner waits for this time before it uses
  /// the limits whole. The previous owner may still be running: a false
  /// suspicion is refuted within it, and a process that has just started learns
  /// the members.
  static constexpr DurationMs kTakeoverMs = 2000;
  /// The second owner uses one part in this number.
  static constexpr std::int64_t kStandInDivisor = 8;

  /// Records the process's place among the owners of the cell.
  /// @param rank Its place in the order of the owners by the members known, 0
  /// for the first; processes in a hold-down are included.
  /// @param processes Number of processes that may schedule the cell.
  /// @returns the number by which each limit is divided.
  std::int64_t Update(std::size_t rank, std::int64_t processes, TimeMs now);

 private:
  std::optional<TimeMs> first_since;
};

}  // namespace limpethaven
