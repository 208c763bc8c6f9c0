#include "edge/task_pool.h"

#include <algorithm>

namespace limpethaven {

TaskPool::TaskPool(std::size_t thread_limit) : max_threads(thread_limit) {}

void TaskPool::enqueue(std::function<void()> task) {
  const std::lock_guard lock(this->mutex);
  this->tasks.push_back(std::move(task));
  if (this->idle_threads < this->tasks.size() &&
      this->threads.size() < this->max_threads) {
    this->threads.emplace_back([this] { this->RunTasks(); });
  }
  this->task_or_stop.notify_one();
}

void TaskPool::shutdown() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->task_or_stop.notify_all();
  std::ranges::for_each(this->threads, &std::thread::join);
}

void TaskPool::RunTasks() {
  std::unique_lock lock(this->mutex);
  while (true) {
    ++this->idle_threads;
    this->task_or_stop.wait(
        lock, [this] { return this->stopping || !this->tasks.empty(); });
    --this->idle_threads;
    if (this->tasks.empty()) return;
    const std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace limpethaven
