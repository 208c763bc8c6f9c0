/// @file
/// Thread pool for blocking connections: grows on demand up to a cap, then
/// queues.
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

/// Task queue of one HTTP server. Threads are kept once started.
class TaskPool final : public httplib::TaskQueue {
 public:
  /// @param max_threads Most connections served at once; later ones wait for a
  /// thread.
  explicit TaskPool(std::size_t max_threads);

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void Work();

  std::size_t max_threads;
  std::mutex mutex;
  std::condition_variable wake;
  std::deque<std::function<void()>> tasks;
  std::vector<std::thread> threads;
  std::size_t idle = 0;
  bool stopping = false;
};

}  // namespace limpethaven
