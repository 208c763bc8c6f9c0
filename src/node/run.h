/// @file
/// Runs a process: its loop, signals and log.
#pragma once

#include <functional>
#include <string>

#include "node/entry_node.h"
#include "node/source.h"

namespace limpethaven {

/// How a process runs.
struct RunSettings {
  std::string program;
  std::string vm;      ///< Name in logs.
  int log_descriptor;  ///< Where the log goes.
  /// Reads settings that have changed; null when they cannot. An error leaves
  /// the last good ones in force.
  std::function<Result<NodeSettings>()> read_settings;
  std::string settings_file;  ///< Looked at for changes; empty: none.
};

/// Runs until a graceful stop has ended. @returns the exit code.
int RunNode(Loop& loop, EntryNode& node, Source& source,
            const RunSettings& settings);

}  // namespace limpethaven
