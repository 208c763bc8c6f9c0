/// @file
/// Revisions of a source that may lose what it has acknowledged.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace limpethaven {

/// Position in the history of a source. A source that is restored from an older
/// copy begins a new era and gives the numbers after the copy out again, so
/// that numbers can be compared within an era only.
struct SourceRevision {
  std::uint64_t era = 0;  ///< Restores before this revision; may begin above 0.
  std::uint64_t number = 0;  ///< Increases with each change within an era.
  friend auto operator<=>(const SourceRevision&,
                          const SourceRevision&) = default;
};

inline std::ostream& operator<<(std::ostream& out,
                                const SourceRevision& revision) {
  if (revision.era != 0) out << revision.era << '.';
  return out << revision.number;
}

}  // namespace limpethaven
