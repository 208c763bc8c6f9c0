/// @file
/// Parser and validator of the TOML service files that operators write.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_model.h"

namespace limpethaven {

/// One fault in a service file.
struct FileFault {
  std::string path;
  /// Line counted from 1; 0 when the fault has no position in the file.
  std::uint32_t line = 0;
  std::uint32_t column = 0;  ///< Column counted from 1; 0 as for `line`.
  std::string message;       ///< What is wrong and what was expected.
  friend auto operator<=>(const FileFault&, const FileFault&) = default;
};

std::ostream& operator<<(std::ostream& out, const FileFault& fault);

/// A service file that has been read into memory.
struct ServiceFile {
  std::string path;  ///< Used in fault messages only.
  std::string text;
};

/// Place of an entry in the service files.
struct EntryPlace {
  std::string path;
  std::uint32_t line = 0;    ///< Counted from 1.
  std::uint32_t column = 0;  ///< Counted from 1.
  friend auto operator<=>(const EntryPlace&, const EntryPlace&) = default;
};

/// Places of entries, keyed like `Entity::key`: `team/NAME`, `route/KEY`.
using EntryPlaces = std::map<std::string, EntryPlace, std::less<>>;

/// Result of parsing service files.
struct ParsedFiles {
  Configuration config;  ///< Incomplete unless `faults` is empty.
  EntryPlaces places;
  /// Every fault of every file, sorted by path, line and column.
  std::vector<FileFault> faults;
};

/// Parses and validates all files together. Reports syntax errors, wrong types,
/// values out of range, missing and unknown fields, entries defined more than
/// once, and references to teams and pools that no file defines.
[[nodiscard]] ParsedFiles ParseServiceFiles(
    const std::vector<ServiceFile>& files);

}  // namespace limpethaven
