/// @file
/// Endpoints that have said themselves that they are leaving, in their answers.
///
/// An endpoint's own word holds for its whole incarnation, whatever the source
/// announces: the source lags behind and may be unreachable, and nothing that
/// it announces later can take back a request that the endpoint no longer
/// serves. Processes exchange what they have heard.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// One incarnation of an endpoint that is leaving.
struct LeavingEndpoint {
  std::string id;
  std::int64_t born = 0;  ///< `EndpointRecord::born`.
  friend auto operator<=>(const LeavingEndpoint&,
                          const LeavingEndpoint&) = default;
};

std::ostream& operator<<(std::ostream& out, const LeavingEndpoint& endpoint);

/// The endpoints that one process knows to be leaving. Not thread safe; reads
/// no clock.
class LeavingEndpoints {
 public:
  /// Most endpoints that are remembered; beyond it the one that was added first
  /// is forgotten.
  static constexpr std::size_t kMaxCount = 4096;

  /// @returns whether this is news.
  bool Add(const LeavingEndpoint& endpoint, TimeMs now);
  /// Whether this incarnation, or a later one, has said that it is leaving.
  [[nodiscard]] bool Contains(std::string_view id, std::int64_t born) const;
  /// Endpoints to tell a peer of: the `count` that were sent least often, each
  /// only for some time after it was added.
  [[nodiscard]] std::vector<LeavingEndpoint> Outgoing(std::size_t count,
                                                      TimeMs now);
  [[nodiscard]] std::size_t Size() const noexcept;

 private:
  struct Row {
    std::int64_t born = 0;
    TimeMs added_at = 0;
    std::uint64_t number = 0;  ///< Order in which rows were added.
    std::int64_t transmissions = 0;
  };

  std::map<std::string, Row, std::less<>> rows;  ///< Keyed by endpoint id.
  std::uint64_t next_number = 0;
  /// No row is sent any more from this time on.
  TimeMs sent_until = 0;
};

}  // namespace limpethaven
