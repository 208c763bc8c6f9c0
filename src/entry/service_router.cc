#include "entry/service_router.h"

#include <algorithm>

#include "edge/log.h"
#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr DurationMs kServiceTimeoutMs = 30'000;
constexpr DurationMs kForwardSlackMs = 2000;
constexpr std::size_t kMaxEndpointsTried = 3;

}  // namespace

ServiceRouter::ServiceRouter(VmId own, std::string secret,
                             ServiceClient& service_client,
                             PeerTransport& peer_transport,
                             const Clock& system_clock)
    : self(std::move(own)),
      fleet_secret(std::move(secret)),
      services(service_client),
      peers(peer_transport),
      clock(system_clock),
      tickets(this->self) {}

Result<std::string> ServiceRouter::MintTicket(std::string_view team) {
  const std::lock_guard lock(this->mutex);
  BOOST_OUTCOME_TRY(ticket, this->tickets.Mint(team, RandomHex(kNonceBytes),
                                               this->clock.Now()));
  LogEvent(EventId::kTicketMinted,
           {{"team", std::string(team)}, {"ticket", ticket.nonce}});
  return EncodeTicket(this->fleet_secret, ticket);
}

Result<ServiceAnswer> ServiceRouter::CallRepeatable(const PoolSpec& pool,
                                                    ServiceCall call) {
  {
    const std::lock_guard lock(this->mutex);
    this->retries.OnRequest(this->clock.Now());
  }
  return this->TryEndpoints(pool, std::move(call), true);
}

Result<ServiceAnswer> ServiceRouter::CallOnce(const PoolSpec& pool,
                                              const std::string& text,
                                              const std::string& team,
                                              ServiceCall call) {
  const auto ticket = DecodeTicket(this->fleet_secret, text);
  if (!ticket) {
    return Error::Of(ErrorKind::kTicketInvalid,
                     "expected a ticket from POST /v1/tickets");
  }
  if (ticket->minter == this->self) {
    return this->RunHere(pool, *ticket, team, std::move(call));
  }
  if (ticket->minter.address == this->self.address) {
    return Error::Of(ErrorKind::kTicketMinterUnreachable,
                     "the process that minted the ticket was replaced");
  }
  return this->Forward(pool, *ticket, text, team, call);
}

Result<std::string> ServiceRouter::AnswerTicketRun(const Configuration& config,
                                                   const std::string& body) {
  BOOST_OUTCOME_TRY(run, ReadJson<TicketRunBody>(body, "forwarded call"));
  const auto ticket = DecodeTicket(this->fleet_secret, run.ticket);
  if (!ticket) {
    return Error::Of(ErrorKind::kTicketInvalid,
                     "the forwarded ticket is not valid");
  }
  const auto pool = config.pools.find(run.pool);
  if (pool == config.pools.end()) {
    return Error::Of(ErrorKind::kNoEndpoint,
                     "pool " + run.pool + " is not known here");
  }
  ServiceCall call{"",
                   run.request_id,
                   run.method,
                   run.path,
                   Base64UrlDecode(run.body),
                   run.headers,
                   kServiceTimeoutMs};
  BOOST_OUTCOME_TRY(
      answer, this->RunHere(pool->second, *ticket, run.team, std::move(call)));
  ServiceAnswer encoded = answer;
  encoded.body = Base64UrlEncode(answer.body);
  return WriteJson(encoded);
}

void ServiceRouter::Tick() {
  const std::lock_guard lock(this->mutex);
  this->tickets.Tick(this->clock.Now());
}

Result<ServiceAnswer> ServiceRouter::RunHere(const PoolSpec& pool,
                                             const Ticket& ticket,
                                             const std::string& team,
                                             ServiceCall call) {
  {
    const std::lock_guard lock(this->mutex);
    BOOST_OUTCOME_TRY(this->tickets.Begin(ticket, team, this->clock.Now()));
  }
  LogEvent(
      EventId::kTicketRun,
      {{"request", call.request_id}, {"team", team}, {"ticket", ticket.nonce}});
  auto answer = this->TryEndpoints(pool, std::move(call), false);
  const std::lock_guard lock(this->mutex);
  if (!answer && answer.error().ran == Ran::kNo) {
    this->tickets.Release(ticket.nonce);
  } else {
    this->tickets.Finish(ticket.nonce);
  }
  return answer;
}

Result<ServiceAnswer> ServiceRouter::Forward(const PoolSpec& pool,
                                             const Ticket& ticket,
                                             const std::string& text,
                                             const std::string& team,
                                             const ServiceCall& call) {
  const TicketRunBody body{text,
                           team,
                           pool.name,
                           call.request_id,
                           call.method,
                           call.path,
                           Base64UrlEncode(call.body),
                           call.headers};
  const auto answer =
      this->peers.Call(ticket.minter.address, "/peer/v1/ticket_run",
                       WriteJson(body), kServiceTimeoutMs + kForwardSlackMs);
  if (!answer) {
    if (answer.error().kind != ErrorKind::kEndpointFailed) {
      return answer.error();
    }
    return Error::Of(ErrorKind::kTicketMinterUnreachable,
                     "the process that minted the ticket cannot be reached");
  }
  BOOST_OUTCOME_TRY(
      encoded, ReadJson<ServiceAnswer>(answer.value(), "forwarded answer"));
  ServiceAnswer decoded = encoded;
  decoded.body = Base64UrlDecode(encoded.body);
  return decoded;
}

Result<ServiceAnswer> ServiceRouter::TryEndpoints(const PoolSpec& pool,
                                                  ServiceCall call,
                                                  bool may_repeat) {
  call.timeout_ms = kServiceTimeoutMs;
  std::vector<std::string> excluded;
  Error last = Error::Of(ErrorKind::kNoEndpoint,
                         "pool " + pool.name + " has no usable endpoint");
  while (excluded.size() < kMaxEndpointsTried) {
    call.address = this->Choose(pool, excluded, call.request_id);
    if (call.address.empty()) break;
    auto answer = this->Send(call);
    if (answer) return answer;
    last = answer.error();
    excluded.push_back(call.address);
    const bool nothing_left = last.ran == Ran::kNo;
    if (!nothing_left && !may_repeat) {
      return Error::Of(
          ErrorKind::kOutcomeUnknown,
          "the endpoint may have received the call: " + last.message);
    }
    const std::lock_guard lock(this->mutex);
    if (!nothing_left && !this->retries.TryRetry(this->clock.Now())) break;
    LogEvent(EventId::kRetry,
             {{"request", call.request_id}, LogField::Of("why", last)});
  }
  return last;
}

std::string ServiceRouter::Choose(const PoolSpec& pool,
                                  const std::vector<std::string>& excluded,
                                  const std::string& request_id) {
  const std::lock_guard lock(this->mutex);
  const TimeMs now = this->clock.Now();
  std::vector<std::string> usable;
  std::ranges::for_each(pool.endpoints, [&](const EndpointSpec& endpoint) {
    const bool tried =
        std::ranges::find(excluded, endpoint.address) != excluded.end();
    if (endpoint.leaving || tried ||
        !this->health.Usable(endpoint.address, now)) {
      return;
    }
    usable.push_back(endpoint.address);
  });
  std::ranges::stable_sort(usable, {}, [this](const std::string& address) {
    const auto row = this->in_flight.find(address);
    return row == this->in_flight.end() ? std::int64_t{0} : row->second;
  });
  if (usable.empty()) return {};
  this->health.OnChosen(usable.front(), now);
  LogEvent(EventId::kRouteDecision,
           {{"request", request_id},
            {"pool", pool.name},
            {"endpoint", usable.front()},
            {"runner_up", usable.size() > 1 ? usable[1] : std::string()},
            {"why", "fewest calls in flight"}});
  return usable.front();
}

Result<ServiceAnswer> ServiceRouter::Send(const ServiceCall& call) {
  {
    const std::lock_guard lock(this->mutex);
    ++this->in_flight[call.address];
  }
  auto answer = this->services.Call(call);
  const std::lock_guard lock(this->mutex);
  --this->in_flight[call.address];
  const TimeMs now = this->clock.Now();
  if (answer) {
    if (this->health.OnSuccess(call.address, now)) {
      LogEvent(EventId::kEndpointReturned, {{"endpoint", call.address}});
    }
  } else if (this->health.OnFailure(call.address, now)) {
    LogWarning(
        EventId::kEndpointEjected,
        {{"endpoint", call.address}, LogField::Of("why", answer.error())});
  }
  return answer;
}

}  // namespace limpethaven
