#include "entry/cell_service.h"

#include <tbb/parallel_for_each.h>

#include <algorithm>

#include "edge/log.h"
#include "limpethaven/rendezvous.h"

namespace limpethaven {
namespace {

constexpr DurationMs kTickMs = 5;
constexpr DurationMs kFlushMs = 20;
constexpr DurationMs kPollMs = 500;
// Polls of large cells are spread, so that an owner's control work stays within
// its budget.
constexpr DurationMs kPollMsPerEngine = 40;
constexpr DurationMs kNoticeTimeoutMs = 500;
constexpr DurationMs kPlaceSlackMs = 500;
constexpr std::int64_t kNoticeTries = 50;
constexpr std::size_t kOwnersTried = 3;
constexpr std::size_t kCellsTried = 2;
constexpr std::size_t kCancelWorkers = 2;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

/// A scheduler with the calls that wait for its decisions.
struct CellService::HostedCell {
  HostedCell(const std::string& name, const std::string& owner)
      : scheduler(name, owner) {}

  std::mutex mutex;
  CellScheduler scheduler;
  std::map<std::string, std::promise<Result<Placement>>, std::less<>> waiting;
  std::map<std::string, std::int64_t, std::less<>> last_event;  ///< By engine.
  TimeMs next_poll = 0;  ///< Used by the polling thread only.
};

CellService::CellService(PeerTransport& peer_transport,
                         GossipService& gossip_service,
                         EngineClient& engine_client, const Clock& system_clock,
                         std::size_t engines_per_cell)
    : peers(peer_transport),
      gossip(gossip_service),
      engines(engine_client),
      clock(system_clock),
      cell_size(engines_per_cell) {}

CellService::~CellService() { this->Stop(); }

void CellService::Start() {
  for (std::size_t index = 0; index < kCancelWorkers; ++index) {
    this->cancel_workers.emplace_back([this] { this->CancelLoop(); });
  }
  this->ticker.Start(kTickMs, [this] { this->TickAll(); });
  this->sender.Start(kFlushMs, [this] { this->FlushNotices(); });
  this->poller.Start(kPollMs, [this] { this->PollAll(); });
}

void CellService::Stop() {
  this->poller.Stop();
  this->sender.Stop();
  this->ticker.Stop();
  {
    const std::lock_guard lock(this->cancel_mutex);
    this->stopping = true;
  }
  this->cancel_wake.notify_all();
  std::ranges::for_each(this->cancel_workers, [](std::thread& worker) {
    if (worker.joinable()) worker.join();
  });
}

void CellService::Configure(const Configuration& config) {
  std::vector<CellSpec> next = BuildCells(config, this->cell_size);
  {
    const std::lock_guard lock(this->mutex);
    this->cells = std::move(next);
  }
  const TimeMs now = this->clock.Now();
  std::ranges::for_each(
      this->Hosted(), [&](const std::shared_ptr<HostedCell>& cell) {
        const auto spec = this->FindCell(cell->scheduler.Name());
        const std::lock_guard lock(cell->mutex);
        cell->scheduler.Configure(
            spec ? spec->engines : std::vector<CellEngine>(), now);
      });
}

Result<PlacedRequest> CellService::Place(std::string_view model,
                                         const PlacementRequest& request) {
  const std::uint64_t prefix = request.prefix.empty()
                                   ? StableHash(request.request_id)
                                   : request.prefix.front();
  const std::vector<CellSpec> order = this->CellsFor(model, prefix);
  Error last =
      Error::Of(ErrorKind::kNoEndpoint, "no cell serves " + std::string(model));
  for (const CellSpec& cell : order) {
    auto placed = this->PlaceAtOwner(cell, request);
    if (placed) return PlacedRequest{cell.name, std::move(placed.value())};
    last = placed.error();
    if (last.kind == ErrorKind::kDeadline ||
        last.kind == ErrorKind::kBodyTooLarge) {
      break;
    }
  }
  return last;
}

void CellService::Notify(CellNotice notice) {
  const std::lock_guard lock(this->outbox_mutex);
  this->outbox.push_back(Outgoing{std::move(notice), 0});
  if (this->outbox.back().notice.kind == NoticeKind::kFinish) {
    this->sender.Wake();
  }
}

void CellService::CancelOnEngine(CancelCommand command) {
  {
    const std::lock_guard lock(this->cancel_mutex);
    this->cancels.push_back(std::move(command));
  }
  this->cancel_wake.notify_one();
}

Result<std::string> CellService::AnswerPlace(const std::string& body) {
  BOOST_OUTCOME_TRY(ask, ReadJson<PlaceBody>(body, "request for a placement"));
  const auto cell = this->FindCell(ask.cell);
  if (!cell) {
    return Error::Of(ErrorKind::kNoEndpoint,
                     "cell " + ask.cell + " is not known here");
  }
  BOOST_OUTCOME_TRY(placement, this->PlaceHere(*cell, ask.request));
  return WriteJson(placement);
}

Result<std::string> CellService::AnswerNotices(const std::string& body) {
  BOOST_OUTCOME_TRY(notices,
                    ReadJson<std::vector<CellNotice>>(body, "cell notices"));
  std::ranges::for_each(
      notices, [this](const CellNotice& notice) { this->Apply(notice); });
  return std::string("{}");
}

nlohmann::json CellService::Describe() {
  nlohmann::json out = nlohmann::json::array();
  const TimeMs now = this->clock.Now();
  std::ranges::for_each(
      this->Hosted(), [&](const std::shared_ptr<HostedCell>& cell) {
        const std::lock_guard lock(cell->mutex);
        nlohmann::json rows = nlohmann::json::array();
        std::ranges::for_each(
            cell->scheduler.Engines(now), [&rows](const EngineView& engine) {
              rows.push_back({{"address", engine.id},
                              {"role", NameOf(engine.role)},
                              {"memory", engine.memory},
                              {"peak", engine.peak},
                              {"backlog_ms", engine.backlog_ms},
                              {"usable", engine.usable}});
            });
        out.push_back({{"cell", cell->scheduler.Name()},
                       {"queue", cell->scheduler.QueueLength()},
                       {"reservations", cell->scheduler.Reservations()},
                       {"engines", rows}});
      });
  return out;
}

std::vector<std::string> CellService::OwnerOrder(const CellSpec& cell) const {
  return RendezvousTop("cell/" + cell.name,
                       this->gossip.UsableNear(cell.data_centre), kOwnersTried);
}

std::optional<CellSpec> CellService::FindCell(std::string_view name) const {
  const std::lock_guard lock(this->mutex);
  const auto found = std::ranges::find(this->cells, name, &CellSpec::name);
  if (found == this->cells.end()) return std::nullopt;
  return *found;
}

std::vector<CellSpec> CellService::CellsFor(std::string_view model,
                                            std::uint64_t prefix) const {
  const std::lock_guard lock(this->mutex);
  const std::vector<std::string> names =
      CellOrder(this->cells, model, prefix, kCellsTried);
  std::vector<CellSpec> order;
  std::ranges::transform(
      names, std::back_inserter(order), [this](const std::string& name) {
        return *std::ranges::find(this->cells, name, &CellSpec::name);
      });
  return order;
}

Result<Placement> CellService::PlaceAtOwner(const CellSpec& cell,
                                            const PlacementRequest& request) {
  const std::vector<std::string> owners = this->OwnerOrder(cell);
  Error last =
      Error::Of(ErrorKind::kNoEndpoint, "no VM can schedule cell " + cell.name);
  for (const std::string& owner : owners) {
    if (owner == this->gossip.Self().address) {
      return this->PlaceHere(cell, request);
    }
    const DurationMs timeout_ms =
        std::max(request.patience_ms, request.budget_ms) + kPlaceSlackMs;
    const auto text =
        this->peers.Call(owner, "/peer/v1/place",
                         WriteJson(PlaceBody{cell.name, request}), timeout_ms);
    if (text) return ReadJson<Placement>(text.value(), "placement");
    last = text.error();
    // A refusal by the scheduler is its decision; only an owner out of reach is
    // passed over.
    if (last.kind != ErrorKind::kEndpointFailed) return last;
    // It may have placed the request all the same: whatever it reserved must be
    // freed.
    this->Notify(CellNotice{NoticeKind::kWithdraw, cell.name, "",
                            request.request_id, "", 0, 0});
  }
  return last.WithRan(Ran::kNo);
}

Result<Placement> CellService::PlaceHere(const CellSpec& cell,
                                         PlacementRequest request) {
  const std::shared_ptr<HostedCell> host = this->Host(cell);
  const std::string id = request.request_id;
  const DurationMs wait_ms =
      std::max(request.patience_ms, request.budget_ms) + kPlaceSlackMs / 2;
  std::future<Result<Placement>> decision;
  {
    const std::lock_guard lock(host->mutex);
    std::promise<Result<Placement>> promise;
    decision = promise.get_future();
    host->waiting.insert_or_assign(id, std::move(promise));
    host->scheduler.Submit(std::move(request), this->clock.Now());
  }
  this->RunTick(*host);
  if (decision.wait_for(std::chrono::milliseconds(wait_ms)) ==
      std::future_status::ready) {
    return decision.get();
  }
  {
    const std::lock_guard lock(host->mutex);
    host->waiting.erase(id);
    host->scheduler.Withdraw(id, this->clock.Now());
  }
  return Error::Of(ErrorKind::kDeadline, "no placement in time");
}

std::shared_ptr<CellService::HostedCell> CellService::Host(
    const CellSpec& cell) {
  std::shared_ptr<HostedCell> host;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->hosted.find(cell.name);
    if (found != this->hosted.end()) return found->second;
    const VmId& self = this->gossip.Self();
    host = std::make_shared<HostedCell>(
        cell.name, self.address + "-" + std::to_string(self.incarnation) + "-" +
                       cell.name);
    host->scheduler.Configure(cell.engines, this->clock.Now());
  }
  // A new owner first learns what the engines hold, so that it does not place
  // on top of it.
  this->Poll(*host, cell);
  const std::lock_guard lock(this->mutex);
  return this->hosted.emplace(cell.name, host).first->second;
}

void CellService::Apply(const CellNotice& notice) {
  const auto spec = this->FindCell(notice.cell);
  if (!spec) return;
  const std::shared_ptr<HostedCell> host = this->Host(*spec);
  const TimeMs now = this->clock.Now();
  {
    const std::lock_guard lock(host->mutex);
    CellScheduler& scheduler = host->scheduler;
    switch (notice.kind) {
      case NoticeKind::kRenew:
        scheduler.Renew(
            {Renewal{notice.reservation, notice.request_id, notice.engine, 0,
                     notice.pieces * kTokensPerPiece,
                     notice.pieces * kTokensPerPiece, 0}},
            now);
        return;
      case NoticeKind::kPrefillDone:
        scheduler.PrefillDone(notice.reservation, notice.measured_ms, now);
        break;
      case NoticeKind::kFinish:
        scheduler.Finish(notice.reservation, 0, now);
        break;
      case NoticeKind::kWithdraw:
        scheduler.Withdraw(notice.request_id, now);
        break;
      case NoticeKind::kFailed:
        scheduler.EngineFailed(notice.engine, now);
        LogEvent(EventId::kRetry,
                 {{"request", notice.request_id}, {"engine", notice.engine}});
        break;
      case NoticeKind::kServed:
        scheduler.EngineServed(notice.engine, now);
        break;
    }
  }
  this->RunTick(*host);
}

void CellService::RunTick(HostedCell& cell) {
  const std::lock_guard lock(cell.mutex);
  const std::vector<CellCommand> commands =
      cell.scheduler.Tick(this->clock.Now());
  const auto answer = [&cell](const std::string& request_id,
                              Result<Placement> decision) {
    const auto waiting = cell.waiting.find(request_id);
    if (waiting == cell.waiting.end()) return;
    waiting->second.set_value(std::move(decision));
    cell.waiting.erase(waiting);
  };
  std::ranges::for_each(commands, [&](const CellCommand& command) {
    std::visit(
        Overloaded{[&](const PlaceCommand& place) {
                     const Placement& placement = place.placement;
                     LogEvent(EventId::kPlacementDecision,
                              {{"request", place.request_id},
                               {"cell", cell.scheduler.Name()},
                               {"reservation", placement.reservation},
                               {"prefill", placement.prefill},
                               {"decode", placement.decode},
                               {"runner_up", placement.runner_up},
                               LogField::Of("queued_ms", placement.queued_ms),
                               {"why", placement.reason}});
                     answer(place.request_id, placement);
                   },
                   [&](const RefuseCommand& refuse) {
                     LogEvent(EventId::kRequestRefused,
                              {{"request", refuse.request_id},
                               {"cell", cell.scheduler.Name()},
                               LogField::Of("why", refuse.error)});
                     answer(refuse.request_id, refuse.error);
                   },
                   [&](const CancelCommand& cancel) {
                     LogEvent(cancel.orphan ? EventId::kOrphanCancelled
                                            : EventId::kReservationLapsed,
                              {{"request", cancel.request_id},
                               {"engine", cancel.engine}});
                     this->CancelOnEngine(cancel);
                   }},
        command);
  });
}

void CellService::TickAll() {
  std::ranges::for_each(this->Hosted(),
                        [this](const auto& cell) { this->RunTick(*cell); });
}

void CellService::FlushNotices() {
  std::deque<Outgoing> batch;
  {
    const std::lock_guard lock(this->outbox_mutex);
    batch.swap(this->outbox);
  }
  std::map<std::string, std::vector<Outgoing>> by_owner;
  std::ranges::for_each(batch, [&](Outgoing& outgoing) {
    const auto cell = this->FindCell(outgoing.notice.cell);
    if (!cell) return;
    const std::vector<std::string> owners = this->OwnerOrder(*cell);
    if (owners.empty()) return;
    by_owner[owners.front()].push_back(std::move(outgoing));
  });
  std::ranges::for_each(by_owner, [&](auto& entry) {
    std::vector<CellNotice> notices;
    std::ranges::transform(entry.second, std::back_inserter(notices),
                           &Outgoing::notice);
    if (entry.first == this->gossip.Self().address) {
      std::ranges::for_each(
          notices, [this](const CellNotice& notice) { this->Apply(notice); });
      return;
    }
    if (this->peers.Call(entry.first, "/peer/v1/notices", WriteJson(notices),
                         kNoticeTimeoutMs)) {
      return;
    }
    const std::lock_guard lock(this->outbox_mutex);
    std::ranges::for_each(entry.second, [this](Outgoing& outgoing) {
      if (outgoing.notice.kind == NoticeKind::kRenew) return;
      if (++outgoing.tries < kNoticeTries) {
        this->outbox.push_back(std::move(outgoing));
      }
    });
  });
}

void CellService::HostOwned() {
  std::vector<CellSpec> known;
  {
    const std::lock_guard lock(this->mutex);
    known = this->cells;
  }
  std::ranges::for_each(known, [this](const CellSpec& cell) {
    const std::vector<std::string> owners = this->OwnerOrder(cell);
    if (owners.empty() || owners.front() != this->gossip.Self().address) return;
    static_cast<void>(this->Host(cell));
  });
}

void CellService::PollAll() {
  // Also a cell that nobody asks for may hold what a process that died left
  // behind.
  this->HostOwned();
  const TimeMs now = this->clock.Now();
  std::ranges::for_each(
      this->Hosted(), [this, now](const std::shared_ptr<HostedCell>& cell) {
        const auto spec = this->FindCell(cell->scheduler.Name());
        if (!spec || now < cell->next_poll) return;
        const auto engine_count = static_cast<DurationMs>(spec->engines.size());
        cell->next_poll = now +
                          std::max(kPollMs, kPollMsPerEngine * engine_count) -
                          kPollMs / 2;
        this->Poll(*cell, *spec);
      });
}

void CellService::Poll(HostedCell& cell, const CellSpec& spec) {
  tbb::parallel_for_each(spec.engines, [&](const CellEngine& engine) {
    const bool prefills = engine.role != PoolRole::kDecode;
    std::int64_t after = 0;
    {
      const std::lock_guard lock(cell.mutex);
      after = cell.last_event[engine.id];
    }
    const auto load = this->engines.Load(engine.id);
    const auto events =
        prefills && load
            ? this->engines.CacheEvents(engine.id, after)
            : Result<std::vector<CacheEvent>>(std::vector<CacheEvent>());
    const std::lock_guard lock(cell.mutex);
    if (!load) {
      cell.scheduler.EngineFailed(engine.id, this->clock.Now());
      return;
    }
    cell.scheduler.EngineServed(engine.id, this->clock.Now());
    cell.scheduler.Report(engine.id, load.value(), this->clock.Now());
    if (!events || events.value().empty()) return;
    cell.scheduler.OnCacheEvents(engine.id, events.value());
    cell.last_event[engine.id] = events.value().back().number;
  });
}

void CellService::CancelLoop() {
  std::unique_lock lock(this->cancel_mutex);
  while (!this->stopping) {
    this->cancel_wake.wait(
        lock, [this] { return this->stopping || !this->cancels.empty(); });
    if (this->cancels.empty()) continue;
    const CancelCommand command = std::move(this->cancels.front());
    this->cancels.pop_front();
    lock.unlock();
    // A failed cancel is sent again by the scheduler's own tick.
    if (this->engines.Cancel(command.engine, command.request_id,
                             command.reservation, 0)) {
      std::ranges::for_each(this->Hosted(),
                            [&](const std::shared_ptr<HostedCell>& cell) {
                              const std::lock_guard cell_lock(cell->mutex);
                              cell->scheduler.CancelDone(command.reservation);
                            });
    }
    lock.lock();
  }
}

std::vector<std::shared_ptr<CellService::HostedCell>> CellService::Hosted()
    const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<HostedCell>> cells_here;
  std::ranges::transform(this->hosted, std::back_inserter(cells_here),
                         [](const auto& entry) { return entry.second; });
  return cells_here;
}

}  // namespace limpethaven
