/// @file
/// A wish that what a coroutine waits for be ended.
#pragma once

#include <functional>
#include <utility>

namespace limpethaven {

/// Whoever waits sets how its wait is ended; whoever has the wish requests it.
class Cancellation {
 public:
  /// Ends the wait that is going on, and all later ones.
  void Request() {
    this->wanted = true;
    if (this->end_wait) this->end_wait();
  }
  [[nodiscard]] bool Requested() const noexcept { return this->wanted; }

 private:
  friend class CancelScope;
  bool wanted = false;
  std::function<void()> end_wait;
};

/// Sets how a wait is ended, for as long as it lives.
class CancelScope {
 public:
  CancelScope(Cancellation& cancel, std::function<void()> end)
      : cancellation(cancel),
        before(std::exchange(cancel.end_wait, std::move(end))) {}
  ~CancelScope() { this->cancellation.end_wait = std::move(this->before); }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;

 private:
  Cancellation& cancellation;
  std::function<void()> before;
};

}  // namespace limpethaven
