#include "peer/reported_limits.h"

#include <algorithm>
#include <iterator>

#include "limpethaven/endpoint_limits.h"

namespace limpethaven {

void ReportedLimits::OnReport(const std::string& owner,
                              const CellNotice& notice, TimeMs now) {
  CellLimits& reported = this->rows[notice.cell];
  if (reported.owner.empty()) reported.owner = owner;
  reported.engines.erase(notice.engine);
  if (notice.max_per_s) {
    reported.engines.emplace(notice.engine, Limit{*notice.max_per_s, now});
  }
}

std::vector<EngineLimit> ReportedLimits::TakeFor(const std::string& cell,
                                                 const std::string& owner,
                                                 TimeMs now) {
  std::vector<EngineLimit> limits;
  const auto found = this->rows.find(cell);
  if (found == this->rows.end()) return limits;
  CellLimits& reported = found->second;
  if (reported.owner == owner) return limits;
  reported.owner = owner;
  const TimeMs oldest = now - kLimitRetentionMs;
  std::erase_if(reported.engines, [oldest](const auto& row) {
    return row.second.reported_at < oldest;
  });
  std::ranges::transform(reported.engines, std::back_inserter(limits),
                         [](const auto& row) {
                           return EngineLimit{row.first, row.second.max_per_s};
                         });
  return limits;
}

}  // namespace limpethaven
