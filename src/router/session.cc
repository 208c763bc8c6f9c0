#include "router/session.h"

#include <algorithm>

#include "limpethaven/crypto.h"
#include "log/event_log.h"

namespace limpethaven {
namespace {

/// Longest wait for a new connection to an endpoint.
constexpr DurationMs kConnectMs = 300;
/// Idle time after which a connection may have been closed by the endpoint
/// without notice; requests that run once avoid those.
constexpr DurationMs kFreshIdleMs = 500;
constexpr DurationMs kReuseIdleMs = 3000;
/// A caller that names no time waits this long.
constexpr DurationMs kDefaultBudgetMs = 60'000;
/// Without a head after this many objectives, a repeatable call goes elsewhere.
constexpr std::int64_t kSilentObjectives = 2;
/// The same where the route names no objective.
constexpr DurationMs kSilentCallMs = 10'000;
/// A resumable stream without a byte for this long goes on elsewhere.
constexpr DurationMs kSilentStreamMs = 1500;

}  // namespace

Result<Admitted> Admit(RouterCore& core, const Exchange& exchange,
                       const std::string* peer_team) {
  const Configuration& config = *core.config;
  if (config.version == 0) {
    return Error::Of(ErrorKind::kNotReady, "no configuration yet");
  }
  Admitted admitted;
  admitted.config = core.config;
  BOOST_OUTCOME_TRY(request,
                    core.parts.callers.Read(exchange.Head(), exchange.Body()));
  admitted.request = std::move(request);
  const RouteSpec* route =
      core.parts.callers.FindRoute(config, admitted.request);
  if (route == nullptr) {
    return Error::Of(ErrorKind::kUnknownRoute,
                     "no route for " + admitted.request.path);
  }
  admitted.route = route;
  admitted.priority = route->priority;
  if (peer_team != nullptr) {
    admitted.team = *peer_team;
  } else if (!route->open && !config.teams.empty()) {
    if (admitted.request.key.empty()) {
      return Error::Of(ErrorKind::kKeyMissing, "expected a key");
    }
    admitted.key_digest = Sha256Hex(admitted.request.key);
    const TeamSpec* team = config.FindTeamByKeyDigest(admitted.key_digest);
    if (team == nullptr) {
      return Error::Of(ErrorKind::kKeyRejected, "the key is not known");
    }
    admitted.team = team->name;
    admitted.priority = team->priority.value_or(route->priority);
  }
  const std::string& claimed = admitted.request.team;
  if (!claimed.empty() && claimed != admitted.team) {
    return Error::Of(ErrorKind::kTeamMismatch,
                     "the answer belongs to another team");
  }
  admitted.request.team = admitted.team;
  admitted.pool = core.DrawPool(*route);
  if (admitted.pool == nullptr) {
    return Error::Of(ErrorKind::kNoEndpoint, "the route names no pool");
  }
  DurationMs budget = admitted.request.budget_ms.value_or(kDefaultBudgetMs);
  if (route->timeout_ms > 0) budget = std::min(budget, route->timeout_ms);
  admitted.deadline = exchange.ReceivedAt() + budget;
  return admitted;
}

Tokens ChargeOf(const Admitted& admitted) {
  const CallerRequest& request = admitted.request;
  if (request.resumed_attempt) return 0;
  if (request.has_token_counts) {
    return request.prompt_tokens + request.max_output_tokens;
  }
  const auto team = admitted.config->teams.find(admitted.team);
  return team == admitted.config->teams.end() ? 0 : team->second.plain_tokens;
}

bool IsGeneration(const Admitted& admitted) {
  return admitted.pool->engine || !admitted.route->model.empty();
}

Charge::Charge(ShareExchange& share_exchange, std::string charge_id,
               Tokens charged_tokens)
    : shares(&share_exchange),
      id(std::move(charge_id)),
      tokens(charged_tokens) {}

Charge::Charge(Charge&& other) noexcept
    : shares(std::exchange(other.shares, nullptr)),
      id(std::move(other.id)),
      tokens(other.tokens) {}

Charge& Charge::operator=(Charge&& other) noexcept {
  if (this != &other) {
    this->Settle(0);
    this->shares = std::exchange(other.shares, nullptr);
    this->id = std::move(other.id);
    this->tokens = other.tokens;
  }
  return *this;
}

Charge::~Charge() { this->Settle(0); }

void Charge::Settle(Tokens used) {
  ShareExchange* const exchange = std::exchange(this->shares, nullptr);
  if (exchange != nullptr) exchange->Settle(this->id, used);
}

Tokens Charge::Charged() const noexcept { return this->tokens; }

Session::Session(RouterCore& router_core, Exchange& caller_exchange,
                 Admitted admitted_request, Charge team_charge)
    : core(router_core),
      exchange(caller_exchange),
      admitted(std::move(admitted_request)),
      charge(std::move(team_charge)),
      record(this->admitted.route->repeat, this->admitted.route->max_sends) {
  this->record.OnAdmitted();
}

Task<> Session::Serve() {
  const std::string id = this->admitted.request.attempt_id;
  const Result<std::uint64_t> row =
      this->core.active.Add(id, this->admitted.team, this->admitted.key_digest,
                            this->admitted.request.resumed_attempt.has_value(),
                            [this](ErrorKind why) {
                              this->cut = why;
                              this->cancel.Request();
                            });
  if (!row) {
    co_await this->AnswerError(row.error());
    co_return;
  }
  this->exchange.OnDisconnect([this] { this->cancel.Request(); });
  this->core.BudgetOf(this->admitted.pool->name).OnRequest(LoopNow());
  this->LogAccepted();
  std::optional<Error> error = co_await this->Run();
  this->exchange.OnDisconnect(nullptr);
  this->core.active.Remove(id, row.value());
  if (this->cut) {
    error = Error::Of(*this->cut, std::string(RowOf(*this->cut).name));
  }
  this->LogEnd(error);
  this->Count(error);
  if (this->Gone() && !this->cut) {
    this->exchange.Abort();
  } else if (error) {
    co_await this->AnswerError(*error);
  }
  this->SettleCharge();
  this->record.OnDone();
}

Ran Session::MayHaveRun() const noexcept { return this->record.MayHaveRun(); }

Task<SendOutcome> Session::Send(Dispatch dispatch) {
  dispatch.stream = this->stream.get();
  const std::string endpoint = dispatch.endpoint.id;
  const OutgoingCall outgoing = this->core.parts.endpoints.Run(dispatch);
  HttpCall call(this->core.parts.loop, this->core.parts.pool,
                dispatch.endpoint.address);
  const CancelScope scope(this->cancel, [&call] { call.Cancel(); });
  const bool once = this->admitted.route->repeat == RepeatRule::kOnce;
  const DurationMs reuse_ms = once ? kFreshIdleMs : kReuseIdleMs;
  this->progressed = false;
  CallFault fault =
      co_await this->Start(call, outgoing, dispatch.reattach ? 0 : reuse_ms);
  if (fault == CallFault::kNone) {
    fault = co_await call.ReadHead(this->SilenceDeadline(LoopNow()));
  }
  SendOutcome outcome = SendOutcome::kBroken;
  if (fault != CallFault::kNone) {
    outcome = OutcomeOf(call, fault);
  } else {
    const AnswerClass kind = this->core.parts.endpoints.Classify(
        call.Head(), {}, this->admitted.request);
    if (!kind.own) {
      call.Cancel();
    } else if (this->stream && kind.success) {
      outcome = co_await this->PassStream(call);
    } else {
      outcome = co_await this->PassWhole(call);
    }
  }
  if (outcome != SendOutcome::kAnswered && !this->Gone()) {
    LogEvent(EventId::kEndpointCallFailed,
             {{"request", this->admitted.request.attempt_id},
              {"endpoint", endpoint},
              {"outcome", std::string(NameOf(outcome))},
              {"fault", std::string(NameOf(fault))},
              LogField::Of("reused", call.Reused())});
  }
  co_return outcome;
}

bool Session::Gone() const noexcept { return this->cancel.Requested(); }

bool Session::Progressed() const noexcept { return this->progressed; }

NextStep Session::Judge(SendOutcome outcome) {
  RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
  const TimeMs now = LoopNow();
  const bool in_time = now < this->admitted.deadline;
  const NextStep step = this->record.OnOutcome(
      outcome, in_time && !this->Gone() && budget.RetriesLeft(now) >= 1.0);
  if (step == NextStep::kSendAgain && this->record.NextIsRetry()) {
    budget.OnRetry(now);
    this->core.parts.metrics.OnRetry();
    LogEvent(EventId::kRetry,
             {{"request", this->admitted.request.attempt_id},
              {"why", std::string(NameOf(outcome))},
              LogField::Of("sends", this->record.Sends()),
              LogField::Of("budget_left", static_cast<std::int64_t>(
                                              budget.RetriesLeft(now)))});
  }
  return step;
}

Dispatch Session::DispatchTo(const EndpointRecord& endpoint) const {
  Dispatch dispatch{this->exchange.Head(), this->exchange.Body(),
                    this->admitted.request, endpoint};
  dispatch.team = this->admitted.team;
  dispatch.left_ms = this->admitted.deadline - LoopNow();
  dispatch.priority = this->admitted.priority;
  return dispatch;
}

Error Session::Failure(SendOutcome last) const {
  const bool late =
      last == SendOutcome::kSilent || LoopNow() >= this->admitted.deadline;
  const Ran ran = this->record.MayHaveRun();
  const bool once = this->admitted.route->repeat == RepeatRule::kOnce;
  ErrorKind kind = late ? ErrorKind::kDeadline : ErrorKind::kEndpointFailed;
  if (once && ran != Ran::kNo) kind = ErrorKind::kOutcomeUnknown;
  Error error = Error::Of(kind, std::string(NameOf(last)));
  error.ran = ran;
  return error;
}

Task<CallFault> Session::Start(HttpCall& call, const OutgoingCall& outgoing,
                               DurationMs max_idle_ms) {
  const TimeMs deadline = this->admitted.deadline;
  std::string bytes = WriteRequest(outgoing.head, outgoing.body);
  const CallFault fault = co_await call.Send(std::move(bytes), max_idle_ms,
                                             LoopNow() + kConnectMs, deadline);
  co_return fault;
}

SendOutcome Session::OutcomeOf(const HttpCall& failed, CallFault fault) {
  if (!failed.Sent()) return SendOutcome::kNotSent;
  return fault == CallFault::kTimeout ? SendOutcome::kSilent
                                      : SendOutcome::kBroken;
}

TimeMs Session::SilenceDeadline(TimeMs progress_at) const {
  const RouteSpec& route = *this->admitted.route;
  // Silence alone is no reason to end an answer: only what may be sent again is
  // left for another endpoint.
  RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
  const bool elsewhere = route.repeat != RepeatRule::kOnce &&
                         this->record.Sends() < route.max_sends &&
                         budget.RetriesLeft(LoopNow()) >= 1.0;
  if (!elsewhere) return this->admitted.deadline;
  const DurationMs call_ms = route.first_token_ms > 0
                                 ? kSilentObjectives * route.first_token_ms
                                 : kSilentCallMs;
  return std::min(this->admitted.deadline,
                  progress_at + (this->stream ? kSilentStreamMs : call_ms));
}

Task<SendOutcome> Session::PassStream(HttpCall& call) {
  const bool whole = this->admitted.request.buffered;
  if (!this->exchange.ResponseStarted() && !whole) {
    ResponseHead head = this->core.parts.callers.AnswerHead(
        call.Head(), this->admitted.request);
    this->record.OnAnswerBegun();
    const bool begun = co_await this->exchange.Begin(std::move(head));
    if (!begun) this->cancel.Request();
  }
  CallFault fault = CallFault::kNone;
  bool ended = false;
  TimeMs progress_at = LoopNow();
  while (fault == CallFault::kNone && !this->Gone() && !ended &&
         this->stream->State() == StreamState::kGoesOn) {
    std::string piece;
    fault = co_await call.ReadBody(piece, this->SilenceDeadline(progress_at));
    ended = fault == CallFault::kNone && call.Done() && piece.empty();
    const std::optional<std::int64_t> last_event = this->stream->LastEvent();
    std::string events = this->stream->Feed(piece);
    if (events.empty()) continue;
    // Keep-alives are no progress: an engine may stall and still send them.
    const bool progress = this->stream->LastEvent() != last_event;
    if (progress) progress_at = LoopNow();
    if (progress && !this->first_event_seen) {
      this->first_event_seen = true;
      this->core.parts.metrics.OnFirstEvent(LoopNow() -
                                            this->exchange.ReceivedAt());
    }
    this->progressed = this->progressed || progress;
    if (progress && this->on_progress) this->on_progress();
    if (whole) continue;
    const bool sent = co_await this->exchange.Send(std::move(events));
    if (!sent) this->cancel.Request();
  }
  this->stream->OnEnd(ended);
  if (this->stream->State() == StreamState::kSuperseded) {
    this->cut = ErrorKind::kSuperseded;
    this->cancel.Request();
  }
  if (!this->stream->Whole() || this->Gone()) {
    call.Cancel();
    co_return OutcomeOf(call, fault);
  }
  std::string ending = this->stream->Ending();
  if (whole) {
    co_await this->exchange.Answer(this->core.parts.callers.AnswerHead(
                                       call.Head(), this->admitted.request),
                                   std::move(ending));
  } else {
    co_await this->exchange.Send(std::move(ending));
    co_await this->exchange.End();
  }
  co_return SendOutcome::kAnswered;
}

Task<SendOutcome> Session::PassWhole(HttpCall& call) {
  std::string body;
  CallFault fault = CallFault::kNone;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string piece;
    fault = co_await call.ReadBody(piece, this->admitted.deadline);
    body += piece;
    ended = call.Done() && piece.empty();
  }
  const AnswerClass kind = this->core.parts.endpoints.Classify(
      call.Head(), body, this->admitted.request);
  if (kind.not_run || kind.other_endpoint) co_return SendOutcome::kNotRun;
  if (fault != CallFault::kNone) co_return OutcomeOf(call, fault);
  if (kind.superseded) {
    this->cut = ErrorKind::kSuperseded;
    this->cancel.Request();
    co_return SendOutcome::kBroken;
  }
  // A stream takes nothing but a stream.
  if (this->exchange.ResponseStarted() ||
      (this->stream && !kind.final_failure)) {
    co_return SendOutcome::kBroken;
  }
  const bool repeatable =
      this->admitted.route->repeat != RepeatRule::kOnce &&
      this->record.Sends() < this->admitted.route->max_sends &&
      this->core.BudgetOf(this->admitted.pool->name).RetriesLeft(LoopNow()) >=
          1.0;
  if (!kind.success && repeatable) co_return SendOutcome::kFailed;
  co_await this->exchange.Answer(
      this->core.parts.callers.AnswerHead(call.Head(), this->admitted.request),
      std::move(body));
  co_return SendOutcome::kAnswered;
}

Task<> Session::AnswerError(const Error& error) {
  if (!this->exchange.ResponseStarted()) {
    co_await this->exchange.Answer(this->core.parts.callers.RefusalHead(error),
                                   this->core.parts.callers.RefusalBody(error));
    co_return;
  }
  std::optional<std::string> ending =
      this->core.parts.callers.StreamRefusal(error);
  if (!ending) {
    this->exchange.Abort();
    co_return;
  }
  co_await this->exchange.Send(std::move(*ending));
  co_await this->exchange.End();
}

void Session::Count(const std::optional<Error>& error) const {
  std::string outcome = "answered";
  if (error) outcome = RowOf(error->kind).name;
  if (this->Gone() && !this->cut) outcome = "caller_gone";
  Metrics& metrics = this->core.parts.metrics;
  metrics.OnEnd(this->stream ? "generation" : "plain", outcome,
                LoopNow() - this->exchange.ReceivedAt());
  if (this->stream) metrics.OnTokens(this->stream->Produced());
}

void Session::LogAccepted() const {
  const CallerRequest& request = this->admitted.request;
  LogEvent(EventId::kRequestAccepted,
           {{"request", request.attempt_id},
            {"team", this->admitted.team},
            {"route", this->admitted.route->name.empty()
                          ? this->admitted.route->path
                          : this->admitted.route->name},
            LogField::Of("version", this->admitted.config->version),
            LogField::Of("prompt", request.prompt_tokens),
            LogField::Of("max_output", request.max_output_tokens),
            LogField::Of("hint", request.output_hint.value_or(-1)),
            LogField::Of("left_ms", this->admitted.deadline - LoopNow())});
}

void Session::LogEnd(const std::optional<Error>& error) const {
  const std::string& id = this->admitted.request.attempt_id;
  const std::string endpoint =
      this->tried.empty() ? std::string() : this->tried.back();
  const DurationMs elapsed = LoopNow() - this->exchange.ReceivedAt();
  const Tokens produced = this->stream ? this->stream->Produced() : 0;
  if (this->Gone() && !this->cut) {
    LogEvent(EventId::kRequestCancelled,
             {{"request", id},
              {"phase", std::string(NameOf(this->record.Phase()))},
              {"endpoint", endpoint},
              LogField::Of("sends", this->record.Sends()),
              LogField::Of("elapsed_ms", elapsed)});
    return;
  }
  if (error) {
    LogEvent(RowOf(error->kind).event,
             {{"request", id},
              {"team", this->admitted.team},
              {"kind", std::string(RowOf(error->kind).name)},
              {"ran", std::string(NameOf(error->ran))},
              {"phase", std::string(NameOf(this->record.Phase()))},
              {"endpoint", endpoint},
              LogField::Of("sends", this->record.Sends()),
              LogField::Of("elapsed_ms", elapsed),
              {"why", error->message}});
    return;
  }
  LogEvent(EventId::kRequestFinished,
           {{"request", id},
            {"team", this->admitted.team},
            {"endpoint", endpoint},
            LogField::Of("sends", this->record.Sends()),
            LogField::Of("tokens", produced),
            LogField::Of("elapsed_ms", elapsed)});
}

}  // namespace limpethaven
