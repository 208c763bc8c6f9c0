#include "router/session.h"

#include <algorithm>

#include "log/event_log.h"

namespace limpethaven {
namespace {

constexpr DurationMs kConnectTimeoutMs = 300;
/// Connections that have been idle for longer are not reused for requests that
/// run at most once: the endpoint may have closed them unnoticed, and such a
/// request cannot be repeated.
constexpr DurationMs kMaxIdleRunOnceMs = 500;
/// Endpoints that may crash under one request before it is given up. The
/// evidence of all requests decides whether its repetitions are refused.
constexpr std::int64_t kMaxCrashes = 2;
/// Longest idle time of a connection that is reused for other requests.
constexpr DurationMs kMaxIdleMs = 3000;
/// A plain call that may be sent again times out when its response has not
/// begun after this many times the route's `first_token_ms`.
constexpr std::int64_t kHeadTimeoutTargetMultiple = 2;
/// Timeout of the start of the response to such a call on routes without
/// `first_token_ms`.
constexpr DurationMs kHeadTimeoutMs = 10'000;

/// Ids of the request's prompt parts, separated by commas.
std::string PartIds(const CallerRequest& request) {
  std::string ids;
  std::ranges::for_each(request.prefix, [&ids](const PromptPart& part) {
    if (!ids.empty()) ids += ',';
    ids += part.id;
  });
  return ids;
}

}  // namespace

Session::Session(RouterCore& router_core, Exchange& caller_exchange,
                 AdmittedRequest admitted_request, Charge team_charge)
    : core(router_core),
      exchange(caller_exchange),
      admitted(std::move(admitted_request)),
      charge(std::move(team_charge)),
      record(this->admitted.route->repeat, this->admitted.route->max_sends) {
  this->record.OnAdmitted();
}

Session::~Session() {
  if (this->reserved_retry) {
    this->core.BudgetOf(this->admitted.pool->name).Release();
  }
}

Task<> Session::Serve() {
  const std::string id = this->admitted.request.attempt_id;
  const Result<std::uint64_t> row = this->core.active.Add(
      id, this->admitted.team, this->admitted.key_digest,
      this->admitted.request.resumed_attempt.has_value(), *this);
  if (!row) {
    co_await this->AnswerError(row.error());
    co_return;
  }
  this->exchange.OnDisconnect([this] { this->cancel.Request(); });
  this->core.BudgetOf(this->admitted.pool->name).OnRequest(LoopNow());
  this->LogAccepted();
  std::optional<Error> error;
  std::exception_ptr fault;
  try {
    error = co_await this->Run();
  } catch (...) {
    fault = std::current_exception();
  }
  if (fault) {
    LogTaskFault(fault);
    error = Error::Of(ErrorKind::kInternal, "a fault inside the process")
                .WithRan(this->record.MayHaveRun());
  }
  this->exchange.OnDisconnect(nullptr);
  this->core.active.Remove(id, row.value());
  if (this->abort_reason) {
    error = Error::Of(*this->abort_reason,
                      std::string(RowOf(*this->abort_reason).name))
                .WithRan(this->record.MayHaveRun());
  }
  this->LogEnd(error);
  this->CountOutcome(error);
  if (this->Cancelled() && !this->abort_reason) {
    this->exchange.Abort();
  } else if (error) {
    co_await this->AnswerError(*error);
  }
  this->SettleCharge();
  this->record.OnDone();
}

Ran Session::MayHaveRun() const noexcept { return this->record.MayHaveRun(); }

void Session::Abort(ErrorKind reason) {
  this->abort_reason = reason;
  this->cancel.Request();
}

bool Session::Waits() const {
  const RequestPhase phase = this->record.Phase();
  return this->record.MayHaveRun() == Ran::kNo &&
         (phase == RequestPhase::kAdmitted || phase == RequestPhase::kQueued);
}

bool Session::AnswerBegun() const { return this->exchange.ResponseStarted(); }

TimeMs Session::Deadline() const { return this->admitted.deadline; }

std::optional<Error> Session::CheckStop() const {
  if (this->record.MayHaveRun() != Ran::kNo ||
      this->exchange.ResponseStarted() ||
      this->core.stop_admission.Admits(this->admitted.deadline)) {
    return std::nullopt;
  }
  return MakeStopError();
}

std::string Session::Fingerprint() const {
  return FingerprintOf(this->admitted, this->exchange);
}

std::vector<std::string> Session::Suspects() const {
  return SuspectParts(this->admitted, this->exchange);
}

std::optional<Error> Session::CheckQuarantine() const {
  if (this->crashes >= kMaxCrashes) {
    return Error::Of(ErrorKind::kPromptQuarantined,
                     "endpoints crashed when they ran this request");
  }
  if (!this->core.parts.quarantine.HasEvidence()) return std::nullopt;
  return this->core.CheckQuarantine(this->Suspects());
}

void Session::NoteServed() {
  PromptQuarantine& quarantine = this->core.parts.quarantine;
  if (!quarantine.HasEvidence()) return;
  quarantine.OnServed(this->Suspects(), LoopNow());
}

Task<SendOutcome> Session::Send(Dispatch dispatch) {
  this->SpendRetry();
  dispatch.stream = this->stream.get();
  const std::string endpoint = dispatch.endpoint.id;
  const OutgoingCall outgoing = this->core.parts.endpoints.Run(dispatch);
  HttpCall call(this->core.parts.loop, this->core.parts.pool,
                dispatch.endpoint.address);
  const CancelScope scope(this->cancel, [&call] { call.Cancel(); });
  const DurationMs max_idle_ms = this->MaxIdleMs(endpoint);
  this->progressed = false;
  this->response_begun = false;
  this->last_answer = AnswerClass{};
  const std::string address = dispatch.endpoint.address;
  CallFault fault = co_await this->Start(call, address, outgoing,
                                         dispatch.reattach ? 0 : max_idle_ms);
  if (fault == CallFault::kNone) {
    fault = co_await call.ReadHead(this->HeadDeadline());
  }
  SendOutcome outcome = SendOutcome::kBroken;
  int status = 0;  // Stays 0 without a response head.
  if (fault != CallFault::kNone) {
    outcome = OutcomeOf(call, fault);
  } else {
    status = call.Head().status;
    AnswerClass answer = this->ClassifyHead(call);
    if (answer.not_run && !answer.identified) {
      this->core.NoteAnonymousRefusal(endpoint);
      // On a used connection it may be a late one of an earlier request, and
      // does not prove that this one has not run.
      const bool once = this->admitted.route->repeat == RepeatRule::kOnce;
      answer.matches_request = !once || !call.Reused();
    }
    if (answer.matches_request) {
      this->last_answer = answer;
      this->core.NoteAnswer(dispatch.endpoint, answer);
      if (this->on_response) this->on_response();
    }
    if (!answer.matches_request) {
      call.Cancel();
    } else if (this->stream && answer.success) {
      this->response_begun = true;
      outcome = co_await this->ForwardStream(call, fault);
    } else {
      outcome = co_await this->ForwardBody(call, fault);
    }
  }
  this->last_fault = fault;
  if (outcome != SendOutcome::kAnswered && !this->Cancelled()) {
    LogEvent(
        EventId::kEndpointCallFailed,
        {{"request", this->admitted.request.attempt_id},
         {"endpoint", endpoint},
         {"outcome", std::string(NameOf(outcome))},
         {"fault", std::string(NameOf(fault))},
         LogField::Of("reused", call.Reused()),
         LogField::Of("sends", this->record.Sends()),
         LogField::Of("status", status),
         LogField::Of("tokens", this->stream ? this->stream->Produced() : 0),
         {"parts", PartIds(this->admitted.request)},
         {"content", this->Fingerprint()}});
  }
  co_return outcome;
}

bool Session::Cancelled() const noexcept { return this->cancel.Requested(); }

bool Session::Progressed() const noexcept { return this->progressed; }

bool Session::ResponseBegun() const noexcept { return this->response_begun; }

const AnswerClass& Session::LastAnswer() const noexcept {
  return this->last_answer;
}

AnswerClass Session::ClassifyHead(HttpCall& call) const {
  AnswerClass answer = this->core.parts.endpoints.Classify(
      call.Head(), {}, this->admitted.request);
  if (!answer.identified) call.DoNotReuse();
  return answer;
}

NextStep Session::DecideNextStep(SendOutcome outcome) {
  RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
  const TimeMs now = LoopNow();
  // A failure was not forwarded because it is to be replaced: whether there is
  // time and a retry for that has been decided.
  const bool may_retry =
      outcome == SendOutcome::kFailed ||
      (now < this->admitted.deadline && budget.RetriesLeft(now) >= 1.0);
  const NextStep step =
      this->record.OnOutcome(outcome, may_retry && !this->Cancelled());
  const bool silent = outcome == SendOutcome::kSilent;
  const std::string endpoint = silent && !this->tried_endpoints.empty()
                                   ? this->tried_endpoints.back()
                                   : std::string();
  if (step == NextStep::kSendAgain && this->record.NextIsRetry()) {
    // The request may wait for a free endpoint before it is sent again.
    budget.Reserve();
    this->reserved_retry = ReservedRetry{endpoint};
    this->core.parts.metrics.OnRetry();
    LogEvent(EventId::kRetry,
             {{"request", this->admitted.request.attempt_id},
              {"why", std::string(NameOf(outcome))},
              LogField::Of("sends", this->record.Sends()),
              LogField::Of("budget_left", static_cast<std::int64_t>(
                                              budget.RetriesLeft(now)))});
  } else if (!endpoint.empty() && this->record.Sends() > 1) {
    // The endpoint may read this retry later than the request was sent first.
    budget.OnRetryAfterSilence(endpoint);
  }
  return step;
}

void Session::SpendRetry() {
  if (!this->reserved_retry) return;
  RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
  const std::string endpoint =
      std::exchange(this->reserved_retry, std::nullopt)->silent_endpoint;
  budget.Release();
  if (endpoint.empty()) {
    budget.OnRetry(LoopNow());
  } else {
    budget.OnRetryAfterSilence(endpoint);
  }
}

Dispatch Session::MakeDispatch(const EndpointRecord& endpoint) const {
  Dispatch dispatch{this->exchange.Head(), this->exchange.Body(),
                    this->admitted.request, endpoint};
  dispatch.team = this->admitted.team;
  dispatch.remaining_ms = this->admitted.deadline - LoopNow();
  dispatch.priority = this->admitted.priority;
  return dispatch;
}

Error Session::MakeError(SendOutcome last) const {
  const bool late =
      last == SendOutcome::kSilent || LoopNow() >= this->admitted.deadline;
  const Ran ran = this->record.MayHaveRun();
  const bool once = this->admitted.route->repeat == RepeatRule::kOnce;
  ErrorKind kind = late ? ErrorKind::kDeadline : ErrorKind::kEndpointFailed;
  if (once && ran != Ran::kNo) kind = ErrorKind::kOutcomeUnknown;
  std::string message(NameOf(last));
  if (this->last_fault != CallFault::kNone) {
    message.append(": ").append(NameOf(this->last_fault));
  }
  Error error = Error::Of(kind, std::move(message));
  error.ran = ran;
  return error;
}

Task<CallFault> Session::Start(HttpCall& call, std::string address,
                               const OutgoingCall& outgoing,
                               DurationMs max_idle_ms) {
  const bool called = std::ranges::find(this->called_addresses, address) !=
                      this->called_addresses.end();
  if (called) max_idle_ms = 0;
  if (!called) this->called_addresses.push_back(std::move(address));
  const TimeMs deadline = this->admitted.deadline;
  std::string bytes = WriteRequest(outgoing.head, outgoing.body);
  const CallFault fault = co_await call.Send(
      std::move(bytes), max_idle_ms, LoopNow() + kConnectTimeoutMs, deadline);
  co_return fault;
}

SendOutcome Session::OutcomeOf(const HttpCall& failed, CallFault fault) {
  if (!failed.Sent()) return SendOutcome::kNotSent;
  return fault == CallFault::kTimeout ? SendOutcome::kSilent
                                      : SendOutcome::kBroken;
}

DurationMs Session::MaxIdleMs(const std::string& endpoint) const {
  if (this->admitted.route->repeat != RepeatRule::kOnce) return kMaxIdleMs;
  // A refusal without an id is proof on a new connection only.
  const bool needs_proof =
      IsGeneration(this->admitted) || this->core.RefusesAnonymously(endpoint);
  return needs_proof ? 0 : kMaxIdleRunOnceMs;
}

bool Session::HasRetry() const {
  const RouteSpec& route = *this->admitted.route;
  RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
  const TimeMs now = LoopNow();
  return route.repeat != RepeatRule::kOnce &&
         this->record.Sends() < route.max_sends &&
         now < this->admitted.deadline && budget.RetriesLeft(now) >= 1.0;
}

bool Session::CanGoOn() const {
  if (this->core.parts.endpoints.MaxReattaches() > 0) return true;
  return std::ranges::any_of(
      this->core.parts.table.Usable(this->admitted.pool->name),
      [this](const EndpointRecord* endpoint) {
        return endpoint->role != PoolRole::kPrefill &&
               std::ranges::find(this->tried_endpoints, endpoint->id) ==
                   this->tried_endpoints.end();
      });
}

bool Session::MaySendAgain() const {
  return this->HasRetry() && this->CanGoOn();
}

TimeMs Session::HeadDeadline() const {
  if (!this->MaySendAgain()) return this->admitted.deadline;
  const RouteSpec& route = *this->admitted.route;
  const DurationMs call_ms =
      route.first_token_ms > 0
          ? kHeadTimeoutTargetMultiple * route.first_token_ms
          : kHeadTimeoutMs;
  const DurationMs stream_ms = StallSettings{}.min_timeout_ms;
  return std::min(this->admitted.deadline,
                  LoopNow() + (this->stream ? stream_ms : call_ms));
}

TimeMs Session::EventDeadline(const StallRule& stall) const {
  return this->HasRetry() ? std::min(this->admitted.deadline, stall.Deadline())
                          : this->admitted.deadline;
}

void Session::CountOutcome(const std::optional<Error>& error) const {
  std::string outcome = "answered";
  if (error) outcome = RowOf(error->kind).name;
  if (this->Cancelled() && !this->abort_reason) outcome = "caller_gone";
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
  const std::string endpoint = this->tried_endpoints.empty()
                                   ? std::string()
                                   : this->tried_endpoints.back();
  const DurationMs elapsed = LoopNow() - this->exchange.ReceivedAt();
  const Tokens produced = this->stream ? this->stream->Produced() : 0;
  if (this->Cancelled() && !this->abort_reason) {
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
