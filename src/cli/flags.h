/// @file
/// Command-line flags that are environment variables too.
#pragma once

#include <CLI/CLI.hpp>
#include <cctype>
#include <string>
#include <string_view>

#include "limpethaven/error.h"

namespace limpethaven {

/// `LIMPETHAVEN_<FLAG>` of a flag such as `--peer-port`.
[[nodiscard]] std::string EnvironmentName(std::string_view flag);

/// Adds a flag with its environment variable; its default is shown in `--help`.
template <typename T>
CLI::Option* AddFlag(CLI::App& app, const std::string& flag, T& value,
                     const std::string& help) {
  return app.add_option(flag, value, help)
      ->envname(EnvironmentName(flag))
      ->capture_default_str();
}

/// Adds a whole-number flag that must lie in a range, in a unit.
template <typename T>
CLI::Option* AddRangedFlag(CLI::App& app, const std::string& flag, T& value,
                           T low, T high, const std::string& unit,
                           const std::string& help) {
  return AddFlag(app, flag, value,
                 help + " [" + unit + ", " + std::to_string(low) + " to " +
                     std::to_string(high) + "]")
      ->check(CLI::Range(low, high));
}

/// What came of reading flags.
struct FlagOutcome {
  bool run = true;    ///< False: exit with `exit_code`.
  int exit_code = 0;  ///< 2 for a wrong flag.
};

/// Parses flags, answers `--help` and `--version`, and prints one line on a
/// wrong flag.
[[nodiscard]] FlagOutcome ParseFlags(CLI::App& app, int argc, char** argv);

/// Reads the fleet secret from `LIMPETHAVEN_FLEET_SECRET` or from a file. It is
/// never a flag.
[[nodiscard]] Result<std::string> ReadFleetSecret(const std::string& file);

/// Version that `--version` prints.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace limpethaven
