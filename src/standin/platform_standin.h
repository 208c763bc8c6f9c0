/// @file
/// Stand-in for the platform, for tests and demos: a read-only configuration
/// service, and a VM list that lags behind the VMs that run.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "edge/http_server.h"
#include "edge/periodic.h"
#include "limpethaven/clock.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Settings of a platform stand-in.
struct PlatformStandinSettings {
  std::string address = "127.0.0.1";
  int port = 0;  ///< 0 takes any free port.
  /// Directory with the output of `limpethaven-publish`, and with `vms.json`.
  std::string directory;
  /// Calls above this rate are refused with status 429.
  std::int64_t max_calls_per_s = 2000;
  /// Age at which a change of `vms.json` appears in the VM list.
  DurationMs vm_list_lag_ms = 0;
};

/// The platform behind an HTTP server. A configuration value is a file of the
/// directory; a value of more than 1 MB is refused, as by the platform. Safe
/// for use by several threads.
class PlatformStandin {
 public:
  explicit PlatformStandin(PlatformStandinSettings settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// Listens and starts to watch the directory. Fails when the port is taken.
  [[nodiscard]] Result<void> Start();
  void Stop();
  /// Address as `IP:port`.
  [[nodiscard]] std::string Address() const;
  /// While down, every call is refused with status 503.
  void SetDown(bool down);
  /// While stale, watchers get the head that was current when this was set.
  void SetStale(bool stale);
  /// Calls answered or refused so far.
  [[nodiscard]] std::int64_t CallCount() const;

 private:
  /// Counts a call. @returns false when it is refused; `response` then holds
  /// the refusal.
  [[nodiscard]] bool Admit(httplib::Response& response);
  /// Content of a file of the directory; empty when there is none.
  [[nodiscard]] std::string ReadValue(const std::string& name);
  /// Answers `GET /v1/watch/head`: waits for a head newer than `after`.
  void WatchHead(const httplib::Request& request, httplib::Response& response);
  /// Picks up changes of the head and of the VM list.
  void PollFiles();

  PlatformStandinSettings settings;
  SystemClock clock;
  ThreadedHttpServer server;
  PeriodicThread poller;
  mutable std::mutex mutex;
  /// Notified when the head changes and when heads must not be waited for.
  std::condition_variable head_changed;
  bool down = false;
  bool stale = false;
  bool stopping = false;
  std::string head;
  std::map<std::string, std::string> stale_values;
  /// All contents of `vms.json` with the times they were read, oldest first.
  std::vector<std::pair<TimeMs, std::string>> vm_lists;
  TimeMs window_started_at = 0;  ///< Start of the rate limit's window.
  std::int64_t window_call_count = 0;
  std::int64_t call_count = 0;
};

}  // namespace limpethaven
