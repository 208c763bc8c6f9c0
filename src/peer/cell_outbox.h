/// @file
/// Reports of one process that wait to be sent to the owners of cells.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "peer/cell_messages.h"
#include "peer/peer_link.h"

namespace limpethaven {

inline constexpr std::string_view kCellReportPath = "/peer/v1/cell_news";

/// Reports to send, one for each owner.
class CellOutbox {
 public:
  /// The report to an owner that the next `Flush` sends.
  [[nodiscard]] CellReport& For(const std::string& owner);
  /// Sends all reports. A lost report is not sent again.
  /// @returns the report to this process, which is not sent.
  /// @param self Address of this process.
  [[nodiscard]] std::optional<CellReport> Flush(PeerLink& link,
                                                const std::string& self);

 private:
  std::unordered_map<std::string, CellReport> reports;  ///< Keyed by owner.
};

}  // namespace limpethaven
