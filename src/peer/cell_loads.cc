#include "peer/cell_loads.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// The load of another cell is ignored when it is older than this.
constexpr DurationMs kLoadTtlMs = 500;
/// A request is redirected only to a cell whose headroom is at least this many
/// times the tokens of the prompt.
constexpr Tokens kRedirectHeadroomFactor = 4;

}  // namespace

void CellLoads::OnLoad(const std::string& cell, const CellLoad& load,
                       TimeMs now) {
  this->rows.insert_or_assign(cell, RemoteLoad{load, now});
}

std::string CellLoads::TakeRedirect(const std::vector<CellSpec>& cells,
                                    const CellSpec& cell, Tokens tokens,
                                    TimeMs now) {
  std::string best;
  Tokens best_headroom = 0;
  std::ranges::for_each(cells, [&](const CellSpec& other) {
    if (other.model != cell.model || other.name == cell.name) return;
    const auto row = this->rows.find(other.name);
    if (row == this->rows.end()) return;
    const RemoteLoad& remote = row->second;
    const bool eligible =
        now - remote.received_at <= kLoadTtlMs && remote.load.waiting == 0 &&
        remote.load.headroom_tokens >= kRedirectHeadroomFactor * tokens;
    if (!eligible || remote.load.headroom_tokens <= best_headroom) return;
    best = other.name;
    best_headroom = remote.load.headroom_tokens;
  });
  // Redirected requests count against the cell's headroom until its next load
  // arrives.
  if (!best.empty()) this->rows[best].load.headroom_tokens -= tokens;
  return best;
}

}  // namespace limpethaven
