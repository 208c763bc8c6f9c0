#include <algorithm>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "net/scope_exit.h"
#include "router/session.h"

namespace limpethaven {
namespace {

/// Pause before a broken stream is reconnected to the same endpoint.
constexpr DurationMs kReattachPauseMs = 50;
/// A broken stream is no longer reconnected to its endpoint after this long
/// without new events. Counted from the break, or from the end of the last
/// connection that brought events.
constexpr DurationMs kStallTimeoutMs = 2000;
/// Random bytes in the suffix of a placement's id.
constexpr std::size_t kPlacementIdBytes = 4;

}  // namespace

GenerationSession::GenerationSession(RouterCore& router_core,
                                     Exchange& caller_exchange,
                                     AdmittedRequest admitted_request,
                                     Charge team_charge)
    : Session(router_core, caller_exchange, std::move(admitted_request),
              std::move(team_charge)) {
  if (this->admitted.route->streams || !this->admitted.route->model.empty()) {
    this->stream = this->core.parts.endpoints.NewStream(this->admitted.request,
                                                        this->admitted.pool);
  }
}

Task<std::optional<Error>> GenerationSession::Run() {
  std::optional<Error> refused;
  SendOutcome last = SendOutcome::kNotSent;
  bool resumes = this->admitted.request.resumed_attempt.has_value();
  while (this->record.MaySend() && !this->Cancelled()) {
    refused = this->CheckStop();
    if (refused) break;
    if (resumes) {
      resumes = false;
      last = co_await this->ResumeRun();
    } else {
      const Result<SendOutcome> outcome = co_await this->PlaceAndRun();
      if (!outcome) {
        refused = outcome.error();
        break;
      }
      last = outcome.value();
    }
    if (this->Cancelled()) break;
    const NextStep step = this->DecideNextStep(last);
    if (step == NextStep::kForward) co_return std::nullopt;
    if (step != NextStep::kSendAgain) break;
    if (!this->admitted.request.resumed_attempt) continue;
    if (this->admitted.request.prompt.empty()) {
      co_return Error::Of(
          ErrorKind::kStreamGone,
          "the engine no longer holds this answer; repeat the request with its "
          "body to resume on another engine");
    }
  }
  Error error = refused ? *refused : this->MakeError(last);
  error.ran = this->record.MayHaveRun();
  co_return error;
}

void GenerationSession::SettleCharge() {
  if (this->charge_deferred) return;
  Tokens used = this->charge.Charged();
  if (this->record.MayHaveRun() == Ran::kNo) used = 0;
  if (this->core.settings.refund_unused_tokens && this->stream) {
    const Tokens produced = this->stream->Produced();
    const bool nothing_produced = produced == 0 && !this->stream->Complete();
    used =
        nothing_produced ? 0 : this->admitted.request.prompt_tokens + produced;
  }
  this->charge.Settle(used);
}

Task<SendOutcome> GenerationSession::ResumeRun() {
  const RunningAttempt& running = *this->admitted.request.resumed_attempt;
  CellPlacement placed;
  placed.cell = running.cell;
  placed.placement.reservation = running.attempt;
  placed.placement.decode = running.endpoint;
  placed.placement.tokens = running.reserved_tokens;
  this->placement_id = this->admitted.request.attempt_id;
  const EndpointRecord* endpoint =
      this->core.parts.table.Find(running.endpoint);
  if (endpoint == nullptr) co_return SendOutcome::kNotSent;
  const EndpointRecord engine = *endpoint;
  this->stream->OnPlaced(placed.cell, running.attempt, engine.id,
                         running.reserved_tokens);
  this->core.parts.cells.Hold(
      placed, Renewal{running.attempt, this->placement_id, engine.id, 0,
                      running.reserved_tokens, running.reserved_tokens, 0});
  this->tried_endpoints.push_back(engine.id);
  this->record.OnSend();
  Dispatch dispatch = this->MakeRunDispatch(placed, engine);
  dispatch.reattach = true;
  SendOutcome outcome = co_await this->Send(std::move(dispatch));
  outcome = co_await this->Reattach(placed, engine, outcome);
  this->core.parts.cells.Release(running.attempt);
  if (this->Cancelled() && this->CancelRunLater(placed, engine)) {
    co_return outcome;
  }
  this->NotifyOwner(placed,
                    outcome == SendOutcome::kAnswered
                        ? CellNoticeKind::kFinished
                        : CellNoticeKind::kWithdrawn,
                    engine.id, 0, 0);
  co_return outcome;
}

Task<Result<SendOutcome>> GenerationSession::PlaceAndRun() {
  // The suffix distinguishes the placements of one request. The id begins with
  // the request's id, which relates the log lines of the cell's owner to the
  // request.
  this->placement_id =
      this->admitted.request.attempt_id + "#" + RandomHex(kPlacementIdBytes);
  this->record.OnQueued();
  const RouteSpec& route = *this->admitted.route;
  if (const DurationMs wait_ms =
          this->core.PoolWaitMs(*this->admitted.pool, true);
      wait_ms > 0) {
    Error error = Error::Of(ErrorKind::kCapacity,
                            "all engines of pool " + this->admitted.pool->name +
                                " have asked this process for a pause");
    error.retry_after_ms = wait_ms;
    co_return error;
  }
  const std::string group =
      route.model.empty() ? this->admitted.pool->name : route.model;
  const Result<CellPlacement> placement_result =
      co_await this->core.parts.cells.Place(group, this->MakePlacementRequest(),
                                            this->cancel);
  if (!placement_result) co_return placement_result.error();
  const CellPlacement& placed = placement_result.value();
  const Placement& placement = placed.placement;
  const EndpointTable& table = this->core.parts.table;
  const EndpointRecord* decode = this->FindUsable(placement.decode);
  if (decode == nullptr || this->Cancelled()) {
    this->NotifyOwner(placed, CellNoticeKind::kWithdrawn, "", 0, 0);
    // Recorded as a send, which the outcome `kNotSent` takes back.
    this->record.OnSend();
    co_return SendOutcome::kNotSent;
  }
  // Engines may have crashed on a part of the prompt while it waited.
  if (auto quarantined = this->CheckQuarantine()) {
    this->NotifyOwner(placed, CellNoticeKind::kWithdrawn, "", 0, 0);
    co_return std::move(*quarantined);
  }
  const EndpointRecord engine = *decode;
  LogEvent(EventId::kRouteDecision,
           {{"request", this->admitted.request.attempt_id},
            {"cell", placed.cell},
            {"owner", placed.owner},
            {"reservation", placement.reservation},
            {"prefill", placement.prefill},
            {"decode", engine.id},
            LogField::Of("queued_ms", placement.queued_ms),
            LogField::Of("revision", table.Revision()),
            {"why", placement.reason}});
  const PlacementRequest requested = this->MakePlacementRequest();
  this->core.parts.cells.Hold(
      placed, Renewal{placement.reservation, this->placement_id, engine.id,
                      requested.prompt_tokens, requested.max_tokens,
                      placement.tokens - requested.prompt_tokens, 0});
  const ScopeExit released(
      [&] { this->core.parts.cells.Release(placement.reservation); });
  if (this->stream) {
    this->stream->OnPlaced(placed.cell, placement.reservation, engine.id,
                           placement.tokens);
  }
  std::optional<KvHandle> kv_handle = this->TakeUnusedKv(placement);
  bool prefill_sent = false;
  const EndpointRecord* prefill = this->FindUsable(placement.prefill);
  const bool prefills = prefill != nullptr && !this->PrefillIsRisky();
  const bool may_prefill = prefills && this->TryPrefillRetry();
  if (prefills && !may_prefill && !this->core.settings.allow_local_prefill) {
    this->core.parts.cells.Release(placement.reservation);
    this->NotifyOwner(placed, CellNoticeKind::kWithdrawn, "", 0, 0);
    co_return Error::Of(ErrorKind::kCapacity,
                        "the retry budget of pool " +
                            this->admitted.pool->name +
                            " does not allow to prefill the prompt again");
  }
  if (may_prefill) {
    const EndpointRecord prefill_engine = *prefill;
    const PrefillResult result =
        co_await this->RunPrefill(prefill_engine, placed);
    kv_handle = result.kv_handle;
    prefill_sent = result.sent;
    CellNoticeKind notice = CellNoticeKind::kEngineFailed;
    if (!result.sent) notice = CellNoticeKind::kEngineUnreachable;
    if (result.refused) notice = CellNoticeKind::kEngineFull;
    if (kv_handle) notice = CellNoticeKind::kPrefillDone;
    this->NotifyOwner(placed, notice, prefill_engine.id, 0, result.elapsed_ms);
    if (!kv_handle) this->tried_endpoints.push_back(prefill_engine.id);
    if (result.counts_as_send && !this->Cancelled() &&
        !this->core.BudgetOf(this->admitted.pool->name).TryRetry(LoopNow())) {
      this->core.parts.cells.Release(placement.reservation);
      this->NotifyOwner(placed, CellNoticeKind::kWithdrawn, "", 0, 0);
      co_return Error::Of(ErrorKind::kCapacity,
                          "the retry budget of pool " +
                              this->admitted.pool->name +
                              " does not allow a run after the prefill failed");
    }
  }
  const std::optional<Error> quarantined = this->CheckQuarantine();
  SendOutcome outcome = SendOutcome::kNotSent;
  // The engine may have started to drain during the prefill.
  const bool unusable = this->FindUsable(engine.id) == nullptr;
  if (unusable) this->KeepKv(kv_handle);
  if (unusable || (!kv_handle && !this->core.settings.allow_local_prefill)) {
    // A prefill call that may have run the request counts as a send. Where
    // decode engines may prefill prompts themselves, a prefill call does not
    // count as running the request; the outcome `kNotSent` takes the send back.
    this->record.OnSend();
    const bool may_have_run =
        prefill_sent && !this->core.settings.allow_local_prefill;
    outcome = may_have_run ? SendOutcome::kBroken : SendOutcome::kNotSent;
  } else if (!this->Cancelled() && !quarantined) {
    outcome = co_await this->Generate(placed, engine, std::move(kv_handle));
  }
  this->core.parts.cells.Release(placement.reservation);
  if (this->Cancelled() && this->CancelRunLater(placed, engine)) {
    co_return outcome;
  }
  if (quarantined) {
    this->NotifyOwner(placed, CellNoticeKind::kWithdrawn, engine.id, 0, 0);
    co_return *quarantined;
  }
  const bool answered = outcome == SendOutcome::kAnswered;
  const Tokens produced = this->stream ? this->stream->Produced() : 0;
  this->NotifyOwner(
      placed, answered ? CellNoticeKind::kFinished : CellNoticeKind::kWithdrawn,
      engine.id, answered ? produced : 0, 0);
  co_return outcome;
}

Task<SendOutcome> GenerationSession::Generate(
    const CellPlacement& placed, const EndpointRecord& engine,
    std::optional<KvHandle> kv_handle) {
  this->tried_endpoints.push_back(engine.id);
  const bool fetches_kv = kv_handle.has_value();
  const std::string prefill_engine = placed.placement.prefill;
  const std::string reservation = placed.placement.reservation;
  this->on_progress = [this, reservation] {
    this->core.parts.cells.SetProduced(reservation, this->stream->Produced());
  };
  this->on_response = [this, &placed, &engine,
                       was_limited = this->IsLimited(engine.id)] {
    this->NotifyLimit(placed, engine.id, was_limited);
  };
  Dispatch first = this->MakeRunDispatch(placed, engine);
  first.kv_handle = kv_handle;
  this->record.OnSend();
  SendOutcome outcome = co_await this->Send(std::move(first));
  const bool refused = outcome == SendOutcome::kNotRun && fetches_kv;
  // A reset before the head of a response is mostly that of an engine which is
  // down; if it has fetched the KV cache, the next one prefills the prompt.
  const bool broke_unanswered = outcome == SendOutcome::kBroken &&
                                !this->ResponseBegun() && !this->Progressed();
  // The engine may have started to leave before it refused.
  if (outcome == SendOutcome::kNotSent || broke_unanswered ||
      (refused && (this->LastAnswer().overloaded ||
                   this->LastAnswer().address_reassigned ||
                   this->FindUsable(engine.id) == nullptr))) {
    // The engine has not fetched the KV cache, so that another one can.
    this->KeepKv(kv_handle);
  } else if (refused && !this->Cancelled() &&
             this->core.settings.allow_local_prefill &&
             !this->IsLimited(engine.id)) {
    // The engine either could not fetch the KV cache or has no room. It is
    // asked once more, to prefill the prompt itself; if it has no room, it
    // refuses again. Both calls count as one send, since no further endpoint is
    // involved.
    this->NotifyOwner(placed, CellNoticeKind::kKvFetchFailed, prefill_engine, 0,
                      0);
    RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
    if (budget.TryRetry(LoopNow())) {
      static_cast<void>(this->record.OnOutcome(SendOutcome::kNotSent, false));
      this->record.OnSend();
      outcome = co_await this->Send(this->MakeRunDispatch(placed, engine));
    }
  } else if (fetches_kv && outcome == SendOutcome::kAnswered) {
    this->NotifyOwner(placed, CellNoticeKind::kKvFetchSucceeded, prefill_engine,
                      0, 0);
  }
  const bool broke_at_start = outcome == SendOutcome::kBroken &&
                              this->ResponseBegun() && !this->Progressed();
  outcome = co_await this->Reattach(placed, engine, outcome);
  this->on_progress = nullptr;
  this->on_response = nullptr;
  this->NotePromptOutcome(engine, outcome, broke_at_start);
  switch (outcome) {
    case SendOutcome::kAnswered:
      this->NotifyOwner(placed,
                        this->LastAnswer().server_error
                            ? CellNoticeKind::kEngineFailed
                            : CellNoticeKind::kEngineServed,
                        engine.id, 0, 0);
      break;
    case SendOutcome::kNotRun:
      this->NotifyOwner(placed,
                        this->LastAnswer().address_reassigned
                            ? CellNoticeKind::kEngineUnreachable
                            : CellNoticeKind::kEngineFull,
                        engine.id, 0, 0);
      break;
    case SendOutcome::kNotSent:
      if (!this->Cancelled()) {
        this->NotifyOwner(placed, CellNoticeKind::kEngineUnreachable, engine.id,
                          0, 0);
      }
      break;
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
      if (!this->Cancelled()) {
        this->NotifyOwner(placed, CellNoticeKind::kEngineFailed, engine.id, 0,
                          0);
      }
      break;
    case SendOutcome::kFailed:
      if (this->LastAnswer().server_error) {
        this->NotifyOwner(placed, CellNoticeKind::kEngineFailed, engine.id, 0,
                          0);
      }
      break;
  }
  co_return outcome;
}

void GenerationSession::NotePromptOutcome(const EndpointRecord& engine,
                                          SendOutcome outcome,
                                          bool broke_at_start) {
  if (outcome == SendOutcome::kAnswered) {
    this->NoteServed();
    return;
  }
  // A reconnection that brought events shows that the engine is alive.
  if (!broke_at_start || this->Progressed() || this->Cancelled()) return;
  ++this->crashes;
  this->core.NoteCrash(engine, this->admitted.request.attempt_id,
                       this->Suspects());
}

Task<SendOutcome> GenerationSession::Reattach(const CellPlacement& placed,
                                              const EndpointRecord& engine,
                                              SendOutcome outcome) {
  std::int64_t attempts_left = this->core.parts.endpoints.MaxReattaches();
  TimeMs progress_at = LoopNow();
  const auto broken = [](SendOutcome current) {
    return current == SendOutcome::kBroken || current == SendOutcome::kSilent;
  };
  while (broken(outcome) && attempts_left > 0 && !this->Cancelled()) {
    if (this->Progressed()) progress_at = LoopNow();
    if (LoopNow() - progress_at > kStallTimeoutMs) break;
    --attempts_left;
    co_await SleepFor(this->core.parts.loop, kReattachPauseMs);
    LogEvent(EventId::kStreamReconnected,
             {{"request", this->admitted.request.attempt_id},
              {"engine", engine.id},
              {"why", std::string(NameOf(outcome))}});
    Dispatch dispatch = this->MakeRunDispatch(placed, engine);
    dispatch.reattach = true;
    const SendOutcome reconnect = co_await this->Send(std::move(dispatch));
    outcome = AfterReconnect(outcome, reconnect);
    // The new connection brought no events either: the endpoint has stalled.
    if (outcome == SendOutcome::kSilent && !this->Progressed()) break;
  }
  co_return outcome;
}

}  // namespace limpethaven
