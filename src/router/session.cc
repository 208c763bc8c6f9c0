#include "router/session.h"

#include <algorithm>

#include "limpethaven/crypto.h"
#include "log/event_log.h"

namespace limpethaven {
namespace {

constexpr DurationMs kConnectTimeoutMs = 300;
/// Connections that have been idle for longer are not reused for requests that
/// run at most once: the endpoint may have closed them unnoticed, and such a
/// request cannot be repeated.
constexpr DurationMs kMaxIdleRunOnceMs = 500;
/// Longest idle time of a connection that is reused for other requests.
constexpr DurationMs kMaxIdleMs = 3000;
/// Timeout of requests that name none.
constexpr DurationMs kDefaultTimeoutMs = 60'000;
/// A plain call that may be sent again times out when its response has not
/// begun after this many times the route's `first_token_ms`.
constexpr std::int64_t kHeadTimeoutTargetMultiple = 2;
/// Timeout of the start of the response to such a call on routes without
/// `first_token_ms`.
constexpr DurationMs kHeadTimeoutMs = 10'000;

/// Largest body of an answer that is not a stream.
constexpr std::size_t kMaxBodyBytes = 4'194'304;
/// Most bytes of such bodies that the process holds at once.
constexpr std::size_t kMaxBufferedBytes = 25'165'824;

/// Body of an answer that is read completely before it is forwarded.
class BufferedBody {
 public:
  /// @param process_bytes Bytes that all such bodies of the process hold.
  explicit BufferedBody(std::size_t& process_bytes) : held(process_bytes) {}
  ~BufferedBody() { this->held -= this->counted; }
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  /// @returns false when the body or all bodies together exceed their limit.
  [[nodiscard]] bool Append(std::string_view bytes) {
    this->text += bytes;
    this->held += bytes.size();
    this->counted += bytes.size();
    return this->counted <= kMaxBodyBytes && this->held <= kMaxBufferedBytes;
  }
  [[nodiscard]] const std::string& Text() const noexcept { return this->text; }
  [[nodiscard]] std::string Take() { return std::move(this->text); }

 private:
  std::size_t& held;
  std::size_t counted = 0;
  std::string text;
};

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

Result<AdmittedRequest> Admit(RouterCore& core, const Exchange& exchange,
                              const std::string* peer_team) {
  const Configuration& config = *core.config;
  if (config.version == 0) {
    return Error::Of(ErrorKind::kNotReady, "no configuration received yet");
  }
  AdmittedRequest admitted;
  admitted.config = core.config;
  BOOST_OUTCOME_TRY(request,
                    core.parts.callers.Read(exchange.Head(), exchange.Body()));
  admitted.request = std::move(request);
  const RouteSpec* route =
      core.parts.callers.FindRoute(config, admitted.request);
  if (route == nullptr) {
    return Error::Of(
        ErrorKind::kUnknownRoute,
        "no route matches the request to " + admitted.request.path);
  }
  admitted.route = route;
  admitted.priority = route->priority;
  if (peer_team != nullptr) {
    admitted.team = *peer_team;
  } else if (!route->open && !config.teams.empty()) {
    if (admitted.request.key.empty()) {
      return Error::Of(ErrorKind::kKeyMissing, "the request has no API key");
    }
    admitted.key_digest = Sha256Hex(admitted.request.key);
    const TeamSpec* team = config.FindTeamByKeyDigest(admitted.key_digest);
    if (team == nullptr) {
      return Error::Of(ErrorKind::kKeyRejected,
                       "the API key belongs to no team");
    }
    admitted.team = team->name;
    admitted.priority = team->priority.value_or(route->priority);
  }
  const std::string& claimed_team = admitted.request.team;
  if (!claimed_team.empty() && claimed_team != admitted.team) {
    return Error::Of(ErrorKind::kTeamMismatch,
                     "the resume token belongs to another team");
  }
  admitted.request.team = admitted.team;
  admitted.pool = core.DrawPool(*route);
  if (admitted.pool == nullptr) {
    return Error::Of(ErrorKind::kNoEndpoint, "the pool of the route for " +
                                                 admitted.request.path +
                                                 " is not configured");
  }
  DurationMs budget = admitted.request.budget_ms.value_or(kDefaultTimeoutMs);
  if (route->timeout_ms > 0) budget = std::min(budget, route->timeout_ms);
  admitted.deadline = exchange.ReceivedAt() + budget;
  return admitted;
}

Tokens ChargeOf(const AdmittedRequest& admitted) {
  const CallerRequest& request = admitted.request;
  if (request.resumed_attempt) return 0;
  if (request.has_token_counts) {
    return request.prompt_tokens + request.max_output_tokens;
  }
  const auto team = admitted.config->teams.find(admitted.team);
  return team == admitted.config->teams.end() ? 0 : team->second.plain_tokens;
}

Error MakeStopError() {
  return Error::Of(ErrorKind::kLeaving,
                   "the process is stopping, and may end before the answer");
}

bool IsGeneration(const AdmittedRequest& admitted) {
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
         {"parts", PartIds(this->admitted.request)}});
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

Task<SendOutcome> Session::ForwardStream(HttpCall& call, CallFault& fault) {
  const bool buffered = this->admitted.request.buffered;
  if (!this->exchange.ResponseStarted() && !buffered) {
    ResponseHead head = this->core.parts.callers.AnswerHead(
        call.Head(), this->admitted.request);
    this->record.OnAnswerBegun();
    const bool begun = co_await this->exchange.Begin(std::move(head));
    if (!begun) this->cancel.Request();
  }
  bool ended = false;
  // Whether the stream has stalled while nothing else could go on with it.
  bool waits_on = false;
  StallRule stall(this->admitted.route->patience_ms);
  stall.OnProgress(LoopNow());
  while (fault == CallFault::kNone && !this->Cancelled() && !ended &&
         this->stream->State() == StreamState::kOpen) {
    std::string chunk;
    const TimeMs deadline =
        waits_on ? this->admitted.deadline : this->EventDeadline(stall);
    fault = co_await call.ReadBody(chunk, deadline);
    if (fault == CallFault::kTimeout && deadline < this->admitted.deadline &&
        !this->MaySendAgain()) {
      waits_on = true;
      fault = CallFault::kNone;
    }
    ended = fault == CallFault::kNone && call.Done() && chunk.empty();
    const std::optional<std::int64_t> last_event = this->stream->LastEvent();
    std::string events = this->stream->Feed(chunk);
    if (events.empty()) continue;
    // Keep-alives are not progress: a stalled engine may still send them.
    const bool progress = this->stream->LastEvent() != last_event;
    if (progress) {
      stall.OnProgress(LoopNow());
      waits_on = false;
    }
    if (progress && !this->first_event_seen) {
      this->first_event_seen = true;
      this->core.parts.metrics.OnFirstEvent(LoopNow() -
                                            this->exchange.ReceivedAt());
    }
    this->progressed = this->progressed || progress;
    if (progress && this->on_progress) this->on_progress();
    if (buffered) continue;
    const bool sent = co_await this->exchange.Send(std::move(events));
    if (!sent) this->cancel.Request();
  }
  this->stream->OnEnd(ended);
  if (this->stream->State() == StreamState::kInvalid) {
    fault = CallFault::kMalformed;
  }
  if (this->stream->State() == StreamState::kSuperseded) {
    this->abort_reason = ErrorKind::kSuperseded;
    this->cancel.Request();
  }
  if (!this->stream->Complete() || this->Cancelled()) {
    call.Cancel();
    co_return OutcomeOf(call, fault);
  }
  std::string ending = this->stream->FinalBytes();
  if (buffered) {
    co_await this->exchange.Answer(this->core.parts.callers.AnswerHead(
                                       call.Head(), this->admitted.request),
                                   std::move(ending));
  } else {
    co_await this->exchange.Send(std::move(ending));
    co_await this->exchange.End();
  }
  co_return SendOutcome::kAnswered;
}

Task<SendOutcome> Session::ForwardBody(HttpCall& call, CallFault& fault) {
  BufferedBody body(this->core.buffered_bytes);
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string chunk;
    fault = co_await call.ReadBody(chunk, this->admitted.deadline);
    ended = call.Done() && chunk.empty();
    if (body.Append(chunk)) continue;
    call.Cancel();
    fault = CallFault::kTooLarge;
  }
  const AnswerClass answer = this->core.parts.endpoints.Classify(
      call.Head(), body.Text(), this->admitted.request);
  if (answer.not_run || answer.address_reassigned) {
    co_return SendOutcome::kNotRun;
  }
  if (fault != CallFault::kNone) co_return OutcomeOf(call, fault);
  if (answer.superseded) {
    this->abort_reason = ErrorKind::kSuperseded;
    this->cancel.Request();
    co_return SendOutcome::kBroken;
  }
  // A caller that expects a stream gets no other response, except a final
  // failure before the stream has begun.
  if (this->exchange.ResponseStarted() ||
      (this->stream && !answer.final_failure)) {
    co_return SendOutcome::kBroken;
  }
  if (!answer.success && this->MaySendAgain()) co_return SendOutcome::kFailed;
  co_await this->exchange.Answer(
      this->core.parts.callers.AnswerHead(call.Head(), this->admitted.request),
      body.Take());
  co_return SendOutcome::kAnswered;
}

Task<> Session::AnswerError(const Error& error) {
  if (!this->exchange.ResponseStarted()) {
    co_await this->exchange.Answer(this->core.parts.callers.ErrorHead(error),
                                   this->core.parts.callers.ErrorBody(error));
    co_return;
  }
  std::optional<std::string> ending =
      this->core.parts.callers.StreamErrorEvent(error);
  if (!ending) {
    this->exchange.Abort();
    co_return;
  }
  co_await this->exchange.Send(std::move(*ending));
  co_await this->exchange.End();
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
