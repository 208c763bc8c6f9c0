#include <algorithm>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

constexpr DurationMs kReuseIdleMs = 3000;
/// Left for the way of the first token to the caller.
constexpr DurationMs kFirstTokenMarginMs = 40;
/// Before a broken stream is taken up again at the same endpoint.
constexpr DurationMs kReattachPauseMs = 50;
/// An endpoint that brings nothing new for this long has stalled.
constexpr DurationMs kStallMs = 2000;
/// A caller that is gone may come back over another connection within this
/// time.
constexpr DurationMs kDepartMs = 300;
constexpr DurationMs kDepartCallMs = 500;
constexpr std::size_t kIdBytes = 4;

}  // namespace

GenerationSession::GenerationSession(RouterCore& router_core,
                                     Exchange& caller_exchange,
                                     Admitted admitted_request,
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
  bool goes_on = this->admitted.request.resumed_attempt.has_value();
  while (this->record.MaySend() && !this->Gone()) {
    if (goes_on) {
      goes_on = false;
      last = co_await this->GoOn();
    } else {
      const Result<SendOutcome> outcome = co_await this->RunOnce();
      if (!outcome) {
        refused = outcome.error();
        break;
      }
      last = outcome.value();
    }
    if (this->Gone()) break;
    const NextStep step = this->Judge(last);
    if (step == NextStep::kForward) co_return std::nullopt;
    if (step != NextStep::kSendAgain) break;
    if (!this->admitted.request.resumed_attempt) continue;
    if (this->admitted.request.prompt.empty()) {
      co_return Error::Of(
          ErrorKind::kStreamGone,
          "the answer is no longer held; send the body along to go on "
          "elsewhere");
    }
  }
  Error error = refused ? *refused : this->Failure(last);
  error.ran = this->record.MayHaveRun();
  co_return error;
}

void GenerationSession::SettleCharge() {
  if (this->departed) return;
  Tokens used = this->charge.Charged();
  if (this->record.MayHaveRun() == Ran::kNo) used = 0;
  if (this->core.settings.give_back_unused && this->stream) {
    const Tokens produced = this->stream->Produced();
    const bool nothing = produced == 0 && !this->stream->Whole();
    used = nothing ? 0 : this->admitted.request.prompt_tokens + produced;
  }
  this->charge.Settle(used);
}

Task<SendOutcome> GenerationSession::GoOn() {
  const RunningAttempt& running = *this->admitted.request.resumed_attempt;
  CellPlacement placed;
  placed.cell = running.cell;
  placed.placement.reservation = running.attempt;
  placed.placement.decode = running.endpoint;
  placed.placement.tokens = running.reserved_tokens;
  this->placement_id = this->admitted.request.attempt_id;
  const EndpointRecord* known = this->core.parts.table.Find(running.endpoint);
  if (known == nullptr) co_return SendOutcome::kNotSent;
  const EndpointRecord engine = *known;
  this->stream->OnPlaced(placed.cell, running.attempt, engine.id,
                         running.reserved_tokens);
  this->core.parts.cells.Hold(
      placed, Renewal{running.attempt, this->placement_id, engine.id, 0,
                      running.reserved_tokens, running.reserved_tokens, 0});
  this->tried.push_back(engine.id);
  this->record.OnSend();
  Dispatch dispatch = this->DispatchFor(placed, engine);
  dispatch.reattach = true;
  SendOutcome outcome = co_await this->Send(std::move(dispatch));
  outcome = co_await this->Reattach(placed, engine, outcome);
  this->core.parts.cells.Release(running.attempt);
  if (this->Gone() && this->Depart(placed, engine)) co_return outcome;
  this->Tell(placed,
             outcome == SendOutcome::kAnswered ? CellNews::kFinished
                                               : CellNews::kWithdrawn,
             engine.id, 0, 0);
  co_return outcome;
}

Task<Result<SendOutcome>> GenerationSession::RunOnce() {
  // Logged at the owner too: the request's id, and which placement of it.
  this->placement_id =
      this->admitted.request.attempt_id + "#" + RandomHex(kIdBytes);
  this->record.OnQueued();
  const RouteSpec& route = *this->admitted.route;
  const std::string group =
      route.model.empty() ? this->admitted.pool->name : route.model;
  const Result<CellPlacement> place = co_await this->core.parts.cells.Place(
      group, this->AskFor(), this->cancel);
  if (!place) co_return place.error();
  const CellPlacement& placed = place.value();
  const Placement& placement = placed.placement;
  const EndpointTable& table = this->core.parts.table;
  const EndpointRecord* decode = table.Find(placement.decode);
  if (decode == nullptr || decode->leaving || this->Gone()) {
    this->Tell(placed, CellNews::kWithdrawn, "", 0, 0);
    this->record.OnSend();
    co_return SendOutcome::kNotSent;
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
  const PlacementRequest asked = this->AskFor();
  this->core.parts.cells.Hold(
      placed, Renewal{placement.reservation, this->placement_id, engine.id,
                      asked.prompt_tokens, asked.max_tokens,
                      placement.tokens - asked.prompt_tokens, 0});
  if (this->stream) {
    this->stream->OnPlaced(placed.cell, placement.reservation, engine.id,
                           placement.tokens);
  }
  std::optional<KvHandle> memory;
  bool reached = false;
  const EndpointRecord* prefill = table.Find(placement.prefill);
  if (prefill != nullptr && !prefill->leaving) {
    const EndpointRecord reader = *prefill;
    const Prefilled read = co_await this->ReadPrompt(reader, placed);
    memory = read.memory;
    reached = read.reached;
    this->Tell(placed, memory ? CellNews::kPrefillDone : CellNews::kFailed,
               reader.id, 0, read.elapsed_ms);
    if (!memory) this->tried.push_back(reader.id);
  }
  SendOutcome outcome = SendOutcome::kNotSent;
  // It may have begun to leave while the prompt was read.
  const EndpointRecord* still = table.Find(engine.id);
  const bool leaves = still == nullptr || still->leaving;
  if (leaves || (!memory && !this->core.settings.direct)) {
    this->record.OnSend();
    // Where prompts are read apart from any run, a reading promises nothing.
    const bool counts = reached && !this->core.settings.direct;
    outcome = counts ? SendOutcome::kBroken : SendOutcome::kNotSent;
  } else if (!this->Gone()) {
    outcome = co_await this->Generate(placed, engine, std::move(memory));
  }
  this->core.parts.cells.Release(placement.reservation);
  if (this->Gone() && this->Depart(placed, engine)) co_return outcome;
  const bool whole = outcome == SendOutcome::kAnswered;
  const Tokens produced = this->stream ? this->stream->Produced() : 0;
  this->Tell(placed, whole ? CellNews::kFinished : CellNews::kWithdrawn,
             engine.id, whole ? produced : 0, 0);
  co_return outcome;
}

Task<SendOutcome> GenerationSession::Generate(const CellPlacement& placed,
                                              const EndpointRecord& engine,
                                              std::optional<KvHandle> memory) {
  this->tried.push_back(engine.id);
  const bool fetches = memory.has_value();
  const std::string reader = placed.placement.prefill;
  const std::string reservation = placed.placement.reservation;
  this->on_progress = [this, reservation] {
    this->core.parts.cells.Progress(reservation, this->stream->Produced());
  };
  Dispatch first = this->DispatchFor(placed, engine);
  first.memory = std::move(memory);
  this->record.OnSend();
  SendOutcome outcome = co_await this->Send(std::move(first));
  if (outcome == SendOutcome::kNotRun && fetches && !this->Gone() &&
      this->core.settings.direct) {
    // Either the memory could not be fetched, or the engine is full. The same
    // engine may read the prompt itself: that is no further endpoint.
    this->Tell(placed, CellNews::kHandleFailed, reader, 0, 0);
    RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
    if (budget.TryRetry(LoopNow())) {
      static_cast<void>(this->record.OnOutcome(SendOutcome::kNotSent, false));
      this->record.OnSend();
      outcome = co_await this->Send(this->DispatchFor(placed, engine));
    }
  } else if (fetches && outcome == SendOutcome::kAnswered) {
    this->Tell(placed, CellNews::kHandleServed, reader, 0, 0);
  }
  outcome = co_await this->Reattach(placed, engine, outcome);
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

Task<SendOutcome> GenerationSession::Reattach(const CellPlacement& placed,
                                              const EndpointRecord& engine,
                                              SendOutcome outcome) {
  std::int64_t left = this->core.parts.endpoints.Reattaches();
  TimeMs progress_at = LoopNow();
  const auto broken = [](SendOutcome now) {
    return now == SendOutcome::kBroken || now == SendOutcome::kSilent;
  };
  while (broken(outcome) && left > 0 && !this->Gone()) {
    if (this->Progressed()) progress_at = LoopNow();
    if (LoopNow() - progress_at > kStallMs) break;
    --left;
    co_await SleepFor(this->core.parts.loop, kReattachPauseMs);
    LogEvent(EventId::kStreamReconnected,
             {{"request", this->admitted.request.attempt_id},
              {"engine", engine.id},
              {"why", std::string(NameOf(outcome))}});
    Dispatch dispatch = this->DispatchFor(placed, engine);
    dispatch.reattach = true;
    outcome = co_await this->Send(std::move(dispatch));
    // A new connection that stays silent too: the endpoint has stalled.
    if (outcome == SendOutcome::kSilent && !this->Progressed()) break;
  }
  co_return outcome;
}

bool GenerationSession::Depart(const CellPlacement& placed,
                               const EndpointRecord& engine) {
  Dispatch dispatch = this->DispatchFor(placed, engine);
  dispatch.stream = this->stream.get();
  const std::optional<OutgoingCall> call =
      this->core.parts.endpoints.EndRun(dispatch);
  if (!call) return false;
  this->departed = true;
  struct Departure {
    std::string bytes;
    std::string address;
    std::string request;
    std::string owner;
    CellNotice notice;
    Charge charge;
    Tokens used = 0;
    DurationMs grace_ms = 0;
  };
  auto left = std::make_shared<Departure>();
  left->bytes = WriteRequest(call->head, call->body);
  left->address = engine.address;
  left->request = this->admitted.request.attempt_id;
  left->owner = placed.owner;
  left->notice = this->NoticeOf(placed, CellNews::kFinished, engine.id, 0, 0);
  left->charge = std::move(this->charge);
  left->used = this->admitted.request.prompt_tokens +
               (this->stream ? this->stream->Produced() : 0);
  // A cut was wanted here; only a caller may come back.
  left->grace_ms = this->cut ? 0 : kDepartMs;
  Spawn(this->core.parts.loop, [&core = this->core, left]() -> Task<> {
    co_await SleepFor(core.parts.loop, left->grace_ms);
    const HttpResponse answer =
        co_await FetchResponse(core.parts.loop, core.parts.pool, left->address,
                               left->bytes, LoopNow() + kDepartCallMs);
    const bool ended =
        answer.fault == CallFault::kNone && answer.head.status == 200;
    // Whoever went on with it may use every token that was charged; an engine
    // that did not answer is told again by the cell's owner.
    left->charge.Settle(ended ? left->used : left->charge.Charged());
    const bool answered = answer.fault == CallFault::kNone;
    if (!answered) left->notice.news = CellNews::kWithdrawn;
    if (ended || !answered) core.parts.cells.Tell(left->owner, left->notice);
    LogEvent(EventId::kRunEnded, {{"request", left->request},
                                  {"engine", left->address},
                                  LogField::Of("ended", ended)});
  });
  return true;
}

Task<GenerationSession::Prefilled> GenerationSession::ReadPrompt(
    const EndpointRecord& engine, const CellPlacement& placed) {
  Prefilled result;
  if (this->prefilled) {
    // Only the first accepted call is free of the budget.
    this->core.BudgetOf(this->admitted.pool->name).OnRetry(LoopNow());
  }
  this->record.OnPrefillSent();
  const TimeMs started = LoopNow();
  HttpCall call(this->core.parts.loop, this->core.parts.pool, engine.address);
  const CancelScope scope(this->cancel, [&call] { call.Cancel(); });
  Dispatch dispatch = this->DispatchFor(placed, engine);
  dispatch.stream = this->stream.get();
  const OutgoingCall outgoing = this->core.parts.endpoints.Prefill(dispatch);
  CallFault fault = co_await this->Start(call, outgoing, kReuseIdleMs);
  const TimeMs deadline = this->admitted.deadline;
  if (fault == CallFault::kNone) fault = co_await call.ReadHead(deadline);
  std::string body;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string piece;
    fault = co_await call.ReadBody(piece, deadline);
    body += piece;
    ended = call.Done() && piece.empty();
  }
  result.elapsed_ms = LoopNow() - started;
  result.reached = call.Sent();
  const bool answered = fault == CallFault::kNone;
  const int status = answered ? call.Head().status : 0;
  LogEvent(EventId::kPrefillFinished,
           {{"request", this->admitted.request.attempt_id},
            {"engine", engine.id},
            {"fault", std::string(NameOf(fault))},
            LogField::Of("status", status),
            LogField::Of("tokens", this->admitted.request.prompt_tokens),
            LogField::Of("elapsed_ms", result.elapsed_ms)});
  if (!answered) co_return result;
  const AnswerClass kind = this->core.parts.endpoints.Classify(
      call.Head(), {}, this->admitted.request);
  if (!kind.success || !kind.own) co_return result;
  this->prefilled = true;
  const Result<std::string> handle =
      this->core.parts.endpoints.ReadHandle(body);
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
  const Tokens produced = this->stream ? this->stream->Produced() : 0;
  PlacementRequest ask;
  ask.request_id = this->placement_id;
  ask.team = this->admitted.team;
  const auto team = this->admitted.config->teams.find(this->admitted.team);
  if (team != this->admitted.config->teams.end()) {
    ask.weight = team->second.weight;
  }
  ask.priority = this->admitted.priority;
  ask.data_centre = this->core.parts.data_centre;
  ask.prompt_tokens = request.prompt_tokens + produced;
  ask.max_tokens = std::max<Tokens>(1, request.max_output_tokens - produced);
  if (request.output_hint) {
    ask.hint = std::max<Tokens>(1, *request.output_hint - produced);
  }
  ask.prefix = request.prefix_blocks;
  // An answer that has begun is brought to its end, however late.
  const bool answering = produced > 0 || this->exchange.ResponseStarted();
  const DurationMs elapsed = answering ? 0 : now - begun;
  ask.budget_ms = route.first_token_ms - kFirstTokenMarginMs - elapsed;
  const bool leaves_early = route.patience_ms > 0 && !answering;
  const TimeMs leaves_at = leaves_early ? std::min(this->admitted.deadline,
                                                   begun + route.patience_ms)
                                        : this->admitted.deadline;
  const bool waits = route.patience_ms > 0 || route.serve_late || answering;
  ask.patience_ms = waits ? std::max<DurationMs>(0, leaves_at - now) : 0;
  // Memory read elsewhere holds the prompt only, not what was produced.
  ask.force_local_prefill = this->core.settings.direct && produced > 0;
  ask.excluded = this->tried;
  return ask;
}

Dispatch GenerationSession::DispatchFor(const CellPlacement& placed,
                                        const EndpointRecord& engine) const {
  Dispatch dispatch = this->DispatchTo(engine);
  dispatch.attempt = placed.placement.reservation;
  dispatch.reserved_tokens = placed.placement.tokens;
  return dispatch;
}

CellNotice GenerationSession::NoticeOf(const CellPlacement& placed,
                                       CellNews news, const std::string& engine,
                                       Tokens tokens,
                                       DurationMs measured_ms) const {
  CellNotice notice;
  notice.news = news;
  notice.cell = placed.cell;
  notice.reservation = placed.placement.reservation;
  notice.request_id = this->placement_id;
  notice.engine = engine;
  notice.tokens = tokens;
  notice.measured_ms = measured_ms;
  return notice;
}

void GenerationSession::Tell(const CellPlacement& placed, CellNews news,
                             const std::string& engine, Tokens tokens,
                             DurationMs measured_ms) {
  this->core.parts.cells.Tell(
      placed.owner, this->NoticeOf(placed, news, engine, tokens, measured_ms));
}

}  // namespace limpethaven
