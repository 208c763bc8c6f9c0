/// @file
/// From a caller's key to its team.
#pragma once

#include <httplib.h>

#include <string>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Who calls. The key's text is kept only to look for it in what would be sent
/// on.
struct CallerIdentity {
  std::string team;
  std::string key_digest;
  std::string key;
};

/// Identity of the caller by `Authorization: Bearer KEY`.
[[nodiscard]] Result<CallerIdentity> Authenticate(
    const Configuration& config, const httplib::Request& request);

}  // namespace limpethaven
