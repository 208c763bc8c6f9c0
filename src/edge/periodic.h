/// @file
/// Thread that calls a function periodically until it is stopped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Thread that calls a function as soon as it starts, and again `period_ms`
/// after each call has returned, or earlier after a `Wake`.
class PeriodicThread {
 public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// Starts the thread. Call at most once.
  void Start(DurationMs period_ms, std::function<void()> callback);
  /// Ends the current wait. If the function is running, it is called again as
  /// soon as it has returned.
  void Wake();
  /// Waits for a running call to return and joins the thread.
  void Stop();

 private:
  std::mutex mutex;
  std::condition_variable wake_condition;
  bool stopping = false;
  bool wake_requested = false;
  std::thread thread;
};

}  // namespace limpethaven
