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

#include "core/cell_engines.h"
#include "limpethaven/fair_queue.h"
#include "limpethaven/output_forecast.h"

namespace limpethaven {
namespace {

constexpr DurationMs kRememberFinishedMs = 10'000;
constexpr DurationMs kGiveUpCancelMs = 60'000;
/// Part of the memory that queued work gets in practice: engines are never all
/// full at once.
constexpr double kUsedPart = 0.85;
constexpr std::int64_t kMaxBypass = 64;

struct WaitingRow {
  PlacementRequest request;
  Tokens expected = 0;
  double cost = 0;  ///< Tokens of memory x milliseconds.
  TimeMs submitted_at = 0;
  TimeMs objective_at = 0;  ///< When its first token is due.
  TimeMs give_up_at = 0;    ///< When its caller leaves.
  bool late = false;        ///< It can no longer meet its objective.
};

struct ReservationRow {
  std::string request_id;
  std::string decode;
  std::string prefill;
  Tokens uncached_tokens = 0;
  std::optional<Tokens> hint;
  DurationMs expected_prefill_ms = 0;
  bool queued_prefill = false;  ///< Other prompts were being read there.
  bool prefilling = false;
  TimeMs expires_at = 0;
};

struct CancelRow {
  std::string engine;
  std::string request_id;
  bool orphan = false;
  TimeMs first_at = 0;
  TimeMs next_at = 0;
};

/// A reservation and a time.
struct Due {
  TimeMs at = 0;
  std::string id;
  friend auto operator<=>(const Due&, const Due&) = default;
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
        late(kMaxBypass) {}

  std::string name;
  std::string owner;
  CellSettings settings;
  std::uint64_t next_reservation = 1;
  CellEngines engines;
  OutputForecast outputs;
  std::unordered_map<std::string, WaitingRow> waiting;
  std::map<std::int64_t, FairQueue> in_time;  ///< By rank.
  FairQueue late;                  ///< Those that missed their objective.
  double queued_cost = 0;          ///< Of all that wait.
  std::vector<std::string> fresh;  ///< Submitted since the last tick.
  std::map<std::string, ReservationRow, std::less<>> reservations;
  std::unordered_map<std::string, std::string> reservation_of;  ///< By request.
  std::map<std::string, CancelRow, std::less<>> cancels;  ///< By reservation.
  std::unordered_set<std::string> finished;  ///< Reservations ended lately.
  std::deque<Due> finished_order;            ///< By the time they ended.
  /// When to look at a reservation's lease. A renewal leaves its old entry,
  /// which is put off when its time comes.
  std::priority_queue<Due, std::vector<Due>, std::greater<>> expiries;
  std::vector<CellCommand> commands;

  void Refuse(const std::string& request_id, ErrorKind kind,
              std::string message, DurationMs retry_after_ms) {
    const auto row = this->waiting.find(request_id);
    if (row != this->waiting.end()) {
      this->queued_cost -= row->second.cost;
      this->waiting.erase(row);
    }
    Error error = Error::Of(kind, std::move(message));
    error.retry_after_ms = std::max(error.retry_after_ms, retry_after_ms);
    this->commands.emplace_back(RefuseCommand{request_id, std::move(error)});
  }

  // -- the queue
  // -----------------------------------------------------------------------------

  [[nodiscard]] std::size_t QueueLength() const { return this->waiting.size(); }

  /// Time until queued work, apart from `own`, has had its turn.
  [[nodiscard]] DurationMs ExpectedWaitMs(double own = 0) const {
    const double memory =
        kUsedPart * static_cast<double>(this->engines.UsableMemory());
    if (memory <= 0) return 0;
    return static_cast<DurationMs>(std::max(0.0, this->queued_cost - own) /
                                   memory);
  }

  void Push(const std::string& id, const WaitingRow& row) {
    const PlacementRequest& request = row.request;
    const Tokens tokens = request.prompt_tokens + row.expected;
    if (row.late) {
      this->late.Push(QueueItem{id, request.team, request.weight, tokens,
                                row.submitted_at, row.give_up_at});
      return;
    }
    // Short ones first: more of them meet their objective in the same memory.
    const auto order = static_cast<std::int64_t>(row.cost);
    const TimeMs latest =
        row.objective_at - this->engines.ReadMs(request.prompt_tokens);
    this->in_time.try_emplace(request.priority, FairQueue(kMaxBypass))
        .first->second.Push(
            QueueItem{id, request.team, request.weight, tokens, order, latest});
  }

  /// Moves those that can no longer meet their objective behind the others, and
  /// refuses those whose callers are about to leave.
  void SortOutLate(TimeMs now) {
    std::vector<QueueItem> missed;
    std::ranges::for_each(this->in_time, [&](auto& rank) {
      std::ranges::move(rank.second.PopLate(now), std::back_inserter(missed));
    });
    std::ranges::for_each(missed, [&](const QueueItem& item) {
      WaitingRow& row = this->waiting.at(item.id);
      row.late = true;
      if (now < row.give_up_at) {
        this->Push(item.id, row);
        return;
      }
      this->Refuse(item.id, ErrorKind::kDeadline,
                   "the first token can no longer meet its target",
                   this->ExpectedWaitMs());
    });
    const std::vector<QueueItem> over = this->late.PopLate(now);
    std::ranges::for_each(over, [&](const QueueItem& item) {
      this->Refuse(item.id, ErrorKind::kDeadline,
                   "no memory was free while its caller waits",
                   this->ExpectedWaitMs());
    });
  }

  /// Takes the first that fits out of one queue and places it.
  bool PlaceFirst(FairQueue& queue, TimeMs now) {
    EngineChoice choice;
    const auto item = queue.PopFirst([&](const QueueItem& candidate) {
      const WaitingRow& row = this->waiting.at(candidate.id);
      const TimeMs due = row.late ? row.give_up_at : row.objective_at;
      choice = this->engines.Choose(row.request, row.expected, due - now, now);
      return choice.decode != kNoEngine;
    });
    if (!item) return false;
    this->Place(item->id, choice, now);
    return true;
  }

  void Admit(TimeMs now) {
    if (this->waiting.empty()) return;
    this->engines.Refresh(now);
    std::ranges::for_each(this->in_time, [&](auto& rank) {
      while (this->PlaceFirst(rank.second, now)) {
      }
    });
    while (this->PlaceFirst(this->late, now)) {
    }
  }

  /// Refuses what has just come and would wait too long behind the others:
  /// its caller can come back when there is room.
  void RefuseHopeless(TimeMs now) {
    const std::vector<std::string> submitted = std::exchange(this->fresh, {});
    std::ranges::for_each(submitted, [&](const std::string& id) {
      const auto row = this->waiting.find(id);
      if (row == this->waiting.end()) return;
      const WaitingRow& request = row->second;
      const DurationMs wait = this->ExpectedWaitMs(request.cost);
      const TimeMs latest = std::max(request.give_up_at, request.objective_at);
      if (wait == 0 || now + wait <= latest) return;
      this->Forget(id);
      this->Refuse(id, ErrorKind::kCapacity,
                   "it would wait for " + std::to_string(wait) + " ms", wait);
    });
  }

  /// Takes a request out of the queues.
  void Forget(const std::string& id) {
    std::ranges::for_each(this->in_time,
                          [&id](auto& rank) { rank.second.Remove(id); });
    this->late.Remove(id);
  }

  void Place(const std::string& request_id, const EngineChoice& choice,
             TimeMs now) {
    const auto found = this->waiting.find(request_id);
    const WaitingRow row = std::move(found->second);
    this->waiting.erase(found);
    this->queued_cost -= row.cost;
    const PlacementRequest& request = row.request;
    EngineRow& decode = this->engines.Rows()[choice.decode];
    const bool direct = choice.prefill == kNoEngine;
    EngineRow& reader = direct ? decode : this->engines.Rows()[choice.prefill];
    const std::string id =
        this->owner + "-" + std::to_string(this->next_reservation++);
    Placement placement;
    placement.reservation = id;
    placement.prefill = direct ? std::string() : reader.spec.id;
    placement.decode = decode.spec.id;
    placement.tokens = request.prompt_tokens + row.expected;
    placement.cached_tokens = choice.cached_tokens;
    placement.queued_ms = now - row.submitted_at;
    placement.lease_ms = this->settings.lease_ms;
    if (choice.runner_up != kNoEngine) {
      placement.runner_up = this->engines.Rows()[choice.runner_up].spec.id;
    }
    placement.reason = "ready in " + std::to_string(choice.ready_ms) + " ms, " +
                       std::to_string(static_cast<int>(choice.fullness * 100)) +
                       "% of memory forecast, " + std::to_string(row.expected) +
                       " tokens expected" + (row.late ? ", late" : "");
    ReservationRow reservation;
    reservation.request_id = request_id;
    reservation.decode = decode.spec.id;
    reservation.prefill = reader.spec.id;
    reservation.uncached_tokens = request.prompt_tokens - choice.cached_tokens;
    reservation.hint = request.hint;
    reservation.expected_prefill_ms = choice.ready_ms;
    reservation.queued_prefill = reader.prefills > 0;
    reservation.prefilling = !direct;
    reservation.expires_at = now + this->settings.lease_ms;
    this->Reserve(id, std::move(reservation),
                  Generation{request.prompt_tokens, row.expected,
                             request.max_tokens, 0, 0});
    this->engines.health.OnChosen(decode.spec.id, now);
    if (direct) {
      decode.direct_until = std::max(now, decode.direct_until) + choice.own_ms;
    } else {
      this->engines.health.OnChosen(reader.spec.id, now);
      this->engines.handles.OnChosen(reader.spec.id, now);
      reader.busy_until = std::max(now, reader.busy_until) + choice.own_ms;
      ++reader.prefills;
      std::ranges::for_each(request.prefix, [&reader](std::uint64_t block) {
        reader.cache.Add(block);
      });
    }
    this->commands.emplace_back(PlaceCommand{request_id, std::move(placement)});
  }

  // -- reservations
  // ---------------------------------------------------------------------------

  void Reserve(const std::string& id, ReservationRow row,
               const Generation& generation) {
    if (EngineRow* engine = this->engines.Find(row.decode)) {
      engine->generations.insert_or_assign(id, generation);
    }
    this->reservation_of.insert_or_assign(row.request_id, id);
    this->expiries.push(Due{row.expires_at, id});
    this->reservations.insert_or_assign(id, std::move(row));
  }

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
    this->finished.insert(found->first);
    this->finished_order.push_back(Due{now, found->first});
    this->reservations.erase(found);
    return row;
  }

  void EndPrefill(ReservationRow& row, TimeMs now) {
    if (!row.prefilling) return;
    row.prefilling = false;
    EngineRow* engine = this->engines.Find(row.prefill);
    if (engine == nullptr) return;
    --engine->prefills;
    if (engine->prefills == 0) engine->busy_until = now;
  }

  void Cancel(std::string_view id, const std::string& engine,
              const std::string& request_id, bool orphan, TimeMs now) {
    this->cancels.try_emplace(std::string(id),
                              CancelRow{engine, request_id, orphan, now, now});
  }

  // -- systems: each runs once a tick
  // ---------------------------------------------------------

  void ExpireReservations(TimeMs now) {
    while (!this->expiries.empty() && this->expiries.top().at <= now) {
      const Due due = this->expiries.top();
      this->expiries.pop();
      const auto found = this->reservations.find(due.id);
      if (found == this->reservations.end()) continue;
      if (found->second.expires_at > now) {
        this->expiries.push(Due{found->second.expires_at, due.id});
        continue;
      }
      const auto row = this->TakeReservation(due.id, now);
      this->Cancel(due.id, row->decode, row->request_id, false, now);
    }
  }

  void SendCancels(TimeMs now) {
    if (this->cancels.empty()) return;
    std::erase_if(this->cancels, [now](const auto& row) {
      return now - row.second.first_at >= kGiveUpCancelMs;
    });
    std::ranges::for_each(this->cancels, [&](auto& entry) {
      CancelRow& row = entry.second;
      if (now < row.next_at) return;
      row.next_at = now + this->settings.cancel_retry_ms;
      this->commands.emplace_back(
          CancelCommand{row.engine, row.request_id, entry.first, row.orphan});
    });
  }

  void ForgetFinished(TimeMs now) {
    while (!this->finished_order.empty() &&
           now - this->finished_order.front().at >= kRememberFinishedMs) {
      this->finished.erase(this->finished_order.front().id);
      this->finished_order.pop_front();
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
                     : state.outputs.Expect(request.hint, request.max_tokens);
  const Tokens tokens = request.prompt_tokens + row.expected;
  const Tokens largest = state.engines.LargestMemory();
  state.engines.Refresh(now);
  if (largest == 0) {
    return state.Refuse(id, ErrorKind::kNoEndpoint,
                        "the cell has no usable engine", 0);
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
                        "too many requests are waiting",
                        state.ExpectedWaitMs());
  }
  const DurationMs patience = std::max(request.patience_ms, request.budget_ms);
  const DurationMs read = state.engines.ReadMs(request.prompt_tokens);
  row.submitted_at = now;
  row.objective_at = now + request.budget_ms;
  row.give_up_at = request.patience_ms == 0
                       ? now
                       : now + std::max<DurationMs>(0, patience - read);
  const double half = static_cast<double>(row.expected) / 2;
  row.cost = (static_cast<double>(request.prompt_tokens) + half) *
             (static_cast<double>(row.expected) / state.engines.Pace() +
              static_cast<double>(read));
  row.request = std::move(request);
  state.queued_cost += row.cost;
  state.Push(id, row);
  state.waiting.insert_or_assign(id, std::move(row));
  state.fresh.push_back(id);
}

void CellScheduler::Withdraw(std::string_view request_id, TimeMs now) {
  Tables& state = *this->tables;
  const std::string key(request_id);
  const auto waiting = state.waiting.find(key);
  if (waiting != state.waiting.end()) {
    state.queued_cost -= waiting->second.cost;
    state.Forget(key);
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
      // One that lapsed or ended here must not come back through a late
      // renewal.
      if (state.finished.contains(renewal.reservation)) return;
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
    if (generation.heard_at > 0 && renewal.produced > generation.produced) {
      state.engines.LearnPace(renewal.produced - generation.produced,
                              now - generation.heard_at);
    }
    generation.produced = std::max(generation.produced, renewal.produced);
    generation.heard_at = now;
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
    state.engines.LearnPrefill(*engine, row.uncached_tokens, row.queued_prefill,
                               row.expected_prefill_ms, measured_ms);
  }
  state.EndPrefill(row, now);
}

void CellScheduler::Finish(std::string_view reservation, Tokens produced,
                           TimeMs now) {
  const auto row = this->tables->TakeReservation(reservation, now);
  if (row) this->tables->outputs.Learn(row->hint, produced);
}

void CellScheduler::EngineFailed(std::string_view engine, TimeMs now) {
  this->tables->engines.health.OnFailure(engine, now);
}

void CellScheduler::EngineServed(std::string_view engine, TimeMs now) {
  this->tables->engines.health.OnSuccess(engine, now);
}

void CellScheduler::EngineFull(std::string_view engine, TimeMs now) {
  if (EngineRow* row = this->tables->engines.Find(engine)) {
    row->full_until = now + this->tables->settings.full_ms;
  }
}

void CellScheduler::KvFetchFailed(std::string_view engine, TimeMs now) {
  this->tables->engines.handles.OnFailure(engine, now);
}

void CellScheduler::KvFetchSucceeded(std::string_view engine, TimeMs now) {
  this->tables->engines.handles.OnSuccess(engine, now);
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
  engine->foreign = 0;
  std::ranges::for_each(load.held, [&](const HeldRequest& held) {
    if (state.reservations.contains(held.attempt)) return;
    if (state.finished.contains(held.attempt)) return;
    engine->foreign += held.pieces * kTokensPerPiece;
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
  state.ForgetFinished(now);
  state.SortOutLate(now);
  state.Admit(now);
  state.RefuseHopeless(now);
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
                          engine.Backlog(now),
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
    const bool takes = engine.usable && engine.Decodes() &&
                       static_cast<std::int64_t>(engine.generations.size()) <
                           engine.spec.slots;
    if (!takes) return;
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
