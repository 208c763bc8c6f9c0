/// @file
/// A thread that calls a function again and again until it is stopped.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Runs `work` every `period_ms`, and at once when woken.
class PeriodicThread {
 public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  void Start(DurationMs period_ms, std::function<void()> work);
  /// Runs the work as soon as possible.
  void Wake();
  void Stop();

 private:
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool woken = false;
  std::thread thread;
};

}  // namespace limpethaven
