#include "edge/periodic.h"

#include <chrono>

namespace limpethaven {

PeriodicThread::~PeriodicThread() { this->Stop(); }

void PeriodicThread::Start(DurationMs period_ms,
                           std::function<void()> callback) {
  this->thread = std::thread([this, period_ms, callback = std::move(callback)] {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      this->wake_requested = false;
      lock.unlock();
      callback();
      lock.lock();
      this->wake_condition.wait_for(
          lock, std::chrono::milliseconds(period_ms),
          [this] { return this->stopping || this->wake_requested; });
    }
  });
}

void PeriodicThread::Wake() {
  const std::lock_guard lock(this->mutex);
  this->wake_requested = true;
  this->wake_condition.notify_all();
}

void PeriodicThread::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake_condition.notify_all();
  if (this->thread.joinable()) this->thread.join();
}

}  // namespace limpethaven
