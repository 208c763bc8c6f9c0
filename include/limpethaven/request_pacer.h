/// @file
/// Spaces requests evenly, so that no window of time holds many more than a
/// rate allows.
#pragma once

#include "limpethaven/clock.h"

namespace limpethaven {

/// Permits of a request rate. A permit is earned at even intervals and expires
/// unused after a short time, so that an idle sender saves up none. Not thread
/// safe; reads no clock.
class RequestPacer {
 public:
  /// @param per_s Requests a second; with 0 there is never a permit.
  /// @param lifetime_ms Time for which a permit can be used.
  /// @param first_at When the first permit is earned.
  RequestPacer(double per_s, DurationMs lifetime_ms, TimeMs first_at);

  /// Changes the rate and the lifetime. The time left until the next permit
  /// changes in proportion, so that permits of several senders that are spread
  /// over an interval stay spread.
  void SetRate(double per_s, DurationMs lifetime_ms, TimeMs now);
  /// Whether a request may be sent now.
  [[nodiscard]] bool Allows(TimeMs now) const;
  /// Time until a request may be sent; 0 when one may be sent now.
  [[nodiscard]] DurationMs WaitMs(TimeMs now) const;
  /// Uses a permit. Also counts a request that is sent without one.
  void OnSend(TimeMs now);

 private:
  /// When the oldest unexpired permit is, or will be, earned.
  [[nodiscard]] double NextPermitAt(TimeMs now) const;

  double interval_ms;  ///< Infinite for a rate of 0.
  double lifetime;     ///< In milliseconds.
  double next_at;
};

}  // namespace limpethaven
