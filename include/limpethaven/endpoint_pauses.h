/// @file
/// Endpoints that have asked this process to send them nothing for a while.
///
/// A pause holds between one process and one endpoint. It is kept for as long
/// as the endpoint asked, up to a maximum, also when the endpoint recovers
/// earlier.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Pauses of one process, keyed by endpoint id. Not thread safe; reads no
/// clock.
class EndpointPauses {
 public:
  /// A longer pause is cut to this time.
  static constexpr DurationMs kMaxPauseMs = 300'000;

  /// Records that an endpoint wants no request for `pause_ms`. A pause that is
  /// in force is never shortened.
  /// @returns whether the endpoint was not paused before.
  bool Pause(std::string_view endpoint, DurationMs pause_ms, TimeMs now);
  /// Time until a request may be sent to the endpoint; 0 without a pause.
  [[nodiscard]] DurationMs WaitMs(std::string_view endpoint, TimeMs now) const;
  /// Ids of the paused endpoints, ascending.
  [[nodiscard]] std::vector<std::string> Paused(TimeMs now) const;
  /// Removes the pauses that are over. @returns the ids of their endpoints.
  std::vector<std::string> Expire(TimeMs now);
  [[nodiscard]] std::size_t Size() const noexcept;

 private:
  std::unordered_map<std::string, TimeMs> paused_until;
};

}  // namespace limpethaven
