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
  team.queued_tokens += item.cost;
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
      return this->Charge(id);
    }
    if (++entry.bypass_count > this->max_bypass_count) return std::nullopt;
  }
  return std::nullopt;
}

std::optional<QueueItem> FairQueue::PopMostUrgent(
    const std::function<bool(const QueueItem&)>& fits) {
  if (this->expiries.empty()) return std::nullopt;
  const std::string id = this->expiries.begin()->id;
  if (!fits(this->entries.at(id).item)) return std::nullopt;
  return this->Charge(id);
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

Tokens FairQueue::QueuedTokens(const std::string& team) const {
  const auto row = this->teams.find(team);
  return row == this->teams.end() ? 0 : row->second.queued_tokens;
}

QueueItem FairQueue::Charge(const std::string& id) {
  const QueueItem& item = this->entries.at(id).item;
  TeamRow& team = this->teams.at(item.team);
  TeamTag tag =
      this->team_tags.extract(TeamTag{team.start_tag, item.team}).value();
  this->virtual_time = std::max(this->virtual_time, tag.start_tag);
  team.start_tag = tag.start_tag + static_cast<double>(item.cost) /
                                       static_cast<double>(item.weight);
  tag.start_tag = team.start_tag;
  this->team_tags.insert(std::move(tag));
  return this->Take(id);
}

QueueItem FairQueue::Take(const std::string& id) {
  const auto found = this->entries.find(id);
  const Entry entry = std::move(found->second);
  this->entries.erase(found);
  this->expiries.erase(ItemExpiry{entry.item.latest_start, entry.item.id});
  TeamRow& team = this->teams.at(entry.item.team);
  team.items.erase(
      TeamItem{entry.item.sort_key, entry.sequence, entry.item.id});
  team.queued_tokens -= entry.item.cost;
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
