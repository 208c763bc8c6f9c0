#include "peer/cell_outbox.h"

#include <algorithm>
#include <utility>

namespace limpethaven {
namespace {

constexpr DurationMs kReportTimeoutMs = 500;

}  // namespace

CellReport& CellOutbox::For(const std::string& owner) {
  return this->reports[owner];
}

std::optional<CellReport> CellOutbox::Flush(PeerLink& link,
                                            const std::string& self) {
  std::optional<CellReport> own;
  auto batches = std::exchange(this->reports, {});
  std::ranges::for_each(batches, [&](auto& entry) {
    if (entry.first == self) {
      own = std::move(entry.second);
      return;
    }
    const nlohmann::json body = entry.second;
    Spawn(link.GetLoop(),
          [&link, owner = entry.first, text = body.dump()]() -> Task<> {
            const Result<std::string> ignored =
                co_await link.Call(owner, std::string(kCellReportPath), text,
                                   LoopNow() + kReportTimeoutMs);
            // A lost report is not sent again. The next renewal or load takes
            // the place of a lost one, and a reservation whose end was not
            // reported ends with its lease. Other lost notices are not
            // replaced.
            static_cast<void>(ignored);
          });
  });
  return own;
}

}  // namespace limpethaven
