#include "limpethaven/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace limpethaven {
namespace {

/// Part of the allowed retries that may be made. The rest is a margin: a
/// request may reach its endpoint in a later window than the one in which it
/// was counted here, so the endpoint's window can hold fewer requests for the
/// same retries.
constexpr double kUsableRatio = 0.85;

}  // namespace

RetryBudget::RetryBudget(RetrySettings retry_settings,
                         TimeMs process_started_at) noexcept
    : settings(retry_settings), started_at(process_started_at) {}

void RetryBudget::Configure(const RetrySettings& next) noexcept {
  this->settings = next;
}

void RetryBudget::SetProcessCount(std::int64_t count) noexcept {
  this->processes = std::max<std::int64_t>(1, count);
}

void RetryBudget::OnRequest(TimeMs now) noexcept {
  ++this->CurrentSlot(now).requests;
}

bool RetryBudget::TryRetry(TimeMs now) noexcept {
  if (this->RetriesLeft(now) < 1.0) return false;
  this->OnRetry(now);
  return true;
}

void RetryBudget::OnRetry(TimeMs now) noexcept {
  ++this->CurrentSlot(now).retries;
}

void RetryBudget::Reserve() noexcept { ++this->reserved; }

void RetryBudget::Release() noexcept { --this->reserved; }

void RetryBudget::OnRetryAfterSilence(std::string_view endpoint) {
  ++this->silent.try_emplace(std::string(endpoint), 0).first->second;
  ++this->silent_sum;
}

void RetryBudget::OnAnswer(std::string_view endpoint, TimeMs now) {
  if (this->silent.empty()) return;
  this->EndSilence([endpoint](const std::string& id) { return id == endpoint; },
                   now);
}

void RetryBudget::EndSilence(
    const std::function<bool(const std::string&)>& gone, TimeMs now) {
  std::erase_if(this->silent, [&](const auto& row) {
    if (!gone(row.first)) return false;
    this->CurrentSlot(now).retries += row.second;
    this->silent_sum -= row.second;
    return true;
  });
}

double RetryBudget::RetriesLeft(TimeMs now) noexcept {
  Slot& present = this->CurrentSlot(now);
  present.processes = std::max(present.processes, this->processes);
  const Slot sum =
      std::accumulate(this->slots.begin(), this->slots.end(), Slot{},
                      [](const Slot& left, const Slot& right) {
                        return Slot{left.requests + right.requests,
                                    left.retries + right.retries,
                                    std::max(left.processes, right.processes)};
                      });
  // The oldest slot lies only partly inside the window. To stay below the
  // limit, its retries count and its requests do not.
  const auto oldest =
      static_cast<std::size_t>(this->current + 1) % this->slots.size();
  const auto requests =
      static_cast<double>(sum.requests - this->slots[oldest].requests);
  const bool initial = now - this->started_at < this->settings.initial_ms;
  const double extra = initial ? 0.0
                               : this->settings.extra_retries /
                                     static_cast<double>(sum.processes);
  const double allowed = this->settings.ratio * requests + extra;
  return kUsableRatio * allowed -
         static_cast<double>(sum.retries + this->reserved + this->silent_sum);
}

RetryBudget::Slot& RetryBudget::CurrentSlot(TimeMs now) noexcept {
  this->Advance(now);
  return this
      ->slots[static_cast<std::size_t>(this->current) % this->slots.size()];
}

void RetryBudget::Advance(TimeMs now) noexcept {
  const DurationMs slot_ms = std::max<DurationMs>(
      1, this->settings.window_ms / static_cast<DurationMs>(kSlotCount));
  const std::int64_t slot_number = now / slot_ms;
  if (!this->started) this->current = slot_number;
  this->started = true;
  const auto size = static_cast<std::int64_t>(this->slots.size());
  const std::int64_t steps = std::min(slot_number - this->current, size);
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto index = static_cast<std::size_t>(this->current + step);
    this->slots[index % this->slots.size()] = Slot{};
  }
  this->current = std::max(this->current, slot_number);
}

}  // namespace limpethaven
