/// @file
/// Reads what engines serve, and sends them orders to serve another model
/// version.
#pragma once

#include <string>

#include "limpethaven/interfaces.h"
#include "net/http_client.h"

namespace limpethaven {

/// Calls from placement to engines.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  /// Reads what the engine at an address serves.
  virtual Task<Result<EngineState>> ReadState(std::string address) = 0;
  /// Sends an order. The error is the engine's if it refuses the order.
  virtual Task<Result<void>> Order(std::string address, EngineOrder order) = 0;
};

/// Calls to engines over HTTP, in the product's own protocol.
class HttpEngineOrders final : public EngineOrders {
 public:
  explicit HttpEngineOrders(Loop& event_loop);

  Task<Result<EngineState>> ReadState(std::string address) override;
  Task<Result<void>> Order(std::string address, EngineOrder order) override;

 private:
  /// Sends a request. @returns the body of a response with status 200. Fails
  /// with the error in the body of another response, or with `kEndpointFailed`.
  Task<Result<std::string>> Call(std::string address, RequestHead head,
                                 std::string body);

  Loop& loop;
  ConnectionPool pool;
};

}  // namespace limpethaven
