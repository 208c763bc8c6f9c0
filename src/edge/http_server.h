/// @file
/// HTTP server with one thread per connection, whose limits and timeouts are
/// set in one place.
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
  int port = 0;  ///< 0 binds any free port.
  /// Connections that are served at the same time; more wait for a thread.
  std::size_t max_connections = 1200;
  std::size_t max_body_bytes = 4'000'000;
  int read_timeout_s = 10;  ///< Longest wait for the next bytes of a request.
  int write_timeout_s = 5;  ///< Longest wait for a client that does not read.
};

/// HTTP server that accepts connections on a thread of its own. Requests are
/// handled on the threads of a `TaskPool`. Add handlers to `Routes()` before
/// `Start`.
class ThreadedHttpServer {
 public:
  explicit ThreadedHttpServer(ThreadedHttpServerSettings settings);
  ~ThreadedHttpServer();
  ThreadedHttpServer(const ThreadedHttpServer&) = delete;
  ThreadedHttpServer& operator=(const ThreadedHttpServer&) = delete;

  [[nodiscard]] httplib::Server& Routes() noexcept;
  /// Binds the address and starts the thread. Fails with `kInternal` if the
  /// address cannot be bound, such as a port that is in use.
  [[nodiscard]] Result<void> Start();
  /// Bound port; 0 before `Start` or if it failed.
  [[nodiscard]] int Port() const noexcept;
  /// Stops accepting connections and waits until the open ones are closed.
  void Stop();

 private:
  ThreadedHttpServerSettings settings;
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
  int bound_port = 0;
  int listen_socket = -1;
};

/// Writes an error response: the status from the error table, a JSON body, and
/// `Retry-After` in seconds, rounded up, if the error recommends a delay.
void WriteRefusal(httplib::Response& response, const Error& error);

}  // namespace limpethaven
