/// @file
/// Health, metrics and what operators look at, on an address of its own.
#pragma once

#include <string>

#include "net/http_server.h"

namespace limpethaven {

class EntryNode;

/// Answers operators.
class AdminApi {
 public:
  explicit AdminApi(EntryNode& entry_node);

  Task<> Answer(Exchange& exchange);

 private:
  [[nodiscard]] std::string Status() const;
  [[nodiscard]] std::string Teams() const;
  [[nodiscard]] std::string Cells() const;

  EntryNode& node;
};

}  // namespace limpethaven
