#include "core/scheduling/cell_queue.h"

#include <algorithm>
#include <utility>

namespace limpethaven {
namespace {

/// Ratio of the usable memory that queued work is expected to use; the engines
/// are never all full at the same time.
constexpr double kExpectedMemoryUtilizationRatio = 0.85;
/// Number of searches of a queue that may reject the first request of a team.
/// Searches that reject it after that end there, so that smaller requests of
/// other teams cannot starve it.
constexpr std::int64_t kMaxBypassCount = 64;

}  // namespace

CellQueue::CellQueue(const CellSettings& cell_settings,
                     CellEngines& cell_engines)
    : settings(cell_settings),
      engines(cell_engines),
      late_queue(kMaxBypassCount) {}

void CellQueue::Submit(PlacementRequest request, Tokens expected, TimeMs now) {
  const std::string id = request.request_id;
  WaitingRow row;
  row.expected = expected;
  const DurationMs patience = std::max(request.patience_ms, request.budget_ms);
  const DurationMs idle_prefill_ms =
      this->engines.IdlePrefillMs(request.prompt_tokens);
  row.submitted_at = now;
  row.first_token_due_at = now + request.budget_ms;
  row.give_up_at =
      request.patience_ms == 0
          ? now
          : now + std::max<DurationMs>(0, patience - idle_prefill_ms);
  // The output grows from 0 to the expected tokens while the generation runs.
  const double mean_held_output_tokens = static_cast<double>(row.expected) / 2;
  row.token_ms =
      (static_cast<double>(request.prompt_tokens) + mean_held_output_tokens) *
      (static_cast<double>(row.expected) / this->engines.DecodeTokensPerMs() +
       static_cast<double>(idle_prefill_ms));
  row.request = std::move(request);
  this->queued_token_ms += row.token_ms;
  this->Push(id, row);
  this->waiting.insert_or_assign(id, std::move(row));
  this->submitted_since_shed.push_back(id);
}

void CellQueue::Remove(const std::string& request_id) {
  if (!this->waiting.contains(request_id)) return;
  this->RemoveFromQueues(request_id);
  static_cast<void>(this->TakeRow(request_id));
}

std::vector<RefuseCommand> CellQueue::HandleLate(TimeMs now) {
  std::vector<RefuseCommand> refusals;
  std::vector<QueueItem> late;
  std::ranges::for_each(this->on_time_queues, [&](auto& entry) {
    std::ranges::move(entry.second.PopLate(now), std::back_inserter(late));
  });
  std::ranges::for_each(late, [&](const QueueItem& item) {
    WaitingRow& row = this->waiting.at(item.id);
    row.late = true;
    if (now < row.give_up_at) {
      this->Push(item.id, row);
      return;
    }
    const DurationMs waited_ms = now - row.submitted_at;
    static_cast<void>(this->TakeRow(item.id));
    refusals.push_back(this->Refusal(
        item.id, ErrorKind::kDeadline,
        "the first token cannot come within its target: the request was "
        "queued for " +
            std::to_string(waited_ms) + " ms",
        this->ExpectedWaitMs()));
  });
  const std::vector<QueueItem> timed_out = this->late_queue.PopLate(now);
  std::ranges::for_each(timed_out, [&](const QueueItem& item) {
    static_cast<void>(this->TakeRow(item.id));
    // The sort key of the late queue is the time of submission.
    refusals.push_back(
        this->Refusal(item.id, ErrorKind::kDeadline,
                      "no engine could take the request in " +
                          std::to_string(now - item.sort_key) +
                          " ms of queueing, and its caller would time out "
                          "before the first token",
                      this->ExpectedWaitMs()));
  });
  return refusals;
}

void CellQueue::Admit(TimeMs now,
                      const std::function<void(const ReadyRequest&)>& place) {
  if (this->waiting.empty()) return;
  const auto drain = [&](FairQueue& queue) {
    while (const auto ready = this->PopFirst(queue, now)) place(*ready);
  };
  std::ranges::for_each(this->on_time_queues,
                        [&](auto& entry) { drain(entry.second); });
  drain(this->late_queue);
}

std::vector<RefuseCommand> CellQueue::ShedLoad(TimeMs now) {
  std::vector<RefuseCommand> refusals;
  const std::vector<std::string> submitted =
      std::exchange(this->submitted_since_shed, {});
  std::ranges::for_each(submitted, [&](const std::string& id) {
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) return;
    const WaitingRow& row = found->second;
    const DurationMs wait = this->ExpectedWaitMs(row.token_ms);
    const TimeMs latest = std::max(row.give_up_at, row.first_token_due_at);
    if (wait == 0 || now + wait <= latest) return;
    this->Remove(id);
    refusals.push_back(this->Refusal(id, ErrorKind::kCapacity,
                                     "the expected wait for an engine is " +
                                         std::to_string(wait) +
                                         " ms, the request can wait at most " +
                                         std::to_string(latest - now) + " ms",
                                     wait));
  });
  return refusals;
}

DurationMs CellQueue::ExpectedWaitMs(double excluded_token_ms) const {
  const double request_token_ms =
      this->queued_token_ms /
      static_cast<double>(std::max<std::size_t>(1, this->Size()));
  const double memory =
      kExpectedMemoryUtilizationRatio *
      static_cast<double>(this->engines.UsableMemory(request_token_ms));
  if (memory <= 0) return 0;
  return static_cast<DurationMs>(
      std::max(0.0, this->queued_token_ms - excluded_token_ms) / memory);
}

std::size_t CellQueue::Size() const noexcept { return this->waiting.size(); }

void CellQueue::Push(const std::string& id, const WaitingRow& row) {
  const PlacementRequest& request = row.request;
  const Tokens tokens = request.prompt_tokens + row.expected;
  if (row.late) {
    this->late_queue.Push(QueueItem{id, request.team, request.weight, tokens,
                                    row.submitted_at, row.give_up_at});
    return;
  }
  // Short requests first, since more of them meet their first-token target
  // with the same memory.
  const auto order = static_cast<std::int64_t>(row.token_ms);
  const TimeMs latest = row.first_token_due_at -
                        this->engines.IdlePrefillMs(request.prompt_tokens);
  this->on_time_queues.try_emplace(request.priority, FairQueue(kMaxBypassCount))
      .first->second.Push(
          QueueItem{id, request.team, request.weight, tokens, order, latest});
}

WaitingRow CellQueue::TakeRow(const std::string& id) {
  const auto found = this->waiting.find(id);
  WaitingRow row = std::move(found->second);
  this->waiting.erase(found);
  this->queued_token_ms -= row.token_ms;
  return row;
}

std::optional<ReadyRequest> CellQueue::PopFirst(FairQueue& queue, TimeMs now) {
  EngineChoice choice;
  const auto item = queue.PopFirst([&](const QueueItem& candidate) {
    const WaitingRow& row = this->waiting.at(candidate.id);
    const TimeMs due = row.late ? row.give_up_at : row.first_token_due_at;
    choice = this->engines.Choose(row.request, row.expected, due - now, now);
    return choice.decode != kNoEngine;
  });
  if (!item) return std::nullopt;
  return ReadyRequest{this->TakeRow(item->id), choice};
}

void CellQueue::RemoveFromQueues(const std::string& id) {
  std::ranges::for_each(this->on_time_queues,
                        [&id](auto& entry) { entry.second.Remove(id); });
  this->late_queue.Remove(id);
}

RefuseCommand CellQueue::Refusal(const std::string& request_id, ErrorKind kind,
                                 std::string message,
                                 DurationMs retry_after_ms) const {
  Error error = Error::Of(kind, std::move(message));
  error.retry_after_ms = std::max(error.retry_after_ms, retry_after_ms);
  return RefuseCommand{request_id, std::move(error)};
}

}  // namespace limpethaven
