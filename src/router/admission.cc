#include "router/admission.h"

#include <algorithm>

#include "limpethaven/crypto.h"
#include "limpethaven/request_fingerprint.h"

namespace limpethaven {
namespace {

/// Timeout of requests that name none.
constexpr DurationMs kDefaultTimeoutMs = 60'000;

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

std::string FingerprintOf(const AdmittedRequest& admitted,
                          const Exchange& exchange) {
  const RequestHead& head = exchange.Head();
  // A body may stand for a prompt whose parts the caller lists beside it.
  std::string content = exchange.Body();
  std::ranges::for_each(admitted.request.prefix,
                        [&content](const PromptPart& part) {
                          content.append("\n").append(part.id);
                        });
  return RequestFingerprint(head.method, head.target, admitted.team, content);
}

std::vector<std::string> SuspectParts(const AdmittedRequest& admitted,
                                      const Exchange& exchange) {
  std::vector<std::string> parts;
  if (IsGeneration(admitted)) parts = ShareableParts(admitted.request);
  parts.push_back(FingerprintOf(admitted, exchange));
  return parts;
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

}  // namespace limpethaven
