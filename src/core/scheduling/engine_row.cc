#include <algorithm>

#include "core/scheduling/cell_engines.h"

namespace limpethaven {

PrefixCacheView::PrefixCacheView(std::size_t max_blocks)
    : capacity(max_blocks) {}

void PrefixCacheView::Add(std::uint64_t block) {
  this->Remove(block);
  this->by_last_added.push_front(block);
  this->positions.emplace(block, this->by_last_added.begin());
  if (this->by_last_added.size() <= this->capacity) return;
  this->positions.erase(this->by_last_added.back());
  this->by_last_added.pop_back();
}

void PrefixCacheView::Remove(std::uint64_t block) {
  const auto position = this->positions.find(block);
  if (position == this->positions.end()) return;
  this->by_last_added.erase(position->second);
  this->positions.erase(position);
}

std::size_t PrefixCacheView::Match(
    const std::vector<std::uint64_t>& prefix) const {
  const auto miss = std::ranges::find_if_not(
      prefix,
      [this](std::uint64_t block) { return this->positions.contains(block); });
  return static_cast<std::size_t>(miss - prefix.begin());
}

void EngineRow::OnServed(TimeMs now) {
  this->reported_at = now;
  if (now >= this->refusing_until) this->refusals = 0;
}

void EngineRow::OnRefused(const CellSettings& settings, TimeMs now) {
  // Refusals during the cool-down are those of requests placed before it.
  if (now < this->refusing_until) return;
  // The limit keeps the shift from overflowing.
  const std::int64_t doublings = std::min<std::int64_t>(this->refusals++, 16);
  this->refusing_until =
      now + std::min(settings.max_refusal_cooldown_ms,
                     settings.refusal_cooldown_ms << doublings);
}

bool EngineRow::CanPrefill() const {
  return this->spec.role == PoolRole::kPrefill ||
         this->spec.role == PoolRole::kMixed;
}

bool EngineRow::CanDecode() const {
  return this->spec.role == PoolRole::kDecode ||
         this->spec.role == PoolRole::kMixed;
}

DurationMs EngineRow::PrefillBacklogMs(TimeMs now) const {
  const DurationMs planned_ms = this->PlannedBacklogMs(now);
  if (this->outstanding.empty() || now <= this->outstanding.front().due_at) {
    return planned_ms;
  }
  DurationMs work_ms = 0;
  std::ranges::for_each(this->outstanding,
                        [&work_ms](const OutstandingPrompt& prompt) {
                          work_ms += prompt.compute_ms;
                        });
  return std::max(planned_ms, work_ms);
}

DurationMs EngineRow::PlannedBacklogMs(TimeMs now) const {
  return std::max<DurationMs>(0, this->prefill_busy_until - now);
}

DurationMs EngineRow::LastPromptMs(TimeMs now) const {
  if (this->outstanding.empty()) return 0;
  return std::max<DurationMs>(0, this->outstanding.back().first_token_at - now);
}

bool EngineRow::PrefillOverdue(TimeMs now) const {
  return !this->outstanding.empty() &&
         now > this->outstanding.front().overdue_at;
}

}  // namespace limpethaven
