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
constexpr DurationMs kDefaultBudgetMs = 30'000;
/// Without a head after this many objectives, a repeatable call goes elsewhere.
constexpr std::int64_t kSilentObjectives = 2;
/// A resumable stream without an event for this long goes on elsewhere.
constexpr DurationMs kSilentStreamMs = 1500;

}  // namespace

Result<Admitted> Admit(RouterCore& core, const Exchange& exchange) {
  Admitted admitted;
  BOOST_OUTCOME_TRY(request, core.parts.callers.Read(exchange.Head()));
  admitted.request = std::move(request);
  admitted.config = core.config;
  const Configuration& config = *admitted.config;
  if (config.version == 0) {
    return Error::Of(ErrorKind::kNotReady, "no configuration yet");
  }
  const RouteSpec* route =
      config.FindHostRoute(admitted.request.host, admitted.request.path);
  if (route == nullptr) {
    return Error::Of(ErrorKind::kUnknownRoute,
                     "no route for " + admitted.request.path);
  }
  admitted.route = route;
  admitted.priority = route->priority;
  if (!route->open && !config.teams.empty()) {
    const TeamSpec* team =
        config.FindTeamByKeyDigest(Sha256Hex(admitted.request.key));
    if (team == nullptr) {
      return Error::Of(ErrorKind::kKeyRejected, "unknown key");
    }
    admitted.team = team->name;
    admitted.priority = team->priority.value_or(route->priority);
  }
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
  if (request.counts_tokens) {
    return request.prompt_tokens + request.max_output_tokens;
  }
  const auto team = admitted.config->teams.find(admitted.team);
  return team == admitted.config->teams.end() ? 0 : team->second.plain_tokens;
}

Session::Session(RouterCore& router_core, Exchange& caller_exchange,
                 Admitted admitted_request)
    : core(router_core),
      exchange(caller_exchange),
      admitted(std::move(admitted_request)),
      record(this->admitted.route->repeat, this->admitted.route->max_sends) {
  this->record.OnAdmitted();
}

Task<Ran> Session::Serve() {
  this->exchange.OnGone([this] { this->cancel.Request(); });
  this->core.BudgetOf(this->admitted.pool->name).OnRequest(LoopNow());
  LogEvent(
      EventId::kRequestAccepted,
      {{"request", this->admitted.request.attempt_id},
       {"team", this->admitted.team},
       {"route", this->admitted.route->name},
       LogField::Of("version", this->admitted.config->version),
       LogField::Of("prompt", this->admitted.request.prompt_tokens),
       LogField::Of("max_output", this->admitted.request.max_output_tokens),
       LogField::Of("hint", this->admitted.request.output_hint.value_or(-1)),
       LogField::Of("left_ms", this->admitted.deadline - LoopNow())});
  const std::optional<Error> error = co_await this->Run();
  this->exchange.OnGone(nullptr);
  const std::string& id = this->admitted.request.attempt_id;
  if (this->Gone()) {
    LogEvent(EventId::kRequestCancelled,
             {{"request", id},
              {"phase", std::string(NameOf(this->record.Phase()))},
              LogField::Of("sends", this->record.Sends())});
    this->exchange.Abort();
  } else if (error) {
    LogEvent(
        EventId::kRequestRefused,
        {{"request", id},
         {"team", this->admitted.team},
         {"kind", std::string(RowOf(error->kind).name)},
         {"ran", std::string(NameOf(error->ran))},
         {"phase", std::string(NameOf(this->record.Phase()))},
         LogField::Of("sends", this->record.Sends()),
         LogField::Of("elapsed_ms", LoopNow() - this->exchange.ReceivedAt()),
         {"why", error->message}});
    if (this->exchange.Begun()) {
      this->exchange.Abort();
    } else {
      co_await this->exchange.Answer(
          this->core.parts.callers.RefusalHead(*error),
          this->core.parts.callers.RefusalBody(*error));
    }
  } else {
    LogEvent(
        EventId::kRequestFinished,
        {{"request", id},
         {"team", this->admitted.team},
         {"route", this->admitted.route->name},
         {"endpoint", this->tried.empty() ? "" : this->tried.back()},
         LogField::Of("sends", this->record.Sends()),
         LogField::Of("last_event", this->splitter.LastId().value_or(-1)),
         LogField::Of("elapsed_ms", LoopNow() - this->exchange.ReceivedAt())});
  }
  const Ran ran = this->record.MayHaveRun();
  this->record.OnDone();
  co_return ran;
}

Task<SendOutcome> Session::Send(const EndpointRecord& endpoint,
                                std::optional<KvHandle> memory) {
  Dispatch dispatch = this->DispatchTo(endpoint);
  dispatch.memory = std::move(memory);
  dispatch.resume_after = this->splitter.LastId();
  this->record.OnSend();
  HttpCall attempt(this->core.parts.loop, this->core.parts.pool,
                   endpoint.address);
  const CancelScope scope(this->cancel, [&attempt] { attempt.Cancel(); });
  const bool once = this->admitted.route->repeat == RepeatRule::kOnce;
  CallFault fault = co_await this->Start(
      attempt,
      WriteRequest(this->core.parts.endpoints.Run(dispatch),
                   this->exchange.Body()),
      once ? kFreshIdleMs : kReuseIdleMs);
  if (fault == CallFault::kNone) {
    fault = co_await attempt.ReadHead(this->SilenceDeadline());
  }
  SendOutcome outcome = SendOutcome::kBroken;
  if (fault != CallFault::kNone) {
    outcome = OutcomeOf(attempt, fault);
  } else {
    const AnswerClass kind = this->core.parts.endpoints.Classify(
        attempt.Head(), this->admitted.request);
    if (!kind.own) {
      attempt.Cancel();
    } else if (this->admitted.route->streams && kind.success) {
      outcome = co_await this->PassStream(attempt);
    } else {
      outcome = co_await this->PassWhole(attempt, kind);
    }
  }
  if (outcome != SendOutcome::kAnswered && !this->Gone()) {
    LogEvent(EventId::kEndpointCallFailed,
             {{"request", this->admitted.request.attempt_id},
              {"endpoint", endpoint.id},
              {"outcome", std::string(NameOf(outcome))},
              {"fault", std::string(NameOf(fault))},
              LogField::Of("reused", attempt.Reused())});
  }
  co_return outcome;
}

bool Session::Gone() const noexcept { return this->cancel.Requested(); }

NextStep Session::Judge(SendOutcome outcome) {
  RetryBudget& budget = this->core.BudgetOf(this->admitted.pool->name);
  const TimeMs now = LoopNow();
  const bool in_time = now < this->admitted.deadline;
  const NextStep step = this->record.OnOutcome(
      outcome, in_time && !this->Gone() && budget.Left(now) >= 1.0);
  if (step == NextStep::kSendAgain && this->record.NextIsRepeat()) {
    budget.OnRepeat(now);
    LogEvent(EventId::kRetry,
             {{"request", this->admitted.request.attempt_id},
              {"why", std::string(NameOf(outcome))},
              LogField::Of("sends", this->record.Sends()),
              LogField::Of("budget_left",
                           static_cast<std::int64_t>(budget.Left(now)))});
  }
  return step;
}

Dispatch Session::DispatchTo(const EndpointRecord& endpoint) const {
  return Dispatch{this->exchange.Head(),
                  this->admitted.request,
                  endpoint,
                  this->admitted.team,
                  this->admitted.deadline - LoopNow(),
                  this->admitted.priority,
                  std::nullopt,
                  std::nullopt};
}

Error Session::Failure(SendOutcome last) const {
  const bool late =
      last == SendOutcome::kSilent || LoopNow() >= this->admitted.deadline;
  Error error =
      Error::Of(late ? ErrorKind::kDeadline : ErrorKind::kEndpointFailed,
                std::string(NameOf(last)));
  error.ran = this->record.MayHaveRun();
  return error;
}

Task<CallFault> Session::Start(HttpCall& attempt, std::string bytes,
                               DurationMs max_idle_ms) {
  const TimeMs deadline = this->admitted.deadline;
  const CallFault fault = co_await attempt.Send(
      std::move(bytes), max_idle_ms, LoopNow() + kConnectMs, deadline);
  co_return fault;
}

SendOutcome Session::OutcomeOf(const HttpCall& failed, CallFault fault) {
  if (!failed.Sent()) return SendOutcome::kNotSent;
  return fault == CallFault::kTimeout ? SendOutcome::kSilent
                                      : SendOutcome::kBroken;
}

TimeMs Session::SilenceDeadline() const {
  const RouteSpec& route = *this->admitted.route;
  const bool elsewhere = route.repeat != RepeatRule::kOnce &&
                         this->record.Sends() < route.max_sends;
  if (!elsewhere) return this->admitted.deadline;
  const DurationMs silence = route.streams
                                 ? kSilentStreamMs
                                 : kSilentObjectives * route.first_token_ms;
  return std::min(this->admitted.deadline,
                  LoopNow() + std::max<DurationMs>(silence, 1));
}

Task<SendOutcome> Session::PassStream(HttpCall& stream) {
  if (!this->exchange.Begun()) {
    ResponseHead head{stream.Head().status,
                      this->core.parts.endpoints.Passed(stream.Head().headers)};
    this->record.OnBegun();
    const bool begun = co_await this->exchange.Begin(std::move(head));
    if (!begun) this->cancel.Request();
  }
  CallFault fault = CallFault::kNone;
  bool ended = false;
  while (fault == CallFault::kNone && !this->Gone() && !ended) {
    std::string piece;
    fault = co_await stream.ReadBody(piece, this->SilenceDeadline());
    ended = fault == CallFault::kNone && stream.Done() && piece.empty();
    std::string events = this->splitter.Put(piece);
    const bool sent = co_await this->exchange.Send(std::move(events));
    if (this->on_progress) this->on_progress();
    if (!sent) this->cancel.Request();
  }
  const bool cut_event = this->splitter.HasPartial();
  this->splitter.DropPartial();
  if (this->Gone() || fault != CallFault::kNone || cut_event) {
    stream.Cancel();
    co_return OutcomeOf(stream, fault);
  }
  co_await this->exchange.End();
  co_return SendOutcome::kAnswered;
}

Task<SendOutcome> Session::PassWhole(HttpCall& answer,
                                     const AnswerClass& kind) {
  std::string body;
  CallFault fault = CallFault::kNone;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string piece;
    fault = co_await answer.ReadBody(piece, this->admitted.deadline);
    body += piece;
    ended = answer.Done() && piece.empty();
  }
  if (kind.not_run || kind.other_endpoint) co_return SendOutcome::kNotRun;
  if (fault != CallFault::kNone) co_return OutcomeOf(answer, fault);
  if (this->exchange.Begun()) co_return SendOutcome::kBroken;
  const bool repeatable =
      this->admitted.route->repeat != RepeatRule::kOnce &&
      this->record.Sends() < this->admitted.route->max_sends &&
      this->core.BudgetOf(this->admitted.pool->name).Left(LoopNow()) >= 1.0;
  if (!kind.success && repeatable) co_return SendOutcome::kFailed;
  ResponseHead head{answer.Head().status,
                    this->core.parts.endpoints.Passed(answer.Head().headers)};
  co_await this->exchange.Answer(std::move(head), std::move(body));
  co_return SendOutcome::kAnswered;
}

}  // namespace limpethaven
