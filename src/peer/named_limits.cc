#include "peer/named_limits.h"

#include <algorithm>
#include <iterator>

#include "limpethaven/endpoint_limits.h"

namespace limpethaven {

void NamedLimits::OnNotice(const CellNotice& notice, TimeMs now) {
  auto& limits = this->rows[notice.cell];
  limits.erase(notice.engine);
  if (notice.max_per_s) {
    limits.emplace(notice.engine, Limit{*notice.max_per_s, now});
  }
}

std::vector<EngineLimit> NamedLimits::Of(const std::string& cell, TimeMs now) {
  std::vector<EngineLimit> limits;
  const auto found = this->rows.find(cell);
  if (found == this->rows.end()) return limits;
  std::erase_if(found->second, [now](const auto& row) {
    return now - row.second.named_at >= kLimitRetentionMs;
  });
  std::ranges::transform(found->second, std::back_inserter(limits),
                         [now](const auto& row) {
                           return EngineLimit{row.first, row.second.max_per_s,
                                              now - row.second.named_at};
                         });
  return limits;
}

}  // namespace limpethaven
