#include "peer/cell_exchange.h"

#include <algorithm>

#include "limpethaven/endpoint_limits.h"
#include "limpethaven/rendezvous.h"
#include "log/event_log.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::string_view kPlacePath = "/peer/v1/place";
constexpr std::string_view kReportPath = "/peer/v1/cell_news";
/// Most owners considered for a cell. When those that are called all fail, this
/// process schedules the cell itself.
constexpr std::size_t kMaxOwnersTried = 2;
/// An owner that does not acknowledge a call within this time is skipped.
constexpr DurationMs kAckTimeoutMs = 60;
/// A skipped owner is not called again for this time.
constexpr DurationMs kOwnerHoldDownMs = 1000;
/// Interval between renewals. A lease is several times as long, so that lost
/// renewals do not end it.
constexpr DurationMs kRenewalPeriodMs = 500;
constexpr DurationMs kReportTimeoutMs = 500;
/// A released reservation of which no end is reported is forgotten after this
/// time.
constexpr DurationMs kReleasedRetentionMs = 5000;
/// Time that a placement may take beyond the larger of `patience_ms` and
/// `budget_ms` of its request.
constexpr DurationMs kPlacementMarginMs = 100;

/// Interval at which a cell's load is sent to the owners of the pool's other
/// cells.
constexpr DurationMs kLoadPeriodMs = 100;
/// The load of another cell is ignored when it is older than this.
constexpr DurationMs kLoadTtlMs = 500;
/// A request is redirected only to a cell whose headroom is at least this many
/// times the tokens of the prompt.
constexpr Tokens kRedirectHeadroomFactor = 4;
constexpr double kMsPerS = 1000.0;

json ParseOrDiscarded(const std::string& text) {
  return json::parse(text, nullptr, false);
}

}  // namespace

CellExchange::CellExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                           std::string local_data_centre,
                           CellSettings cell_settings)
    : link(peer_link),
      gossip(peer_gossip),
      data_centre(std::move(local_data_centre)),
      settings(cell_settings) {
  this->link.HandleLong(std::string(kPlacePath), [this](PeerCall& call) {
    return this->AnswerPlace(call);
  });
  this->link.Handle(std::string(kReportPath), [this](PeerCall& call) {
    return this->AnswerReport(call);
  });
}

void CellExchange::Configure(std::vector<CellSpec> next) {
  this->cells = std::move(next);
  const TimeMs now = LoopNow();
  this->cell_of_engine.clear();
  std::ranges::for_each(this->cells, [this](const CellSpec& cell) {
    std::ranges::for_each(cell.engines, [&](const CellEngine& engine) {
      this->cell_of_engine.insert_or_assign(engine.id, cell.name);
    });
  });
  this->MoveReservations();
  std::ranges::for_each(this->hosted, [&](auto& entry) {
    const CellSpec* cell = this->FindCell(entry.first);
    if (cell == nullptr) return this->CloseCell(*entry.second, now);
    entry.second->scheduler.Configure(cell->engines, now);
    this->SetRules(*entry.second, *cell);
    this->RunScheduler(*entry.second, now);
  });
}

void CellExchange::MoveReservations() {
  const std::string& self = this->gossip.Members().Self().address;
  std::ranges::for_each(this->held, [&](auto& entry) {
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
    const CellSpec* cell = this->FindCell(row.cell);
    const std::vector<std::string> order = this->OwnersOf(*cell);
    row.owner = order.empty() ? self : order.front();
    this->outbox[row.owner].renewals.emplace_back(row.cell, row.renewal);
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
  std::string name = this->HomeCell(pool);
  bool may_redirect = true;
  while (!name.empty()) {
    const CellSpec* found = this->FindCell(name);
    // The peer that redirected the request may know other cells.
    if (found == nullptr) found = this->FindCell(this->HomeCell(pool));
    if (found == nullptr) break;
    const CellSpec cell = *found;
    PlacementRequest remaining = request;
    remaining.budget_ms -= LoopNow() - started_at;
    const Result<OwnerAnswer> placed = co_await this->PlaceInCell(
        cell, std::move(remaining), may_redirect, cancel);
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
  for (const std::string& owner : this->OwnersOf(cell)) {
    if (owner == self) break;
    CellPlacementRequest message{cell.name, request, may_redirect,
                                 this->LimitsFor(cell.name, owner)};
    message.request.budget_ms -= LoopNow() - started_at;
    const Result<CellPlacementAnswer> answer =
        co_await this->CallOwner(owner, std::move(message), cancel);
    if (answer) co_return OwnerAnswer{owner, answer.value()};
    if (cancel.Requested()) co_return answer.error();
    // The scheduler's refusal is final. Only an owner that could not be reached
    // is skipped.
    const ErrorKind kind = answer.error().kind;
    if (kind != ErrorKind::kEndpointFailed) co_return answer.error();
    LogEvent(EventId::kCellOwnerLost, {{"request", request.request_id},
                                       {"cell", cell.name},
                                       {"owner", owner},
                                       {"why", answer.error().message}});
    this->owners[owner].hold_down_until = LoopNow() + kOwnerHoldDownMs;
    // The skipped owner may have placed the request, which must then be
    // withdrawn there to free its memory.
    CellNotice notice;
    notice.kind = CellNoticeKind::kWithdrawn;
    notice.cell = cell.name;
    notice.request_id = request.request_id;
    this->QueueNotice(owner, std::move(notice));
  }
  CellPlacementRequest message{cell.name, std::move(request), may_redirect,
                               this->LimitsFor(cell.name, self)};
  message.request.budget_ms -= LoopNow() - started_at;
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
  const auto held_row = this->held.find(notice.reservation);
  if (held_row != this->held.end() && notice.kind != CellNoticeKind::kMoved) {
    receiver = held_row->second.owner;
    notice.cell = held_row->second.cell;
    const bool ends = notice.kind == CellNoticeKind::kFinished ||
                      notice.kind == CellNoticeKind::kWithdrawn;
    if (ends) this->held.erase(held_row);
  }
  if (receiver.empty()) {
    const CellSpec* cell = this->FindCell(notice.cell);
    if (cell == nullptr) return;
    const std::vector<std::string> order = this->OwnersOf(*cell);
    receiver =
        order.empty() ? this->gossip.Members().Self().address : order.front();
  }
  if (notice.kind == CellNoticeKind::kEngineLimit) {
    ReportedLimits& reported = this->reported_limits[notice.cell];
    if (reported.owner.empty()) reported.owner = receiver;
    reported.engines.erase(notice.engine);
    if (notice.max_per_s) {
      reported.engines.emplace(
          notice.engine, ReportedLimits::Limit{*notice.max_per_s, LoopNow()});
    }
  }
  this->outbox[receiver].notices.push_back(std::move(notice));
}

std::vector<EngineLimit> CellExchange::LimitsFor(const std::string& cell,
                                                 const std::string& owner) {
  std::vector<EngineLimit> limits;
  const auto found = this->reported_limits.find(cell);
  if (found == this->reported_limits.end()) return limits;
  ReportedLimits& reported = found->second;
  if (reported.owner == owner) return limits;
  reported.owner = owner;
  const TimeMs oldest = LoopNow() - kLimitRetentionMs;
  std::erase_if(reported.engines, [oldest](const auto& row) {
    return row.second.reported_at < oldest;
  });
  std::ranges::transform(reported.engines, std::back_inserter(limits),
                         [](const auto& row) {
                           return EngineLimit{row.first, row.second.max_per_s};
                         });
  return limits;
}

void CellExchange::Hold(const CellPlacement& placed, const Renewal& renewal) {
  this->held.insert_or_assign(
      placed.placement.reservation,
      HeldReservation{placed.cell, placed.owner, renewal});
}

void CellExchange::SetProduced(const std::string& reservation,
                               Tokens produced) {
  const auto row = this->held.find(reservation);
  if (row != this->held.end()) row->second.renewal.produced = produced;
}

void CellExchange::Release(const std::string& reservation) {
  const auto row = this->held.find(reservation);
  if (row != this->held.end()) row->second.released_at = LoopNow();
}

void CellExchange::Tick(TimeMs now) {
  const std::string& self = this->gossip.Members().Self().address;
  std::erase_if(this->held, [now](const auto& entry) {
    const std::optional<TimeMs>& released_at = entry.second.released_at;
    return released_at && now - *released_at >= kReleasedRetentionMs;
  });
  // Renewals go to the present owner of the cell, so that a new owner adopts
  // the reservations of the previous one.
  bool owner_changed = false;
  std::ranges::for_each(this->held, [&](auto& entry) {
    HeldReservation& row = entry.second;
    const CellSpec* cell = this->FindCell(row.cell);
    if (cell == nullptr || row.released_at) return;
    const std::vector<std::string> order = this->OwnersOf(*cell);
    const std::string& owner = order.empty() ? self : order.front();
    owner_changed = owner_changed || owner != row.owner;
    row.owner = owner;
  });
  this->QueueLoads(now);
  const bool renew = owner_changed || now >= this->next_renewal;
  if (renew) this->next_renewal = now + kRenewalPeriodMs;
  this->FlushOutbox(now, renew);
  std::ranges::for_each(this->hosted, [&](auto& entry) {
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

std::size_t CellExchange::HeldReservations() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->held,
      [](const auto& entry) { return !entry.second.released_at.has_value(); }));
}

std::vector<CellSpec> CellExchange::OwnedCells() const {
  const std::string& self = this->gossip.Members().Self().address;
  std::vector<CellSpec> owned;
  std::ranges::copy_if(
      this->cells, std::back_inserter(owned), [&](const CellSpec& cell) {
        const std::vector<std::string> order = this->OwnersOf(cell);
        return !order.empty() && order.front() == self;
      });
  return owned;
}

void CellExchange::OnEngineReport(const std::string& cell,
                                  const std::string& engine,
                                  const EngineLoad* load) {
  const CellSpec* spec = this->FindCell(cell);
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
  const CellSpec* spec = this->FindCell(cell);
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

const CellExchange::Decisions& CellExchange::DecisionCounts() const noexcept {
  return this->decisions;
}

std::vector<std::string> CellExchange::OwnersOf(const CellSpec& cell) const {
  std::vector<MemberUpdate> candidates =
      this->gossip.Members().ServingMembers();
  const TimeMs now = LoopNow();
  std::erase_if(candidates, [&](const MemberUpdate& member) {
    const auto row = this->owners.find(member.address);
    return row != this->owners.end() && now < row->second.hold_down_until;
  });
  const bool any_in_data_centre =
      std::ranges::any_of(candidates, [&cell](const MemberUpdate& member) {
        return member.data_centre == cell.data_centre;
      });
  if (any_in_data_centre) {
    std::erase_if(candidates, [&cell](const MemberUpdate& member) {
      return member.data_centre != cell.data_centre;
    });
  }
  std::int64_t max_millicores = 0;
  std::ranges::for_each(
      candidates, [&max_millicores](const MemberUpdate& member) {
        max_millicores = std::max(max_millicores, member.cpu_millicores);
      });
  // A VM with less than half of the largest processor share would delay the
  // placements of all others.
  std::erase_if(candidates, [max_millicores](const MemberUpdate& member) {
    return 2 * member.cpu_millicores < max_millicores;
  });
  std::vector<std::string> addresses;
  std::ranges::transform(candidates, std::back_inserter(addresses),
                         &MemberUpdate::address);
  return RendezvousTop("cell/" + cell.name, addresses, kMaxOwnersTried);
}

const CellSpec* CellExchange::FindCell(std::string_view name) const {
  const auto found = std::ranges::find(this->cells, name, &CellSpec::name);
  return found == this->cells.end() ? nullptr : &*found;
}

std::string CellExchange::HomeCell(std::string_view pool) const {
  std::vector<std::string> all;
  std::vector<std::string> local;
  std::ranges::for_each(this->cells, [&](const CellSpec& cell) {
    if (cell.model != pool) return;
    all.push_back(cell.name);
    if (cell.data_centre == this->data_centre) local.push_back(cell.name);
  });
  const std::vector<std::string>& candidates = local.empty() ? all : local;
  if (candidates.empty()) return {};
  const std::string& self = this->gossip.Members().Self().address;
  return RendezvousTop("home/" + self, candidates, 1).front();
}

std::string CellExchange::RedirectCell(const CellSpec& cell, Tokens tokens,
                                       TimeMs now) {
  std::string best;
  Tokens best_headroom = 0;
  std::ranges::for_each(this->cells, [&](const CellSpec& other) {
    if (other.model != cell.model || other.name == cell.name) return;
    const auto row = this->loads.find(other.name);
    if (row == this->loads.end()) return;
    const RemoteLoad& remote = row->second;
    const bool eligible =
        now - remote.received_at <= kLoadTtlMs && remote.load.waiting == 0 &&
        remote.load.headroom_tokens >= kRedirectHeadroomFactor * tokens;
    if (!eligible || remote.load.headroom_tokens <= best_headroom) return;
    best = other.name;
    best_headroom = remote.load.headroom_tokens;
  });
  // Redirected requests count against the cell's headroom until its next load
  // arrives.
  if (!best.empty()) this->loads[best].load.headroom_tokens -= tokens;
  return best;
}

CellExchange::HostedCell& CellExchange::HostCell(const CellSpec& cell) {
  const auto known = this->hosted.find(cell.name);
  if (known != this->hosted.end()) return *known->second;
  const VmId& self = this->gossip.Members().Self();
  auto host = std::make_unique<HostedCell>(
      cell.name,
      self.address + "-" + std::to_string(self.incarnation) + "-" + cell.name,
      this->settings);
  host->scheduler.Configure(cell.engines, LoopNow());
  this->SetRules(*host, cell);
  return *this->hosted.emplace(cell.name, std::move(host)).first->second;
}

void CellExchange::SetRules(HostedCell& host, const CellSpec& cell) const {
  host.scheduler.SetRules(
      this->settings.late_after_on_time || cell.on_time_first,
      this->settings.refuse_by_drain_rate || cell.on_time_first);
}

Task<Result<CellPlacementAnswer>> CellExchange::PlaceLocally(
    const CellSpec& cell, CellPlacementRequest message, Cancellation& cancel,
    PeerCall* call) {
  HostedCell& host = this->HostCell(cell);
  const std::string id = message.request.request_id;
  const Tokens tokens = message.request.prompt_tokens;
  const TimeMs deadline =
      LoopNow() +
      std::max(message.request.patience_ms, message.request.budget_ms) +
      kPlacementMarginMs;
  std::ranges::for_each(
      message.engine_limits, [&host](const EngineLimit& limit) {
        host.scheduler.LimitEngine(limit.engine, limit.max_per_s, LoopNow());
      });
  PendingPlacement pending(this->link.GetLoop());
  host.pending.insert_or_assign(id, &pending);
  host.scheduler.Submit(std::move(message.request), LoopNow());
  this->RunScheduler(host, LoopNow());
  const bool placed = pending.decision && pending.decision->has_value();
  if (!placed && message.may_redirect) {
    const std::string other = this->RedirectCell(cell, tokens, LoopNow());
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
      pending.cell_gone ? this->HomeCell(cell.model) : std::string();
  if (!home.empty()) co_return CellPlacementAnswer{home, {}};
  co_return Error::Of(ErrorKind::kCapacity,
                      "cell " + cell.name + " had not placed request " + id +
                          " when its deadline passed or it was cancelled");
}

Task<Result<CellPlacementAnswer>> CellExchange::CallOwner(
    std::string owner, CellPlacementRequest message, Cancellation& cancel) {
  const TimeMs deadline =
      LoopNow() +
      std::max(message.request.patience_ms, message.request.budget_ms) +
      kPlacementMarginMs;
  const json body = message;
  const Result<std::string> answer =
      co_await this->link.CallLong(owner, std::string(kPlacePath), body.dump(),
                                   kAckTimeoutMs, deadline, cancel);
  if (!answer) co_return answer.error();
  try {
    co_return ParseOrDiscarded(answer.value()).get<CellPlacementAnswer>();
  } catch (const json::exception& fault) {
    co_return Error::Of(
        ErrorKind::kEndpointFailed,
        "malformed placement answer from " + owner + ": " + fault.what());
  }
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
  const CellSpec* found = this->FindCell(message.cell);
  if (found == nullptr) {
    co_return Error::Of(
        ErrorKind::kEndpointFailed,
        "cell " + message.cell + " is not configured in this process");
  }
  const CellSpec cell = *found;
  Cancellation cancel;
  call.exchange.OnDisconnect([&cancel] { cancel.Request(); });
  const Result<CellPlacementAnswer> answer =
      co_await this->PlaceLocally(cell, std::move(message), cancel, &call);
  call.exchange.OnDisconnect(nullptr);
  if (!answer) co_return answer.error();
  const json body = answer.value();
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
    this->loads.insert_or_assign(row.first, RemoteLoad{row.second, now});
  });
  std::ranges::for_each(report.renewals, [&](const auto& row) {
    const CellSpec* cell = this->FindCell(row.first);
    if (cell != nullptr) {
      this->HostCell(*cell).scheduler.Renew({row.second}, now);
    }
  });
  std::ranges::for_each(report.notices, [&](const CellNotice& notice) {
    const CellSpec* cell = this->FindCell(notice.cell);
    if (cell != nullptr) {
      return this->ApplyNotice(this->HostCell(*cell), notice, now);
    }
    // Requests that were placed before the cell was closed still end.
    const auto closed = this->hosted.find(notice.cell);
    if (closed != this->hosted.end()) {
      this->ApplyNotice(*closed->second, notice, now);
    }
  });
}

void CellExchange::ApplyNotice(HostedCell& host, const CellNotice& notice,
                               TimeMs now) {
  CellScheduler& scheduler = host.scheduler;
  switch (notice.kind) {
    case CellNoticeKind::kPrefillDone:
      scheduler.PrefillDone(notice.reservation, notice.measured_ms, now);
      break;
    case CellNoticeKind::kFinished:
      scheduler.Finish(notice.reservation, notice.tokens, now);
      break;
    case CellNoticeKind::kWithdrawn:
      scheduler.Withdraw(notice.request_id, now);
      break;
    case CellNoticeKind::kEngineFailed:
      scheduler.EngineFailed(notice.engine, now);
      break;
    case CellNoticeKind::kEngineServed:
      scheduler.EngineServed(notice.engine, now);
      break;
    case CellNoticeKind::kEngineFull:
      scheduler.EngineFull(notice.engine, now);
      break;
    case CellNoticeKind::kKvFetchFailed:
      scheduler.KvFetchFailed(notice.engine, now);
      break;
    case CellNoticeKind::kKvFetchSucceeded:
      scheduler.KvFetchSucceeded(notice.engine, now);
      break;
    case CellNoticeKind::kEngineLimit:
      scheduler.LimitEngine(notice.engine, notice.max_per_s, now);
      break;
    case CellNoticeKind::kEngineUnreachable:
      scheduler.EngineUnreachable(notice.engine, now);
      break;
    case CellNoticeKind::kMoved:
      scheduler.Forget(notice.reservation, now);
      break;
  }
  this->RunScheduler(host, now);
}

void CellExchange::RunScheduler(HostedCell& cell, TimeMs now) {
  const std::vector<CellCommand> commands = cell.scheduler.Tick(now);
  const auto answer = [&cell](const std::string& request,
                              Result<Placement> decision) {
    const auto pending = cell.pending.find(request);
    if (pending == cell.pending.end()) return;
    pending->second->decision = std::move(decision);
    pending->second->decided.Notify();
  };
  for (const CellCommand& command : commands) {
    if (const auto* place = std::get_if<PlaceCommand>(&command)) {
      const Placement& placement = place->placement;
      LogEvent(EventId::kPlacementDecision,
               {{"request", place->request_id},
                {"cell", cell.scheduler.Name()},
                {"reservation", placement.reservation},
                {"prefill", placement.prefill},
                {"decode", placement.decode},
                {"runner_up", placement.runner_up},
                LogField::Of("queued_ms", placement.queued_ms),
                LogField::Of("waiting", cell.scheduler.QueueLength()),
                LogField::Of("on_time", placement.on_time),
                LogField::Of("report_age_ms", placement.report_age_ms),
                LogField::Of("outstanding", placement.outstanding),
                {"why", placement.reason}});
      ++(placement.on_time ? this->decisions.placed_on_time
                           : this->decisions.placed_late);
      answer(place->request_id, placement);
    } else if (const auto* refuse = std::get_if<RefuseCommand>(&command)) {
      LogEvent(EventId::kPlacementRefused,
               {{"request", refuse->request_id},
                {"cell", cell.scheduler.Name()},
                {"kind", std::string(RowOf(refuse->error.kind).name)},
                LogField::Of("waiting", cell.scheduler.QueueLength()),
                LogField::Of("estimate_ms", refuse->estimate_ms),
                LogField::Of("allowed_ms", refuse->allowed_ms),
                LogField::Of("drain_tokens_per_s",
                             static_cast<std::int64_t>(
                                 refuse->drain_tokens_per_ms * kMsPerS)),
                LogField::Of("retry_after_ms", refuse->error.retry_after_ms),
                {"why", refuse->error.message}});
      ++this->decisions.refused;
      answer(refuse->request_id, refuse->error);
    } else if (const auto* cancel = std::get_if<CancelCommand>(&command)) {
      this->CancelRun(cell, *cancel);
    }
  }
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
    const CellSpec* cell = this->FindCell(entry.first);
    if (cell == nullptr) return;
    const std::vector<std::string> order = this->OwnersOf(*cell);
    if (order.empty() || order.front() != self) return;
    const CellLoad load = entry.second->scheduler.Load(now);
    std::ranges::for_each(this->cells, [&](const CellSpec& other) {
      if (other.model != cell->model || other.name == cell->name) return;
      const std::vector<std::string> other_owners = this->OwnersOf(other);
      if (other_owners.empty()) return;
      this->outbox[other_owners.front()].loads.emplace_back(cell->name, load);
    });
  });
}

void CellExchange::FlushOutbox(TimeMs now, bool renew) {
  static_cast<void>(now);
  if (renew) {
    std::ranges::for_each(this->held, [this](const auto& entry) {
      const HeldReservation& row = entry.second;
      if (row.released_at) return;
      this->outbox[row.owner].renewals.emplace_back(row.cell, row.renewal);
    });
  }
  const std::string& self = this->gossip.Members().Self().address;
  auto batches = std::exchange(this->outbox, {});
  std::ranges::for_each(batches, [&](auto& entry) {
    if (entry.first == self) {
      this->ApplyReport(entry.second);
      return;
    }
    const json body = entry.second;
    Spawn(this->link.GetLoop(),
          [this, owner = entry.first, text = body.dump()]() -> Task<> {
            const Result<std::string> ignored =
                co_await this->link.Call(owner, std::string(kReportPath), text,
                                         LoopNow() + kReportTimeoutMs);
            // A lost report is not sent again. The next renewal or load takes
            // the place of a lost one, and a reservation whose end was not
            // reported ends with its lease. Other lost notices are not
            // replaced.
            static_cast<void>(ignored);
          });
  });
}

}  // namespace limpethaven
