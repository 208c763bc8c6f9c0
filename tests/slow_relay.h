/// @file
/// Relay for TCP connections that limits the rate at which the callee's bytes
/// reach the caller, as a slow link does.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "net/connection.h"

namespace limpethaven::testing {

/// Listens on one address and forwards its connections to another one.
class SlowRelay {
 public:
  /// @param bytes_per_s Rate of each connection from `target_address`.
  SlowRelay(Loop& event_loop, const std::string& listen_address,
            const std::string& target_address, std::int64_t bytes_per_s);
  SlowRelay(const SlowRelay&) = delete;
  SlowRelay& operator=(const SlowRelay&) = delete;

  /// Closes all connections, and accepts no more.
  void Stop();

 private:
  using Socket = asio::ip::tcp::socket;

  Task<> Accept();
  /// Forwards the bytes of one direction until one side closes.
  /// @param step_bytes Most bytes forwarded in each step.
  Task<> Forward(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
                 std::size_t step_bytes, DurationMs step_ms);

  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::endpoint target;
  std::size_t step_bytes_from_target;
  bool stopped = false;
};

}  // namespace limpethaven::testing
