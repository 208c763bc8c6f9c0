#include "limpethaven/cell_scheduler.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <ostream>
#include <queue>
#include <unordered_set>

namespace limpethaven {
namespace {

constexpr DurationMs kRememberFinishedMs = 10'000;
constexpr DurationMs kGiveUpCancelMs = 60'000;
constexpr double kLearningRate = 0.2;
constexpr Tokens kMinTokensToLearn = 100;
constexpr std::size_t kNoEngine = std::numeric_limits<std::size_t>::max();

std::int64_t PiecesOf(Tokens tokens) {
  return (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

/// Prefix blocks that a prefill engine is believed to hold, least recently used
/// first out.
class PrefixCacheView {
 public:
  explicit PrefixCacheView(std::size_t max_blocks) : capacity(max_blocks) {}

  void Add(std::uint64_t block) {
    this->Remove(block);
    this->order.push_front(block);
    this->positions.emplace(block, this->order.begin());
    if (this->order.size() <= this->capacity) return;
    this->positions.erase(this->order.back());
    this->order.pop_back();
  }

  void Remove(std::uint64_t block) {
    const auto position = this->positions.find(block);
    if (position == this->positions.end()) return;
    this->order.erase(position->second);
    this->positions.erase(position);
  }

  /// Leading blocks of `prefix` that are held.
  [[nodiscard]] std::size_t Match(
      const std::vector<std::uint64_t>& prefix) const {
    const auto miss =
        std::ranges::find_if_not(prefix, [this](std::uint64_t block) {
          return this->positions.contains(block);
        });
    return static_cast<std::size_t>(miss - prefix.begin());
  }

 private:
  std::size_t capacity;
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions;
};

struct EngineRow {
  CellEngine spec;
  bool configured = true;
  bool usable =
      true;  ///< As of the last refresh: configured, staying and healthy.
  std::int64_t reserved = 0;
  std::int64_t foreign =
      0;  ///< Pieces reported as held for others than this scheduler.
  std::int64_t prefills = 0;
  TimeMs busy_until = 0;
  double prefill_ms_per_token = 0;
  PrefixCacheView cache;

  [[nodiscard]] std::int64_t Free() const {
    return this->spec.pieces - this->reserved - this->foreign;
  }
  [[nodiscard]] bool Prefills() const {
    return this->spec.role == PoolRole::kPrefill ||
           this->spec.role == PoolRole::kMixed;
  }
  [[nodiscard]] bool Decodes() const {
    return this->spec.role == PoolRole::kDecode ||
           this->spec.role == PoolRole::kMixed;
  }
  [[nodiscard]] DurationMs Backlog(TimeMs now) const {
    return std::max<DurationMs>(0, this->busy_until - now);
  }
};

struct WaitingRow {
  PlacementRequest request;
  TimeMs submitted_at = 0;
};

struct ReservationRow {
  std::string request_id;
  std::string decode;
  std::string prefill;
  std::int64_t pieces = 0;
  TimeMs expires_at = 0;
  Tokens uncached_tokens = 0;
  bool prefilling = false;
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

/// Where one request would go now.
struct Choice {
  std::size_t decode = kNoEngine;
  std::size_t prefill = kNoEngine;
  std::size_t runner_up = kNoEngine;
  Tokens cached_tokens = 0;
  DurationMs prefill_ms = 0;
  double cost_ms = 0;

  [[nodiscard]] bool Complete() const {
    return this->decode != kNoEngine && this->prefill != kNoEngine;
  }
};

bool IsExcluded(const PlacementRequest& request, const std::string& address) {
  return std::ranges::find(request.excluded, address) != request.excluded.end();
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Placement& placement) {
  return out << placement.reservation << ": " << placement.prefill << " -> "
             << placement.decode;
}

struct CellScheduler::Tables {
  std::string name;
  std::string owner;
  CellSettings settings;
  std::uint64_t next_reservation = 1;
  std::vector<EngineRow> engines;
  std::unordered_map<std::string, std::size_t> engine_index;
  std::unordered_map<std::string, WaitingRow> waiting;
  FairQueue queue;
  std::map<std::string, ReservationRow, std::less<>> reservations;
  std::unordered_map<std::string, std::string> reservation_of;  ///< By request.
  std::map<std::string, CancelRow, std::less<>> cancels;  ///< By reservation.
  std::unordered_set<std::string> finished;  ///< Reservations ended lately.
  std::deque<Due> finished_order;            ///< By the time they ended.
  /// When to look at a reservation's lease. A renewal leaves its old entry,
  /// which is put off when its time comes.
  std::priority_queue<Due, std::vector<Due>, std::greater<>> expiries;
  EndpointHealth health;
  std::vector<CellCommand> commands;

  void Refuse(const std::string& request_id, ErrorKind kind,
              std::string message) {
    this->waiting.erase(request_id);
    this->commands.emplace_back(
        RefuseCommand{request_id, Error::Of(kind, std::move(message))});
  }

  // -- engines
  // --------------------------------------------------------------------------------

  EngineRow* FindEngine(std::string_view address) {
    const auto row = this->engine_index.find(std::string(address));
    return row == this->engine_index.end() ? nullptr
                                           : &this->engines[row->second];
  }

  void ReindexEngines() {
    this->engine_index.clear();
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      this->engine_index.emplace(this->engines[index].spec.address, index);
    }
  }

  void RefreshUsable(TimeMs now) {
    std::ranges::for_each(this->engines, [&](EngineRow& engine) {
      engine.usable = engine.configured && !engine.spec.leaving &&
                      this->health.Usable(engine.spec.address, now);
    });
  }

  /// Decode engine with the most free memory that holds `pieces` more.
  [[nodiscard]] std::size_t ChooseDecode(const PlacementRequest& request,
                                         std::int64_t pieces) const {
    std::size_t best = kNoEngine;
    std::int64_t best_free = pieces - 1;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      const EngineRow& engine = this->engines[index];
      if (!engine.usable || !engine.Decodes() || engine.Free() <= best_free) {
        continue;
      }
      if (IsExcluded(request, engine.spec.address)) continue;
      best = index;
      best_free = engine.Free();
    }
    return best;
  }

  /// Prefill engine with the least sum of queued work and own work, which
  /// cached blocks shorten.
  void ChoosePrefill(const PlacementRequest& request, TimeMs now,
                     Choice& choice) const {
    double second_ms = std::numeric_limits<double>::max();
    choice.cost_ms = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      const EngineRow& engine = this->engines[index];
      const DurationMs backlog_ms = engine.Backlog(now);
      if (!engine.usable || !engine.Prefills()) continue;
      if (backlog_ms > this->settings.max_prefill_backlog_ms) continue;
      if (IsExcluded(request, engine.spec.address)) continue;
      const Tokens cached = std::min<Tokens>(
          static_cast<Tokens>(engine.cache.Match(request.prefix)) *
              kTokensPerPiece,
          std::max<Tokens>(0, request.prompt_tokens - 1));
      const double own_ms = engine.prefill_ms_per_token *
                            static_cast<double>(request.prompt_tokens - cached);
      const double cost_ms = own_ms + static_cast<double>(backlog_ms);
      if (cost_ms < choice.cost_ms) {
        choice.runner_up = choice.prefill;
        second_ms = choice.cost_ms;
        choice.prefill = index;
        choice.cached_tokens = cached;
        choice.prefill_ms = static_cast<DurationMs>(own_ms) + 1;
        choice.cost_ms = cost_ms;
      } else if (cost_ms < second_ms) {
        choice.runner_up = index;
        second_ms = cost_ms;
      }
    }
  }

  [[nodiscard]] Choice Choose(const PlacementRequest& request,
                              TimeMs now) const {
    Choice choice;
    choice.decode = this->ChooseDecode(
        request, PiecesOf(request.prompt_tokens + request.max_tokens));
    if (choice.decode != kNoEngine) this->ChoosePrefill(request, now, choice);
    return choice;
  }

  [[nodiscard]] bool AnyPrefillRoom(TimeMs now) const {
    return std::ranges::any_of(this->engines, [&](const EngineRow& engine) {
      return engine.usable && engine.Prefills() &&
             engine.Backlog(now) <= this->settings.max_prefill_backlog_ms;
    });
  }

  [[nodiscard]] std::int64_t LargestFree() const {
    std::int64_t largest = 0;
    std::ranges::for_each(this->engines, [&](const EngineRow& engine) {
      if (engine.usable && engine.Decodes()) {
        largest = std::max(largest, engine.Free());
      }
    });
    return largest;
  }

  [[nodiscard]] std::int64_t LargestEngine() const {
    std::int64_t largest = 0;
    std::ranges::for_each(this->engines, [&](const EngineRow& engine) {
      if (engine.configured && engine.Decodes()) {
        largest = std::max(largest, engine.spec.pieces);
      }
    });
    return largest;
  }

  [[nodiscard]] double MeanPrefillMsPerToken() const {
    double sum = 0;
    std::int64_t count = 0;
    std::ranges::for_each(this->engines, [&](const EngineRow& engine) {
      if (!engine.Prefills()) return;
      sum += engine.prefill_ms_per_token;
      ++count;
    });
    return count == 0 ? this->settings.prefill_ms_per_token
                      : sum / static_cast<double>(count);
  }

  // -- reservations
  // ---------------------------------------------------------------------------

  void Reserve(const std::string& id, ReservationRow row) {
    if (EngineRow* engine = this->FindEngine(row.decode)) {
      engine->reserved += row.pieces;
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
    if (EngineRow* engine = this->FindEngine(row.decode)) {
      engine->reserved -= row.pieces;
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
    EngineRow* engine = this->FindEngine(row.prefill);
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

  void RefuseLate(TimeMs now) {
    const std::vector<QueueItem> items = this->queue.PopLate(now);
    std::ranges::for_each(items, [&](const QueueItem& item) {
      this->Refuse(item.id, ErrorKind::kDeadline,
                   "the first token can no longer meet its target");
    });
  }

  void Admit(TimeMs now) {
    if (this->queue.Size() == 0) return;
    this->RefreshUsable(now);
    while (this->queue.Size() > 0 && this->AnyPrefillRoom(now)) {
      const std::int64_t largest_free = this->LargestFree();
      if (largest_free <= 0) return;
      Choice choice;
      const auto item = this->queue.PopFirst([&](const QueueItem& candidate) {
        // The cost of an item is its tokens, so most heads are judged without a
        // look-up.
        if (PiecesOf(candidate.cost) > largest_free) return false;
        choice = this->Choose(this->waiting.at(candidate.id).request, now);
        return choice.Complete();
      });
      if (!item) return;
      this->Place(item->id, choice, now);
    }
  }

  void Place(const std::string& request_id, const Choice& choice, TimeMs now) {
    const auto found = this->waiting.find(request_id);
    const WaitingRow row = std::move(found->second);
    this->waiting.erase(found);
    const PlacementRequest& request = row.request;
    const std::int64_t pieces =
        PiecesOf(request.prompt_tokens + request.max_tokens);
    EngineRow& decode = this->engines[choice.decode];
    EngineRow& prefill = this->engines[choice.prefill];
    const std::string id =
        this->owner + "-" + std::to_string(this->next_reservation++);

    Placement placement{id,
                        prefill.spec.address,
                        decode.spec.address,
                        {},
                        pieces,
                        choice.cached_tokens,
                        now - row.submitted_at,
                        this->settings.lease_ms,
                        {}};
    if (choice.runner_up != kNoEngine) {
      placement.runner_up = this->engines[choice.runner_up].spec.address;
    }
    placement.reason = "least prefill cost " +
                       std::to_string(static_cast<DurationMs>(choice.cost_ms)) +
                       " ms with " + std::to_string(choice.cached_tokens) +
                       " cached tokens; most free memory " +
                       std::to_string(decode.Free()) + " pieces";
    this->Reserve(id, ReservationRow{
                          request_id, decode.spec.address, prefill.spec.address,
                          pieces, now + this->settings.lease_ms,
                          request.prompt_tokens - choice.cached_tokens, true});
    this->health.OnChosen(decode.spec.address, now);
    this->health.OnChosen(prefill.spec.address, now);
    prefill.busy_until = std::max(now, prefill.busy_until) + choice.prefill_ms;
    ++prefill.prefills;
    std::ranges::for_each(request.prefix, [&prefill](std::uint64_t block) {
      prefill.cache.Add(block);
    });
    this->commands.emplace_back(PlaceCommand{request_id, std::move(placement)});
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
    : tables(std::make_unique<Tables>()) {
  this->tables->name = std::move(cell_name);
  this->tables->owner = std::move(owner);
  this->tables->settings = settings;
}

CellScheduler::~CellScheduler() = default;
CellScheduler::CellScheduler(CellScheduler&&) noexcept = default;
CellScheduler& CellScheduler::operator=(CellScheduler&&) noexcept = default;

void CellScheduler::Configure(const std::vector<CellEngine>& engines,
                              TimeMs now) {
  Tables& state = *this->tables;
  std::ranges::for_each(state.engines,
                        [](EngineRow& row) { row.configured = false; });
  std::ranges::for_each(engines, [&](const CellEngine& spec) {
    if (EngineRow* known = state.FindEngine(spec.address)) {
      known->spec = spec;
      known->configured = true;
      return;
    }
    EngineRow row{.spec = spec,
                  .cache = PrefixCacheView(state.settings.cache_blocks)};
    row.busy_until = now;
    row.prefill_ms_per_token = state.settings.prefill_ms_per_token;
    state.engine_index.emplace(spec.address, state.engines.size());
    state.engines.push_back(std::move(row));
  });
  std::erase_if(state.engines, [](const EngineRow& row) {
    return !row.configured && row.reserved == 0 && row.prefills == 0;
  });
  state.ReindexEngines();
  state.RefreshUsable(now);
}

void CellScheduler::Submit(PlacementRequest request, TimeMs now) {
  Tables& state = *this->tables;
  const std::string id = request.request_id;
  const std::int64_t pieces =
      PiecesOf(request.prompt_tokens + request.max_tokens);
  const std::int64_t largest = state.LargestEngine();
  if (largest == 0) {
    return state.Refuse(id, ErrorKind::kNoEndpoint, "the pool has no engine");
  }
  if (pieces > largest) {
    return state.Refuse(id, ErrorKind::kBodyTooLarge,
                        "the request needs " + std::to_string(pieces) +
                            " pieces of memory, the largest engine has " +
                            std::to_string(largest));
  }
  if (state.queue.Size() >= state.settings.max_queue) {
    return state.Refuse(id, ErrorKind::kCapacity,
                        "too many requests are waiting");
  }
  const double prefill_ms = state.MeanPrefillMsPerToken() *
                            static_cast<double>(request.prompt_tokens);
  const TimeMs deadline = now + request.budget_ms;
  const TimeMs latest_start =
      request.serve_late
          ? std::numeric_limits<TimeMs>::max()
          : std::max(now, deadline - static_cast<DurationMs>(prefill_ms));
  state.queue.Push(QueueItem{id, request.team, request.weight,
                             request.prompt_tokens + request.max_tokens,
                             deadline, latest_start});
  state.waiting.insert_or_assign(id, WaitingRow{std::move(request), now});
}

void CellScheduler::Withdraw(std::string_view request_id, TimeMs now) {
  Tables& state = *this->tables;
  const std::string key(request_id);
  state.queue.Remove(key);
  state.waiting.erase(key);
  const auto reservation = state.reservation_of.find(key);
  if (reservation == state.reservation_of.end()) return;
  const std::string id = reservation->second;
  const auto row = state.TakeReservation(id, now);
  if (row) state.Cancel(id, row->decode, row->request_id, false, now);
}

void CellScheduler::Renew(const std::vector<Renewal>& renewals, TimeMs now) {
  Tables& state = *this->tables;
  std::ranges::for_each(renewals, [&](const Renewal& renewal) {
    const auto row = state.reservations.find(renewal.reservation);
    if (row != state.reservations.end()) {
      row->second.expires_at = now + state.settings.lease_ms;
      return;
    }
    // One that lapsed or ended here must not come back through a late renewal.
    if (state.finished.contains(renewal.reservation)) return;
    state.Reserve(
        renewal.reservation,
        ReservationRow{renewal.request_id, renewal.engine, "", renewal.pieces,
                       now + state.settings.lease_ms, 0, false});
  });
}

void CellScheduler::PrefillDone(std::string_view reservation,
                                DurationMs measured_ms, TimeMs now) {
  Tables& state = *this->tables;
  const auto found = state.reservations.find(reservation);
  if (found == state.reservations.end()) return;
  ReservationRow& row = found->second;
  EngineRow* engine = state.FindEngine(row.prefill);
  if (engine != nullptr && row.prefilling &&
      row.uncached_tokens >= kMinTokensToLearn) {
    const double sample = static_cast<double>(measured_ms) /
                          static_cast<double>(row.uncached_tokens);
    engine->prefill_ms_per_token +=
        kLearningRate * (sample - engine->prefill_ms_per_token);
  }
  state.EndPrefill(row, now);
}

void CellScheduler::Finish(std::string_view reservation, TimeMs now) {
  static_cast<void>(this->tables->TakeReservation(reservation, now));
}

void CellScheduler::EngineFailed(std::string_view address, TimeMs now) {
  this->tables->health.OnFailure(address, now);
}

void CellScheduler::EngineServed(std::string_view address, TimeMs now) {
  this->tables->health.OnSuccess(address, now);
}

void CellScheduler::CancelDone(std::string_view reservation) {
  const auto row = this->tables->cancels.find(reservation);
  if (row != this->tables->cancels.end()) this->tables->cancels.erase(row);
}

void CellScheduler::Report(std::string_view address, const EngineLoad& load,
                           TimeMs now) {
  Tables& state = *this->tables;
  EngineRow* engine = state.FindEngine(address);
  if (engine == nullptr) return;
  engine->foreign = 0;
  std::ranges::for_each(load.held, [&](const HeldRequest& held) {
    if (state.reservations.contains(held.attempt)) return;
    if (state.finished.contains(held.attempt)) return;
    engine->foreign += held.pieces;
    if (held.detached_ms >= state.settings.orphan_grace_ms) {
      state.Cancel(held.attempt, std::string(address), held.request_id, true,
                   now);
    }
  });
}

void CellScheduler::OnCacheEvents(std::string_view address,
                                  const std::vector<CacheEvent>& events) {
  EngineRow* engine = this->tables->FindEngine(address);
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
  state.RefuseLate(now);
  state.Admit(now);
  state.SendCancels(now);
  return std::exchange(state.commands, {});
}

std::vector<EngineView> CellScheduler::Engines(TimeMs now) const {
  std::vector<EngineView> views;
  this->tables->RefreshUsable(now);
  std::ranges::transform(this->tables->engines, std::back_inserter(views),
                         [now](const EngineRow& engine) {
                           return EngineView{
                               engine.spec.address, engine.spec.role,
                               engine.spec.pieces,  engine.reserved,
                               engine.Backlog(now), engine.usable};
                         });
  return views;
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
