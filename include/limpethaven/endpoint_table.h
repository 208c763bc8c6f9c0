/// @file
/// The endpoints that announce themselves, as one process knows them.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"

namespace limpethaven {

/// One lifetime of an endpoint, as it announced itself.
struct EndpointRecord {
  std::string id;         ///< Name under which it announced itself.
  std::int64_t born = 0;  ///< Start of this lifetime; grows with each start.
  std::string address;    ///< `IP:port`.
  std::string data_centre;
  std::string pool;
  PoolRole role = PoolRole::kService;
  std::int64_t slots = 1;  ///< Requests that it runs at once.
  bool leaving = false;    ///< Takes no new work.
  friend auto operator<=>(const EndpointRecord&,
                          const EndpointRecord&) = default;
};

std::ostream& operator<<(std::ostream& out, const EndpointRecord& endpoint);

/// Announced endpoints by id. Not thread safe.
///
/// News carries the source's revision; older news of the same endpoint changes
/// nothing, so that peers and the source can tell it in any order.
class EndpointTable {
 public:
  /// Takes in what an endpoint announced at `revision`.
  /// @returns true when that is news.
  bool Put(const EndpointRecord& endpoint, std::uint64_t revision);
  /// The endpoint is gone as of `revision`. @returns true when that is news.
  bool Remove(std::string_view id, std::uint64_t revision);
  /// The source names exactly these at `revision`. Others are gone, or stay
  /// until `keep_missing_until` where that lies ahead of `now`.
  /// @returns ids of those that are gone.
  std::vector<std::string> Replace(const std::vector<EndpointRecord>& endpoints,
                                   std::uint64_t revision,
                                   TimeMs keep_missing_until, TimeMs now);
  /// Removes the missing ones whose time is over. @returns their ids.
  std::vector<std::string> Expire(TimeMs now);

  /// The endpoint, leaving or not, or null.
  [[nodiscard]] const EndpointRecord* Find(std::string_view id) const;
  /// Endpoints of a pool that take new work.
  [[nodiscard]] std::vector<const EndpointRecord*> Usable(
      std::string_view pool) const;
  /// All that are not gone.
  [[nodiscard]] std::vector<EndpointRecord> All() const;
  /// Highest revision taken in.
  [[nodiscard]] std::uint64_t Revision() const noexcept;
  /// News after a revision: what was announced, and ids of those gone.
  struct Changes {
    std::vector<std::pair<EndpointRecord, std::uint64_t>> announced;
    std::vector<std::pair<std::string, std::uint64_t>> gone;
  };
  [[nodiscard]] Changes ChangesAfter(std::uint64_t revision) const;

 private:
  struct Row {
    EndpointRecord endpoint;
    std::uint64_t revision = 0;
    bool gone = false;
    TimeMs missing_until = 0;  ///< Missing at the source; 0: not missing.
  };

  NamedTable<Row> rows;  ///< By id; gone rows stay, to know old news.
  std::uint64_t highest = 0;
};

}  // namespace limpethaven
