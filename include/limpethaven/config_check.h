/// @file
/// Checks of a configuration beyond its syntax: entries that never match,
/// limits that contradict each other, and differences between two versions.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_file.h"
#include "limpethaven/config_model.h"

namespace limpethaven {

/// Weight of a finding.
enum class Severity {
  kWarning,  ///< The configuration works, but an entry has no effect or harms.
  kError,    ///< The configuration is refused, or requests fail under it.
};

/// Name of a severity: `warning` or `error`.
[[nodiscard]] std::string_view NameOf(Severity severity) noexcept;

/// One finding, with the place of the entry that it concerns.
struct Finding {
  Severity severity = Severity::kError;
  FileFault fault;
  friend auto operator<=>(const Finding&, const Finding&) = default;
};

/// Writes `PATH:LINE:COLUMN: SEVERITY: MESSAGE`, without the line and column if
/// they are not known.
std::ostream& operator<<(std::ostream& out, const Finding& finding);

/// Finds entries that never match and limits that contradict each other.
/// @param places Places of the entries; an entry without one is reported
/// without a path.
/// @returns the findings in the order of their places.
[[nodiscard]] std::vector<Finding> CheckConfiguration(
    const Configuration& config, const EntryPlaces& places);

/// Parses service files and returns all faults and findings. A file without an
/// entry is an error. The entries are checked against each other only if the
/// files have no faults, since one fault would otherwise cause many findings.
[[nodiscard]] std::vector<Finding> CheckServiceFiles(
    const std::vector<ServiceFile>& files);

/// Hexadecimal digits by which a key's digest is shown.
inline constexpr std::size_t kShownDigestDigits = 12;

/// Entities of a configuration in which the digests of keys are cut to
/// `kShownDigestDigits`, so that they can be shown and compared but not used.
[[nodiscard]] std::vector<Entity> ShownEntities(const Configuration& config);
/// Cuts the digests of keys in entities as `ShownEntities` does.
[[nodiscard]] std::vector<Entity> CutKeyDigests(std::vector<Entity> entities);

/// Difference of one entity between two versions.
struct EntityDifference {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  /// `route`, `pool`, `team`, `key`, `fleet`, `link` or `goal`.
  std::string group;
  std::string name;
  /// Changed fields, such as `burst_tokens 90000 -> 60000`; empty unless the
  /// entity was changed.
  std::vector<std::string> fields;
  friend auto operator<=>(const EntityDifference&,
                          const EntityDifference&) = default;
};

/// Differences that lead from `before` to `after`: routes, pools, teams, keys,
/// then the rest, each sorted by name. Digests of keys are cut.
[[nodiscard]] std::vector<EntityDifference> CompareEntities(
    std::vector<Entity> before, std::vector<Entity> after);

/// Writes `+ NAME`, `- NAME` or `~ NAME: FIELD OLD -> NEW, ...`.
std::ostream& operator<<(std::ostream& out, const EntityDifference& difference);

}  // namespace limpethaven
