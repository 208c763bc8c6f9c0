#include "limpethaven/cell_scheduler.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <ostream>

namespace limpethaven {
namespace {

constexpr DurationMs kRememberFinishedMs = 10'000;
constexpr DurationMs kGiveUpCancelMs = 60'000;
constexpr double kLearningRate = 0.2;
constexpr Tokens kMinTokensToLearn = 100;
constexpr double kMsPerS = 1000.0;

std::int64_t PiecesOf(Tokens tokens) { return (tokens + kTokensPerPiece - 1) / kTokensPerPiece; }

/// Prefix blocks that a prefill engine is believed to hold, least recently used first out.
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
  [[nodiscard]] std::size_t Match(const std::vector<std::uint64_t>& prefix) const {
    const auto miss = std::ranges::find_if_not(
        prefix, [this](std::uint64_t block) { return this->positions.contains(block); });
    return static_cast<std::size_t>(miss - prefix.begin());
  }

 private:
  std::size_t capacity;
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

struct EngineRow {
  CellEngine spec;
  bool configured = true;
  std::int64_t reserved = 0;
  std::int64_t foreign = 0;  ///< Pieces reported as held for others than this scheduler.
  std::int64_t prefills = 0;
  TimeMs busy_until = 0;
  double prefill_ms_per_token = 0;
  PrefixCacheView cache;

  [[nodiscard]] std::int64_t Free() const {
    return this->spec.pieces - this->reserved - this->foreign;
  }
  [[nodiscard]] bool Prefills() const {
    return this->spec.role == PoolRole::kPrefill || this->spec.role == PoolRole::kMixed;
  }
  [[nodiscard]] bool Decodes() const {
    return this->spec.role == PoolRole::kDecode || this->spec.role == PoolRole::kMixed;
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
  DurationMs estimated_prefill_ms = 0;
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

struct PrefillChoice {
  EngineRow* engine = nullptr;
  std::string runner_up;
  Tokens cached_tokens = 0;
  DurationMs prefill_ms = 0;
  double cost_ms = 0;
};

bool IsExcluded(const PlacementRequest& request, const std::string& address) {
  return std::ranges::find(request.excluded, address) != request.excluded.end();
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Placement& placement) {
  return out << placement.reservation << ": " << placement.prefill << " -> " << placement.decode;
}

struct CellScheduler::Tables {
  std::string name;
  std::string owner;
  CellSettings settings;
  std::uint64_t next_reservation = 1;
  std::map<std::string, EngineRow, std::less<>> engines;
  std::unordered_map<std::string, WaitingRow> waiting;
  FairQueue queue;
  std::map<std::string, ReservationRow, std::less<>> reservations;
  std::unordered_map<std::string, std::string> reservation_of;  ///< By request.
  std::map<std::string, CancelRow, std::less<>> cancels;        ///< By reservation.
  std::unordered_map<std::string, TimeMs> finished;             ///< Reservations ended lately.
  EndpointHealth health;
  std::vector<CellCommand> commands;

  [[nodiscard]] bool Usable(const EngineRow& engine, TimeMs now) const {
    return engine.configured && !engine.spec.leaving &&
           this->health.Usable(engine.spec.address, now);
  }

  void Refuse(const std::string& request_id, ErrorKind kind, std::string message) {
    this->waiting.erase(request_id);
    this->commands.emplace_back(RefuseCommand{request_id, Error::Of(kind, std::move(message))});
  }

  // -- engines --------------------------------------------------------------------------------

  EngineRow* FindEngine(std::string_view address) {
    const auto row = this->engines.find(address);
    return row == this->engines.end() ? nullptr : &row->second;
  }

  /// Decode engine with the most free memory that holds `pieces` more.
  EngineRow* ChooseDecode(const PlacementRequest& request, std::int64_t pieces, TimeMs now) {
    EngineRow* best = nullptr;
    for (auto& [address, engine] : this->engines) {
      if (!engine.Decodes() || engine.Free() < pieces) continue;
      if (best != nullptr && engine.Free() <= best->Free()) continue;
      if (!this->Usable(engine, now) || IsExcluded(request, address)) continue;
      best = &engine;
    }
    return best;
  }

  /// Prefill engine with the least sum of queued work, own work and KV transfer.
  PrefillChoice ChoosePrefill(const PlacementRequest& request, TimeMs now) {
    PrefillChoice best;
    double second_ms = std::numeric_limits<double>::max();
    for (auto& [address, engine] : this->engines) {
      if (!engine.Prefills() || engine.Backlog(now) > this->settings.max_prefill_backlog_ms) {
        continue;
      }
      if (!this->Usable(engine, now) || IsExcluded(request, address)) continue;
      const Tokens cached = std::min<Tokens>(
          static_cast<Tokens>(engine.cache.Match(request.prefix)) * kTokensPerPiece,
          std::max<Tokens>(0, request.prompt_tokens - 1));
      const double own_ms =
          engine.prefill_ms_per_token * static_cast<double>(request.prompt_tokens - cached);
      const double cost_ms = own_ms + static_cast<double>(engine.Backlog(now));
      if (best.engine == nullptr || cost_ms < best.cost_ms) {
        if (best.engine != nullptr) best.runner_up = best.engine->spec.address;
        second_ms = best.cost_ms;
        best.engine = &engine;
        best.cached_tokens = cached;
        best.prefill_ms = static_cast<DurationMs>(own_ms) + 1;
        best.cost_ms = cost_ms;
      } else if (best.runner_up.empty() || cost_ms < second_ms) {
        best.runner_up = address;
        second_ms = cost_ms;
      }
    }
    return best;
  }

  [[nodiscard]] bool AnyPrefillRoom(TimeMs now) const {
    return std::ranges::any_of(this->engines, [&](const auto& row) {
      const EngineRow& engine = row.second;
      return engine.Prefills() && this->Usable(engine, now) &&
             engine.Backlog(now) <= this->settings.max_prefill_backlog_ms;
    });
  }

  [[nodiscard]] std::int64_t LargestFree(TimeMs now) const {
    std::int64_t largest = 0;
    std::ranges::for_each(this->engines, [&](const auto& row) {
      const EngineRow& engine = row.second;
      if (engine.Decodes() && this->Usable(engine, now)) {
        largest = std::max(largest, engine.Free());
      }
    });
    return largest;
  }

  [[nodiscard]] std::int64_t LargestEngine() const {
    std::int64_t largest = 0;
    std::ranges::for_each(this->engines, [&](const auto& row) {
      const EngineRow& engine = row.second;
      if (engine.configured && engine.Decodes()) largest = std::max(largest, engine.spec.pieces);
    });
    return largest;
  }

  [[nodiscard]] double MeanPrefillMsPerToken() const {
    double sum = 0;
    std::int64_t count = 0;
    std::ranges::for_each(this->engines, [&](const auto& row) {
      if (!row.second.Prefills()) return;
      sum += row.second.prefill_ms_per_token;
      ++count;
    });
    return count == 0 ? this->settings.prefill_ms_per_token : sum / static_cast<double>(count);
  }

  // -- reservations ---------------------------------------------------------------------------

  void Reserve(const std::string& id, ReservationRow row) {
    if (EngineRow* engine = this->FindEngine(row.decode)) engine->reserved += row.pieces;
    this->reservation_of.insert_or_assign(row.request_id, id);
    this->reservations.insert_or_assign(id, std::move(row));
  }

  std::optional<ReservationRow> TakeReservation(std::string_view id, TimeMs now) {
    const auto found = this->reservations.find(id);
    if (found == this->reservations.end()) return std::nullopt;
    ReservationRow row = std::move(found->second);
    if (EngineRow* engine = this->FindEngine(row.decode)) engine->reserved -= row.pieces;
    const auto current = this->reservation_of.find(row.request_id);
    if (current != this->reservation_of.end() && current->second == id) {
      this->reservation_of.erase(current);
    }
    this->EndPrefill(row, now);
    this->finished.insert_or_assign(found->first, now);
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

  void Cancel(std::string_view id, const std::string& engine, const std::string& request_id,
              bool orphan, TimeMs now) {
    this->cancels.try_emplace(std::string(id), CancelRow{engine, request_id, orphan, now, now});
  }

  // -- systems: each runs once a tick ---------------------------------------------------------

  void ExpireReservations(TimeMs now) {
    std::vector<std::string> lapsed;
    std::ranges::for_each(this->reservations, [&](const auto& row) {
      if (now >= row.second.expires_at) lapsed.push_back(row.first);
    });
    std::ranges::for_each(lapsed, [&](const std::string& id) {
      const auto row = this->TakeReservation(id, now);
      if (row) this->Cancel(id, row->decode, row->request_id, false, now);
    });
  }

  void RefuseLate(TimeMs now) {
    const std::vector<QueueItem> items = this->queue.PopLate(now);
    std::ranges::for_each(items, [&](const QueueItem& item) {
      this->Refuse(item.id, ErrorKind::kDeadline,
                   "the first token can no longer meet its target");
    });
  }

  void Admit(TimeMs now) {
    while (this->queue.Size() > 0 && this->AnyPrefillRoom(now)) {
      const std::int64_t largest_free = this->LargestFree(now);
      if (largest_free <= 0) return;
      const auto item = this->queue.PopFirst([&](const QueueItem& candidate) {
        const PlacementRequest& request = this->waiting.at(candidate.id).request;
        const std::int64_t pieces = PiecesOf(request.prompt_tokens + request.max_tokens);
        return pieces <= largest_free &&
               this->ChooseDecode(request, pieces, now) != nullptr &&
               this->ChoosePrefill(request, now).engine != nullptr;
      });
      if (!item) return;
      this->Place(item->id, now);
    }
  }

  void Place(const std::string& request_id, TimeMs now) {
    const auto found = this->waiting.find(request_id);
    const WaitingRow row = std::move(found->second);
    this->waiting.erase(found);
    const PlacementRequest& request = row.request;
    const std::int64_t pieces = PiecesOf(request.prompt_tokens + request.max_tokens);
    EngineRow* decode = this->ChooseDecode(request, pieces, now);
    const PrefillChoice prefill = this->ChoosePrefill(request, now);
    const std::string id = this->owner + "-" + std::to_string(this->next_reservation++);

    ReservationRow reservation{request_id, decode->spec.address, prefill.engine->spec.address,
                               pieces, now + this->settings.lease_ms, prefill.prefill_ms,
                               request.prompt_tokens - prefill.cached_tokens, true};
    this->Reserve(id, std::move(reservation));
    this->health.OnChosen(decode->spec.address, now);
    this->health.OnChosen(prefill.engine->spec.address, now);
    prefill.engine->busy_until = std::max(now, prefill.engine->busy_until) + prefill.prefill_ms;
    ++prefill.engine->prefills;
    std::ranges::for_each(request.prefix, [&](std::uint64_t block) {
      prefill.engine->cache.Add(block);
    });

    Placement placement{id, prefill.engine->spec.address, decode->spec.address,
                        prefill.runner_up, pieces, prefill.cached_tokens,
                        now - row.submitted_at, this->settings.lease_ms, {}};
    placement.reason = "least prefill cost " +
                       std::to_string(static_cast<DurationMs>(prefill.cost_ms)) + " ms with " +
                       std::to_string(prefill.cached_tokens) + " cached tokens; most free memory " +
                       std::to_string(decode->Free() + pieces) + " pieces";
    this->commands.emplace_back(PlaceCommand{request_id, std::move(placement)});
  }

  void SendCancels(TimeMs now) {
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
    std::erase_if(this->finished, [now](const auto& row) {
      return now - row.second >= kRememberFinishedMs;
    });
  }
};

CellScheduler::CellScheduler(std::string cell_name, std::string owner, CellSettings settings)
    : tables(std::make_unique<Tables>()) {
  this->tables->name = std::move(cell_name);
  this->tables->owner = std::move(owner);
  this->tables->settings = settings;
}

CellScheduler::~CellScheduler() = default;
CellScheduler::CellScheduler(CellScheduler&&) noexcept = default;
CellScheduler& CellScheduler::operator=(CellScheduler&&) noexcept = default;

void CellScheduler::Configure(const std::vector<CellEngine>& engines, TimeMs now) {
  Tables& state = *this->tables;
  std::ranges::for_each(state.engines, [](auto& row) { row.second.configured = false; });
  std::ranges::for_each(engines, [&](const CellEngine& spec) {
    const auto [row, inserted] = state.engines.try_emplace(
        spec.address, EngineRow{.cache = PrefixCacheView(state.settings.cache_blocks)});
    row->second.spec = spec;
    row->second.configured = true;
    if (!inserted) return;
    row->second.busy_until = now;
    row->second.prefill_ms_per_token = state.settings.prefill_ms_per_token;
  });
  std::erase_if(state.engines, [](const auto& row) {
    return !row.second.configured && row.second.reserved == 0 && row.second.prefills == 0;
  });
}

void CellScheduler::Submit(PlacementRequest request, TimeMs now) {
  Tables& state = *this->tables;
  const std::string id = request.request_id;
  const std::int64_t pieces = PiecesOf(request.prompt_tokens + request.max_tokens);
  const std::int64_t largest = state.LargestEngine();
  if (largest == 0) return state.Refuse(id, ErrorKind::kNoEndpoint, "the pool has no engine");
  if (pieces > largest) {
    return state.Refuse(id, ErrorKind::kBodyTooLarge,
                        "the request needs " + std::to_string(pieces) +
                            " pieces of memory, the largest engine has " +
                            std::to_string(largest));
  }
  if (state.queue.Size() >= state.settings.max_queue) {
    return state.Refuse(id, ErrorKind::kCapacity, "too many requests are waiting");
  }
  const double prefill_ms =
      state.MeanPrefillMsPerToken() * static_cast<double>(request.prompt_tokens);
  const TimeMs deadline = now + request.budget_ms;
  const TimeMs latest_start = request.serve_late
                                  ? std::numeric_limits<TimeMs>::max()
                                  : std::max(now, deadline - static_cast<DurationMs>(prefill_ms));
  state.queue.Push(QueueItem{id, request.team, request.weight,
                             request.prompt_tokens + request.max_tokens, deadline,
                             latest_start});
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
    state.Reserve(renewal.reservation,
                  ReservationRow{renewal.request_id, renewal.engine, "", renewal.pieces,
                                 now + state.settings.lease_ms, 0, 0, false});
  });
}

void CellScheduler::PrefillDone(std::string_view reservation, DurationMs measured_ms,
                                TimeMs now) {
  Tables& state = *this->tables;
  const auto found = state.reservations.find(reservation);
  if (found == state.reservations.end()) return;
  ReservationRow& row = found->second;
  EngineRow* engine = state.FindEngine(row.prefill);
  if (engine != nullptr && row.prefilling && row.uncached_tokens >= kMinTokensToLearn) {
    const double sample = static_cast<double>(measured_ms) /
                          static_cast<double>(row.uncached_tokens);
    engine->prefill_ms_per_token += kLearningRate * (sample - engine->prefill_ms_per_token);
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

void CellScheduler::Report(std::string_view address, const EngineLoad& load, TimeMs now) {
  Tables& state = *this->tables;
  EngineRow* engine = state.FindEngine(address);
  if (engine == nullptr) return;
  engine->foreign = 0;
  std::ranges::for_each(load.held, [&](const HeldRequest& held) {
    if (state.reservations.contains(held.attempt)) return;
    if (state.finished.contains(held.attempt)) return;
    engine->foreign += held.pieces;
    if (held.detached_ms >= state.settings.orphan_grace_ms) {
      state.Cancel(held.attempt, std::string(address), held.request_id, true, now);
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
  state.RefuseLate(now);
  state.Admit(now);
  state.SendCancels(now);
  state.ForgetFinished(now);
  return std::exchange(state.commands, {});
}

std::vector<EngineView> CellScheduler::Engines(TimeMs now) const {
  std::vector<EngineView> views;
  std::ranges::transform(this->tables->engines, std::back_inserter(views), [&](const auto& row) {
    const EngineRow& engine = row.second;
    return EngineView{row.first, engine.spec.role, engine.spec.pieces,
                      engine.reserved, engine.Backlog(now), this->tables->Usable(engine, now)};
  });
  return views;
}

std::size_t CellScheduler::QueueLength() const noexcept { return this->tables->queue.Size(); }

std::size_t CellScheduler::Reservations() const noexcept {
  return this->tables->reservations.size();
}

const std::string& CellScheduler::Name() const noexcept { return this->tables->name; }

}  // namespace limpethaven
