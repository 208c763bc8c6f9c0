/// @file
/// Which requests a process still takes while it is stopping.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"

namespace limpethaven {

/// Refuses the requests that would be cut by the end of a planned stop.
///
/// Callers with kept connections or cached addresses go on sending requests
/// after the stop has begun. A request that is sent to an endpoint and cut
/// cannot be repeated safely, one that is refused can be sent to another
/// process at once. Not thread safe; reads no clock.
class StopAdmission {
 public:
  /// Records how long an answered request of a pool took.
  void OnAnswered(const std::string& pool, DurationMs duration_ms, TimeMs now);
  /// Sets the time at which the process ends and cuts what is open.
  void StopAt(TimeMs end) noexcept { this->ends_at = end; }
  /// Whether a request of a pool is expected to be answered before the end. It
  /// is taken to need a quarter more than the longest recent one, at most until
  /// its deadline, and until its deadline if there was none.
  [[nodiscard]] bool Admits(std::string_view pool, TimeMs deadline,
                            TimeMs now) const;

 private:
  /// Longest requests of the present and of the previous period.
  struct Longest {
    TimeMs period_started_at = 0;
    DurationMs present_ms = 0;
    DurationMs previous_ms = 0;
  };

  NamedTable<Longest> pools;
  std::optional<TimeMs> ends_at;
};

}  // namespace limpethaven
