#include "limpethaven/cell_scheduler.h"

#include <algorithm>
#include <map>
#include <ostream>
#include <queue>
#include <unordered_map>

#include "core/scheduling/cell_cancels.h"
#include "core/scheduling/cell_engines.h"
#include "core/scheduling/cell_queue.h"
#include "limpethaven/output_forecast.h"

namespace limpethaven {
namespace {

/// Time after which the queue is searched again though nothing has changed but
/// the time, which ends prefills and cool-downs.
constexpr DurationMs kSearchStepMs = 5;
/// Failures that a failed connection counts as: two in quick succession eject
/// an engine.
constexpr double kUnreachableWeight = 1.5;

/// A reservation in the ledger.
struct ReservationRow {
  std::string request_id;
  std::string decode;
  /// Equal to `decode` if the decode engine prefills the prompt; empty for an
  /// adopted reservation.
  std::string prefill;
  Tokens prompt_tokens = 0;  ///< 0 for an adopted reservation.
  Tokens uncached_tokens = 0;
  std::optional<Tokens> hint;
  /// As of `EngineChoice::prefill_answer_ms`.
  DurationMs expected_prefill_ms = 0;
  /// Whether the prefill engine had other prompts to process first.
  bool queued_prefill = false;
  /// Whether it still counts among the running prefills of its prefill engine.
  bool prefilling = false;
  TimeMs expires_at = 0;
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
        queue(cell_settings, this->engines),
        cancels(cell_settings.cancel_retry_ms),
        demand(cell_settings.prefill_ms_per_token) {}

  std::string name;
  std::string owner;
  CellSettings settings;
  std::uint64_t next_reservation = 1;
  CellEngines engines;
  OutputForecast outputs;
  CellQueue queue;
  /// Keyed by reservation id.
  std::map<std::string, ReservationRow, std::less<>> reservations;
  /// Reservation ids keyed by request id.
  std::unordered_map<std::string, std::string> reservation_of;
  CancelList cancels;
  EndedReservations ended;
  /// Times at which leases may expire. A renewal does not update the entry of
  /// its reservation. When the time of an entry comes and the lease has been
  /// renewed, the entry is replaced by one with the renewed time.
  std::priority_queue<TimedReservation, std::vector<TimedReservation>,
                      std::greater<>>
      expiries;
  std::vector<CellCommand> commands;
  RoleDemandWindow demand;
  /// Whether something has changed since the last search of the queue that may
  /// let a request start.
  bool changed = true;
  TimeMs searched_at = 0;  ///< Time of that search.

  void Refuse(const std::string& request_id, ErrorKind kind,
              std::string message, DurationMs retry_after_ms) {
    Error error = Error::Of(kind, std::move(message));
    error.retry_after_ms = std::max(error.retry_after_ms, retry_after_ms);
    this->commands.emplace_back(RefuseCommand{request_id, std::move(error)});
  }

  /// Adds a request to the demand on the cell's engines.
  void NoteDemand(const PlacementRequest& request, Tokens expected,
                  TimeMs now) {
    const double prefill_ms =
        request.prefilled ? 0.0 : this->demand.PrefillMs(request.prompt_tokens);
    // Decode memory is reserved from the start of the prefill on.
    const double held_ms = prefill_ms + static_cast<double>(expected) /
                                            this->engines.DecodeTokensPerMs();
    this->demand.Add(prefill_ms,
                     held_ms * this->engines.DecodeEngineShare(
                                   request.prompt_tokens + expected / 2),
                     now);
  }

  /// Places the waiting requests for which engines are available.
  void Admit(TimeMs now) {
    if (this->queue.Size() == 0) return;
    if (!this->changed && now - this->searched_at < kSearchStepMs) return;
    this->changed = false;
    this->searched_at = now;
    this->engines.Refresh(now);
    this->queue.Admit(now, [&](const ReadyRequest& ready) {
      this->Place(ready.row, ready.choice, now);
    });
  }

  /// Reserves memory on the chosen decode engine, accounts for the prefill work
  /// and emits the command.
  void Place(const WaitingRow& row, const EngineChoice& choice, TimeMs now) {
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
    placement.on_time =
        !row.late && now + choice.first_token_ms <= row.first_token_due_at;
    if (prefill_engine.reported_at) {
      placement.report_age_ms = now - *prefill_engine.reported_at;
    }
    placement.outstanding =
        static_cast<std::int64_t>(prefill_engine.outstanding.size());
    ReservationRow reservation;
    reservation.request_id = request.request_id;
    reservation.decode = decode_engine.spec.id;
    reservation.prefill = prefill_engine.spec.id;
    reservation.prompt_tokens = request.prompt_tokens;
    reservation.uncached_tokens = request.prompt_tokens - choice.cached_tokens;
    reservation.hint = request.hint;
    reservation.expected_prefill_ms = choice.prefill_answer_ms;
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
      this->engines.StartPrefill(prefill_engine, id, choice, now);
      std::ranges::for_each(request.prefix,
                            [&prefill_engine](std::uint64_t block) {
                              prefill_engine.cache.Add(block);
                            });
    }
    this->commands.emplace_back(
        PlaceCommand{request.request_id, std::move(placement)});
  }

  void Reserve(const std::string& id, ReservationRow row,
               const Generation& generation) {
    if (EngineRow* engine = this->engines.Find(row.decode)) {
      engine->generations.insert_or_assign(id, generation);
      engine->forecast_at.reset();
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
    this->changed = true;
    ReservationRow row = std::move(found->second);
    if (EngineRow* engine = this->engines.Find(row.decode)) {
      const auto generation = engine->generations.find(found->first);
      if (generation != engine->generations.end()) {
        this->queue.OnFreed(
            generation->second.prompt + generation->second.expected, now);
        engine->generations.erase(generation);
        engine->forecast_at.reset();
      }
    }
    const auto current = this->reservation_of.find(row.request_id);
    if (current != this->reservation_of.end() && current->second == id) {
      this->reservation_of.erase(current);
    }
    this->EndPrefill(found->first, row, 0, now);
    this->ended.Add(found->first, now);
    this->reservations.erase(found);
    return row;
  }

  /// Removes a reservation from the running prefills of its prefill engine, if
  /// it still counts among them.
  /// @param measured_ms As in `CellEngines::EndPrefill`.
  void EndPrefill(std::string_view id, ReservationRow& row,
                  DurationMs measured_ms, TimeMs now) {
    if (!row.prefilling) return;
    row.prefilling = false;
    EngineRow* engine = this->engines.Find(row.prefill);
    if (engine == nullptr) return;
    this->changed = true;
    this->engines.EndPrefill(*engine, id, measured_ms, now);
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
      this->cancels.Add(next.id, row->decode, row->request_id, false, now);
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
  this->tables->changed = true;
  this->tables->engines.Configure(engines, now);
}

void CellScheduler::SetRules(bool late_after_on_time,
                             bool refuse_by_drain_rate) {
  this->tables->queue.SetRules(late_after_on_time, refuse_by_drain_rate);
}

void CellScheduler::Submit(PlacementRequest request, TimeMs now) {
  Tables& state = *this->tables;
  const std::string id = request.request_id;
  const Tokens expected =
      state.settings.reserve_maximum
          ? request.max_tokens
          : state.outputs.Predict(request.hint, request.max_tokens);
  state.NoteDemand(request, expected, now);
  const Tokens tokens = request.prompt_tokens + expected;
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
  if (state.queue.Size() >= state.settings.max_queue) {
    return state.Refuse(id, ErrorKind::kCapacity,
                        "the cell's queue is full: " +
                            std::to_string(state.settings.max_queue) +
                            " requests are waiting",
                        state.queue.ExpectedWaitMs());
  }
  state.changed = true;
  state.queue.Submit(std::move(request), expected, now);
}

void CellScheduler::Withdraw(std::string_view request_id, TimeMs now) {
  Tables& state = *this->tables;
  const std::string key(request_id);
  state.queue.Remove(key);
  const auto reservation = state.reservation_of.find(key);
  if (reservation == state.reservation_of.end()) return;
  const std::string id = reservation->second;
  const auto row = state.TakeReservation(id, now);
  if (row) state.cancels.Add(id, row->decode, row->request_id, false, now);
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
      if (state.ended.Contains(renewal.reservation)) return;
      ReservationRow adopted;
      adopted.request_id = renewal.request_id;
      adopted.decode = renewal.engine;
      adopted.expires_at = now + state.settings.lease_ms;
      state.Reserve(renewal.reservation, std::move(adopted),
                    Generation{renewal.prompt_tokens, renewal.expected,
                               renewal.max_tokens, 0, 0});
    }
    if (renewal.produced > 0 && row != state.reservations.end()) {
      // The notice of its finished prefill may be lost.
      EngineRow* prefill = state.engines.Find(row->second.prefill);
      if (prefill != nullptr) {
        state.engines.DropOutstanding(*prefill, renewal.reservation);
      }
    }
    if (engine == nullptr || renewal.produced <= 0) return;
    const auto held = engine->generations.find(renewal.reservation);
    if (held == engine->generations.end()) return;
    engine->forecast_at.reset();
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
    engine->OnServed(now);
    state.engines.LearnPrefill(*engine, row.uncached_tokens, row.queued_prefill,
                               row.expected_prefill_ms, measured_ms);
    if (!row.queued_prefill) {
      state.demand.LearnPrefill(row.prompt_tokens, measured_ms);
    }
  }
  state.EndPrefill(found->first, row, measured_ms, now);
}

void CellScheduler::Finish(std::string_view reservation, Tokens produced,
                           TimeMs now) {
  const auto row = this->tables->TakeReservation(reservation, now);
  if (row) this->tables->outputs.Learn(row->hint, produced);
}

void CellScheduler::Forget(std::string_view reservation, TimeMs now) {
  const auto row = this->tables->TakeReservation(reservation, now);
  if (!row) return;
  this->tables->ended.Remove(reservation);
}

void CellScheduler::EngineFailed(std::string_view engine, TimeMs now) {
  this->tables->engines.engine_health.OnFailure(engine, now);
}

void CellScheduler::EngineUnreachable(std::string_view engine, TimeMs now) {
  this->tables->engines.engine_health.OnFailure(engine, now,
                                                kUnreachableWeight);
}

void CellScheduler::EngineServed(std::string_view engine, TimeMs now) {
  this->tables->changed = true;
  this->tables->engines.engine_health.OnSuccess(engine, now);
  EngineRow* row = this->tables->engines.Find(engine);
  if (row != nullptr) row->OnServed(now);
}

void CellScheduler::EngineFull(std::string_view engine, TimeMs now) {
  EngineRow* row = this->tables->engines.Find(engine);
  if (row != nullptr) row->OnRefused(this->tables->settings, now);
}

void CellScheduler::KvFetchFailed(std::string_view engine, TimeMs now) {
  this->tables->engines.kv_fetch_health.OnFailure(engine, now);
}

void CellScheduler::KvFetchSucceeded(std::string_view engine, TimeMs now) {
  this->tables->changed = true;
  this->tables->engines.kv_fetch_health.OnSuccess(engine, now);
}

void CellScheduler::LimitEngine(std::string_view engine,
                                std::optional<double> max_per_s, TimeMs now,
                                DurationMs age_ms) {
  this->tables->changed = true;
  this->tables->engines.engine_limits.OnAnswer(engine, max_per_s, now, age_ms);
}

void CellScheduler::SetLimitDivisor(std::int64_t divisor, TimeMs now) {
  this->tables->changed = true;
  this->tables->engines.engine_limits.SetProcessCount(divisor, now);
}

void CellScheduler::BeginRoleChange(std::string_view engine, TimeMs until) {
  EngineRow* row = this->tables->engines.Find(engine);
  if (row == nullptr) return;
  row->changing_role_until = until;
  this->tables->changed = true;
}

void CellScheduler::CancelDone(std::string_view reservation) {
  this->tables->cancels.Done(reservation);
}

void CellScheduler::Report(std::string_view id, const EngineLoad& load,
                           TimeMs now) {
  Tables& state = *this->tables;
  EngineRow* engine = state.engines.Find(id);
  if (engine == nullptr) return;
  state.changed = true;
  engine->reported_at = now;
  engine->unreserved_tokens = 0;
  std::ranges::for_each(load.held, [&](const HeldRequest& held) {
    if (state.reservations.contains(held.attempt)) return;
    if (state.ended.Contains(held.attempt)) return;
    engine->unreserved_tokens += held.pieces * kTokensPerPiece;
    if (held.detached_ms >= state.settings.orphan_grace_ms) {
      state.cancels.Add(held.attempt, std::string(id), held.request_id, true,
                        now);
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
  state.ended.Evict(now);
  std::ranges::move(state.queue.HandleLate(now),
                    std::back_inserter(state.commands));
  state.Admit(now);
  std::ranges::move(state.queue.ShedLoad(now),
                    std::back_inserter(state.commands));
  std::ranges::move(state.cancels.Due(now), std::back_inserter(state.commands));
  return std::exchange(state.commands, {});
}

std::vector<EngineView> CellScheduler::Engines(TimeMs now) const {
  this->tables->engines.Refresh(now);
  return this->tables->engines.Views(now);
}

CellLoad CellScheduler::Load(TimeMs now) const {
  const Tables& state = *this->tables;
  return CellLoad{static_cast<std::int64_t>(state.queue.Size()),
                  state.queue.ExpectedWaitMs(),
                  state.engines.HeadroomTokens(now)};
}

std::vector<RoleEngine> CellScheduler::RoleEngines(TimeMs now) const {
  std::vector<RoleEngine> engines;
  this->tables->engines.Refresh(now);
  std::ranges::for_each(
      this->tables->engines.Rows(), [&engines](const EngineRow& row) {
        if (!row.configured) return;
        engines.push_back(RoleEngine{
            row.spec.id, row.spec.role, row.running_prefills,
            static_cast<std::int64_t>(row.generations.size()), row.usable});
      });
  return engines;
}

RoleDemand CellScheduler::Demand(TimeMs now) {
  return this->tables->demand.Sum(now);
}

std::size_t CellScheduler::QueueLength() const noexcept {
  return this->tables->queue.Size();
}

std::size_t CellScheduler::Reservations() const noexcept {
  return this->tables->reservations.size();
}

const std::string& CellScheduler::Name() const noexcept {
  return this->tables->name;
}

}  // namespace limpethaven
