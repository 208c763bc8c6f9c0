#include "peer/cell_exchange.h"

#include <algorithm>

#include "limpethaven/rendezvous.h"
#include "log/event_log.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::string_view kPlacePath = "/peer/v1/place";
constexpr std::string_view kNewsPath = "/peer/v1/cell_news";
/// Owners asked before this process schedules by itself.
constexpr std::size_t kOwnersTried = 2;
/// An owner that has not said by then that an ask arrived is passed over.
constexpr DurationMs kAckMs = 60;
/// An owner that was passed over is not asked again for this long.
constexpr DurationMs kAvoidMs = 1000;
/// Between renewals; a lease outlasts several.
constexpr DurationMs kRenewMs = 500;
constexpr DurationMs kNewsTimeoutMs = 500;
/// Beyond a request's own patience, before an ask is given up.
constexpr DurationMs kPlaceSlackMs = 100;

json ParseOrNull(const std::string& text) {
  return json::parse(text, nullptr, false);
}

}  // namespace

CellExchange::CellExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                           CellSettings cell_settings)
    : link(peer_link), gossip(peer_gossip), settings(cell_settings) {
  this->link.HandleLong(std::string(kPlacePath), [this](PeerCall& call) {
    return this->AnswerPlace(call);
  });
  this->link.Handle(std::string(kNewsPath), [this](PeerCall& call) {
    return this->AnswerNews(call);
  });
}

void CellExchange::Configure(std::vector<CellSpec> next) {
  this->cells = std::move(next);
  const TimeMs now = LoopNow();
  std::ranges::for_each(this->cells, [&](const CellSpec& cell) {
    const auto host = this->hosted.find(cell.name);
    if (host == this->hosted.end()) return;
    host->second->scheduler.Configure(cell.engines, now);
    this->RunTick(*host->second, now);
  });
}

Task<Result<CellPlacement>> CellExchange::Place(std::string pool,
                                                PlacementRequest request,
                                                Cancellation& cancel) {
  const CellSpec* found = this->CellOf(pool, request);
  if (found == nullptr) {
    co_return Error::Of(ErrorKind::kNoEndpoint, "no engine of " + pool);
  }
  const CellSpec cell = *found;
  const std::string& self = this->gossip.Members().Self().address;
  const TimeMs asked_at = LoopNow();
  for (const std::string& owner : this->OwnersOf(cell)) {
    if (owner == self) break;
    PlacementRequest ask = request;
    ask.budget_ms -= LoopNow() - asked_at;
    const Result<Placement> placed =
        co_await this->Ask(owner, cell.name, std::move(ask), cancel);
    if (placed) co_return CellPlacement{cell.name, owner, placed.value()};
    if (cancel.Requested()) co_return placed.error();
    // A refusal by the scheduler is its decision; only an owner out of reach is
    // passed over.
    const ErrorKind kind = placed.error().kind;
    if (kind != ErrorKind::kEndpointFailed) co_return placed.error();
    LogEvent(EventId::kCellOwnerLost, {{"request", request.request_id},
                                       {"cell", cell.name},
                                       {"owner", owner},
                                       {"why", placed.error().message}});
    this->owners[owner].avoid_until = LoopNow() + kAvoidMs;
    // It may have placed the request all the same: that must be freed.
    CellNotice2 notice;
    notice.news = CellNews::kWithdrawn;
    notice.cell = cell.name;
    notice.request_id = request.request_id;
    this->Tell(owner, std::move(notice));
  }
  request.budget_ms -= LoopNow() - asked_at;
  const Result<Placement> placed =
      co_await this->PlaceHere(cell, std::move(request), cancel, nullptr);
  if (!placed) co_return placed.error();
  co_return CellPlacement{cell.name, self, placed.value()};
}

void CellExchange::Tell(const std::string& owner, CellNotice2 notice) {
  this->outbox[owner].notices.push_back(std::move(notice));
}

void CellExchange::Hold(const CellPlacement& placed, const Renewal& renewal) {
  this->held.insert_or_assign(placed.placement.reservation,
                              HeldRow{placed.cell, placed.owner, renewal});
}

void CellExchange::Progress(const std::string& reservation, Tokens produced) {
  const auto row = this->held.find(reservation);
  if (row != this->held.end()) row->second.renewal.produced = produced;
}

void CellExchange::Release(const std::string& reservation) {
  this->held.erase(reservation);
}

void CellExchange::Tick(TimeMs now) {
  const std::string& self = this->gossip.Members().Self().address;
  // Renewals go to whoever owns the cell now, so that a new owner knows what it
  // did not place.
  bool moved = false;
  std::ranges::for_each(this->held, [&](auto& entry) {
    HeldRow& row = entry.second;
    const CellSpec* cell = this->FindCell(row.cell);
    if (cell == nullptr) return;
    const std::vector<std::string> order = this->OwnersOf(*cell);
    const std::string& owner = order.empty() ? self : order.front();
    moved = moved || owner != row.owner;
    row.owner = owner;
  });
  const bool renew = moved || now >= this->next_renewal;
  if (renew) this->next_renewal = now + kRenewMs;
  this->Flush(now, renew);
  std::ranges::for_each(this->hosted, [&](auto& entry) {
    this->RunTick(*entry.second, now);
  });
}

std::vector<std::pair<std::string, std::vector<EngineView>>>
CellExchange::Hosted(TimeMs now) const {
  std::vector<std::pair<std::string, std::vector<EngineView>>> views;
  std::ranges::for_each(this->hosted, [&](const auto& entry) {
    views.emplace_back(entry.first, entry.second->scheduler.Engines(now));
  });
  return views;
}

std::size_t CellExchange::QueueLength() const {
  std::size_t waiting = 0;
  std::ranges::for_each(this->hosted, [&waiting](const auto& entry) {
    waiting += entry.second->scheduler.QueueLength();
  });
  return waiting;
}

std::vector<std::string> CellExchange::OwnersOf(const CellSpec& cell) const {
  const Membership& members = this->gossip.Members();
  std::vector<std::string> candidates = members.ServingAddresses();
  const TimeMs now = LoopNow();
  std::erase_if(candidates, [&](const std::string& address) {
    const auto row = this->owners.find(address);
    return row != this->owners.end() && now < row->second.avoid_until;
  });
  return RendezvousTop("cell/" + cell.name, candidates, kOwnersTried);
}

const CellSpec* CellExchange::FindCell(std::string_view name) const {
  const auto found = std::ranges::find(this->cells, name, &CellSpec::name);
  return found == this->cells.end() ? nullptr : &*found;
}

const CellSpec* CellExchange::CellOf(std::string_view pool,
                                     const PlacementRequest& request) const {
  static_cast<void>(request);
  const auto found = std::ranges::find(this->cells, pool, &CellSpec::model);
  return found == this->cells.end() ? nullptr : &*found;
}

CellExchange::HostedCell& CellExchange::Host(const CellSpec& cell) {
  const auto known = this->hosted.find(cell.name);
  if (known != this->hosted.end()) return *known->second;
  const VmId& self = this->gossip.Members().Self();
  auto host = std::make_unique<HostedCell>(
      cell.name,
      self.address + "-" + std::to_string(self.incarnation) + "-" + cell.name,
      this->settings);
  host->scheduler.Configure(cell.engines, LoopNow());
  return *this->hosted.emplace(cell.name, std::move(host)).first->second;
}

Task<Result<Placement>> CellExchange::PlaceHere(const CellSpec& cell,
                                                PlacementRequest request,
                                                Cancellation& cancel,
                                                PeerCall* call) {
  HostedCell& host = this->Host(cell);
  const std::string id = request.request_id;
  const TimeMs give_up_at =
      LoopNow() + std::max(request.patience_ms, request.budget_ms) +
      kPlaceSlackMs;
  Waiting waiting(this->link.OfLoop());
  host.waiting.insert_or_assign(id, &waiting);
  host.scheduler.Submit(std::move(request), LoopNow());
  this->RunTick(host, LoopNow());
  const CancelScope scope(cancel, [&waiting] { waiting.decided.Notify(); });
  while (!waiting.decision && !cancel.Requested() && LoopNow() < give_up_at) {
    const TimeMs said_at = LoopNow() + kStillHereMs;
    co_await waiting.decided.WaitUntil(
        call == nullptr ? give_up_at : std::min(give_up_at, said_at));
    const bool silent = !waiting.decision && LoopNow() >= said_at;
    if (call != nullptr && silent) co_await call->SayStillHere();
  }
  host.waiting.erase(id);
  if (waiting.decision && !cancel.Requested()) co_return *waiting.decision;
  host.scheduler.Withdraw(id, LoopNow());
  co_return Error::Of(ErrorKind::kCapacity, "no placement in time");
}

Task<Result<Placement>> CellExchange::Ask(std::string owner, std::string cell,
                                          PlacementRequest request,
                                          Cancellation& cancel) {
  const TimeMs deadline =
      LoopNow() + std::max(request.patience_ms, request.budget_ms) +
      kPlaceSlackMs;
  const json ask = PlaceAsk{std::move(cell), std::move(request)};
  const Result<std::string> answer =
      co_await this->link.CallLong(owner, std::string(kPlacePath), ask.dump(),
                                   kAckMs, deadline, cancel);
  if (!answer) co_return answer.error();
  try {
    co_return ParseOrNull(answer.value()).get<Placement>();
  } catch (const json::exception& fault) {
    co_return Error::Of(ErrorKind::kEndpointFailed, fault.what());
  }
}

Task<Result<std::string>> CellExchange::AnswerPlace(PeerCall& call) {
  PlaceAsk ask;
  try {
    ask = ParseOrNull(call.body).get<PlaceAsk>();
  } catch (const json::exception& fault) {
    co_return Error::Of(ErrorKind::kBadRequest, fault.what());
  }
  const CellSpec* found = this->FindCell(ask.cell);
  if (found == nullptr) {
    co_return Error::Of(ErrorKind::kEndpointFailed, "cell not known here");
  }
  const CellSpec cell = *found;
  Cancellation cancel;
  call.exchange.OnGone([&cancel] { cancel.Request(); });
  const Result<Placement> placed =
      co_await this->PlaceHere(cell, std::move(ask.request), cancel, &call);
  call.exchange.OnGone(nullptr);
  if (!placed) co_return placed.error();
  const json answer = placed.value();
  co_return answer.dump();
}

Task<Result<std::string>> CellExchange::AnswerNews(PeerCall& call) {
  try {
    this->Take(ParseOrNull(call.body).get<CellReport>());
  } catch (const json::exception& fault) {
    co_return Error::Of(ErrorKind::kBadRequest, fault.what());
  }
  co_return std::string("{}");
}

void CellExchange::Take(const CellReport& report) {
  const TimeMs now = LoopNow();
  std::ranges::for_each(report.renewals, [&](const auto& row) {
    const CellSpec* cell = this->FindCell(row.first);
    if (cell != nullptr) this->Host(*cell).scheduler.Renew({row.second}, now);
  });
  std::ranges::for_each(report.notices, [&](const CellNotice2& notice) {
    const CellSpec* cell = this->FindCell(notice.cell);
    if (cell == nullptr) return;
    HostedCell& host = this->Host(*cell);
    CellScheduler& scheduler = host.scheduler;
    switch (notice.news) {
      case CellNews::kPrefillDone:
        scheduler.PrefillDone(notice.reservation, notice.measured_ms, now);
        break;
      case CellNews::kFinished:
        scheduler.Finish(notice.reservation, notice.tokens, now);
        break;
      case CellNews::kWithdrawn:
        scheduler.Withdraw(notice.request_id, now);
        break;
      case CellNews::kFailed:
        scheduler.EngineFailed(notice.engine, now);
        break;
      case CellNews::kServed:
        scheduler.EngineServed(notice.engine, now);
        break;
      case CellNews::kFull:
        scheduler.EngineFull(notice.engine, now);
        break;
      case CellNews::kHandleFailed:
        scheduler.HandleFailed(notice.engine, now);
        break;
      case CellNews::kHandleServed:
        scheduler.HandleServed(notice.engine, now);
        break;
    }
    this->RunTick(host, now);
  });
}

void CellExchange::RunTick(HostedCell& cell, TimeMs now) {
  const std::vector<CellCommand> commands = cell.scheduler.Tick(now);
  const auto answer = [&cell](const std::string& request,
                              Result<Placement> decision) {
    const auto waiting = cell.waiting.find(request);
    if (waiting == cell.waiting.end()) return;
    waiting->second->decision = std::move(decision);
    waiting->second->decided.Notify();
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
                {"why", placement.reason}});
      answer(place->request_id, placement);
    } else if (const auto* refuse = std::get_if<RefuseCommand>(&command)) {
      LogEvent(EventId::kPlacementRefused,
               {{"request", refuse->request_id},
                {"cell", cell.scheduler.Name()},
                {"kind", std::string(RowOf(refuse->error.kind).name)},
                LogField::Of("waiting", cell.scheduler.QueueLength()),
                {"why", refuse->error.message}});
      answer(refuse->request_id, refuse->error);
    } else if (const auto* cancel = std::get_if<CancelCommand>(&command)) {
      // Only the process that opened a stream can end it; the entry that held
      // this reservation is gone, and its connections with it.
      cell.scheduler.CancelDone(cancel->reservation);
      LogEvent(EventId::kReservationLapsed, {{"request", cancel->request_id},
                                             {"engine", cancel->engine}});
    }
  }
}

void CellExchange::Flush(TimeMs now, bool renew) {
  static_cast<void>(now);
  if (renew) {
    std::ranges::for_each(this->held, [this](const auto& entry) {
      const HeldRow& row = entry.second;
      this->outbox[row.owner].renewals.emplace_back(row.cell, row.renewal);
    });
  }
  const std::string& self = this->gossip.Members().Self().address;
  auto batches = std::exchange(this->outbox, {});
  std::ranges::for_each(batches, [&](auto& entry) {
    if (entry.first == self) {
      this->Take(entry.second);
      return;
    }
    const json body = entry.second;
    Spawn(this->link.OfLoop(),
          [this, owner = entry.first, text = body.dump()]() -> Task<> {
            const Result<std::string> taken =
                co_await this->link.Call(owner, std::string(kNewsPath), text,
                                         LoopNow() + kNewsTimeoutMs);
            // What is lost is made up by later renewals and lapsing leases.
            static_cast<void>(taken);
          });
  });
}

}  // namespace limpethaven
