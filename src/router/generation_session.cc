#include <algorithm>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

constexpr DurationMs kReuseIdleMs = 3000;
/// Left for the way of the first token to the caller.
constexpr DurationMs kFirstTokenMarginMs = 40;

}  // namespace

Task<std::optional<Error>> GenerationSession::Run() {
  std::optional<Error> refused;
  SendOutcome last = SendOutcome::kNotSent;
  while (this->record.MaySend() && !this->Gone()) {
    const Result<SendOutcome> outcome = co_await this->RunOnce();
    if (this->Gone()) break;
    if (!outcome) {
      refused = outcome.error();
      break;
    }
    last = outcome.value();
    const NextStep step = this->Judge(last);
    if (step == NextStep::kForward) co_return std::nullopt;
    if (step != NextStep::kSendAgain) break;
  }
  Error error = refused ? *refused : this->Failure(last);
  error.ran = this->record.MayHaveRun();
  co_return error;
}

Task<Result<SendOutcome>> GenerationSession::RunOnce() {
  this->placement_id = RandomHex(8);
  this->record.OnQueued();
  const Result<CellPlacement> place = co_await this->core.parts.cells.Place(
      this->admitted.pool->name, this->AskFor(), this->cancel);
  if (!place) co_return place.error();
  const CellPlacement& placed = place.value();
  const EndpointTable& table = this->core.parts.table;
  const EndpointRecord* decode = table.Find(placed.placement.decode);
  const EndpointRecord* prefill = table.Find(placed.placement.prefill);
  if (decode == nullptr || decode->leaving || this->Gone()) {
    this->Tell(placed, CellNews::kFinished, "", 0, 0);
    co_return SendOutcome::kNotSent;
  }
  const EndpointRecord engine = *decode;
  LogEvent(EventId::kRouteDecision,
           {{"request", this->admitted.request.attempt_id},
            {"cell", placed.cell},
            {"owner", placed.owner},
            {"reservation", placed.placement.reservation},
            {"prefill", placed.placement.prefill},
            {"decode", engine.id},
            LogField::Of("queued_ms", placed.placement.queued_ms),
            LogField::Of("revision", table.Revision()),
            {"why", placed.placement.reason}});
  const CallerRequest& request = this->admitted.request;
  this->core.parts.cells.Hold(
      placed, Renewal{placed.placement.reservation, this->placement_id,
                      engine.id, request.prompt_tokens + this->Produced(),
                      request.max_output_tokens - this->Produced(),
                      placed.placement.tokens - request.prompt_tokens, 0});
  std::optional<KvHandle> memory;
  if (prefill != nullptr && !prefill->leaving) {
    const EndpointRecord reader = *prefill;
    const Prefilled read = co_await this->ReadPrompt(reader);
    this->Tell(placed, read.memory ? CellNews::kPrefillDone : CellNews::kFailed,
               reader.id, 0, read.elapsed_ms);
    memory = read.memory;
  }
  SendOutcome outcome = SendOutcome::kNotSent;
  if (!this->Gone()) outcome = co_await this->Generate(placed, engine, memory);
  this->core.parts.cells.Release(placed.placement.reservation);
  const bool whole = outcome == SendOutcome::kAnswered;
  this->Tell(placed, CellNews::kFinished, engine.id,
             whole ? this->Produced() : 0, 0);
  co_return outcome;
}

Task<SendOutcome> GenerationSession::Generate(const CellPlacement& placed,
                                              const EndpointRecord& engine,
                                              std::optional<KvHandle> memory) {
  this->tried.push_back(engine.id);
  const bool fetches = memory.has_value();
  const std::string reader = placed.placement.prefill;
  this->on_progress = [this, &placed] {
    this->core.parts.cells.Progress(placed.placement.reservation,
                                    this->Produced());
  };
  SendOutcome outcome = co_await this->Send(engine, memory);
  if (outcome == SendOutcome::kNotRun && fetches && !this->Gone()) {
    // Either the memory could not be fetched, or the engine is full. The same
    // engine may read the prompt itself: that is no further endpoint.
    this->Tell(placed, CellNews::kHandleFailed, reader, 0, 0);
    RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
    if (budget.TryRetry(LoopNow())) {
      static_cast<void>(this->record.OnOutcome(SendOutcome::kNotSent, false));
      outcome = co_await this->Send(engine, std::nullopt);
    }
  } else if (fetches && outcome == SendOutcome::kAnswered) {
    this->Tell(placed, CellNews::kHandleServed, reader, 0, 0);
  }
  this->on_progress = nullptr;
  switch (outcome) {
    case SendOutcome::kAnswered:
      this->Tell(placed, CellNews::kServed, engine.id, 0, 0);
      break;
    case SendOutcome::kNotRun:
      this->Tell(placed, CellNews::kFull, engine.id, 0, 0);
      break;
    case SendOutcome::kNotSent:
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
      if (!this->Gone()) {
        this->Tell(placed, CellNews::kFailed, engine.id, 0, 0);
      }
      break;
    case SendOutcome::kFailed:
      break;
  }
  co_return outcome;
}

Task<GenerationSession::Prefilled> GenerationSession::ReadPrompt(
    const EndpointRecord& engine) {
  Prefilled result;
  if (this->prefilled) {
    // Only the first accepted call is free of the budget.
    this->core.BudgetOf(this->admitted.pool->name).OnRepeat(LoopNow());
  }
  this->record.OnPrefillSent();
  const TimeMs started = LoopNow();
  HttpCall prefill(this->core.parts.loop, this->core.parts.pool,
                   engine.address);
  const CancelScope scope(this->cancel, [&prefill] { prefill.Cancel(); });
  CallFault fault = co_await this->Start(
      prefill,
      WriteRequest(this->core.parts.endpoints.Prefill(this->DispatchTo(engine)),
                   this->exchange.Body()),
      kReuseIdleMs);
  const TimeMs deadline = this->admitted.deadline;
  if (fault == CallFault::kNone) fault = co_await prefill.ReadHead(deadline);
  std::string body;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string piece;
    fault = co_await prefill.ReadBody(piece, deadline);
    body += piece;
    ended = prefill.Done() && piece.empty();
  }
  result.elapsed_ms = LoopNow() - started;
  const bool answered = fault == CallFault::kNone;
  const int status = answered ? prefill.Head().status : 0;
  LogEvent(EventId::kPrefillFinished,
           {{"request", this->admitted.request.attempt_id},
            {"engine", engine.id},
            {"fault", std::string(NameOf(fault))},
            LogField::Of("status", status),
            LogField::Of("tokens", this->admitted.request.prompt_tokens),
            LogField::Of("elapsed_ms", result.elapsed_ms)});
  if (!answered) co_return result;
  const AnswerClass kind = this->core.parts.endpoints.Classify(
      prefill.Head(), this->admitted.request);
  result.rejected = !kind.success;
  if (!kind.success || !kind.own) co_return result;
  this->prefilled = true;
  const auto handle = this->core.parts.endpoints.ReadHandle(body);
  if (!handle) co_return result;
  this->record.OnPrefillDone();
  result.memory = KvHandle{engine.address, handle.value()};
  co_return result;
}

PlacementRequest GenerationSession::AskFor() const {
  const CallerRequest& request = this->admitted.request;
  const RouteSpec& route = *this->admitted.route;
  const TimeMs now = LoopNow();
  const TimeMs begun = this->exchange.ReceivedAt();
  PlacementRequest ask;
  ask.request_id = this->placement_id;
  ask.team = this->admitted.team;
  ask.priority = this->admitted.priority;
  ask.data_centre = this->core.parts.data_centre;
  const Tokens produced = this->Produced();
  ask.prompt_tokens = request.prompt_tokens + produced;
  ask.max_tokens = std::max<Tokens>(1, request.max_output_tokens - produced);
  if (request.output_hint) {
    ask.hint = std::max<Tokens>(1, *request.output_hint - produced);
  }
  ask.budget_ms = begun + route.first_token_ms - kFirstTokenMarginMs - now;
  const TimeMs leaves_at =
      route.patience_ms > 0
          ? std::min(this->admitted.deadline, begun + route.patience_ms)
          : this->admitted.deadline;
  ask.patience_ms = std::max<DurationMs>(0, leaves_at - now);
  // Memory read elsewhere holds the prompt only, not what was generated.
  ask.direct = produced > 0;
  ask.excluded = this->tried;
  return ask;
}

Tokens GenerationSession::Produced() const {
  const Tokens per_event =
      this->admitted.pool->engine
          ? std::max<Tokens>(1, this->admitted.pool->engine->tokens_per_event)
          : 1;
  return this->splitter.LastId().value_or(0) * per_event;
}

void GenerationSession::Tell(const CellPlacement& placed, CellNews news,
                             const std::string& engine, Tokens tokens,
                             DurationMs measured_ms) {
  CellNotice2 notice;
  notice.news = news;
  notice.cell = placed.cell;
  notice.reservation = placed.placement.reservation;
  notice.request_id = this->placement_id;
  notice.engine = engine;
  notice.tokens = tokens;
  notice.measured_ms = measured_ms;
  this->core.parts.cells.Tell(placed.owner, std::move(notice));
}

}  // namespace limpethaven
