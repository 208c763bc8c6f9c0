#include <algorithm>

#include "log/event_log.h"
#include "net/tasks.h"
#include "router/session.h"

namespace limpethaven {
namespace {

/// Part of the route's `first_token_ms` that is reserved for sending the token
/// to the caller.
constexpr DurationMs kFirstTokenMarginMs = 40;
/// After a caller has disconnected, its run is kept for this long, so that the
/// caller can resume over another connection.
constexpr DurationMs kResumeGraceMs = 300;
/// Timeout of the call that cancels the run of a cancelled request.
constexpr DurationMs kCancelTimeoutMs = 500;

}  // namespace

bool GenerationSession::CancelRunLater(const CellPlacement& placed,
                                       const EndpointRecord& engine) {
  Dispatch dispatch = this->MakeRunDispatch(placed, engine);
  dispatch.stream = this->stream.get();
  const std::optional<OutgoingCall> call =
      this->core.parts.endpoints.CancelAbandonedRun(dispatch);
  if (!call) return false;
  this->charge_deferred = true;
  struct AbandonedRun {
    std::string bytes;
    std::string address;
    std::string request;
    std::string owner;
    CellNotice notice;
    Charge charge;
    Tokens used = 0;
    DurationMs grace_ms = 0;
  };
  auto abandoned = std::make_shared<AbandonedRun>();
  abandoned->bytes = WriteRequest(call->head, call->body);
  abandoned->address = engine.address;
  abandoned->request = this->admitted.request.attempt_id;
  abandoned->owner = placed.owner;
  abandoned->notice =
      this->MakeNotice(placed, CellNoticeKind::kFinished, engine.id, 0, 0);
  abandoned->charge = std::move(this->charge);
  abandoned->used = this->admitted.request.prompt_tokens +
                    (this->stream ? this->stream->Produced() : 0);
  // The grace period lets a caller that has disconnected resume the request; an
  // aborted request needs none.
  abandoned->grace_ms = this->abort_reason ? 0 : kResumeGraceMs;
  Spawn(this->core.parts.loop, [&core = this->core, abandoned]() -> Task<> {
    co_await SleepFor(core.parts.loop, abandoned->grace_ms);
    const HttpResponse answer = co_await FetchResponse(
        core.parts.loop, core.parts.pool, abandoned->address, abandoned->bytes,
        LoopNow() + kCancelTimeoutMs);
    const bool ended =
        answer.fault == CallFault::kNone && answer.head.status == 200;
    // If the engine did not end the run, the caller may have resumed it and may
    // use every token that was charged. If the engine did not answer, the
    // cell's owner repeats the cancel.
    abandoned->charge.Settle(ended ? abandoned->used
                                   : abandoned->charge.Charged());
    const bool answered = answer.fault == CallFault::kNone;
    if (!answered) abandoned->notice.kind = CellNoticeKind::kWithdrawn;
    if (ended || !answered) {
      core.parts.cells.QueueNotice(abandoned->owner, abandoned->notice);
    }
    LogEvent(EventId::kRunEnded, {{"request", abandoned->request},
                                  {"engine", abandoned->address},
                                  LogField::Of("ended", ended)});
  });
  return true;
}

PlacementRequest GenerationSession::MakePlacementRequest() const {
  const CallerRequest& request = this->admitted.request;
  const RouteSpec& route = *this->admitted.route;
  const TimeMs now = LoopNow();
  const TimeMs received_at = this->exchange.ReceivedAt();
  const Tokens produced = this->stream ? this->stream->Produced() : 0;
  PlacementRequest placement_request;
  placement_request.request_id = this->placement_id;
  placement_request.team = this->admitted.team;
  const auto team = this->admitted.config->teams.find(this->admitted.team);
  if (team != this->admitted.config->teams.end()) {
    placement_request.weight = team->second.weight;
  }
  placement_request.priority = this->admitted.priority;
  placement_request.data_centre = this->core.parts.data_centre;
  placement_request.prompt_tokens = request.prompt_tokens + produced;
  placement_request.max_tokens =
      std::max<Tokens>(1, request.max_output_tokens - produced);
  if (request.output_hint) {
    placement_request.hint =
        std::max<Tokens>(1, *request.output_hint - produced);
  }
  placement_request.prefix = request.prefix_blocks;
  // An answer that has begun is completed however late it is, so the time that
  // has elapsed is not deducted.
  const bool answering = produced > 0 || this->exchange.ResponseStarted();
  const DurationMs elapsed = answering ? 0 : now - received_at;
  placement_request.budget_ms =
      route.first_token_ms - kFirstTokenMarginMs - elapsed;
  const bool caller_times_out_early = route.patience_ms > 0 && !answering;
  const TimeMs caller_times_out_at =
      caller_times_out_early
          ? std::min(this->admitted.deadline, received_at + route.patience_ms)
          : this->admitted.deadline;
  const bool may_be_late =
      route.patience_ms > 0 || route.serve_late || answering;
  placement_request.patience_ms =
      may_be_late ? std::max<DurationMs>(0, caller_times_out_at - now) : 0;
  // A prefill engine's KV cache covers the prompt only, not the tokens that
  // were generated since.
  placement_request.force_local_prefill =
      this->core.settings.allow_local_prefill && produced > 0;
  placement_request.prefilled =
      this->unused_kv && produced == 0 && this->KvIsFresh();
  placement_request.excluded = this->tried_endpoints;
  std::ranges::copy(this->core.pauses.Paused(now),
                    std::back_inserter(placement_request.excluded));
  return placement_request;
}

Dispatch GenerationSession::MakeRunDispatch(
    const CellPlacement& placed, const EndpointRecord& engine) const {
  Dispatch dispatch = this->MakeDispatch(engine);
  dispatch.attempt = placed.placement.reservation;
  dispatch.reserved_tokens = placed.placement.tokens;
  return dispatch;
}

CellNotice GenerationSession::MakeNotice(const CellPlacement& placed,
                                         CellNoticeKind kind,
                                         const std::string& engine,
                                         Tokens tokens,
                                         DurationMs measured_ms) const {
  CellNotice notice;
  notice.kind = kind;
  notice.cell = placed.cell;
  notice.reservation = placed.placement.reservation;
  notice.request_id = this->placement_id;
  notice.engine = engine;
  notice.tokens = tokens;
  notice.measured_ms = measured_ms;
  return notice;
}

bool GenerationSession::IsLimited(const std::string& engine) const {
  return this->core.limits.Find(engine).has_value();
}

const EndpointRecord* GenerationSession::FindUsable(
    const std::string& engine) const {
  const EndpointRecord* found = this->core.parts.table.Find(engine);
  const bool usable = found != nullptr && !found->leaving &&
                      this->core.pauses.WaitMs(engine, LoopNow()) <= 0;
  return usable ? found : nullptr;
}

void GenerationSession::NotifyLimit(const CellPlacement& placed,
                                    const std::string& engine,
                                    bool was_limited) {
  const std::optional<double> limit = this->core.limits.Find(engine);
  if (!limit && !was_limited) return;
  CellNotice notice =
      this->MakeNotice(placed, CellNoticeKind::kEngineLimit, engine, 0, 0);
  notice.max_per_s = limit;
  this->core.parts.cells.QueueNotice(placed.owner, std::move(notice));
}

void GenerationSession::NotifyOwner(const CellPlacement& placed,
                                    CellNoticeKind kind,
                                    const std::string& engine, Tokens tokens,
                                    DurationMs measured_ms) {
  this->core.parts.cells.QueueNotice(
      placed.owner,
      this->MakeNotice(placed, kind, engine, tokens, measured_ms));
}

}  // namespace limpethaven
