#include "limpethaven/endpoint_pauses.h"

#include <algorithm>

namespace limpethaven {

bool EndpointPauses::Pause(std::string_view endpoint, DurationMs pause_ms,
                           TimeMs now) {
  if (pause_ms <= 0) return false;
  const bool paused_before = this->WaitMs(endpoint, now) > 0;
  TimeMs& until = this->paused_until[std::string(endpoint)];
  until = std::max(until, now + std::min(pause_ms, kMaxPauseMs));
  return !paused_before;
}

DurationMs EndpointPauses::WaitMs(std::string_view endpoint, TimeMs now) const {
  if (this->paused_until.empty()) return 0;
  const auto row = this->paused_until.find(std::string(endpoint));
  return row == this->paused_until.end()
             ? 0
             : std::max<DurationMs>(0, row->second - now);
}

std::vector<std::string> EndpointPauses::Paused(TimeMs now) const {
  std::vector<std::string> paused;
  std::ranges::for_each(this->paused_until, [&](const auto& row) {
    if (row.second > now) paused.push_back(row.first);
  });
  std::ranges::sort(paused);
  return paused;
}

std::vector<std::string> EndpointPauses::Expire(TimeMs now) {
  std::vector<std::string> ended;
  std::erase_if(this->paused_until, [&](const auto& row) {
    if (row.second > now) return false;
    ended.push_back(row.first);
    return true;
  });
  return ended;
}

std::size_t EndpointPauses::Size() const noexcept {
  return this->paused_until.size();
}

}  // namespace limpethaven
