#include "edge/periodic.h"

#include <chrono>

namespace limpethaven {

PeriodicThread::~PeriodicThread() { this->Stop(); }

void PeriodicThread::Start(DurationMs period_ms, std::function<void()> work) {
  this->thread = std::thread([this, period_ms, work = std::move(work)] {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
      this->woken = false;
      lock.unlock();
      work();
      lock.lock();
      this->changed.wait_for(lock, std::chrono::milliseconds(period_ms),
                             [this] { return this->stopping || this->woken; });
    }
  });
}

void PeriodicThread::Wake() {
  const std::lock_guard lock(this->mutex);
  this->woken = true;
  this->changed.notify_all();
}

void PeriodicThread::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  if (this->thread.joinable()) this->thread.join();
}

}  // namespace limpethaven
