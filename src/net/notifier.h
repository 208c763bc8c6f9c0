/// @file
/// Condition variable and sleep for the coroutines of one loop.
#pragma once

#include "net/asio.h"

namespace limpethaven {

/// Condition variable for one waiting coroutine at a time. The waiter checks
/// its condition again after each wake-up.
class Notifier {
 public:
  explicit Notifier(Loop& loop) : timer(loop) {}

  /// Wakes the waiter, if there is one.
  void Notify() { this->timer.cancel(); }

  /// Waits until `Notify` is called or `deadline` passes.
  Task<> WaitUntil(TimeMs deadline) {
    this->timer.expires_at(TimePointOf(deadline));
    error_code ignored;
    co_await this->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

 private:
  asio::steady_timer timer;
};

/// Suspends the calling coroutine for `duration` milliseconds.
inline Task<> SleepFor(Loop& loop, DurationMs duration) {
  Notifier timer(loop);
  co_await timer.WaitUntil(LoopNow() + duration);
}

}  // namespace limpethaven
