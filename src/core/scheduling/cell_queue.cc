#include "core/scheduling/cell_queue.h"

#include <algorithm>
#include <limits>
#include <set>
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
/// Part of the starts that each less urgent priority gets at least, and that
/// the requests which are due first get within their priority. Without the
/// latter, long requests of a team would always be behind short ones.
constexpr double kMinStartsRatio = 0.05;
constexpr std::int64_t kStartsPerUrgentStart = 20;
/// Starts that a priority can be owed, so that a time without requests earns it
/// no more.
constexpr double kMaxCredit = 2;
/// A late request hardly begins in time when its caller times out within this
/// multiple of its prefill time.
constexpr DurationMs kSafePrefills = 2;
constexpr DurationMs kMinRetryAfterMs = 100;

}  // namespace

CellQueue::CellQueue(const CellSettings& cell_settings,
                     CellEngines& cell_engines)
    : settings(cell_settings),
      engines(cell_engines),
      late_queue(kMaxBypassCount),
      last_queue(kMaxBypassCount) {}

void CellQueue::SetRules(bool late_after_on_time, bool refuse_by_drain_rate) {
  this->settings.late_after_on_time = late_after_on_time;
  this->settings.refuse_by_drain_rate = refuse_by_drain_rate;
}

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
  if (!this->settings.refuse_by_drain_rate) return;
  const WaitingRow& queued = this->waiting.at(id);
  Demand& demand =
      this->demands[{queued.request.priority, queued.request.team}];
  demand.weight = queued.request.weight;
  demand.rate.Add(queued.request.prompt_tokens + queued.expected, now);
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
    std::ranges::move(entry.second.queue.PopLate(now),
                      std::back_inserter(late));
  });
  const auto refuse = [&](const std::string& id, std::string message) {
    const WaitingRow row = this->TakeRow(id);
    const DurationMs retry_ms = this->settings.refuse_by_drain_rate
                                    ? this->RetryAfterMs(row, now)
                                    : this->ExpectedWaitMs();
    refusals.push_back(
        this->Refusal(id, ErrorKind::kDeadline, std::move(message), retry_ms));
  };
  std::ranges::for_each(late, [&](const QueueItem& item) {
    const WaitingRow& row = this->waiting.at(item.id);
    const bool hopeless = row.judged && this->settings.refuse_by_drain_rate &&
                          this->drain.Known(now) && !this->StartsLate(row, now);
    if (now < row.give_up_at && !hopeless) return this->PushLate(item.id);
    refuse(item.id,
           "the first token cannot come within its target: the request was "
           "queued for " +
               std::to_string(now - row.submitted_at) + " ms");
  });
  std::vector<QueueItem> timed_out;
  std::ranges::for_each(this->late_queue.PopLate(now),
                        [&](const QueueItem& item) {
                          const WaitingRow& row = this->waiting.at(item.id);
                          if (now >= row.give_up_at) {
                            timed_out.push_back(item);
                            return;
                          }
                          QueueItem unlikely = item;
                          unlikely.latest_start = row.give_up_at;
                          this->last_queue.Push(std::move(unlikely));
                        });
  std::ranges::move(this->last_queue.PopLate(now),
                    std::back_inserter(timed_out));
  std::ranges::for_each(timed_out, [&](const QueueItem& item) {
    const DurationMs waited_ms = now - this->waiting.at(item.id).submitted_at;
    refuse(item.id, "no engine could take the request in " +
                        std::to_string(waited_ms) +
                        " ms of queueing, and its caller would time out "
                        "before the first token");
  });
  return refusals;
}

void CellQueue::Admit(TimeMs now,
                      const std::function<void(const ReadyRequest&)>& place) {
  if (this->waiting.empty()) return;
  if (this->settings.late_after_on_time) {
    return this->AdmitOnTimeFirst(now, place);
  }
  const auto drain_queue = [&](FairQueue& queue) {
    while (const auto ready = this->PopFirst(queue, now)) {
      place(*ready);
    }
  };
  std::ranges::for_each(this->on_time_queues,
                        [&](auto& entry) { drain_queue(entry.second.queue); });
  drain_queue(this->late_queue);
  // Not empty only after the rules were switched off.
  drain_queue(this->last_queue);
}

void CellQueue::AdmitOnTimeFirst(
    TimeMs now, const std::function<void(const ReadyRequest&)>& place) {
  std::set<std::int64_t> exhausted;
  const auto next_queue = [&] {
    const auto open = [&](const auto& entry) {
      return entry.second.queue.Size() > 0 && !exhausted.contains(entry.first);
    };
    const auto owed =
        std::ranges::find_if(this->on_time_queues, [&](const auto& entry) {
          return open(entry) && entry.second.credit >= 1;
        });
    return owed != this->on_time_queues.end()
               ? owed
               : std::ranges::find_if(this->on_time_queues, open);
  };
  for (auto queue = next_queue(); queue != this->on_time_queues.end();
       queue = next_queue()) {
    const std::optional<ReadyRequest> ready =
        this->PopOnTime(queue->second, now);
    if (!ready) {
      exhausted.insert(queue->first);
      continue;
    }
    this->CountStart(queue->first);
    place(*ready);
  }
  if (this->late_queue.Size() + this->last_queue.Size() == 0) return;
  if (this->OnTimeWaits()) return;
  while (const auto ready = this->PopFirst(this->late_queue, now)) {
    place(*ready);
  }
  while (const auto ready = this->PopFirst(this->last_queue, now)) {
    place(*ready);
  }
}

std::optional<ReadyRequest> CellQueue::PopOnTime(OnTimeQueue& on_time,
                                                 TimeMs now) {
  for (;;) {
    EngineChoice choice;
    std::vector<std::string> missing;
    const auto fits = [&](const QueueItem& candidate) {
      const WaitingRow& row = this->waiting.at(candidate.id);
      const DurationMs left_ms = row.first_token_due_at - now;
      choice = this->engines.Choose(row.request, row.expected, left_ms, now);
      if (choice.decode == kNoEngine) return false;
      const bool in_time = choice.first_token_ms <= left_ms;
      if (!in_time) missing.push_back(candidate.id);
      return in_time;
    };
    std::optional<QueueItem> item;
    bool held = false;
    if (on_time.starts >= kStartsPerUrgentStart) {
      item = on_time.queue.PopMostUrgent(fits);
      // Others would use the memory that it waits for. It holds them up for a
      // limited number of searches, as in `FairQueue`.
      held = !item && missing.empty() && ++on_time.holds <= kMaxBypassCount;
      if (!held) on_time.starts = 0;
      if (!held) on_time.holds = 0;
    }
    if (!item && !held) item = on_time.queue.PopFirst(fits);
    std::ranges::for_each(missing, [&](const std::string& id) {
      if (on_time.queue.Remove(id)) this->PushLate(id);
    });
    if (item) return ReadyRequest{this->TakeRow(item->id), choice};
    if (missing.empty()) return std::nullopt;
  }
}

void CellQueue::CountStart(std::int64_t priority) {
  std::ranges::for_each(this->on_time_queues, [priority](auto& entry) {
    OnTimeQueue& queue = entry.second;
    if (entry.first == priority) {
      ++queue.starts;
      queue.credit = std::max(0.0, queue.credit - 1);
    } else if (entry.first > priority) {
      // Kept while its requests are refused, so that one of them can start.
      queue.credit = std::min(kMaxCredit, queue.credit + kMinStartsRatio);
    }
  });
}

bool CellQueue::IsOwedStart(const PlacementRequest& request) const {
  const OnTimeQueue& queue = this->on_time_queues.at(request.priority);
  return queue.credit >= 1 && queue.queue.Size() == 1;
}

bool CellQueue::OnTimeWaits() const {
  return std::ranges::any_of(this->waiting, [this](const auto& entry) {
    return !entry.second.late &&
           this->engines.AnyUsableFor(entry.second.request);
  });
}

std::vector<RefuseCommand> CellQueue::ShedLoad(TimeMs now) {
  std::vector<RefuseCommand> refusals;
  const std::vector<std::string> submitted =
      std::exchange(this->submitted_since_shed, {});
  const bool by_rate =
      this->settings.refuse_by_drain_rate && this->drain.Known(now);
  std::ranges::for_each(submitted, [&](const std::string& id) {
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) return;
    found->second.judged = true;
    if (by_rate) {
      auto refusal = this->JudgeByDrainRate(id, now);
      if (refusal) refusals.push_back(std::move(*refusal));
      return;
    }
    const WaitingRow& row = found->second;
    const DurationMs wait = this->ExpectedWaitMs(row.token_ms);
    const TimeMs latest = std::max(row.give_up_at, row.first_token_due_at);
    if (wait == 0 || now + wait <= latest) return;
    this->RemoveFromQueues(id);
    const WaitingRow refused = this->TakeRow(id);
    refusals.push_back(this->Refusal(
        id, ErrorKind::kCapacity,
        "the expected wait for an engine is " + std::to_string(wait) +
            " ms, the request can wait at most " +
            std::to_string(latest - now) + " ms",
        this->settings.refuse_by_drain_rate ? this->RetryAfterMs(refused, now)
                                            : wait));
    refusals.back().estimate_ms = wait;
    refusals.back().allowed_ms = latest - now;
  });
  return refusals;
}

std::optional<RefuseCommand> CellQueue::JudgeByDrainRate(const std::string& id,
                                                         TimeMs now) {
  const WaitingRow& row = this->waiting.at(id);
  const PlacementRequest& request = row.request;
  // A request that is not late is among the queued ones already.
  const DurationMs estimate_ms = this->WaitFor(
      request, row.late ? request.prompt_tokens + row.expected : 0, now);
  const DurationMs allowed_ms =
      row.first_token_due_at - now -
      this->engines.IdlePrefillMs(request.prompt_tokens);
  if (!row.late && estimate_ms <= allowed_ms) return std::nullopt;
  if (!row.late && this->IsOwedStart(request)) return std::nullopt;
  if (this->StartsLate(row, now)) {
    if (!row.late) {
      this->RemoveFromQueues(id);
      this->PushLate(id);
    }
    return std::nullopt;
  }
  const DurationMs late_allowed_ms = row.give_up_at - now;
  this->RemoveFromQueues(id);
  const WaitingRow refused = this->TakeRow(id);
  RefuseCommand refusal = this->Refusal(
      id, ErrorKind::kCapacity,
      "the expected wait for an engine is " + std::to_string(estimate_ms) +
          " ms, the request can wait at most " +
          std::to_string(std::max(allowed_ms, late_allowed_ms)) + " ms",
      this->RetryAfterMs(refused, now));
  refusal.estimate_ms = estimate_ms;
  refusal.allowed_ms = allowed_ms;
  refusal.drain_tokens_per_ms = this->drain.TokensPerMs(now);
  return refusal;
}

double CellQueue::RateFor(const PlacementRequest& request, TimeMs now) {
  const double all_per_ms = this->drain.TokensPerMs(now);
  double more_urgent_per_ms = 0;
  double other_teams_per_ms = 0;
  double weights = static_cast<double>(request.weight);
  std::ranges::for_each(this->demands, [&](auto& entry) {
    const double per_ms = entry.second.rate.TokensPerMs(now);
    if (per_ms <= 0) return;
    if (entry.first.first < request.priority) more_urgent_per_ms += per_ms;
    if (entry.first.first != request.priority) return;
    if (entry.first.second == request.team) return;
    other_teams_per_ms += per_ms;
    weights += static_cast<double>(entry.second.weight);
  });
  const double left_per_ms =
      std::max(kMinStartsRatio * all_per_ms, all_per_ms - more_urgent_per_ms);
  return std::max(left_per_ms * static_cast<double>(request.weight) / weights,
                  left_per_ms - other_teams_per_ms);
}

DurationMs CellQueue::WaitFor(const PlacementRequest& request, Tokens tokens,
                              TimeMs now) {
  const double all_per_ms = this->drain.TokensPerMs(now);
  const auto queue = this->on_time_queues.find(request.priority);
  const Tokens own_team = queue == this->on_time_queues.end()
                              ? 0
                              : queue->second.queue.QueuedTokens(request.team);
  return static_cast<DurationMs>(
      static_cast<double>(this->MoreUrgentWork(request.priority)) / all_per_ms +
      static_cast<double>(own_team + tokens) / this->RateFor(request, now));
}

std::optional<DurationMs> CellQueue::LateWaitMs(Tokens tokens, TimeMs now) {
  double spare_per_ms = this->drain.TokensPerMs(now);
  std::ranges::for_each(this->demands, [&](auto& entry) {
    spare_per_ms -= entry.second.rate.TokensPerMs(now);
  });
  if (spare_per_ms <= 0) return std::nullopt;
  const Tokens ahead =
      this->MoreUrgentWork(std::numeric_limits<std::int64_t>::max()) +
      this->late_queue.QueuedTokens();
  return static_cast<DurationMs>(static_cast<double>(ahead + tokens) /
                                 spare_per_ms);
}

bool CellQueue::StartsLate(const WaitingRow& row, TimeMs now) {
  // A late one is among the queued ones already.
  const std::optional<DurationMs> wait_ms = this->LateWaitMs(
      row.late ? 0 : row.request.prompt_tokens + row.expected, now);
  return wait_ms && now + *wait_ms <= row.give_up_at;
}

DurationMs CellQueue::RetryAfterMs(const WaitingRow& row, TimeMs now) {
  std::erase_if(this->returns, [now](const ExpectedReturn& expected) {
    return expected.at <= now;
  });
  const PlacementRequest& request = row.request;
  Tokens returning = 0;
  TimeMs earliest = now + kMinRetryAfterMs;
  std::ranges::for_each(this->returns, [&](const ExpectedReturn& expected) {
    if (expected.priority != request.priority ||
        expected.team != request.team) {
      return;
    }
    returning += expected.tokens;
    earliest = std::max(earliest, expected.at);
  });
  const DurationMs wait_ms = this->drain.Known(now)
                                 ? this->WaitFor(request, returning, now)
                                 : this->ExpectedWaitMs();
  const DurationMs retry_ms = std::max(earliest - now, wait_ms);
  if (this->returns.size() < this->settings.max_queue) {
    this->returns.push_back(
        ExpectedReturn{now + retry_ms, request.priority, request.team,
                       request.prompt_tokens + row.expected});
  }
  return retry_ms;
}

void CellQueue::OnFreed(Tokens tokens, TimeMs now) {
  this->drain.Add(tokens, now);
}

Tokens CellQueue::MoreUrgentWork(std::int64_t priority) const {
  Tokens tokens = 0;
  std::ranges::for_each(this->on_time_queues, [&](const auto& entry) {
    if (entry.first < priority) tokens += entry.second.queue.QueuedTokens();
  });
  return tokens;
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
  // Short requests first, since more of them meet their first-token target
  // with the same memory.
  const auto order = static_cast<std::int64_t>(row.token_ms);
  const TimeMs latest = row.first_token_due_at -
                        this->engines.IdlePrefillMs(request.prompt_tokens);
  this->on_time_queues
      .try_emplace(request.priority, OnTimeQueue{FairQueue(kMaxBypassCount)})
      .first->second.queue.Push(
          QueueItem{id, request.team, request.weight, tokens, order, latest});
}

void CellQueue::PushLate(const std::string& id) {
  WaitingRow& row = this->waiting.at(id);
  row.late = true;
  const PlacementRequest& request = row.request;
  QueueItem item{id,
                 request.team,
                 request.weight,
                 request.prompt_tokens + row.expected,
                 row.submitted_at,
                 row.give_up_at};
  if (this->settings.late_after_on_time) {
    // Those that have enough time begin in the order in which their callers
    // time out; the others after them.
    item.sort_key = row.give_up_at;
    item.latest_start -=
        kSafePrefills * this->engines.IdlePrefillMs(request.prompt_tokens);
  }
  this->late_queue.Push(std::move(item));
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
                        [&id](auto& entry) { entry.second.queue.Remove(id); });
  this->late_queue.Remove(id);
  this->last_queue.Remove(id);
}

RefuseCommand CellQueue::Refusal(const std::string& request_id, ErrorKind kind,
                                 std::string message,
                                 DurationMs retry_after_ms) const {
  Error error = Error::Of(kind, std::move(message));
  error.retry_after_ms = this->settings.refuse_by_drain_rate
                             ? retry_after_ms
                             : std::max(error.retry_after_ms, retry_after_ms);
  return RefuseCommand{request_id, std::move(error)};
}

}  // namespace limpethaven
