/// @file
/// Stand-in for a plain service, for tests and demos: counts how often each
/// request ran.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "edge/http_server.h"
#include "standin/seen_log.h"

namespace limpethaven {

/// Faults that can be injected, one at a time.
enum class ServiceFault {
  kNone,
  /// Runs the request, then closes the connection without a complete answer.
  kNoAnswer,
  /// Runs the request and answers 3 s later.
  kSlow
};

/// A service endpoint behind an HTTP server. Calls to paths under `/s/` are
/// counted by their body, which tests use as the name of the operation. Safe
/// for use by several threads.
class ServiceStandin {
 public:
  explicit ServiceStandin(std::string address = "127.0.0.1", int port = 0);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin&) = delete;
  ServiceStandin& operator=(const ServiceStandin&) = delete;

  /// Fails when the port is taken.
  [[nodiscard]] Result<void> Start();
  void Stop();
  /// Address as `IP:port`.
  [[nodiscard]] std::string Address() const;
  /// Injects a fault in place of the current one.
  void SetFault(ServiceFault fault);
  /// Calls received so far with this body.
  [[nodiscard]] std::int64_t RunCount(std::string_view body) const;
  /// Calls to paths under `/s/`.
  [[nodiscard]] const SeenLog& Seen() const noexcept;

 private:
  void Serve(const httplib::Request& request, httplib::Response& response);

  std::string address;
  ThreadedHttpServer server;
  SeenLog seen;
  mutable std::mutex mutex;
  ServiceFault fault = ServiceFault::kNone;
  /// Numbers of calls, keyed by body.
  std::map<std::string, std::int64_t, std::less<>> run_counts;
};

}  // namespace limpethaven
