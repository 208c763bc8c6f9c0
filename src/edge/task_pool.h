/// @file
/// Thread pool for blocking connections. It grows on demand up to a limit;
/// further connections are queued.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace limpethaven {

/// Task queue of one HTTP server; a task serves one connection. Started threads
/// run until `shutdown`.
class TaskPool final : public httplib::TaskQueue {
 public:
  /// @param thread_limit Connections that are served at the same time; more
  /// wait for a thread.
  explicit TaskPool(std::size_t thread_limit);

  void enqueue(std::function<void()> task) override;
  /// Runs the queued tasks to their end, then joins all threads.
  void shutdown() override;

 private:
  /// Body of each thread: runs queued tasks until `shutdown`.
  void RunTasks();

  std::size_t max_threads;
  std::mutex mutex;
  std::condition_variable task_or_stop;
  std::deque<std::function<void()>> tasks;
  std::vector<std::thread> threads;
  std::size_t idle_threads = 0;
  bool stopping = false;
};

}  // namespace limpethaven
