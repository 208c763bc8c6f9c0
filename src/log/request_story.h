/// @file
/// One request's events, out of the logs of several VMs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limpethaven {

/// What logs say of one request.
struct RequestTimeline {
  std::vector<std::string> events;  ///< Lines, by the time they bear.
  /// The line that ended it; `no end in these logs` without one.
  std::string terminal_event;
  friend bool operator==(const RequestTimeline&,
                         const RequestTimeline&) = default;
};

/// Picks a request's lines, its placements at cell owners included, and orders
/// them. Times of different VMs may differ by as much as their clocks do.
[[nodiscard]] RequestTimeline BuildRequestTimeline(
    std::string_view request, const std::vector<std::string>& lines);

}  // namespace limpethaven
