/// @file
/// Runs an entry process: its event loop, signal handling and event log.
#pragma once

#include <functional>
#include <string>

#include "node/entry_node.h"
#include "node/source.h"

namespace limpethaven {

/// Settings of the process around the entry node.
struct RunSettings {
  std::string program;  ///< Program name in start-up errors.
  std::string vm;       ///< Name of this VM in log events.
  int log_descriptor;   ///< File descriptor that log events are written to.
  /// Reads the settings again; null when they cannot change. On an error the
  /// last valid settings stay in force.
  std::function<Result<NodeSettings>()> read_settings;
  /// Path of the settings file, which is polled for changes; empty: none.
  std::string settings_file;
};

/// Runs `node` until its graceful shutdown has ended, then exits the process.
/// @returns the exit code when the node cannot start.
int RunNode(Loop& loop, EntryNode& node, Source& source,
            const RunSettings& settings);

}  // namespace limpethaven
