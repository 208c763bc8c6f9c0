/// @file
/// Stand-in for a plain service: counts how often each request ran.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "edge/http_server.h"
#include "standin/seen_log.h"

namespace limpethaven {

/// Faults of a service stand-in.
enum class ServiceFault { kNone, kNoAnswer, kSlow };

/// One service endpoint. Every call counts as a run of the `operation` in its
/// body's first line.
class ServiceStandin {
 public:
  explicit ServiceStandin(std::string address = "127.0.0.1", int port = 0);
  ~ServiceStandin();
  ServiceStandin(const ServiceStandin&) = delete;
  ServiceStandin& operator=(const ServiceStandin&) = delete;

  [[nodiscard]] Result<void> Start();
  void Stop();
  [[nodiscard]] std::string Address() const;
  void SetFault(ServiceFault fault);
  /// Runs of one body.
  [[nodiscard]] std::int64_t RunsOf(std::string_view body) const;
  [[nodiscard]] const SeenLog& Seen() const noexcept;

 private:
  void Serve(const httplib::Request& request, httplib::Response& response);

  std::string address;
  ThreadedHttpServer server;
  SeenLog seen;
  mutable std::mutex mutex;
  ServiceFault fault = ServiceFault::kNone;
  std::map<std::string, std::int64_t, std::less<>> runs;
};

}  // namespace limpethaven
