/// @file
/// The parts of Asio that the event loop uses, and short names for them.
///
/// One thread runs the loop; nothing here is thread safe.
#pragma once

// Asio's awaitable.hpp lacks <utility>, which therefore goes first.
// clang-format off
#include <utility>

#include <boost/asio/awaitable.hpp>
// clang-format on
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "limpethaven/clock.h"

namespace limpethaven {

namespace asio = boost::asio;
using boost::system::error_code;

/// The loop that every connection, timer and coroutine of a process runs on.
class Loop : public asio::io_context {
 public:
  using asio::io_context::io_context;

  /// Frees every coroutine that still waits. The loop does not run again. To be
  /// called before the parts that these coroutines refer to are freed.
  void EndTasks() { this->shutdown(); }
};
/// A coroutine on the loop.
template <typename T = void>
using Task = asio::awaitable<T>;

/// The point of the loop's clock that lies at `time`.
[[nodiscard]] inline std::chrono::steady_clock::time_point TimePointOf(
    TimeMs time) {
  return std::chrono::steady_clock::time_point(std::chrono::milliseconds(time));
}

/// Monotonic milliseconds, the same clock that `SystemClock::Now` reads.
[[nodiscard]] inline TimeMs LoopNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// Starts a coroutine that nobody waits for.
template <typename Start>
void Spawn(Loop& loop, Start start) {
  asio::co_spawn(loop, std::move(start), asio::detached);
}

}  // namespace limpethaven
