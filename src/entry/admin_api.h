/// @file
/// Health, metrics and views for operators, on an address of its own.
#pragma once

#include <httplib.h>

#include "entry/entry_node.h"

namespace limpethaven {

/// Adds `/v1/health`, `/metrics`, `/debug/*` and `/admin/drain` to a server.
void AddAdminRoutes(EntryNode& node, httplib::Server& routes);

}  // namespace limpethaven
