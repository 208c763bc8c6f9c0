/// @file
/// Thread that calls a function periodically until it is stopped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Thread that calls a function at once, and again `period_ms` after each call
/// has returned or as soon as it is woken.
class PeriodicThread {
 public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// Starts the thread. Call at most once.
  void Start(DurationMs period_ms, std::function<void()> callback);
  /// Ends the current wait. During a call of the function it is called once
  /// more without a wait.
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
