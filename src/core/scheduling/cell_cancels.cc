#include "core/scheduling/cell_cancels.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Retention of ended reservations.
constexpr DurationMs kEndedRetentionMs = 10'000;
/// A cancel that the engine does not confirm is repeated for this long.
constexpr DurationMs kCancelTimeoutMs = 60'000;

}  // namespace

CancelList::CancelList(DurationMs period_ms) : retry_ms(period_ms) {}

void CancelList::Add(std::string_view id, const std::string& engine,
                     const std::string& request_id, bool orphan, TimeMs now) {
  this->rows.try_emplace(std::string(id),
                         Row{engine, request_id, orphan, now, now});
}

void CancelList::Done(std::string_view id) {
  const auto row = this->rows.find(id);
  if (row != this->rows.end()) this->rows.erase(row);
}

std::vector<CancelCommand> CancelList::Due(TimeMs now) {
  std::vector<CancelCommand> due;
  std::erase_if(this->rows, [now](const auto& row) {
    return now - row.second.first_at >= kCancelTimeoutMs;
  });
  std::ranges::for_each(this->rows, [&](auto& entry) {
    Row& row = entry.second;
    if (now < row.next_at) return;
    row.next_at = now + this->retry_ms;
    due.push_back(
        CancelCommand{row.engine, row.request_id, entry.first, row.orphan});
  });
  return due;
}

void EndedReservations::Add(const std::string& id, TimeMs now) {
  this->ids.insert(id);
  this->by_time.emplace_back(now, id);
}

void EndedReservations::Remove(std::string_view id) {
  this->ids.erase(std::string(id));
}

bool EndedReservations::Contains(std::string_view id) const {
  return this->ids.contains(std::string(id));
}

void EndedReservations::Evict(TimeMs now) {
  while (!this->by_time.empty() &&
         now - this->by_time.front().first >= kEndedRetentionMs) {
    this->ids.erase(this->by_time.front().second);
    this->by_time.pop_front();
  }
}

}  // namespace limpethaven
