#include "entry/completion_session.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "edge/log.h"
#include "limpethaven/config_model.h"
#include "limpethaven/prompt.h"

namespace limpethaven {
namespace {

constexpr std::int64_t kMaxPlacements = 4;
constexpr std::int64_t kMaxReconnects = 6;
constexpr DurationMs kSilenceMs = 1000;
constexpr DurationMs kStallMs = 2000;
constexpr DurationMs kReconnectPauseMs = 50;
constexpr DurationMs kPrefillSlackMs = 2000;
constexpr DurationMs kMinBudgetMs = 50;
/// Longest wait of a request that is served late.
constexpr DurationMs kServeLateWaitMs = 60'000;

std::int64_t PiecesOf(Tokens tokens) {
  return (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

}  // namespace

CompletionSession::CompletionSession(SessionContext& session_context,
                                     SessionRequest session_request)
    : context(session_context),
      request(std::move(session_request)),
      prompt_tokens(CountTokens(this->request.completion.prompt)),
      started_at(this->context.clock.Now()) {}

CompletionSession::~CompletionSession() {
  if (!this->ended) static_cast<void>(this->EndGone());
  this->context.active.Remove(*this->request.active);
}

Result<void> CompletionSession::Prepare() {
  {
    const std::lock_guard lock(this->context.retry_mutex);
    this->context.retry_budget.OnRequest(this->context.clock.Now());
  }
  auto outcome = this->PlaceAndPrefill();
  while (!outcome) {
    const bool retry = outcome.error().kind == ErrorKind::kEndpointFailed &&
                       this->placements < kMaxPlacements &&
                       !this->request.active->CutBy() && this->TakeRetry();
    if (!retry) {
      const Ran ran = this->reached_endpoint ? Ran::kUnknown : Ran::kNo;
      return this->EndBroken(outcome.error().WithRan(ran));
    }
    outcome = this->PlaceAndPrefill();
  }
  return Success();
}

Result<void> CompletionSession::Attach(const ResumeToken& token) {
  this->place =
      ActivePlace{token.cell, token.reservation, token.engine, token.pieces};
  this->request.active->SetPlace(this->place);
  this->guard.emplace(token.request_id, token.attempt, token.offset);
  this->resume_base = EncodeResumeBase(this->context.fleet_secret, token);
  this->attached = true;
  this->last_progress = this->context.clock.Now();
  return Success();
}

Result<void> CompletionSession::Deliver(AnswerSink& answer_sink) {
  this->sink = &answer_sink;
  // Names the answer before its first token, so that it can be resumed from the
  // very start.
  if (!this->sink->OnText(
          "", EncodeResumeId(this->resume_base, this->guard->NextOffset()))) {
    return this->EndGone();
  }
  while (true) {
    this->stop = Stop::kNone;
    const auto outcome =
        this->context.engines.Generate(this->NextCall(), *this);
    if (this->guard->Whole()) {
      this->EndWhole();
      return Success();
    }
    if (this->request.active->CutBy()) return this->EndCut();
    if (this->stop == Stop::kCallerGone || !this->sink->OnKeepAlive()) {
      return this->EndGone();
    }
    const auto recovered = this->Recover(outcome);
    if (!recovered) return this->EndBroken(recovered.error());
  }
}

std::int64_t CompletionSession::Delivered() const noexcept {
  return this->guard ? this->guard->NextOffset() : 0;
}

Tokens CompletionSession::PromptTokens() const noexcept {
  return this->prompt_tokens;
}

const std::string& CompletionSession::Id() const noexcept {
  return this->request.active->Id();
}

const std::string& CompletionSession::Model() const noexcept {
  return this->request.completion.model;
}

bool CompletionSession::OnEvent(const StreamEvent& event) {
  if (this->request.active->CutBy()) {
    this->stop = Stop::kCut;
    return false;
  }
  if (event.superseded) {
    this->stop = Stop::kSuperseded;
    return false;
  }
  const bool first = this->guard->NextOffset() == 0;
  switch (this->guard->Judge(event)) {
    case EventVerdict::kForeign:
    case EventVerdict::kRepeat:
      this->context.metrics.CountDroppedEvent();
      LogEvent(EventId::kStreamEventDropped,
               {{"request", this->request.active->Id()},
                {"event_request", event.request_id},
                LogField::Of("offset", event.offset),
                LogField::Of("expected", this->guard->NextOffset())});
      return true;
    case EventVerdict::kGap:
      this->stop = Stop::kGap;
      return false;
    case EventVerdict::kDeliver:
      break;
  }
  this->attached = true;
  this->attachment = event.attachment;
  this->reconnects = 0;
  this->last_progress = this->context.clock.Now();
  if (first && event.count > 0) {
    this->context.metrics.ObserveFirstToken(
        static_cast<double>(this->Elapsed()));
  }
  this->context.metrics.CountTokens(event.count);
  if (!this->request.completion.prompt.empty()) this->generated += event.text;
  const std::string id =
      EncodeResumeId(this->resume_base, this->guard->NextOffset());
  if (!this->sink->OnText(event.text, id)) {
    this->stop = Stop::kCallerGone;
    return event.last;
  }
  return true;
}

bool CompletionSession::OnIdle() {
  if (this->request.active->CutBy()) {
    this->stop = Stop::kCut;
    return false;
  }
  if (!this->sink->OnKeepAlive()) {
    this->stop = Stop::kCallerGone;
    return false;
  }
  if (this->context.clock.Now() - this->last_progress > kStallMs) {
    this->stop = Stop::kStalled;
    return false;
  }
  return true;
}

Result<void> CompletionSession::PlaceAndPrefill() {
  ++this->placements;
  this->placement_key =
      this->request.active->Id() + "#" + std::to_string(this->placements);
  const std::string prompt = this->request.completion.prompt + this->generated;
  const std::int64_t done = this->Delivered();
  PlacementRequest ask;
  ask.request_id = this->placement_key;
  ask.team = this->request.active->Team();
  ask.weight = this->request.weight;
  ask.prompt_tokens = CountTokens(prompt);
  ask.max_tokens = this->request.completion.max_tokens - done;
  ask.prefix = PrefixBlocks(prompt);
  ask.budget_ms = std::max(
      kMinBudgetMs, done > 0 ? this->request.first_token_ms
                             : this->request.first_token_ms - this->Elapsed());
  const bool serve_late = this->request.serve_late || done > 0;
  ask.patience_ms = serve_late ? kServeLateWaitMs : 0;
  ask.excluded = this->excluded;
  BOOST_OUTCOME_TRY(
      placed, this->context.cells.Place(this->request.completion.model, ask));
  this->Adopt(placed);
  return this->Prefill(prompt);
}

Result<void> CompletionSession::Prefill(const std::string& prompt) {
  const PrefillCall call{
      this->prefill_engine,     this->request.active->Id(),
      this->place->reservation, prompt,
      CountTokens(prompt),      this->request.first_token_ms + kPrefillSlackMs};
  const auto answer = this->context.engines.Prefill(call);
  const bool never_connected =
      !answer && answer.error().kind == ErrorKind::kEndpointFailed &&
      answer.error().ran == Ran::kNo;
  this->reached_endpoint = this->reached_endpoint || !never_connected;
  if (!answer) {
    this->Notify(NoticeKind::kFailed, this->prefill_engine);
    this->excluded.push_back(this->prefill_engine);
    this->Abandon();
    return Error::Of(ErrorKind::kEndpointFailed, answer.error().message);
  }
  this->kv_handle = answer.value().kv_handle;
  this->Notify(NoticeKind::kPrefillDone, this->prefill_engine,
               answer.value().elapsed_ms);
  return Success();
}

void CompletionSession::Adopt(const PlacedRequest& placed) {
  const Placement& placement = placed.placement;
  this->place = ActivePlace{placed.cell, placement.reservation,
                            placement.decode, PiecesOf(placement.tokens)};
  this->request.active->SetPlace(this->place);
  this->prefill_engine = placement.prefill;
  this->attached = false;
  this->attachment = 0;
  this->reconnects = 0;
  this->last_progress = this->context.clock.Now();
  const std::int64_t offset = this->Delivered();
  this->guard.emplace(this->request.active->Id(), placement.reservation,
                      offset);
  const ResumeToken token{this->request.active->Id(),
                          placement.reservation,
                          this->request.active->Team(),
                          this->request.completion.model,
                          placement.decode,
                          placed.cell,
                          placement.reservation,
                          PiecesOf(placement.tokens),
                          offset};
  this->resume_base = EncodeResumeBase(this->context.fleet_secret, token);
  LogEvent(EventId::kRouteDecision, {{"request", this->request.active->Id()},
                                     {"team", this->request.active->Team()},
                                     {"cell", placed.cell},
                                     {"prefill", placement.prefill},
                                     {"decode", placement.decode},
                                     {"runner_up", placement.runner_up},
                                     {"why", placement.reason}});
}

GenerateCall CompletionSession::NextCall() const {
  GenerateCall call;
  call.address = this->place->engine;
  call.request_id = this->request.active->Id();
  call.attempt = this->place->reservation;
  call.kv_source = this->prefill_engine;
  call.kv_handle = this->kv_handle;
  call.prompt_tokens = this->prompt_tokens;
  call.offset = this->guard->NextOffset();
  call.max_tokens = this->request.completion.max_tokens - call.offset;
  call.pieces = this->place->pieces;
  call.resume = this->attached;
  call.expected_attachment = this->attachment;
  call.silence_ms = kSilenceMs;
  return call;
}

Result<void> CompletionSession::Recover(const Result<void>& outcome) {
  const std::string why =
      outcome ? std::string("stream ended early") : outcome.error().message;
  const ErrorKind kind =
      outcome ? ErrorKind::kStreamBroken : outcome.error().kind;
  if (this->stop == Stop::kSuperseded || kind == ErrorKind::kSuperseded) {
    return Error::Of(ErrorKind::kSuperseded,
                     "the caller went on over another connection");
  }
  const bool refused = kind == ErrorKind::kCapacity ||
                       kind == ErrorKind::kStreamGone ||
                       kind == ErrorKind::kCancelled;
  const bool unreachable = !outcome && kind == ErrorKind::kEndpointFailed &&
                           outcome.error().ran == Ran::kNo;
  const bool never_started = !this->attached && (unreachable || refused);
  if (never_started || refused || this->stop == Stop::kStalled ||
      this->reconnects >= kMaxReconnects ||
      (unreachable && this->reconnects > 1)) {
    return this->Move(why);
  }
  // The attempt may be running: attach to it, on a new connection, and never
  // start it twice.
  ++this->reconnects;
  this->attached = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(kReconnectPauseMs));
  LogEvent(EventId::kStreamReconnected,
           {{"request", this->request.active->Id()},
            {"engine", this->place->engine},
            LogField::Of("offset", this->Delivered()),
            {"why", why}});
  return Success();
}

Result<void> CompletionSession::Move(std::string_view why) {
  if (this->request.completion.prompt.empty()) {
    return Error::Of(
        ErrorKind::kStreamGone,
        "the answer is no longer held; send the body along to go on elsewhere");
  }
  const std::string failed = this->place->engine;
  this->Notify(NoticeKind::kFailed, failed);
  this->Abandon();
  this->excluded.push_back(failed);
  Error last = Error::Of(ErrorKind::kStreamBroken, std::string(why));
  while (this->placements < kMaxPlacements && this->TakeRetry()) {
    const auto placed = this->PlaceAndPrefill();
    if (placed) return Success();
    last = placed.error();
  }
  return last.WithRan(Ran::kYes);
}

bool CompletionSession::TakeRetry() {
  const std::lock_guard lock(this->context.retry_mutex);
  if (!this->context.retry_budget.TryRetry(this->context.clock.Now())) {
    return false;
  }
  this->context.metrics.CountRetry();
  return true;
}

void CompletionSession::Abandon() {
  if (!this->place) return;
  this->Notify(NoticeKind::kWithdraw, this->place->engine);
  this->request.active->SetPlace(std::nullopt);
  this->place.reset();
}

void CompletionSession::EndWhole() {
  this->ended = true;
  this->Notify(NoticeKind::kFinish, this->place->engine);
  this->Notify(NoticeKind::kServed, this->place->engine);
  this->context.shares.Settle(this->request.active->Id(),
                              this->prompt_tokens + this->Delivered());
  this->context.metrics.CountFinished(this->request.active->Team());
  LogEvent(EventId::kRequestFinished,
           {{"request", this->request.active->Id()},
            {"team", this->request.active->Team()},
            {"engine", this->place->engine},
            LogField::Of("tokens", this->Delivered()),
            LogField::Of("elapsed_ms", this->Elapsed())});
}

Error CompletionSession::EndCut() {
  this->ended = true;
  const ErrorKind kind = *this->request.active->CutBy();
  if (this->place) {
    this->context.cells.CancelOnEngine(
        CancelCommand{this->place->engine, this->request.active->Id(),
                      this->place->reservation, false});
  }
  this->Abandon();
  this->context.shares.Settle(this->request.active->Id(),
                              this->prompt_tokens + this->Delivered());
  return Error::Of(kind, kind == ErrorKind::kKeyWithdrawn
                             ? "the key was withdrawn"
                             : "the request was cancelled");
}

Error CompletionSession::EndGone() {
  this->ended = true;
  if (this->place) {
    this->context.departures.Add(
        Departure{this->request.active->Id(), this->placement_key, *this->place,
                  this->attachment, this->prompt_tokens + this->Delivered(),
                  this->request.charged, 0});
  } else {
    this->context.shares.Settle(this->request.active->Id(), this->Delivered());
  }
  return Error::Of(ErrorKind::kCancelled, "the caller is gone");
}

Error CompletionSession::EndBroken(Error error) {
  this->ended = true;
  this->Abandon();
  const Tokens delivered = this->Delivered();
  this->context.shares.Settle(
      this->request.active->Id(),
      delivered == 0 ? 0 : this->prompt_tokens + delivered);
  return error;
}

void CompletionSession::Notify(NoticeKind kind, const std::string& engine,
                               DurationMs measured_ms) {
  if (!this->place) return;
  const std::string& id = kind == NoticeKind::kWithdraw
                              ? this->placement_key
                              : this->request.active->Id();
  this->context.cells.Notify(CellNotice{kind, this->place->cell,
                                        this->place->reservation, id, engine,
                                        this->place->pieces, measured_ms});
}

DurationMs CompletionSession::Elapsed() const {
  return this->context.clock.Now() - this->started_at;
}

}  // namespace limpethaven
