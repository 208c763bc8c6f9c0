/// @file
/// A condition variable for coroutines of one loop.
#pragma once

#include "net/asio.h"

namespace limpethaven {

/// Wakes one waiting coroutine. The waiter checks its condition again after
/// each wake-up.
class Notifier {
 public:
  explicit Notifier(Loop& loop) : timer(loop) {}

  /// Wakes the waiter, if there is one.
  void Notify() { this->timer.cancel(); }

  /// Waits until `Notify` or `deadline`.
  Task<> WaitUntil(TimeMs deadline) {
    this->timer.expires_at(TimePointOf(deadline));
    error_code ignored;
    co_await this->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

 private:
  asio::steady_timer timer;
};

/// Suspends the calling coroutine.
inline Task<> SleepFor(Loop& loop, DurationMs duration) {
  Notifier timer(loop);
  co_await timer.WaitUntil(LoopNow() + duration);
}

}  // namespace limpethaven
