#include "limpethaven/leaving_endpoints.h"

#include <algorithm>
#include <ostream>

namespace limpethaven {
namespace {

/// Time for which an endpoint is attached to messages. Gossip reaches all
/// processes in a fraction of it, and every message costs bytes.
constexpr DurationMs kSendForMs = 10'000;

}  // namespace

std::ostream& operator<<(std::ostream& out, const LeavingEndpoint& endpoint) {
  return out << endpoint.id << '#' << endpoint.born;
}

bool LeavingEndpoints::Add(const LeavingEndpoint& endpoint, TimeMs now) {
  if (this->Contains(endpoint.id, endpoint.born)) return false;
  this->rows.insert_or_assign(endpoint.id,
                              Row{endpoint.born, now, this->next_number++, 0});
  this->sent_until = now + kSendForMs;
  if (this->rows.size() > kMaxCount) {
    this->rows.erase(std::ranges::min_element(
        this->rows, {}, [](const auto& entry) { return entry.second.number; }));
  }
  return true;
}

bool LeavingEndpoints::Contains(std::string_view id, std::int64_t born) const {
  const auto row = this->rows.find(id);
  return row != this->rows.end() && born <= row->second.born;
}

std::vector<LeavingEndpoint> LeavingEndpoints::Outgoing(std::size_t count,
                                                        TimeMs now) {
  if (now >= this->sent_until) return {};
  using Entry = std::pair<const std::string, Row>;
  std::vector<Entry*> recent;
  std::ranges::for_each(this->rows, [&](Entry& entry) {
    if (now - entry.second.added_at < kSendForMs) recent.push_back(&entry);
  });
  const std::size_t sent = std::min(count, recent.size());
  std::ranges::partial_sort(
      recent, recent.begin() + static_cast<std::ptrdiff_t>(sent), {},
      [](const Entry* entry) { return entry->second.transmissions; });
  recent.resize(sent);
  std::vector<LeavingEndpoint> outgoing;
  std::ranges::transform(
      recent, std::back_inserter(outgoing), [](Entry* entry) {
        ++entry->second.transmissions;
        return LeavingEndpoint{entry->first, entry->second.born};
      });
  return outgoing;
}

std::size_t LeavingEndpoints::Size() const noexcept {
  return this->rows.size();
}

}  // namespace limpethaven
