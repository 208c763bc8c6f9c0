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

/// Between two tellings of a cell's load to the owners of its neighbours.
constexpr DurationMs kLoadPeriodMs = 100;
/// An older load says nothing.
constexpr DurationMs kLoadFreshMs = 500;
/// A cell is roomy when it has room for this many times the request.
constexpr Tokens kRoomFactor = 4;

json ParseOrNull(const std::string& text) {
  return json::parse(text, nullptr, false);
}

}  // namespace

CellExchange::CellExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                           std::string own_data_centre,
                           CellSettings cell_settings)
    : link(peer_link),
      gossip(peer_gossip),
      data_centre(std::move(own_data_centre)),
      settings(cell_settings) {
  this->link.HandleLong(std::string(kPlacePath), [this](PeerCall& call) {
    return this->AnswerPlace(call);
  });
  this->link.Handle(std::string(kNewsPath),
                    [this](PeerCall& call) { return this->AnswerNews(call); });
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
  const TimeMs asked_at = LoopNow();
  std::string name = this->HomeCell(pool);
  bool may_move = true;
  while (!name.empty()) {
    const CellSpec* found = this->FindCell(name);
    if (found == nullptr) break;
    const CellSpec cell = *found;
    PlacementRequest ask = request;
    ask.budget_ms -= LoopNow() - asked_at;
    const Result<Placed> placed =
        co_await this->PlaceIn(cell, std::move(ask), may_move, cancel);
    if (!placed) co_return placed.error();
    const Placed& answer = placed.value();
    if (answer.answer.move_to.empty()) {
      co_return CellPlacement{cell.name, answer.owner, answer.answer.placement};
    }
    // Moved once: the other cell queues it.
    name = answer.answer.move_to;
    may_move = false;
  }
  co_return Error::Of(ErrorKind::kNoEndpoint, "no engine of " + pool);
}

Task<Result<CellExchange::Placed>> CellExchange::PlaceIn(
    const CellSpec& cell, PlacementRequest request, bool may_move,
    Cancellation& cancel) {
  const std::string& self = this->gossip.Members().Self().address;
  const TimeMs asked_at = LoopNow();
  for (const std::string& owner : this->OwnersOf(cell)) {
    if (owner == self) break;
    PlaceAsk ask{cell.name, request, may_move};
    ask.request.budget_ms -= LoopNow() - asked_at;
    const Result<PlaceAnswer> answer =
        co_await this->Ask(owner, std::move(ask), cancel);
    if (answer) co_return Placed{owner, answer.value()};
    if (cancel.Requested()) co_return answer.error();
    // A refusal by the scheduler is its decision; only an owner out of reach is
    // passed over.
    const ErrorKind kind = answer.error().kind;
    if (kind != ErrorKind::kEndpointFailed) co_return answer.error();
    LogEvent(EventId::kCellOwnerLost, {{"request", request.request_id},
                                       {"cell", cell.name},
                                       {"owner", owner},
                                       {"why", answer.error().message}});
    this->owners[owner].avoid_until = LoopNow() + kAvoidMs;
    // It may have placed the request all the same: that must be freed.
    CellNotice notice;
    notice.news = CellNews::kWithdrawn;
    notice.cell = cell.name;
    notice.request_id = request.request_id;
    this->Tell(owner, std::move(notice));
  }
  PlaceAsk ask{cell.name, std::move(request), may_move};
  ask.request.budget_ms -= LoopNow() - asked_at;
  const Result<PlaceAnswer> answer =
      co_await this->PlaceHere(cell, std::move(ask), cancel, nullptr);
  if (!answer) co_return answer.error();
  co_return Placed{self, answer.value()};
}

void CellExchange::SetCanceller(RunCanceller* run_canceller) {
  this->canceller = run_canceller;
}

void CellExchange::Tell(const std::string& owner, CellNotice notice) {
  std::string to = owner;
  if (to.empty()) {
    const CellSpec* cell = this->FindCell(notice.cell);
    if (cell == nullptr) return;
    const std::vector<std::string> order = this->OwnersOf(*cell);
    to = order.empty() ? this->gossip.Members().Self().address : order.front();
  }
  this->outbox[to].notices.push_back(std::move(notice));
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
  this->TellLoads(now);
  const bool renew = moved || now >= this->next_renewal;
  if (renew) this->next_renewal = now + kRenewMs;
  this->Flush(now, renew);
  std::ranges::for_each(
      this->hosted, [&](auto& entry) { this->RunTick(*entry.second, now); });
}

std::vector<std::pair<std::string, std::vector<EngineView>>>
CellExchange::Hosted(TimeMs now) const {
  std::vector<std::pair<std::string, std::vector<EngineView>>> views;
  std::ranges::for_each(this->hosted, [&](const auto& entry) {
    views.emplace_back(entry.first, entry.second->scheduler.Engines(now));
  });
  return views;
}

std::size_t CellExchange::Held() const noexcept { return this->held.size(); }

std::vector<CellSpec> CellExchange::Owned() const {
  const std::string& self = this->gossip.Members().Self().address;
  std::vector<CellSpec> owned;
  std::ranges::copy_if(
      this->cells, std::back_inserter(owned), [&](const CellSpec& cell) {
        const std::vector<std::string> order = this->OwnersOf(cell);
        return !order.empty() && order.front() == self;
      });
  return owned;
}

void CellExchange::NoteReport(const std::string& cell,
                              const std::string& engine,
                              const EngineLoad* load) {
  const CellSpec* spec = this->FindCell(cell);
  if (spec == nullptr) return;
  HostedCell& host = this->Host(*spec);
  const TimeMs now = LoopNow();
  if (load == nullptr) {
    host.scheduler.EngineFailed(engine, now);
  } else {
    host.scheduler.EngineServed(engine, now);
    host.scheduler.Report(engine, *load, now);
  }
  this->RunTick(host, now);
}

void CellExchange::NoteCacheEvents(const std::string& cell,
                                   const std::string& engine,
                                   const std::vector<CacheEvent>& events) {
  const CellSpec* spec = this->FindCell(cell);
  if (spec != nullptr) {
    this->Host(*spec).scheduler.OnCacheEvents(engine, events);
  }
}

std::size_t CellExchange::QueueLength() const {
  std::size_t waiting = 0;
  std::ranges::for_each(this->hosted, [&waiting](const auto& entry) {
    waiting += entry.second->scheduler.QueueLength();
  });
  return waiting;
}

std::vector<std::string> CellExchange::OwnersOf(const CellSpec& cell) const {
  std::vector<MemberUpdate> candidates =
      this->gossip.Members().ServingMembers();
  const TimeMs now = LoopNow();
  std::erase_if(candidates, [&](const MemberUpdate& member) {
    const auto row = this->owners.find(member.address);
    return row != this->owners.end() && now < row->second.avoid_until;
  });
  const bool any_near =
      std::ranges::any_of(candidates, [&cell](const MemberUpdate& member) {
        return member.data_centre == cell.data_centre;
      });
  if (any_near) {
    std::erase_if(candidates, [&cell](const MemberUpdate& member) {
      return member.data_centre != cell.data_centre;
    });
  }
  std::int64_t strongest = 0;
  std::ranges::for_each(candidates, [&strongest](const MemberUpdate& member) {
    strongest = std::max(strongest, member.cpu_millicores);
  });
  // Much weaker VMs would slow all others down.
  std::erase_if(candidates, [strongest](const MemberUpdate& member) {
    return 2 * member.cpu_millicores < strongest;
  });
  std::vector<std::string> addresses;
  std::ranges::transform(candidates, std::back_inserter(addresses),
                         &MemberUpdate::address);
  return RendezvousTop("cell/" + cell.name, addresses, kOwnersTried);
}

const CellSpec* CellExchange::FindCell(std::string_view name) const {
  const auto found = std::ranges::find(this->cells, name, &CellSpec::name);
  return found == this->cells.end() ? nullptr : &*found;
}

std::string CellExchange::HomeCell(std::string_view pool) const {
  std::vector<std::string> all;
  std::vector<std::string> near;
  std::ranges::for_each(this->cells, [&](const CellSpec& cell) {
    if (cell.model != pool) return;
    all.push_back(cell.name);
    if (cell.data_centre == this->data_centre) near.push_back(cell.name);
  });
  const std::vector<std::string>& from = near.empty() ? all : near;
  if (from.empty()) return {};
  const std::string& self = this->gossip.Members().Self().address;
  return RendezvousTop("home/" + self, from, 1).front();
}

std::string CellExchange::RoomierCell(const CellSpec& cell, Tokens tokens,
                                      TimeMs now) {
  std::string best;
  Tokens best_room = 0;
  std::ranges::for_each(this->cells, [&](const CellSpec& other) {
    if (other.model != cell.model || other.name == cell.name) return;
    const auto row = this->loads.find(other.name);
    if (row == this->loads.end()) return;
    const LoadRow& load = row->second;
    const bool roomy = now - load.heard_at <= kLoadFreshMs &&
                       load.load.waiting == 0 &&
                       load.load.headroom_tokens >= kRoomFactor * tokens;
    if (!roomy || load.load.headroom_tokens <= best_room) return;
    best = other.name;
    best_room = load.load.headroom_tokens;
  });
  // What is sent there counts until that cell says how it stands.
  if (!best.empty()) this->loads[best].load.headroom_tokens -= tokens;
  return best;
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

Task<Result<PlaceAnswer>> CellExchange::PlaceHere(const CellSpec& cell,
                                                  PlaceAsk ask,
                                                  Cancellation& cancel,
                                                  PeerCall* call) {
  HostedCell& host = this->Host(cell);
  const std::string id = ask.request.request_id;
  const Tokens tokens = ask.request.prompt_tokens;
  const TimeMs give_up_at =
      LoopNow() + std::max(ask.request.patience_ms, ask.request.budget_ms) +
      kPlaceSlackMs;
  Waiting waiting(this->link.OfLoop());
  host.waiting.insert_or_assign(id, &waiting);
  host.scheduler.Submit(std::move(ask.request), LoopNow());
  this->RunTick(host, LoopNow());
  const bool placed = waiting.decision && waiting.decision->has_value();
  if (!placed && ask.may_move) {
    const std::string other = this->RoomierCell(cell, tokens, LoopNow());
    if (!other.empty()) {
      host.waiting.erase(id);
      host.scheduler.Withdraw(id, LoopNow());
      co_return PlaceAnswer{other, {}};
    }
  }
  const CancelScope scope(cancel, [&waiting] { waiting.decided.Notify(); });
  while (!waiting.decision && !cancel.Requested() && LoopNow() < give_up_at) {
    const TimeMs said_at = LoopNow() + kStillHereMs;
    co_await waiting.decided.WaitUntil(
        call == nullptr ? give_up_at : std::min(give_up_at, said_at));
    const bool silent = !waiting.decision && LoopNow() >= said_at;
    if (call != nullptr && silent) co_await call->SayStillHere();
  }
  host.waiting.erase(id);
  if (waiting.decision && !cancel.Requested()) {
    const Result<Placement> decision = *waiting.decision;
    if (!decision) co_return decision.error();
    co_return PlaceAnswer{"", decision.value()};
  }
  host.scheduler.Withdraw(id, LoopNow());
  co_return Error::Of(ErrorKind::kCapacity, "no placement in time");
}

Task<Result<PlaceAnswer>> CellExchange::Ask(std::string owner, PlaceAsk ask,
                                            Cancellation& cancel) {
  const TimeMs deadline =
      LoopNow() + std::max(ask.request.patience_ms, ask.request.budget_ms) +
      kPlaceSlackMs;
  const json body = ask;
  const Result<std::string> answer = co_await this->link.CallLong(
      owner, std::string(kPlacePath), body.dump(), kAckMs, deadline, cancel);
  if (!answer) co_return answer.error();
  try {
    co_return ParseOrNull(answer.value()).get<PlaceAnswer>();
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
  call.exchange.OnDisconnect([&cancel] { cancel.Request(); });
  const Result<PlaceAnswer> answer =
      co_await this->PlaceHere(cell, std::move(ask), cancel, &call);
  call.exchange.OnDisconnect(nullptr);
  if (!answer) co_return answer.error();
  const json body = answer.value();
  co_return body.dump();
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
  std::ranges::for_each(report.loads, [&](const auto& row) {
    this->loads.insert_or_assign(row.first, LoadRow{row.second, now});
  });
  std::ranges::for_each(report.renewals, [&](const auto& row) {
    const CellSpec* cell = this->FindCell(row.first);
    if (cell != nullptr) this->Host(*cell).scheduler.Renew({row.second}, now);
  });
  std::ranges::for_each(report.notices, [&](const CellNotice& notice) {
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
        scheduler.KvFetchFailed(notice.engine, now);
        break;
      case CellNews::kHandleServed:
        scheduler.KvFetchSucceeded(notice.engine, now);
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
      this->Cancel(cell, *cancel);
    }
  }
}

void CellExchange::Cancel(HostedCell& cell, const CancelCommand& command) {
  LogEvent(
      command.orphan ? EventId::kOrphanCancelled : EventId::kReservationLapsed,
      {{"request", command.request_id}, {"engine", command.engine}});
  if (this->canceller == nullptr) {
    // Where the stream's connection ends a run, the entry that held this
    // reservation is gone, and its connections with it.
    cell.scheduler.CancelDone(command.reservation);
    return;
  }
  Spawn(this->link.OfLoop(),
        [this, command, name = cell.scheduler.Name()]() -> Task<> {
          const bool done = co_await this->canceller->Cancel(command);
          const auto host = this->hosted.find(name);
          if (done && host != this->hosted.end()) {
            host->second->scheduler.CancelDone(command.reservation);
          }
        });
}

void CellExchange::TellLoads(TimeMs now) {
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
      const std::vector<std::string> owners_there = this->OwnersOf(other);
      if (owners_there.empty()) return;
      this->outbox[owners_there.front()].loads.emplace_back(cell->name, load);
    });
  });
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
