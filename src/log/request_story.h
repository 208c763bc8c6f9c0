/// @file
/// Timeline of one request, from the log lines of several VMs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limpethaven {

/// Log lines of one request.
struct RequestTimeline {
  std::vector<std::string> events;  ///< Lines in order of their `t` field.
  /// Last line that refuses, finishes or cancels the request, or `no terminal
  /// event in these logs`.
  std::string terminal_event;
  friend bool operator==(const RequestTimeline&,
                         const RequestTimeline&) = default;
};

/// Selects the lines of a request, including those of its placements at cell
/// owners, and sorts them by time. Lines of different VMs may be out of order
/// by the difference of their clocks.
[[nodiscard]] RequestTimeline BuildRequestTimeline(
    std::string_view request, const std::vector<std::string>& lines);

}  // namespace limpethaven
