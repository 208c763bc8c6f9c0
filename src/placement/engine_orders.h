/// @file
/// Reads what engines serve and orders them to serve something else.
#pragma once

#include <string>

#include "limpethaven/interfaces.h"
#include "net/http_client.h"

namespace limpethaven {

/// Engines as placement sees them.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  virtual Task<Result<EngineState>> ReadState(std::string address) = 0;
  virtual Task<Result<void>> Order(std::string address, EngineOrder order) = 0;
};

/// Engines of the product's protocol.
class HttpEngineOrders final : public EngineOrders {
 public:
  explicit HttpEngineOrders(Loop& event_loop);

  Task<Result<EngineState>> ReadState(std::string address) override;
  Task<Result<void>> Order(std::string address, EngineOrder order) override;

 private:
  Task<Result<std::string>> Call(std::string address, RequestHead head,
                                 std::string body);

  Loop& loop;
  ConnectionPool pool;
};

}  // namespace limpethaven
