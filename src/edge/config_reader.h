/// @file
/// Reads configurations for checks and comparisons: from service files, from a
/// published version, and from a running process.
#pragma once

#include <string>
#include <vector>

#include "limpethaven/config_check.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// What the files of a check contain.
struct CheckedFiles {
  std::vector<Entity> entities;
  std::vector<Finding> findings;
};

/// Reads the entities of a configuration.
/// @param source A service file, a published `head.json` beside its chunks, a
/// saved answer to `/debug/config`, or `IP:port` of a process's admin server.
/// @returns `kBadRequest` if a file cannot be read, `kConfigInvalid` if its
/// content is not a configuration, and an error of `HttpPool::Send` or
/// `kEndpointFailed` if the process does not give its configuration.
[[nodiscard]] Result<std::vector<Entity>> ReadEntities(
    const std::string& source);

/// Reads and checks service files, or a single file whose name ends with
/// `.json` as `ReadEntities` does; the entries of such a file have no lines.
/// @returns the errors of `ReadEntities`.
[[nodiscard]] Result<CheckedFiles> CheckConfigFiles(
    const std::vector<std::string>& paths);

}  // namespace limpethaven
