/// @file
/// Blocking HTTP clients whose timeouts are set in one place, and a pool of
/// keep-alive connections.
#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Makes a client for `address` (`IP:port`) that opens a connection for each
/// request. `timeout_ms` bounds each read and write; connecting is bounded by
/// the smaller of `timeout_ms` and 500 ms.
[[nodiscard]] std::unique_ptr<httplib::Client> NewHttpClient(
    std::string_view address, DurationMs timeout_ms);

/// Error for a call without a complete response. Its `ran` is `kNo` if no
/// connection was made, otherwise `kUnknown`.
[[nodiscard]] Error HttpFailure(std::string_view address, httplib::Error error);

/// Thread-safe pool of keep-alive connections for short, repeatable calls. The
/// pool does not retry: if the server has closed a reused connection, the call
/// fails and the caller repeats it.
class HttpPool {
 public:
  /// Sends a request on an idle or a new connection. Fails with the error of
  /// `HttpFailure` if no complete response arrives; a response with an error
  /// status is returned as it is.
  [[nodiscard]] Result<httplib::Response> Send(std::string_view address,
                                               httplib::Request request,
                                               DurationMs timeout_ms);

 private:
  using ClientPtr = std::unique_ptr<httplib::Client>;
  struct IdleClient {
    ClientPtr client;
    TimeMs idle_since = 0;
  };
  /// Takes the client that became idle last, or makes a new one if that client
  /// has been idle for too long.
  [[nodiscard]] ClientPtr Take(const std::string& address);
  /// Stores an idle client, or closes it if the address has enough of them.
  void Return(const std::string& address, ClientPtr client);

  std::mutex mutex;
  /// Keyed by address; the client that became idle last is at the end.
  std::map<std::string, std::vector<IdleClient>, std::less<>> idle_clients;
  SystemClock clock;
};

/// Builds a GET request for `path`.
[[nodiscard]] httplib::Request GetRequest(std::string path);
/// Builds a POST request with a JSON body.
[[nodiscard]] httplib::Request PostRequest(std::string path, std::string body);

}  // namespace limpethaven
