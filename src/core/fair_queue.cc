#include "limpethaven/fair_queue.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Team heads that one search looks at.
constexpr std::int64_t kMaxHeadsPerSearch = 64;

}  // namespace

FairQueue::FairQueue(std::int64_t bypass) : max_bypass(bypass) {}

void FairQueue::Push(QueueItem item) {
  const std::uint64_t sequence = this->next_sequence++;
  TeamRow& team = this->teams[item.team];
  if (team.waiting.empty()) {
    team.start_tag = std::max(team.start_tag, this->virtual_time);
    this->turns.insert(Turn{team.start_tag, item.team});
  }
  team.waiting.insert(Waiting{item.order, sequence, item.id});
  this->late.insert(Late{item.latest_start, item.id});
  this->queued_tokens += item.cost;
  const std::string id = item.id;
  this->entries.insert_or_assign(id, Entry{std::move(item), sequence, 0});
}

std::optional<QueueItem> FairQueue::PopFirst(
    const std::function<bool(const QueueItem&)>& fits) {
  std::int64_t examined = 0;
  for (const Turn& turn : this->turns) {
    if (++examined > kMaxHeadsPerSearch) return std::nullopt;
    const std::string id = this->teams.at(turn.team).waiting.begin()->id;
    Entry& entry = this->entries.at(id);
    if (fits(entry.item)) {
      TeamRow& team = this->teams.at(turn.team);
      const Turn taken = this->turns.extract(turn).value();
      this->virtual_time = std::max(this->virtual_time, taken.start_tag);
      team.start_tag =
          taken.start_tag + static_cast<double>(entry.item.cost) /
                                static_cast<double>(entry.item.weight);
      this->turns.insert(Turn{team.start_tag, taken.team});
      return this->Take(id);
    }
    if (++entry.bypassed > this->max_bypass) return std::nullopt;
  }
  return std::nullopt;
}

std::vector<QueueItem> FairQueue::PopLate(TimeMs now) {
  std::vector<QueueItem> items;
  while (!this->late.empty() && this->late.begin()->latest_start < now) {
    items.push_back(this->Take(this->late.begin()->id));
  }
  return items;
}

bool FairQueue::Remove(std::string_view id) {
  const std::string key(id);
  if (!this->entries.contains(key)) return false;
  static_cast<void>(this->Take(key));
  return true;
}

std::size_t FairQueue::Size() const noexcept { return this->entries.size(); }

Tokens FairQueue::QueuedTokens() const noexcept { return this->queued_tokens; }

QueueItem FairQueue::Take(const std::string& id) {
  const auto found = this->entries.find(id);
  const Entry entry = std::move(found->second);
  this->entries.erase(found);
  this->late.erase(Late{entry.item.latest_start, entry.item.id});
  TeamRow& team = this->teams.at(entry.item.team);
  team.waiting.erase(Waiting{entry.item.order, entry.sequence, entry.item.id});
  if (team.waiting.empty()) {
    this->turns.erase(Turn{team.start_tag, entry.item.team});
    if (team.start_tag <= this->virtual_time) {
      this->teams.erase(entry.item.team);
    }
  }
  this->queued_tokens -= entry.item.cost;
  return entry.item;
}

}  // namespace limpethaven
