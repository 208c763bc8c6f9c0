/// @file
/// Command-line flags that can also be set by environment variables.
#pragma once

#include <CLI/CLI.hpp>
#include <cctype>
#include <string>
#include <string_view>

#include "limpethaven/error.h"

namespace limpethaven {

/// Name of a flag's environment variable, such as `LIMPETHAVEN_PEER_PORT` for
/// `--peer-port`.
[[nodiscard]] std::string EnvironmentName(std::string_view flag);

/// Adds a flag with its environment variable. The initial value of `value` is
/// the default that `--help` shows.
template <typename T>
CLI::Option* AddFlag(CLI::App& app, const std::string& flag, T& value,
                     const std::string& help) {
  return app.add_option(flag, value, help)
      ->envname(EnvironmentName(flag))
      ->capture_default_str();
}

/// Adds a numeric flag that must lie between `low` and `high`, both included.
/// `unit` and the range are shown in `--help`.
template <typename T>
CLI::Option* AddRangedFlag(CLI::App& app, const std::string& flag, T& value,
                           T low, T high, const std::string& unit,
                           const std::string& help) {
  return AddFlag(app, flag, value,
                 help + " [" + unit + ", " + std::to_string(low) + " to " +
                     std::to_string(high) + "]")
      ->check(CLI::Range(low, high));
}

/// Result of parsing the command line.
struct FlagOutcome {
  bool run = true;    ///< False if the program must exit with `exit_code`.
  int exit_code = 0;  ///< 0 after `--help` or `--version`, 2 for a wrong flag.
};

/// Parses the command line. Prints the output of `--help` and `--version`, and
/// one line on standard error for a wrong flag.
[[nodiscard]] FlagOutcome ParseFlags(CLI::App& app, int argc, char** argv);

/// Reads the fleet secret from the first line of `file`, or from the
/// environment variable `LIMPETHAVEN_FLEET_SECRET` if `file` is empty. Fails
/// with `kBadRequest` if it is shorter than 16 bytes. The secret itself is
/// never a flag, because other processes can read the command line.
[[nodiscard]] Result<std::string> ReadFleetSecret(const std::string& file);

/// Version printed by `--version`.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace limpethaven
