/// @file
/// HTTP clients with every timeout set in one place, and a pool of kept
/// connections.
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

/// A client for `address` (`IP:port`) that connects anew and keeps no
/// connection.
[[nodiscard]] std::unique_ptr<httplib::Client> NewHttpClient(
    std::string_view address, DurationMs timeout_ms);

/// Error for a failed call. Its `ran` is `kNo` only when no connection was
/// made.
[[nodiscard]] Error HttpFailure(std::string_view address, httplib::Error error);

/// Kept connections for short calls that may be repeated by whoever makes them.
class HttpPool {
 public:
  /// Sends a request on a kept or new connection.
  [[nodiscard]] Result<httplib::Response> Send(std::string_view address,
                                               httplib::Request request,
                                               DurationMs timeout_ms);

 private:
  using ClientPtr = std::unique_ptr<httplib::Client>;
  struct IdleClient {
    ClientPtr client;
    TimeMs since = 0;
  };
  [[nodiscard]] ClientPtr Take(const std::string& address);
  void Return(const std::string& address, ClientPtr client);

  std::mutex mutex;
  std::map<std::string, std::vector<IdleClient>, std::less<>> idle;
  SystemClock clock;
};

/// A GET request for `path`.
[[nodiscard]] httplib::Request GetRequest(std::string path);
/// A POST request with a JSON body.
[[nodiscard]] httplib::Request PostRequest(std::string path, std::string body);

}  // namespace limpethaven
