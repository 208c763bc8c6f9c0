/// @file
/// Which requests a process still takes while it is stopping.
#pragma once

#include <optional>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Refuses the requests that the end of a planned stop could cut.
///
/// Callers with kept connections or cached addresses go on sending requests
/// after the stop has begun. A request that is sent to an endpoint and cut
/// cannot be repeated safely, one that is refused can be sent to another
/// process at once. How long earlier requests took bounds nothing, so only the
/// deadline counts. Not thread safe; reads no clock.
class StopAdmission {
 public:
  /// Sets the time at which the process ends and cuts what is open.
  void StopAt(TimeMs end) noexcept { this->ends_at = end; }
  /// Whether a request that no endpoint has been sent may be sent to one: its
  /// deadline must not be later than the end of the process.
  [[nodiscard]] bool Admits(TimeMs deadline) const noexcept {
    return !this->ends_at || deadline <= *this->ends_at;
  }

 private:
  std::optional<TimeMs> ends_at;
};

}  // namespace limpethaven
