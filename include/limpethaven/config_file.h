/// @file
/// Operators' service files: TOML in, checked values and faults out.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_model.h"

namespace limpethaven {

/// One fault in a service file.
struct FileFault {
  std::string path;
  std::uint32_t line =
      0;  ///< Counted from 1; 0 when the fault has no place in the file.
  std::uint32_t column = 0;  ///< Counted from 1.
  std::string message;       ///< What is wrong and what was expected.
  friend auto operator<=>(const FileFault&, const FileFault&) = default;
};

std::ostream& operator<<(std::ostream& out, const FileFault& fault);

/// A service file: its path for messages and its text.
struct ServiceFile {
  std::string path;
  std::string text;
};

/// What came of reading service files.
struct ParsedFiles {
  Configuration config;  ///< Meaningful only when `faults` is empty.
  std::vector<FileFault>
      faults;  ///< Every fault of every file, in order of file and line.
};

/// Parses and checks all files together: types, ranges, unknown names, clashes
/// between files and references to teams and pools that no file defines.
[[nodiscard]] ParsedFiles ParseServiceFiles(
    const std::vector<ServiceFile>& files);

}  // namespace limpethaven
