#include "edge/task_pool.h"

#include <algorithm>

namespace limpethaven {

TaskPool::TaskPool(std::size_t cap) : max_threads(cap) {}

void TaskPool::enqueue(std::function<void()> task) {
  const std::lock_guard lock(this->mutex);
  this->tasks.push_back(std::move(task));
  if (this->idle < this->tasks.size() &&
      this->threads.size() < this->max_threads) {
    this->threads.emplace_back([this] { this->Work(); });
  }
  this->wake.notify_one();
}

void TaskPool::shutdown() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_all();
  std::ranges::for_each(this->threads, &std::thread::join);
}

void TaskPool::Work() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle;
    this->wake.wait(lock,
                    [this] { return this->stopping || !this->tasks.empty(); });
    --this->idle;
    if (this->tasks.empty()) return;
    const std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace limpethaven
