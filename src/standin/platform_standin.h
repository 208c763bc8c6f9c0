/// @file
/// Stand-in for the platform: a configuration service that is only read, and a
/// lagging VM list.
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
  int port = 0;
  std::string directory;  ///< What `limpethaven-publish` wrote, and `vms.json`.
  std::int64_t calls_per_s =
      2000;  ///< Calls beyond it are refused with status 429.
  DurationMs vm_list_lag_ms = 0;
};

/// Platform stand-in. Values are files of the directory; values over 1 MB are
/// refused.
class PlatformStandin {
 public:
  explicit PlatformStandin(PlatformStandinSettings settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  [[nodiscard]] Result<void> Start();
  void Stop();
  [[nodiscard]] std::string Address() const;
  /// While down every call is refused.
  void SetDown(bool down);
  /// While stale, values are answered as they were when this was set.
  void SetStale(bool stale);
  /// Calls answered or refused so far.
  [[nodiscard]] std::int64_t Calls() const;

 private:
  [[nodiscard]] bool Admit(httplib::Response& response);
  [[nodiscard]] std::string Value(const std::string& name);
  void Watch(const httplib::Request& request, httplib::Response& response);
  void WatchFiles();

  PlatformStandinSettings settings;
  SystemClock clock;
  ThreadedHttpServer server;
  PeriodicThread poller;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool down = false;
  bool stale = false;
  bool stopping = false;
  std::string head;
  std::map<std::string, std::string> stale_values;
  std::vector<std::pair<TimeMs, std::string>> vm_lists;
  TimeMs second_started = 0;
  std::int64_t calls_this_second = 0;
  std::int64_t calls = 0;
};

}  // namespace limpethaven
