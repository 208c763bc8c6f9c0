/// @file
/// Cancellation of the operation that a coroutine awaits.
#pragma once

#include <functional>
#include <utility>

namespace limpethaven {

/// A cancellation request shared by the side that cancels and the coroutine
/// that is cancelled. The coroutine registers with `CancelScope` how its
/// current wait is ended; the other side calls `Request`.
class Cancellation {
 public:
  /// Ends the current wait, if there is one. A coroutine that starts a later
  /// wait checks `Requested` first.
  void Request() {
    this->requested = true;
    if (this->end_wait) this->end_wait();
  }
  [[nodiscard]] bool Requested() const noexcept { return this->requested; }

 private:
  friend class CancelScope;
  bool requested = false;
  std::function<void()> end_wait;
};

/// Registers the callback that ends the current wait and restores the previous
/// callback on destruction, so scopes nest.
class CancelScope {
 public:
  CancelScope(Cancellation& cancel, std::function<void()> end)
      : cancellation(cancel),
        previous(std::exchange(cancel.end_wait, std::move(end))) {}
  ~CancelScope() { this->cancellation.end_wait = std::move(this->previous); }
  CancelScope(const CancelScope&) = delete;
  CancelScope& operator=(const CancelScope&) = delete;

 private:
  Cancellation& cancellation;
  std::function<void()> previous;
};

}  // namespace limpethaven
