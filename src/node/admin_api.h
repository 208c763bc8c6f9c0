/// @file
/// Admin API of an entry process: health, metrics, debug views and drain, on a
/// separate address.
#pragma once

#include <string>

#include "net/http_server.h"

namespace limpethaven {

class EntryNode;

/// Handles the requests of the admin API.
class AdminApi {
 public:
  explicit AdminApi(EntryNode& entry_node);

  Task<> Answer(Exchange& exchange);

 private:
  /// JSON of the process state and its members.
  [[nodiscard]] std::string Status() const;
  /// JSON of the token shares of all teams at this process.
  [[nodiscard]] std::string Teams() const;
  /// JSON of the cells that this process hosts and their engines.
  [[nodiscard]] std::string Cells() const;

  EntryNode& node;
};

}  // namespace limpethaven
