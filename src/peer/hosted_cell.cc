#include "peer/hosted_cell.h"

#include "log/event_log.h"

namespace limpethaven {
namespace {

constexpr double kMsPerS = 1000.0;

}  // namespace

HostedCell::HostedCell(const std::string& name, const std::string& owner_id,
                       const CellSettings& settings)
    : scheduler(name, owner_id, settings) {}

void HostedCell::Apply(const CellNotice& notice, TimeMs now) {
  switch (notice.kind) {
    case CellNoticeKind::kPrefillDone:
      this->scheduler.PrefillDone(notice.reservation, notice.measured_ms, now);
      break;
    case CellNoticeKind::kFinished:
      this->scheduler.Finish(notice.reservation, notice.tokens, now);
      break;
    case CellNoticeKind::kWithdrawn:
      this->scheduler.Withdraw(notice.request_id, now);
      break;
    case CellNoticeKind::kEngineFailed:
      this->scheduler.EngineFailed(notice.engine, now);
      break;
    case CellNoticeKind::kEngineServed:
      this->scheduler.EngineServed(notice.engine, now);
      break;
    case CellNoticeKind::kEngineFull:
      this->scheduler.EngineFull(notice.engine, now);
      break;
    case CellNoticeKind::kKvFetchFailed:
      this->scheduler.KvFetchFailed(notice.engine, now);
      break;
    case CellNoticeKind::kKvFetchSucceeded:
      this->scheduler.KvFetchSucceeded(notice.engine, now);
      break;
    case CellNoticeKind::kEngineLimit:
      this->scheduler.LimitEngine(notice.engine, notice.max_per_s, now);
      break;
    case CellNoticeKind::kEngineUnreachable:
      this->scheduler.EngineUnreachable(notice.engine, now);
      break;
    case CellNoticeKind::kMoved:
      this->scheduler.Forget(notice.reservation, now);
      break;
  }
}

std::vector<CancelCommand> HostedCell::Run(TimeMs now,
                                           PlacementCounts& counts) {
  std::vector<CancelCommand> cancels;
  const std::vector<CellCommand> commands = this->scheduler.Tick(now);
  const auto answer = [this](const std::string& request,
                             Result<Placement> decision) {
    const auto waiting = this->pending.find(request);
    if (waiting == this->pending.end()) return;
    waiting->second->decision = std::move(decision);
    waiting->second->decided.Notify();
  };
  for (const CellCommand& command : commands) {
    if (const auto* place = std::get_if<PlaceCommand>(&command)) {
      const Placement& placement = place->placement;
      LogEvent(EventId::kPlacementDecision,
               {{"request", place->request_id},
                {"cell", this->scheduler.Name()},
                {"reservation", placement.reservation},
                {"prefill", placement.prefill},
                {"decode", placement.decode},
                {"runner_up", placement.runner_up},
                LogField::Of("queued_ms", placement.queued_ms),
                LogField::Of("waiting", this->scheduler.QueueLength()),
                LogField::Of("on_time", placement.on_time),
                LogField::Of("report_age_ms", placement.report_age_ms),
                LogField::Of("outstanding", placement.outstanding),
                {"why", placement.reason}});
      ++(placement.on_time ? counts.placed_on_time : counts.placed_late);
      answer(place->request_id, placement);
    } else if (const auto* refuse = std::get_if<RefuseCommand>(&command)) {
      LogEvent(EventId::kPlacementRefused,
               {{"request", refuse->request_id},
                {"cell", this->scheduler.Name()},
                {"kind", std::string(RowOf(refuse->error.kind).name)},
                LogField::Of("waiting", this->scheduler.QueueLength()),
                LogField::Of("estimate_ms", refuse->estimate_ms),
                LogField::Of("allowed_ms", refuse->allowed_ms),
                LogField::Of("drain_tokens_per_s",
                             static_cast<std::int64_t>(
                                 refuse->drain_tokens_per_ms * kMsPerS)),
                LogField::Of("retry_after_ms", refuse->error.retry_after_ms),
                {"why", refuse->error.message}});
      ++counts.refused;
      answer(refuse->request_id, refuse->error);
    } else if (const auto* cancel = std::get_if<CancelCommand>(&command)) {
      cancels.push_back(*cancel);
    }
  }
  return cancels;
}

void HostedCell::UpdateLimitDivisor(const OwnerPlace& place, TimeMs now) {
  const std::int64_t next =
      this->limit_divisor.Update(place.rank, place.processes, now);
  if (next == this->divisor) return;
  this->divisor = next;
  this->scheduler.SetLimitDivisor(next, now);
  LogEvent(EventId::kCellLimitDivisor,
           {{"cell", this->scheduler.Name()},
            LogField::Of("divisor", next),
            LogField::Of("rank", place.rank),
            LogField::Of("processes", place.processes),
            {"first", place.first}});
}

}  // namespace limpethaven
