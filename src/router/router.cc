#include "router/router.h"

#include <algorithm>
#include <set>

#include "limpethaven/crypto.h"
#include "limpethaven/event_splitter.h"

namespace limpethaven {
namespace {

constexpr DurationMs kConnectMs = 300;
constexpr DurationMs kReuseIdleMs = 3000;
constexpr DurationMs kDefaultBudgetMs = 30'000;

}  // namespace

struct Serving {
  Exchange& exchange;
  CallerRequest request;
  std::shared_ptr<const Configuration> config;
  const RouteSpec* route = nullptr;
  const PoolSpec* pool = nullptr;
  std::string team;
  std::int64_t priority = 0;
  TimeMs deadline = 0;
  RequestRecord record{RepeatRule::kOnce, 1};
  HttpCall* call = nullptr;  ///< The one in flight.
  std::set<std::string> tried;
  EventSplitter splitter;
  bool gone = false;
};

Router::Router(RouterParts router_parts)
    : parts(std::move(router_parts)),
      config(std::make_shared<const Configuration>()),
      random(RandomBits()) {}

Router::~Router() = default;

void Router::SetConfig(std::shared_ptr<const Configuration> next) {
  this->config = std::move(next);
}

Task<> Router::Serve(Exchange& exchange) {
  auto request = this->parts.callers.Read(exchange.Head());
  if (!request) co_return co_await this->Refuse(exchange, request.error());
  Serving serving{exchange, std::move(request.value()), this->config};
  const auto admitted = this->Admit(serving);
  if (!admitted) co_return co_await this->Refuse(exchange, admitted.error());
  exchange.OnGone([&serving] {
    serving.gone = true;
    if (serving.call != nullptr) serving.call->Cancel();
  });
  if (serving.pool->engine) {
    co_await this->RunGeneration(serving);
  } else {
    co_await this->RunPlain(serving);
  }
  exchange.OnGone(nullptr);
}

Result<void> Router::Admit(Serving& serving) {
  const Configuration& current = *serving.config;
  if (current.version == 0) {
    return Error::Of(ErrorKind::kNotReady, "no configuration yet");
  }
  serving.route =
      current.FindHostRoute(serving.request.host, serving.request.path);
  if (serving.route == nullptr) {
    return Error::Of(ErrorKind::kUnknownRoute, "no route for this path");
  }
  if (!serving.route->open && !current.keys.empty()) {
    const TeamSpec* team =
        current.FindTeamByKeyDigest(Sha256Hex(serving.request.key));
    if (team == nullptr) {
      return Error::Of(ErrorKind::kKeyRejected, "unknown key");
    }
    serving.team = team->name;
    serving.priority = team->priority.value_or(serving.route->priority);
  }
  std::string pool = serving.route->pool;
  if (!serving.route->targets.empty()) {
    std::vector<double> weights;
    std::ranges::transform(
        serving.route->targets, std::back_inserter(weights),
        [](const WeightedPool& target) {
          return static_cast<double>(target.weight);
        });
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    pool = serving.route->targets[draw(this->random)].pool;
  }
  const auto row = current.pools.find(pool);
  if (row == current.pools.end()) {
    return Error::Of(ErrorKind::kNoEndpoint, "no pool " + pool);
  }
  serving.pool = &row->second;
  DurationMs budget = serving.request.budget_ms.value_or(kDefaultBudgetMs);
  if (serving.route->timeout_ms > 0) {
    budget = std::min(budget, serving.route->timeout_ms);
  }
  serving.deadline = serving.exchange.ReceivedAt() + budget;
  serving.record =
      RequestRecord(serving.route->repeat, serving.route->max_sends);
  serving.record.OnAdmitted();
  return Success();
}

const EndpointRecord* Router::Choose(const Serving& serving, PoolRole role) {
  const std::vector<const EndpointRecord*> usable =
      this->parts.table.Usable(serving.pool->name);
  const EndpointRecord* best = nullptr;
  double best_cost = 0;
  std::uniform_real_distribution<double> jitter(0, 1e-3);
  for (const EndpointRecord* endpoint : usable) {
    if (endpoint->role != role || serving.tried.contains(endpoint->id)) {
      continue;
    }
    const auto loaded = this->load.find(endpoint->id);
    const double work =
        loaded == this->load.end() ? 0 : static_cast<double>(loaded->second);
    const double near =
        endpoint->data_centre == this->parts.data_centre ? 0 : 0.01;
    const double cost = work + near + jitter(this->random);
    if (best == nullptr || cost < best_cost) {
      best = endpoint;
      best_cost = cost;
    }
  }
  return best;
}

Task<> Router::RunPlain(Serving& serving) {
  Error last = Error::Of(ErrorKind::kNoEndpoint, "no endpoint");
  while (serving.record.MaySend() && !serving.gone) {
    const EndpointRecord* chosen = this->Choose(serving, PoolRole::kService);
    if (chosen == nullptr) break;
    const EndpointRecord endpoint = *chosen;
    serving.tried.insert(endpoint.id);
    Dispatch dispatch{serving.exchange.Head(), serving.request, endpoint,
                      serving.team, serving.deadline - LoopNow(),
                      serving.priority, std::nullopt, std::nullopt};
    ++this->load[endpoint.id];
    serving.record.OnSend();
    const SendOutcome outcome = co_await this->Forward(serving, dispatch);
    --this->load[endpoint.id];
    const NextStep step = serving.record.OnOutcome(outcome, true);
    if (step == NextStep::kForward) co_return;
    if (step == NextStep::kBreakOff) co_return serving.exchange.Abort();
    last = Error::Of(outcome == SendOutcome::kSilent
                         ? ErrorKind::kDeadline
                         : ErrorKind::kEndpointFailed,
                     "endpoint failed");
    if (step != NextStep::kSendAgain) break;
  }
  if (serving.gone) co_return serving.exchange.Abort();
  last.ran = serving.record.MayHaveRun();
  co_await this->Refuse(serving.exchange, last);
}

Task<> Router::RunGeneration(Serving& serving) {
  Error last = Error::Of(ErrorKind::kNoEndpoint, "no endpoint");
  while (serving.record.MaySend() && !serving.gone) {
    const EndpointRecord* chosen = this->Choose(serving, PoolRole::kDecode);
    if (chosen == nullptr) break;
    const EndpointRecord endpoint = *chosen;
    serving.tried.insert(endpoint.id);
    const Tokens tokens =
        serving.request.prompt_tokens + serving.request.max_output_tokens;
    this->load[endpoint.id] += tokens;
    std::optional<KvHandle> memory;
    if (!serving.splitter.LastId()) memory = co_await this->ReadPrompt(serving);
    if (serving.gone) {
      this->load[endpoint.id] -= tokens;
      break;
    }
    Dispatch dispatch{serving.exchange.Head(), serving.request, endpoint,
                      serving.team, serving.deadline - LoopNow(),
                      serving.priority, memory, serving.splitter.LastId()};
    serving.record.OnSend();
    const SendOutcome outcome = co_await this->Forward(serving, dispatch);
    this->load[endpoint.id] -= tokens;
    const NextStep step = serving.record.OnOutcome(outcome, true);
    if (step == NextStep::kForward) co_return;
    if (step == NextStep::kBreakOff) co_return serving.exchange.Abort();
    last = Error::Of(outcome == SendOutcome::kSilent
                         ? ErrorKind::kDeadline
                         : ErrorKind::kEndpointFailed,
                     "endpoint failed");
    if (step != NextStep::kSendAgain) break;
  }
  if (serving.gone) co_return serving.exchange.Abort();
  last.ran = serving.record.MayHaveRun();
  co_await this->Refuse(serving.exchange, last);
}

Task<std::optional<KvHandle>> Router::ReadPrompt(Serving& serving) {
  const EndpointRecord* chosen = this->Choose(serving, PoolRole::kPrefill);
  if (chosen == nullptr) co_return std::nullopt;
  const EndpointRecord endpoint = *chosen;
  const Tokens tokens = serving.request.prompt_tokens;
  this->load[endpoint.id] += tokens;
  Dispatch dispatch{serving.exchange.Head(), serving.request, endpoint,
                    serving.team, serving.deadline - LoopNow(),
                    serving.priority, std::nullopt, std::nullopt};
  HttpCall call(this->parts.loop, this->parts.pool, endpoint.address);
  serving.call = &call;
  std::string body;
  CallFault fault = co_await call.Send(
      WriteRequest(this->parts.endpoints.Prefill(dispatch),
                   serving.exchange.Body()),
      kReuseIdleMs, LoopNow() + kConnectMs, serving.deadline);
  if (fault == CallFault::kNone) {
    fault = co_await call.ReadHead(serving.deadline);
  }
  while (fault == CallFault::kNone && !call.Done()) {
    std::string piece;
    fault = co_await call.ReadBody(piece, serving.deadline);
    body += piece;
  }
  std::string rest;
  if (fault == CallFault::kNone) {
    fault = co_await call.ReadBody(rest, serving.deadline);
    body += rest;
  }
  serving.call = nullptr;
  this->load[endpoint.id] -= tokens;
  if (fault != CallFault::kNone) co_return std::nullopt;
  const AnswerClass answer =
      this->parts.endpoints.Classify(call.Head(), serving.request);
  if (!answer.success) co_return std::nullopt;
  const auto handle = this->parts.endpoints.ReadHandle(body);
  if (!handle) co_return std::nullopt;
  co_return KvHandle{endpoint.address, handle.value()};
}

Task<SendOutcome> Router::Forward(Serving& serving, const Dispatch& dispatch) {
  Exchange& exchange = serving.exchange;
  HttpCall call(this->parts.loop, this->parts.pool, dispatch.endpoint.address);
  serving.call = &call;
  const DurationMs reuse_ms =
      serving.route->repeat == RepeatRule::kOnce ? 500 : kReuseIdleMs;
  CallFault fault = co_await call.Send(
      WriteRequest(this->parts.endpoints.Run(dispatch), exchange.Body()),
      reuse_ms, LoopNow() + kConnectMs, serving.deadline);
  if (fault == CallFault::kNone) {
    fault = co_await call.ReadHead(serving.deadline);
  }
  const auto outcome_of = [&call](CallFault kind) {
    if (!call.Sent()) return SendOutcome::kNotSent;
    return kind == CallFault::kTimeout ? SendOutcome::kSilent
                                       : SendOutcome::kBroken;
  };
  if (fault != CallFault::kNone) {
    serving.call = nullptr;
    co_return outcome_of(fault);
  }
  const AnswerClass answer =
      this->parts.endpoints.Classify(call.Head(), serving.request);
  if (!answer.own) {
    call.Cancel();
    serving.call = nullptr;
    co_return SendOutcome::kBroken;
  }
  std::string body;
  const bool streams = serving.route->streams && answer.success;
  if (streams) {
    if (!exchange.Begun()) {
      ResponseHead head{call.Head().status,
                        this->parts.endpoints.Passed(call.Head().headers)};
      serving.record.OnBegun();
      const bool begun = co_await exchange.Begin(head);
      if (!begun) serving.gone = true;
    }
    while (fault == CallFault::kNone && !serving.gone) {
      std::string piece;
      fault = co_await call.ReadBody(piece, serving.deadline);
      const std::string events = serving.splitter.Put(piece);
      const bool sent = co_await exchange.Send(events);
      if (!sent) serving.gone = true;
      if (fault == CallFault::kNone && call.Done() && piece.empty()) break;
    }
    serving.call = nullptr;
    serving.splitter.DropPartial();
    if (serving.gone || fault != CallFault::kNone) co_return outcome_of(fault);
    co_await exchange.End();
    co_return SendOutcome::kAnswered;
  }
  while (fault == CallFault::kNone) {
    std::string piece;
    fault = co_await call.ReadBody(piece, serving.deadline);
    body += piece;
    if (call.Done() && piece.empty()) break;
  }
  serving.call = nullptr;
  if (answer.not_run || answer.other_endpoint) co_return SendOutcome::kNotRun;
  if (fault != CallFault::kNone) co_return outcome_of(fault);
  if (exchange.Begun()) co_return SendOutcome::kBroken;
  if (!answer.success && serving.route->repeat == RepeatRule::kRepeatable &&
      serving.record.Sends() < serving.route->max_sends) {
    co_return SendOutcome::kFailed;
  }
  ResponseHead head{call.Head().status,
                    this->parts.endpoints.Passed(call.Head().headers)};
  co_await exchange.Answer(head, body);
  co_return SendOutcome::kAnswered;
}

Task<> Router::Refuse(Exchange& exchange, const Error& error) {
  if (exchange.Begun()) co_return exchange.Abort();
  co_await exchange.Answer(this->parts.callers.RefusalHead(error),
                           this->parts.callers.RefusalBody(error));
}

}  // namespace limpethaven
