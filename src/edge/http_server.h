/// @file
/// HTTP servers with every limit and timeout set in one place.
#pragma once

#include <httplib.h>

#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "limpethaven/error.h"

namespace limpethaven {

/// Settings of one listening address.
struct ThreadedHttpServerSettings {
  std::string address;
  int port = 0;                        ///< 0 takes any free port.
  std::size_t max_connections = 1200;  ///< Connections served at once.
  std::size_t max_body_bytes = 4'000'000;
  int read_timeout_s = 10;  ///< Longest wait for the next bytes of a request.
  int write_timeout_s = 5;  ///< Longest wait for a caller that does not read.
};

/// A server with its thread. Add routes to `Routes()` before `Start`.
class ThreadedHttpServer {
 public:
  explicit ThreadedHttpServer(ThreadedHttpServerSettings settings);
  ~ThreadedHttpServer();
  ThreadedHttpServer(const ThreadedHttpServer&) = delete;
  ThreadedHttpServer& operator=(const ThreadedHttpServer&) = delete;

  [[nodiscard]] httplib::Server& Routes() noexcept;
  /// Binds and serves on a thread of its own. Fails when the port is taken.
  [[nodiscard]] Result<void> Start();
  /// Port that is bound; 0 before `Start`.
  [[nodiscard]] int Port() const noexcept;
  /// Takes no more connections, and waits for the open ones.
  void Stop();

 private:
  ThreadedHttpServerSettings settings;
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
  int bound_port = 0;
  int listen_socket = -1;
};

/// Writes a refusal: status from the error table, JSON body, `Retry-After` when
/// it has advice.
void WriteRefusal(httplib::Response& response, const Error& error);

}  // namespace limpethaven
