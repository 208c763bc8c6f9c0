/// @file
/// The parts of Asio that the event loop uses, and short names for them.
///
/// One thread runs the loop, so nothing in `src/net` is thread-safe.
#pragma once

// Asio's awaitable.hpp uses <utility> without including it, so <utility> must
// come first.
// clang-format off
#include <utility>

#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>

#include "limpethaven/clock.h"

namespace limpethaven {

namespace asio = boost::asio;
using boost::system::error_code;

/// Event loop that runs every connection, timer and coroutine of a process.
class Loop : public asio::io_context {
 public:
  using asio::io_context::io_context;

  /// Destroys every suspended coroutine; the loop cannot run again afterwards.
  /// Call it before the objects that these coroutines refer to are destroyed.
  void EndTasks() { this->shutdown(); }
};
/// Coroutine that runs on a `Loop` and returns a `T`.
template <typename T = void>
using Task = asio::awaitable<T>;

/// Converts monotonic milliseconds to a time point of the loop's clock.
[[nodiscard]] inline std::chrono::steady_clock::time_point TimePointOf(
    TimeMs time) {
  return std::chrono::steady_clock::time_point(std::chrono::milliseconds(time));
}

/// Monotonic time in milliseconds, from the clock that `SystemClock::Now`
/// reads.
[[nodiscard]] inline TimeMs LoopNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Logs an exception that has left a task; null logs nothing.
void LogTaskFault(const std::exception_ptr& fault) noexcept;

/// Starts a coroutine and returns at once. Its result is discarded. An
/// exception that leaves it is logged and ends this coroutine only.
template <typename Start>
void Spawn(Loop& loop, Start start) {
  asio::co_spawn(loop, std::move(start),
                 [](const std::exception_ptr& fault) { LogTaskFault(fault); });
}

}  // namespace limpethaven
