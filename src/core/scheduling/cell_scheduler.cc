#include "limpethaven/cell_scheduler.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <ostream>
#include <queue>
#include <unordered_map>
#include <unordered_set>

#include "core/scheduling/cell_engines.h"
#include "limpethaven/fair_queue.h"
#include "limpethaven/output_forecast.h"

namespace limpethaven {
namespace {

/// Retention of ended reservations, so that late renewals do not revive them.
constexpr DurationMs kEndedRetentionMs = 10'000;
/// A cancel that the engine does not confirm is repeated for this long.
constexpr DurationMs kCancelTimeoutMs = 60'000;
/// Ratio of the usable memory that queued work is expected to use; the engines
/// are never all full at the same time.
constexpr double kExpectedMemoryUtilizationRatio = 0.85;
/// Number of searches of a queue that may reject the first request of a team.
/// Searches that reject it after that end there, so that smaller requests of
/// other teams cannot starve it.
constexpr std::int64_t kMaxBypassCount = 64;

/// Failures that a failed connection counts as: two in quick succession eject
/// an engine.
constexpr double kUnreachableWeight = 1.5;

/// A queued request.
struct WaitingRow {
  PlacementRequest request;
  Tokens expected = 0;  ///< Output tokens to reserve memory for.
  /// Memory that it is expected to hold, summed over time, in tokens x
  /// milliseconds.
  double token_ms = 0;
  TimeMs submitted_at = 0;
  TimeMs first_token_due_at = 0;
  /// Latest start of its prefill that yields a first token before the caller
  /// times out; the time of submission if `patience_ms` is 0.
  TimeMs give_up_at = 0;
  bool late = false;  ///< It can no longer meet its first-token target.
};

/// A reservation in the ledger.
struct ReservationRow {
  std::string request_id;
  std::string decode;
  /// Equal to `decode` if the decode engine prefills the prompt; empty for an
  /// adopted reservation.
  std::string prefill;
  Tokens uncached_tokens = 0;
  std::optional<Tokens> hint;
  /// Time to the first token that was expected at placement.
  DurationMs expected_first_token_ms = 0;
  /// Whether the prefill engine had other prompts to process first.
  bool queued_prefill = false;
  /// Whether it still counts among the running prefills of its prefill engine.
  bool prefilling = false;
  TimeMs expires_at = 0;
};

/// A cancel that is repeated until the engine confirms it.
struct CancelRow {
  std::string engine;
  std::string request_id;
  bool orphan = false;
  TimeMs first_at = 0;
  TimeMs next_at = 0;
};

/// A reservation id ordered by a time.
struct TimedReservation {
  TimeMs at = 0;
  std::string id;
  friend auto operator<=>(const TimedReservation&,
                          const TimedReservation&) = default;
};

}  // namespace

std::ostream& operator<<(std::ostream& out, const Placement& placement) {
  return out << placement.reservation << ": " << placement.prefill << " -> "
             << placement.decode;
}

struct CellScheduler::Tables {
  Tables(std::string cell_name, std::string cell_owner,
         const CellSettings& cell_settings)
      : name(std::move(cell_name)),
        owner(std::move(cell_owner)),
        settings(cell_settings),
        engines(cell_settings),
        late_queue(kMaxBypassCount) {}

  std::string name;
  std::string owner;
  CellSettings settings;
  std::uint64_t next_reservation = 1;
  CellEngines engines;
  OutputForecast outputs;
  std::unordered_map<std::string, WaitingRow> waiting;
  std::map<std::int64_t, FairQueue> on_time_queues;  ///< Keyed by priority.
  FairQueue late_queue;  ///< Requests that can no longer meet their target.
  /// Sum of `WaitingRow::token_ms` over the waiting requests.
  double queued_token_ms = 0;
  std::vector<std::string> submitted_since_tick;  ///< Request ids.
  /// Keyed by reservation id.
  std::map<std::string, ReservationRow, std::less<>> reservations;
  /// Reservation ids keyed by request id.
  std::unordered_map<std::string, std::string> reservation_of;
  /// Keyed by reservation id.
  std::map<std::string, CancelRow, std::less<>> cancels;
  /// Ids of reservations that ended within the retention.
  std::unordered_set<std::string> ended;
  /// The same ids in the order in which the reservations ended.
  std::deque<TimedReservation> ended_by_time;
  /// Times at which leases may expire. A renewal does not update the entry of
  /// its reservation. When the time of an entry comes and the lease has been
  /// renewed, the entry is replaced by one with the renewed time.
  std::priority_queue<TimedReservation, std::vector<TimedReservation>,
                      std::greater<>>
      expiries;
  std::vector<CellCommand> commands;

  void Refuse(const std::string& request_id, ErrorKind kind,
              std::string message, DurationMs retry_after_ms) {
    const auto row = this->waiting.find(request_id);
    if (row != this->waiting.end()) {
      this->queued_token_ms -= row->second.token_ms;
      this->waiting.erase(row);
    }
    Error error = Error::Of(kind, std::move(message));
    error.retry_after_ms = std::max(error.retry_after_ms, retry_after_ms);
    this->commands.emplace_back(RefuseCommand{request_id, std::move(error)});
  }

  [[nodiscard]] std::size_t QueueLength() const { return this->waiting.size(); }

  /// Expected time to serve the queued work, without `excluded_token_ms`. 0 if
  /// no decode engine is usable.
  [[nodiscard]] DurationMs ExpectedWaitMs(double excluded_token_ms = 0) const {
    const double request_token_ms =
        this->queued_token_ms /
        static_cast<double>(std::max<std::size_t>(1, this->QueueLength()));
    const double memory =
        kExpectedMemoryUtilizationRatio *
        static_cast<double>(this->engines.UsableMemory(request_token_ms));
    if (memory <= 0) return 0;
    return static_cast<DurationMs>(
        std::max(0.0, this->queued_token_ms - excluded_token_ms) / memory);
  }

  void Push(const std::string& id, const WaitingRow& row) {
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
    this->on_time_queues
        .try_emplace(request.priority, FairQueue(kMaxBypassCount))
        .first->second.Push(
            QueueItem{id, request.team, request.weight, tokens, order, latest});
  }

  /// Moves requests that can no longer meet their first-token target to the
  /// late queue, and refuses those that cannot be answered before their callers
  /// time out.
  void HandleLate(TimeMs now) {
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
      this->Refuse(
          item.id, ErrorKind::kDeadline,
          "the first token cannot come within its target: the request was "
          "queued for " +
              std::to_string(now - row.submitted_at) + " ms",
          this->ExpectedWaitMs());
    });
    const std::vector<QueueItem> timed_out = this->late_queue.PopLate(now);
    std::ranges::for_each(timed_out, [&](const QueueItem& item) {
      // The sort key of the late queue is the time of submission.
      this->Refuse(item.id, ErrorKind::kDeadline,
                   "no engine could take the request in " +
                       std::to_string(now - item.sort_key) +
                       " ms of queueing, and its caller would time out "
                       "before the first token",
                   this->ExpectedWaitMs());
    });
  }

  /// Places the first request of the queue, in fair order, for which engines
  /// are available. @returns whether a request was placed.
  bool PlaceFirst(FairQueue& queue, TimeMs now) {
    EngineChoice choice;
    const auto item = queue.PopFirst([&](const QueueItem& candidate) {
      const WaitingRow& row = this->waiting.at(candidate.id);
      const TimeMs due = row.late ? row.give_up_at : row.first_token_due_at;
      choice = this->engines.Choose(row.request, row.expected, due - now, now);
      return choice.decode != kNoEngine;
    });
    if (!item) return false;
    this->Place(item->id, choice, now);
    return true;
  }

  /// Places the waiting requests for which engines are available, by priority,
  /// late ones last.
  void Admit(TimeMs now) {
    if (this->waiting.empty()) return;
    this->engines.Refresh(now);
    std::ranges::for_each(this->on_time_queues, [&](auto& entry) {
      while (this->PlaceFirst(entry.second, now)) {
      }
    });
    while (this->PlaceFirst(this->late_queue, now)) {
    }
  }

  /// Refuses requests submitted since the last tick whose expected wait exceeds
  /// the time that they may wait. Their callers can retry after the expected
  /// wait.
  void ShedLoad(TimeMs now) {
    const std::vector<std::string> submitted =
        std::exchange(this->submitted_since_tick, {});
    std::ranges::for_each(submitted, [&](const std::string& id) {
      const auto found = this->waiting.find(id);
      if (found == this->waiting.end()) return;
      const WaitingRow& row = found->second;
      const DurationMs wait = this->ExpectedWaitMs(row.token_ms);
      const TimeMs latest = std::max(row.give_up_at, row.first_token_due_at);
      if (wait == 0 || now + wait <= latest) return;
      this->RemoveFromQueues(id);
      this->Refuse(id, ErrorKind::kCapacity,
                   "the expected wait for an engine is " +
                       std::to_string(wait) +
                       " ms, the request can wait at most " +
                       std::to_string(latest - now) + " ms",
                   wait);
    });
  }

  /// Removes a request from the queues.
  void RemoveFromQueues(const std::string& id) {
    std::ranges::for_each(this->on_time_queues,
                          [&id](auto& entry) { entry.second.Remove(id); });
    this->late_queue.Remove(id);
  }

  /// Reserves memory on the chosen decode engine, accounts for the prefill work
  /// and emits the command.
  void Place(const std::string& request_id, const EngineChoice& choice,
             TimeMs now) {
    const auto found = this->waiting.find(request_id);
    const WaitingRow row = std::move(found->second);
    this->waiting.erase(found);
    this->queued_token_ms -= row.token_ms;
    const PlacementRequest& request = row.request;
    EngineRow& decode_engine = this->engines.Rows()[choice.decode];
    const bool local_prefill = choice.prefill == kNoEngine;
    EngineRow& prefill_engine =
        local_prefill ? decode_engine : this->engines.Rows()[choice.prefill];
    const std::string id =
        this->owner + "-" + std::to_string(this->next_reservation++);
    Placement placement;
    placement.reservation = id;
    placement.prefill = local_prefill ? std::string() : prefill_engine.spec.id;
    placement.decode = decode_engine.spec.id;
    placement.tokens = request.prompt_tokens + row.expected;
    placement.cached_tokens = choice.cached_tokens;
    placement.queued_ms = now - row.submitted_at;
    placement.lease_ms = this->settings.lease_ms;
    if (choice.runner_up != kNoEngine) {
      placement.runner_up = this->engines.Rows()[choice.runner_up].spec.id;
    }
    placement.reason =
        "ready in " + std::to_string(choice.first_token_ms) + " ms, " +
        std::to_string(static_cast<int>(choice.memory_utilization * 100)) +
        "% of memory forecast, " + std::to_string(row.expected) +
        " tokens expected" + (row.late ? ", late" : "");
    ReservationRow reservation;
    reservation.request_id = request_id;
    reservation.decode = decode_engine.spec.id;
    reservation.prefill = prefill_engine.spec.id;
    reservation.uncached_tokens = request.prompt_tokens - choice.cached_tokens;
    reservation.hint = request.hint;
    reservation.expected_first_token_ms = choice.first_token_ms;
    reservation.queued_prefill = prefill_engine.running_prefills > 0;
    reservation.prefilling = !local_prefill;
    reservation.expires_at = now + this->settings.lease_ms;
    this->Reserve(id, std::move(reservation),
                  Generation{request.prompt_tokens, row.expected,
                             request.max_tokens, 0, 0});
    this->engines.engine_health.OnChosen(decode_engine.spec.id, now);
    this->engines.engine_limits.OnSend(decode_engine.spec.id, now);
    if (local_prefill) {
      decode_engine.local_prefill_until =
          std::max(now, decode_engine.local_prefill_until) +
          choice.prefill_compute_ms;
    } else {
      this->engines.engine_health.OnChosen(prefill_engine.spec.id, now);
      this->engines.engine_limits.OnSend(prefill_engine.spec.id, now);
      this->engines.kv_fetch_health.OnChosen(prefill_engine.spec.id, now);
      prefill_engine.prefill_busy_until =
          std::max(now, prefill_engine.prefill_busy_until) +
          choice.prefill_compute_ms;
      ++prefill_engine.running_prefills;
      std::ranges::for_each(request.prefix,
                            [&prefill_engine](std::uint64_t block) {
                              prefill_engine.cache.Add(block);
                            });
    }
    this->commands.emplace_back(PlaceCommand{request_id, std::move(placement)});
  }

  void Reserve(const std::string& id, ReservationRow row,
               const Generation& generation) {
    if (EngineRow* engine = this->engines.Find(row.decode)) {
      engine->generations.insert_or_assign(id, generation);
    }
    this->reservation_of.insert_or_assign(row.request_id, id);
    this->expiries.push(TimedReservation{row.expires_at, id});
    this->reservations.insert_or_assign(id, std::move(row));
  }

  /// Removes a reservation and all that the ledger holds for it.
  /// @returns nothing if there is no such reservation.
  std::optional<ReservationRow> TakeReservation(std::string_view id,
                                                TimeMs now) {
    const auto found = this->reservations.find(id);
    if (found == this->reservations.end()) return std::nullopt;
    ReservationRow row = std::move(found->second);
    if (EngineRow* engine = this->engines.Find(row.decode)) {
      engine->generations.erase(found->first);
    }
    const auto current = this->reservation_of.find(row.request_id);
    if (current != this->reservation_of.end() && current->second == id) {
      this->reservation_of.erase(current);
    }
    this->EndPrefill(row, now);
    this->ended.insert(found->first);
    this->ended_by_time.push_back(TimedReservation{now, found->first});
    this->reservations.erase(found);
    return row;
  }

  /// Removes a reservation from the running prefills of its prefill engine, if
  /// it still counts among them.
  void EndPrefill(ReservationRow& row, TimeMs now) {
    if (!row.prefilling) return;
    row.prefilling = false;
    EngineRow* engine = this->engines.Find(row.prefill);
    if (engine == nullptr) return;
    --engine->running_prefills;
    if (engine->running_prefills == 0) engine->prefill_busy_until = now;
  }

  /// Starts to send cancels of an attempt to the engine, also for an attempt
  /// without a reservation here.
  /// @param id Id of the reservation, which identifies the attempt.
  void Cancel(std::string_view id, const std::string& engine,
              const std::string& request_id, bool orphan, TimeMs now) {
    this->cancels.try_emplace(std::string(id),
                              CancelRow{engine, request_id, orphan, now, now});
  }

  void ExpireReservations(TimeMs now) {
    while (!this->expiries.empty() && this->expiries.top().at <= now) {
      const TimedReservation next = this->expiries.top();
      this->expiries.pop();
      const auto found = this->reservations.find(next.id);
      if (found == this->reservations.end()) continue;
      if (found->second.expires_at > now) {
        this->expiries.push(
            TimedReservation{found->second.expires_at, next.id});
        continue;
      }
      const auto row = this->TakeReservation(next.id, now);
      this->Cancel(next.id, row->decode, row->request_id, false, now);
    }
  }

  void SendCancels(TimeMs now) {
    if (this->cancels.empty()) return;
    std::erase_if(this->cancels, [now](const auto& row) {
      return now - row.second.first_at >= kCancelTimeoutMs;
    });
    std::ranges::for_each(this->cancels, [&](auto& entry) {
      CancelRow& row = entry.second;
      if (now < row.next_at) return;
      row.next_at = now + this->settings.cancel_retry_ms;
      this->commands.emplace_back(
          CancelCommand{row.engine, row.request_id, entry.first, row.orphan});
    });
  }

  void EvictEnded(TimeMs now) {
    while (!this->ended_by_time.empty() &&
           now - this->ended_by_time.front().at >= kEndedRetentionMs) {
      this->ended.erase(this->ended_by_time.front().id);
      this->ended_by_time.pop_front();
    }
  }
};

CellScheduler::CellScheduler(std::string cell_name, std::string owner,
                             CellSettings settings)
    : tables(std::make_unique<Tables>(std::move(cell_name), std::move(owner),
                                      settings)) {}

CellScheduler::~CellScheduler() = default;
CellScheduler::CellScheduler(CellScheduler&&) noexcept = default;
CellScheduler& CellScheduler::operator=(CellScheduler&&) noexcept = default;

void CellScheduler::Configure(const std::vector<CellEngine>& engines,
                              TimeMs now) {
  this->tables->engines.Configure(engines, now);
}

void CellScheduler::Submit(PlacementRequest request, TimeMs now) {
  Tables& state = *this->tables;
  const std::string id = request.request_id;
  WaitingRow row;
  row.expected = state.settings.reserve_maximum
                     ? request.max_tokens
                     : state.outputs.Predict(request.hint, request.max_tokens);
  const Tokens tokens = request.prompt_tokens + row.expected;
  const Tokens largest = state.engines.LargestMemory();
  state.engines.Refresh(now);
  if (largest == 0) {
    return state.Refuse(id, ErrorKind::kNoEndpoint,
                        "the cell has no decode engine", 0);
  }
  if (!state.engines.AnyFor(request)) {
    return state.Refuse(id, ErrorKind::kCapacity,
                        "every decode engine of the cell has failed or refused "
                        "the request, or is leaving",
                        0);
  }
  if (tokens > largest) {
    return state.Refuse(id, ErrorKind::kBodyTooLarge,
                        "the request needs " + std::to_string(tokens) +
                            " tokens of memory, the largest engine has " +
                            std::to_string(largest),
                        0);
  }
  if (state.QueueLength() >= state.settings.max_queue) {
    return state.Refuse(id, ErrorKind::kCapacity,
                        "the cell's queue is full: " +
                            std::to_string(state.settings.max_queue) +
                            " requests are waiting",
                        state.ExpectedWaitMs());
  }
  const DurationMs patience = std::max(request.patience_ms, request.budget_ms);
  const DurationMs idle_prefill_ms =
      state.engines.IdlePrefillMs(request.prompt_tokens);
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
      (static_cast<double>(row.expected) / state.engines.DecodeTokensPerMs() +
       static_cast<double>(idle_prefill_ms));
  row.request = std::move(request);
  state.queued_token_ms += row.token_ms;
  state.Push(id, row);
  state.waiting.insert_or_assign(id, std::move(row));
  state.submitted_since_tick.push_back(id);
}

void CellScheduler::Withdraw(std::string_view request_id, TimeMs now) {
  Tables& state = *this->tables;
  const std::string key(request_id);
  const auto waiting = state.waiting.find(key);
  if (waiting != state.waiting.end()) {
    state.queued_token_ms -= waiting->second.token_ms;
    state.RemoveFromQueues(key);
    state.waiting.erase(waiting);
  }
  const auto reservation = state.reservation_of.find(key);
  if (reservation == state.reservation_of.end()) return;
  const std::string id = reservation->second;
  const auto row = state.TakeReservation(id, now);
  if (row) state.Cancel(id, row->decode, row->request_id, false, now);
}

void CellScheduler::Renew(const std::vector<Renewal>& renewals, TimeMs now) {
  Tables& state = *this->tables;
  std::ranges::for_each(renewals, [&](const Renewal& renewal) {
    EngineRow* engine = state.engines.Find(renewal.engine);
    const auto row = state.reservations.find(renewal.reservation);
    if (row != state.reservations.end()) {
      row->second.expires_at = now + state.settings.lease_ms;
    } else {
      // A late renewal must not revive a reservation that expired or ended.
      if (state.ended.contains(renewal.reservation)) return;
      ReservationRow adopted;
      adopted.request_id = renewal.request_id;
      adopted.decode = renewal.engine;
      adopted.expires_at = now + state.settings.lease_ms;
      state.Reserve(renewal.reservation, std::move(adopted),
                    Generation{renewal.prompt_tokens, renewal.expected,
                               renewal.max_tokens, 0, 0});
    }
    if (engine == nullptr || renewal.produced <= 0) return;
    const auto held = engine->generations.find(renewal.reservation);
    if (held == engine->generations.end()) return;
    Generation& generation = held->second;
    if (generation.updated_at > 0 && renewal.produced > generation.produced) {
      state.engines.LearnDecodeRate(renewal.produced - generation.produced,
                                    now - generation.updated_at);
    }
    generation.produced = std::max(generation.produced, renewal.produced);
    generation.updated_at = now;
  });
}

void CellScheduler::PrefillDone(std::string_view reservation,
                                DurationMs measured_ms, TimeMs now) {
  Tables& state = *this->tables;
  const auto found = state.reservations.find(reservation);
  if (found == state.reservations.end()) return;
  ReservationRow& row = found->second;
  EngineRow* engine = state.engines.Find(row.prefill);
  if (engine != nullptr && row.prefilling) {
    state.engines.engine_health.OnSuccess(row.prefill, now);
    if (now >= engine->refusing_until) engine->refusals = 0;
    state.engines.LearnPrefill(*engine, row.uncached_tokens, row.queued_prefill,
                               row.expected_first_token_ms, measured_ms);
  }
  state.EndPrefill(row, now);
}

void CellScheduler::Finish(std::string_view reservation, Tokens produced,
                           TimeMs now) {
  const auto row = this->tables->TakeReservation(reservation, now);
  if (row) this->tables->outputs.Learn(row->hint, produced);
}

void CellScheduler::Forget(std::string_view reservation, TimeMs now) {
  const auto row = this->tables->TakeReservation(reservation, now);
  if (!row) return;
  this->tables->ended.erase(std::string(reservation));
}

void CellScheduler::EngineFailed(std::string_view engine, TimeMs now) {
  this->tables->engines.engine_health.OnFailure(engine, now);
}

void CellScheduler::EngineUnreachable(std::string_view engine, TimeMs now) {
  this->tables->engines.engine_health.OnFailure(engine, now,
                                                kUnreachableWeight);
}

void CellScheduler::EngineServed(std::string_view engine, TimeMs now) {
  this->tables->engines.engine_health.OnSuccess(engine, now);
  EngineRow* row = this->tables->engines.Find(engine);
  if (row != nullptr && now >= row->refusing_until) row->refusals = 0;
}

void CellScheduler::EngineFull(std::string_view engine, TimeMs now) {
  EngineRow* row = this->tables->engines.Find(engine);
  // Refusals during the cool-down are those of requests placed before it.
  if (row == nullptr || now < row->refusing_until) return;
  const CellSettings& settings = this->tables->settings;
  // The limit keeps the shift from overflowing.
  const std::int64_t doublings = std::min<std::int64_t>(row->refusals++, 16);
  row->refusing_until =
      now + std::min(settings.max_refusal_cooldown_ms,
                     settings.refusal_cooldown_ms << doublings);
}

void CellScheduler::KvFetchFailed(std::string_view engine, TimeMs now) {
  this->tables->engines.kv_fetch_health.OnFailure(engine, now);
}

void CellScheduler::KvFetchSucceeded(std::string_view engine, TimeMs now) {
  this->tables->engines.kv_fetch_health.OnSuccess(engine, now);
}

void CellScheduler::LimitEngine(std::string_view engine,
                                std::optional<double> max_per_s, TimeMs now,
                                DurationMs age_ms) {
  this->tables->engines.engine_limits.OnAnswer(engine, max_per_s, now, age_ms);
}

void CellScheduler::SetLimitDivisor(std::int64_t divisor, TimeMs now) {
  this->tables->engines.engine_limits.SetProcessCount(divisor, now);
}

void CellScheduler::CancelDone(std::string_view reservation) {
  const auto row = this->tables->cancels.find(reservation);
  if (row != this->tables->cancels.end()) this->tables->cancels.erase(row);
}

void CellScheduler::Report(std::string_view id, const EngineLoad& load,
                           TimeMs now) {
  Tables& state = *this->tables;
  EngineRow* engine = state.engines.Find(id);
  if (engine == nullptr) return;
  engine->unreserved_tokens = 0;
  std::ranges::for_each(load.held, [&](const HeldRequest& held) {
    if (state.reservations.contains(held.attempt)) return;
    if (state.ended.contains(held.attempt)) return;
    engine->unreserved_tokens += held.pieces * kTokensPerPiece;
    if (held.detached_ms >= state.settings.orphan_grace_ms) {
      state.Cancel(held.attempt, std::string(id), held.request_id, true, now);
    }
  });
}

void CellScheduler::OnCacheEvents(std::string_view id,
                                  const std::vector<CacheEvent>& events) {
  EngineRow* engine = this->tables->engines.Find(id);
  if (engine == nullptr) return;
  std::ranges::for_each(events, [engine](const CacheEvent& event) {
    if (event.added) {
      engine->cache.Add(event.block);
    } else {
      engine->cache.Remove(event.block);
    }
  });
}

std::vector<CellCommand> CellScheduler::Tick(TimeMs now) {
  Tables& state = *this->tables;
  state.ExpireReservations(now);
  state.EvictEnded(now);
  state.HandleLate(now);
  state.Admit(now);
  state.ShedLoad(now);
  state.SendCancels(now);
  return std::exchange(state.commands, {});
}

std::vector<EngineView> CellScheduler::Engines(TimeMs now) const {
  std::vector<EngineView> views;
  CellEngines& engines = this->tables->engines;
  engines.Refresh(now);
  std::ranges::transform(
      engines.Rows(), std::back_inserter(views), [&](const EngineRow& engine) {
        return EngineView{engine.spec.id,
                          engine.spec.role,
                          engine.spec.memory,
                          engines.PeakWith(engine, HeldGeneration{}, now),
                          static_cast<std::int64_t>(engine.generations.size()),
                          engine.PrefillBacklogMs(now),
                          engine.usable};
      });
  return views;
}

CellLoad CellScheduler::Load(TimeMs now) const {
  const Tables& state = *this->tables;
  CellLoad load;
  load.waiting = static_cast<std::int64_t>(state.QueueLength());
  load.wait_ms = state.ExpectedWaitMs();
  std::ranges::for_each(state.engines.Rows(), [&](const EngineRow& engine) {
    const bool accepts = engine.usable && engine.CanDecode() &&
                         static_cast<std::int64_t>(engine.generations.size()) <
                             engine.spec.slots;
    if (!accepts) return;
    const auto planned =
        static_cast<Tokens>(static_cast<double>(engine.spec.memory) *
                            state.settings.planned_memory_ratio);
    load.headroom_tokens += std::max<Tokens>(
        0, planned - state.engines.PeakWith(engine, HeldGeneration{}, now));
  });
  return load;
}

std::size_t CellScheduler::QueueLength() const noexcept {
  return this->tables->QueueLength();
}

std::size_t CellScheduler::Reservations() const noexcept {
  return this->tables->reservations.size();
}

const std::string& CellScheduler::Name() const noexcept {
  return this->tables->name;
}

}  // namespace limpethaven
