#include "limpethaven/fair_queue.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Number of team heads that one search examines at most.
constexpr std::int64_t kMaxHeadsPerSearch = 64;

}  // namespace

FairQueue::FairQueue(std::int64_t max_bypass) : max_bypass_count(max_bypass) {}

void FairQueue::Push(QueueItem item) {
  const std::uint64_t sequence = this->next_sequence++;
  TeamRow& team = this->teams[item.team];
  if (team.items.empty()) {
    team.start_tag = std::max(team.start_tag, this->virtual_time);
    this->team_tags.insert(TeamTag{team.start_tag, item.team});
  }
  team.items.insert(TeamItem{item.sort_key, sequence, item.id});
  this->expiries.insert(ItemExpiry{item.latest_start, item.id});
  this->queued_tokens += item.cost;
  const std::string id = item.id;
  this->entries.insert_or_assign(id, Entry{std::move(item), sequence, 0});
}

std::optional<QueueItem> FairQueue::PopFirst(
    const std::function<bool(const QueueItem&)>& fits) {
  std::int64_t examined = 0;
  for (const TeamTag& tag : this->team_tags) {
    if (++examined > kMaxHeadsPerSearch) return std::nullopt;
    const std::string id = this->teams.at(tag.team).items.begin()->id;
    Entry& entry = this->entries.at(id);
    if (fits(entry.item)) {
      TeamRow& team = this->teams.at(tag.team);
      const TeamTag taken = this->team_tags.extract(tag).value();
      this->virtual_time = std::max(this->virtual_time, taken.start_tag);
      team.start_tag =
          taken.start_tag + static_cast<double>(entry.item.cost) /
                                static_cast<double>(entry.item.weight);
      this->team_tags.insert(TeamTag{team.start_tag, taken.team});
      return this->Take(id);
    }
    if (++entry.bypass_count > this->max_bypass_count) return std::nullopt;
  }
  return std::nullopt;
}

std::vector<QueueItem> FairQueue::PopLate(TimeMs now) {
  std::vector<QueueItem> items;
  while (!this->expiries.empty() &&
         this->expiries.begin()->latest_start < now) {
    items.push_back(this->Take(this->expiries.begin()->id));
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
  this->expiries.erase(ItemExpiry{entry.item.latest_start, entry.item.id});
  TeamRow& team = this->teams.at(entry.item.team);
  team.items.erase(
      TeamItem{entry.item.sort_key, entry.sequence, entry.item.id});
  if (team.items.empty()) {
    this->team_tags.erase(TeamTag{team.start_tag, entry.item.team});
    if (team.start_tag <= this->virtual_time) {
      this->teams.erase(entry.item.team);
    }
  }
  this->queued_tokens -= entry.item.cost;
  return entry.item;
}

}  // namespace limpethaven
