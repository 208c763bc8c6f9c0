#include "peer/cell_exchange.h"

#include <algorithm>

#include "log/event_log.h"
#include "peer/cell_call.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// Interval between renewals. A lease is several times as long, so that lost
/// renewals do not end it.
constexpr DurationMs kRenewalPeriodMs = 500;
/// Interval at which a cell's load is sent to the owners of the pool's other
/// cells.
constexpr DurationMs kLoadPeriodMs = 100;

json ParseOrDiscarded(const std::string& text) {
  return json::parse(text, nullptr, false);
}

Error NoLongerAwaited(const PlacementRequest& request) {
  return Error::Of(ErrorKind::kDeadline,
                   "the time of request " + request.request_id +
                       " ended while processes handed it on");
}

}  // namespace

CellExchange::CellExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                           std::string local_data_centre,
                           CellSettings cell_settings)
    : link(peer_link),
      gossip(peer_gossip),
      directory(peer_gossip, std::move(local_data_centre)),
      settings(cell_settings) {
  this->link.HandleLong(std::string(kCellPlacePath), [this](PeerCall& call) {
    return this->AnswerPlace(call);
  });
  this->link.Handle(std::string(kCellReportPath), [this](PeerCall& call) {
    return this->AnswerReport(call);
  });
}

void CellExchange::Configure(std::vector<CellSpec> next) {
  this->directory.Configure(std::move(next));
  const TimeMs now = LoopNow();
  this->cell_of_engine.clear();
  std::ranges::for_each(this->directory.Cells(), [this](const CellSpec& cell) {
    std::ranges::for_each(cell.engines, [&](const CellEngine& engine) {
      this->cell_of_engine.insert_or_assign(engine.id, cell.name);
    });
  });
  this->MoveReservations();
  std::ranges::for_each(this->hosted, [&](auto& entry) {
    const CellSpec* cell = this->directory.Find(entry.first);
    if (cell == nullptr) return this->CloseCell(*entry.second, now);
    entry.second->scheduler.Configure(cell->engines, now);
    this->SetRules(*entry.second, *cell);
    this->RunScheduler(*entry.second, now);
  });
}

void CellExchange::MoveReservations() {
  const std::string& self = this->gossip.Members().Self().address;
  std::ranges::for_each(this->held.Rows(), [&](auto& entry) {
    HeldReservation& row = entry.second;
    const auto cell_name = this->cell_of_engine.find(row.renewal.engine);
    if (row.released_at || cell_name == this->cell_of_engine.end() ||
        cell_name->second == row.cell) {
      return;
    }
    CellNotice notice;
    notice.kind = CellNoticeKind::kMoved;
    notice.cell = row.cell;
    notice.reservation = row.renewal.reservation;
    this->QueueNotice(row.owner, std::move(notice));
    row.cell = cell_name->second;
    const CellSpec* cell = this->directory.Find(row.cell);
    const std::vector<std::string> order = this->directory.OwnersOf(*cell);
    row.owner = order.empty() ? self : order.front();
    this->outbox.For(row.owner).renewals.emplace_back(row.cell, row.renewal);
  });
}

void CellExchange::CloseCell(HostedCell& host, TimeMs now) {
  host.scheduler.Configure({}, now);
  std::ranges::for_each(host.pending, [](const auto& entry) {
    entry.second->cell_gone = true;
    entry.second->decided.Notify();
  });
}

Task<Result<CellPlacement>> CellExchange::Place(std::string pool,
                                                PlacementRequest request,
                                                Cancellation& cancel) {
  const TimeMs started_at = LoopNow();
  std::string name = this->directory.HomeCell(pool);
  bool may_redirect = true;
  while (!name.empty()) {
    const CellSpec* found = this->directory.Find(name);
    // The peer that redirected the request may know other cells.
    if (found == nullptr) {
      found = this->directory.Find(this->directory.HomeCell(pool));
    }
    if (found == nullptr) break;
    const CellSpec cell = *found;
    std::optional<PlacementRequest> remaining =
        AfterWait(request, LoopNow() - started_at);
    if (!remaining) co_return NoLongerAwaited(request);
    const Result<OwnerAnswer> placed = co_await this->PlaceInCell(
        cell, std::move(*remaining), may_redirect, cancel);
    if (!placed) co_return placed.error();
    const OwnerAnswer& answer = placed.value();
    if (answer.cell_answer.redirect_to.empty()) {
      co_return CellPlacement{cell.name, answer.owner,
                              answer.cell_answer.placement};
    }
    // A request is redirected only once: the second cell queues it.
    name = answer.cell_answer.redirect_to;
    may_redirect = false;
  }
  co_return Error::Of(
      ErrorKind::kNoEndpoint,
      "pool " + pool +
          " has no cell in the configuration of this process, or "
          "not the cell that the request was redirected to");
}

Task<Result<CellExchange::OwnerAnswer>> CellExchange::PlaceInCell(
    const CellSpec& cell, PlacementRequest request, bool may_redirect,
    Cancellation& cancel) {
  const std::string& self = this->gossip.Members().Self().address;
  const TimeMs started_at = LoopNow();
  for (const std::string& owner : this->directory.OwnersOf(cell)) {
    if (owner == self) break;
    std::optional<PlacementRequest> remaining =
        AfterWait(request, LoopNow() - started_at);
    if (!remaining) co_return NoLongerAwaited(request);
    CellPlacementRequest message{cell.name, std::move(*remaining), may_redirect,
                                 this->named_limits.Of(cell.name, LoopNow()),
                                 this->marks.Of(cell.name)};
    const Result<CellPlacementAnswer> answer =
        co_await CallCellOwner(this->link, owner, std::move(message), cancel);
    if (answer) {
      this->marks.Note(cell.name, answer.value().mark);
      co_return OwnerAnswer{owner, answer.value()};
    }
    if (cancel.Requested()) co_return answer.error();
    // The scheduler's refusal is final. Only an owner that could not be reached
    // is skipped.
    const ErrorKind kind = answer.error().kind;
    if (kind != ErrorKind::kEndpointFailed) co_return answer.error();
    LogEvent(EventId::kCellOwnerLost, {{"request", request.request_id},
                                       {"cell", cell.name},
                                       {"owner", owner},
                                       {"why", answer.error().message}});
    this->directory.HoldDown(owner, LoopNow());
    // The skipped owner may have placed the request, which must then be
    // withdrawn there to free its memory.
    CellNotice notice;
    notice.kind = CellNoticeKind::kWithdrawn;
    notice.cell = cell.name;
    notice.request_id = request.request_id;
    this->QueueNotice(owner, std::move(notice));
  }
  std::optional<PlacementRequest> remaining =
      AfterWait(request, LoopNow() - started_at);
  if (!remaining) co_return NoLongerAwaited(request);
  CellPlacementRequest message{cell.name, std::move(*remaining), may_redirect,
                               this->named_limits.Of(cell.name, LoopNow()),
                               this->marks.Of(cell.name)};
  const Result<CellPlacementAnswer> answer =
      co_await this->PlaceLocally(cell, std::move(message), cancel, nullptr);
  if (!answer) co_return answer.error();
  co_return OwnerAnswer{self, answer.value()};
}

void CellExchange::SetCanceller(RunCanceller* run_canceller) {
  this->canceller = run_canceller;
}

void CellExchange::QueueNotice(const std::string& owner, CellNotice notice) {
  std::string receiver = owner;
  const auto held_row = this->held.Rows().find(notice.reservation);
  if (held_row != this->held.Rows().end() &&
      notice.kind != CellNoticeKind::kMoved) {
    receiver = held_row->second.owner;
    notice.cell = held_row->second.cell;
    const bool ends = notice.kind == CellNoticeKind::kFinished ||
                      notice.kind == CellNoticeKind::kWithdrawn;
    if (ends) this->held.Rows().erase(held_row);
  }
  if (receiver.empty()) {
    const CellSpec* cell = this->directory.Find(notice.cell);
    if (cell == nullptr) return;
    const std::vector<std::string> order = this->directory.OwnersOf(*cell);
    receiver =
        order.empty() ? this->gossip.Members().Self().address : order.front();
  }
  if (notice.kind == CellNoticeKind::kEngineLimit) {
    this->named_limits.OnNotice(notice, LoopNow());
  }
  this->outbox.For(receiver).notices.push_back(std::move(notice));
}

void CellExchange::Hold(const CellPlacement& placed, const Renewal& renewal) {
  this->held.Hold(placed.placement.reservation, placed.cell, placed.owner,
                  renewal);
}

void CellExchange::SetProduced(const std::string& reservation,
                               Tokens produced) {
  this->held.SetProduced(reservation, produced);
}

void CellExchange::Release(const std::string& reservation) {
  this->held.Release(reservation, LoopNow());
}

void CellExchange::Tick(TimeMs now) {
  const std::string& self = this->gossip.Members().Self().address;
  this->held.EvictReleased(now);
  // Renewals go to the present owner of the cell, so that a new owner adopts
  // the reservations of the previous one.
  bool owner_changed = false;
  std::ranges::for_each(this->held.Rows(), [&](auto& entry) {
    HeldReservation& row = entry.second;
    const CellSpec* cell = this->directory.Find(row.cell);
    if (cell == nullptr || row.released_at) return;
    const std::vector<std::string> order = this->directory.OwnersOf(*cell);
    const std::string& owner = order.empty() ? self : order.front();
    owner_changed = owner_changed || owner != row.owner;
    row.owner = owner;
  });
  this->QueueLoads(now);
  const bool renew = owner_changed || now >= this->next_renewal;
  if (renew) this->next_renewal = now + kRenewalPeriodMs;
  this->FlushOutbox(now, renew);
  std::ranges::for_each(this->hosted, [&](auto& entry) {
    const CellSpec* cell = this->directory.Find(entry.first);
    if (cell != nullptr) {
      entry.second->UpdateLimitDivisor(this->directory.PlaceOf(*cell), now);
    }
    this->RunScheduler(*entry.second, now);
  });
}

std::vector<std::pair<std::string, std::vector<EngineView>>>
CellExchange::HostedCells(TimeMs now) const {
  std::vector<std::pair<std::string, std::vector<EngineView>>> views;
  std::ranges::for_each(this->hosted, [&](const auto& entry) {
    views.emplace_back(entry.first, entry.second->scheduler.Engines(now));
  });
  return views;
}

const CellDirectory& CellExchange::Directory() const noexcept {
  return this->directory;
}

CellScheduler* CellExchange::SchedulerOf(std::string_view cell) {
  const auto host = this->hosted.find(cell);
  return host == this->hosted.end() ? nullptr : &host->second->scheduler;
}

OrderMarks& CellExchange::Marks() noexcept { return this->marks; }

std::size_t CellExchange::HeldReservations() const {
  return this->held.Count();
}

std::vector<CellSpec> CellExchange::OwnedCells() const {
  const std::string& self = this->gossip.Members().Self().address;
  std::vector<CellSpec> owned;
  std::ranges::copy_if(this->directory.Cells(), std::back_inserter(owned),
                       [&](const CellSpec& cell) {
                         const std::vector<std::string> order =
                             this->directory.OwnersOf(cell);
                         return !order.empty() && order.front() == self;
                       });
  return owned;
}

void CellExchange::OnEngineReport(const std::string& cell,
                                  const std::string& engine,
                                  const EngineLoad* load) {
  const CellSpec* spec = this->directory.Find(cell);
  if (spec == nullptr) return;
  HostedCell& host = this->HostCell(*spec);
  const TimeMs now = LoopNow();
  if (load == nullptr) {
    host.scheduler.EngineFailed(engine, now);
  } else {
    host.scheduler.EngineServed(engine, now);
    host.scheduler.Report(engine, *load, now);
  }
  this->RunScheduler(host, now);
}

void CellExchange::OnCacheEvents(const std::string& cell,
                                 const std::string& engine,
                                 const std::vector<CacheEvent>& events) {
  const CellSpec* spec = this->directory.Find(cell);
  if (spec != nullptr) {
    this->HostCell(*spec).scheduler.OnCacheEvents(engine, events);
  }
}

std::size_t CellExchange::QueueLength() const {
  std::size_t waiting = 0;
  std::ranges::for_each(this->hosted, [&waiting](const auto& entry) {
    waiting += entry.second->scheduler.QueueLength();
  });
  return waiting;
}

const PlacementCounts& CellExchange::DecisionCounts() const noexcept {
  return this->decisions;
}

HostedCell& CellExchange::HostCell(const CellSpec& cell) {
  const auto known = this->hosted.find(cell.name);
  if (known != this->hosted.end()) return *known->second;
  const VmId& self = this->gossip.Members().Self();
  auto host = std::make_unique<HostedCell>(
      cell.name,
      self.address + "-" + std::to_string(self.incarnation) + "-" + cell.name,
      this->settings);
  host->scheduler.Configure(cell.engines, LoopNow());
  host->UpdateLimitDivisor(this->directory.PlaceOf(cell), LoopNow());
  this->SetRules(*host, cell);
  return *this->hosted.emplace(cell.name, std::move(host)).first->second;
}

void CellExchange::SetRules(HostedCell& host, const CellSpec& cell) const {
  host.scheduler.SetRules(
      this->settings.late_after_on_time || cell.on_time_first,
      this->settings.refuse_by_drain_rate);
}

Task<Result<CellPlacementAnswer>> CellExchange::PlaceLocally(
    const CellSpec& cell, CellPlacementRequest message, Cancellation& cancel,
    PeerCall* call) {
  HostedCell& host = this->HostCell(cell);
  const std::string id = message.request.request_id;
  const Tokens tokens = message.request.prompt_tokens;
  const TimeMs deadline = PlacementDeadline(message.request, LoopNow());
  std::ranges::for_each(
      message.engine_limits, [&host](const EngineLimit& limit) {
        host.scheduler.LimitEngine(limit.engine, limit.max_per_s, LoopNow(),
                                   limit.age_ms);
      });
  PendingPlacement pending(this->link.GetLoop());
  host.pending.insert_or_assign(id, &pending);
  host.scheduler.Submit(std::move(message.request), LoopNow());
  this->RunScheduler(host, LoopNow());
  const bool placed = pending.decision && pending.decision->has_value();
  if (!placed && message.may_redirect) {
    const std::string other = this->loads.TakeRedirect(this->directory.Cells(),
                                                       cell, tokens, LoopNow());
    if (!other.empty()) {
      host.pending.erase(id);
      host.scheduler.Withdraw(id, LoopNow());
      co_return CellPlacementAnswer{other, {}};
    }
  }
  const CancelScope scope(cancel, [&pending] { pending.decided.Notify(); });
  while (!pending.decision && !pending.cell_gone && !cancel.Requested() &&
         LoopNow() < deadline) {
    const TimeMs keep_alive_at = LoopNow() + kKeepAlivePeriodMs;
    co_await pending.decided.WaitUntil(
        call == nullptr ? deadline : std::min(deadline, keep_alive_at));
    const bool keep_alive_due = !pending.decision && LoopNow() >= keep_alive_at;
    if (call != nullptr && keep_alive_due) co_await call->SendKeepAlive();
  }
  host.pending.erase(id);
  if (pending.decision && !cancel.Requested()) {
    const Result<Placement> decision = *pending.decision;
    if (!decision) co_return decision.error();
    co_return CellPlacementAnswer{"", decision.value()};
  }
  host.scheduler.Withdraw(id, LoopNow());
  const std::string home =
      pending.cell_gone ? this->directory.HomeCell(cell.model) : std::string();
  if (!home.empty()) co_return CellPlacementAnswer{home, {}};
  co_return Error::Of(ErrorKind::kCapacity,
                      "cell " + cell.name + " had not placed request " + id +
                          " when its deadline passed or it was cancelled");
}

Task<Result<std::string>> CellExchange::AnswerPlace(PeerCall& call) {
  CellPlacementRequest message;
  try {
    message = ParseOrDiscarded(call.body).get<CellPlacementRequest>();
  } catch (const json::exception& fault) {
    co_return Error::Of(
        ErrorKind::kBadRequest,
        std::string("malformed placement request: ") + fault.what());
  }
  const CellSpec* found = this->directory.Find(message.cell);
  if (found == nullptr) {
    co_return Error::Of(
        ErrorKind::kEndpointFailed,
        "cell " + message.cell + " is not configured in this process");
  }
  const CellSpec cell = *found;
  this->marks.Note(cell.name, message.mark);
  Cancellation cancel;
  call.exchange.OnDisconnect([&cancel] { cancel.Request(); });
  const Result<CellPlacementAnswer> answer =
      co_await this->PlaceLocally(cell, std::move(message), cancel, &call);
  call.exchange.OnDisconnect(nullptr);
  if (!answer) co_return answer.error();
  CellPlacementAnswer marked = answer.value();
  marked.mark = this->marks.Of(cell.name);
  const json body = marked;
  co_return body.dump();
}

Task<Result<std::string>> CellExchange::AnswerReport(PeerCall& call) {
  try {
    this->ApplyReport(ParseOrDiscarded(call.body).get<CellReport>());
  } catch (const json::exception& fault) {
    co_return Error::Of(ErrorKind::kBadRequest,
                        std::string("malformed cell report: ") + fault.what());
  }
  co_return std::string("{}");
}

void CellExchange::ApplyReport(const CellReport& report) {
  const TimeMs now = LoopNow();
  std::ranges::for_each(report.loads, [&](const auto& row) {
    this->loads.OnLoad(row.first, row.second, now);
  });
  std::ranges::for_each(report.marks, [this](const auto& row) {
    if (this->directory.Find(row.first) == nullptr) return;
    this->marks.Note(row.first, row.second);
  });
  std::ranges::for_each(report.renewals, [&](const auto& row) {
    const CellSpec* cell = this->directory.Find(row.first);
    if (cell != nullptr) {
      this->HostCell(*cell).scheduler.Renew({row.second}, now);
    }
  });
  std::ranges::for_each(report.notices, [&](const CellNotice& notice) {
    const CellSpec* cell = this->directory.Find(notice.cell);
    if (cell != nullptr) {
      HostedCell& host = this->HostCell(*cell);
      host.Apply(notice, now);
      return this->RunScheduler(host, now);
    }
    // Requests that were placed before the cell was closed still end.
    const auto closed = this->hosted.find(notice.cell);
    if (closed != this->hosted.end()) {
      closed->second->Apply(notice, now);
      this->RunScheduler(*closed->second, now);
    }
  });
}

void CellExchange::RunScheduler(HostedCell& cell, TimeMs now) {
  std::ranges::for_each(
      cell.Run(now, this->decisions),
      [&](const CancelCommand& command) { this->CancelRun(cell, command); });
}

void CellExchange::CancelRun(HostedCell& cell, const CancelCommand& command) {
  LogEvent(
      command.orphan ? EventId::kOrphanCancelled : EventId::kReservationLapsed,
      {{"request", command.request_id}, {"engine", command.engine}});
  if (this->canceller == nullptr) {
    // Without a canceller, a run ends when the connection of its stream is
    // closed, at the latest at the end of the entry process that holds it.
    cell.scheduler.CancelDone(command.reservation);
    return;
  }
  Spawn(this->link.GetLoop(),
        [this, command, name = cell.scheduler.Name()]() -> Task<> {
          const bool done = co_await this->canceller->Cancel(command);
          const auto host = this->hosted.find(name);
          if (done && host != this->hosted.end()) {
            host->second->scheduler.CancelDone(command.reservation);
          }
        });
}

void CellExchange::QueueLoads(TimeMs now) {
  if (now < this->next_loads) return;
  this->next_loads = now + kLoadPeriodMs;
  const std::string& self = this->gossip.Members().Self().address;
  std::ranges::for_each(this->hosted, [&](const auto& entry) {
    const CellSpec* cell = this->directory.Find(entry.first);
    if (cell == nullptr) return;
    const std::vector<std::string> order = this->directory.OwnersOf(*cell);
    if (order.empty() || order.front() != self) return;
    const CellLoad load = entry.second->scheduler.Load(now);
    const OrderMark mark = this->marks.Of(cell->name);
    std::ranges::for_each(this->directory.Cells(), [&](const CellSpec& other) {
      if (other.model != cell->model || other.name == cell->name) return;
      const std::vector<std::string> other_owners =
          this->directory.OwnersOf(other);
      if (other_owners.empty()) return;
      CellReport& report = this->outbox.For(other_owners.front());
      report.loads.emplace_back(cell->name, load);
      if (mark.term != OrderTerm{}) report.marks.emplace_back(cell->name, mark);
    });
  });
}

void CellExchange::FlushOutbox(TimeMs now, bool renew) {
  static_cast<void>(now);
  if (renew) {
    std::ranges::for_each(this->held.Rows(), [this](const auto& entry) {
      const HeldReservation& row = entry.second;
      if (row.released_at) return;
      this->outbox.For(row.owner).renewals.emplace_back(row.cell, row.renewal);
    });
  }
  const auto own =
      this->outbox.Flush(this->link, this->gossip.Members().Self().address);
  if (own) this->ApplyReport(*own);
}

}  // namespace limpethaven
