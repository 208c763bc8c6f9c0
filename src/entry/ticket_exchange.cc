#include "entry/ticket_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "entry/native_callers.h"
#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::string_view kTicketRunPath = "/peer/v1/ticket_run";
constexpr std::size_t kNonceBytes = 16;
/// Exceeds the longest timeout of a request, 60 s.
constexpr DurationMs kForwardTimeoutMs = 62'000;

/// A request that a peer has forwarded. The response is buffered, to be
/// returned to that peer.
class ForwardedExchange final : public Exchange {
 public:
  ForwardedExchange(RequestHead request_head, std::string request_body)
      : head(std::move(request_head)), body(std::move(request_body)) {}

  [[nodiscard]] const RequestHead& Head() const noexcept override {
    return this->head;
  }
  [[nodiscard]] const std::string& Body() const noexcept override {
    return this->body;
  }
  [[nodiscard]] TimeMs ReceivedAt() const noexcept override {
    return this->received_at;
  }
  Task<bool> Answer(ResponseHead answer_head, std::string text) override {
    this->response_started = true;
    this->answer = std::move(answer_head);
    this->answer_body = std::move(text);
    co_return true;
  }
  Task<bool> Begin(ResponseHead answer_head) override {
    this->response_started = true;
    this->answer = std::move(answer_head);
    co_return true;
  }
  Task<bool> Send(std::string bytes) override {
    this->answer_body += bytes;
    co_return true;
  }
  Task<bool> End() override { co_return true; }
  void Abort() override { this->aborted = true; }
  [[nodiscard]] bool CallerDisconnected() const noexcept override {
    return false;
  }
  void OnDisconnect(std::function<void()>) override {}
  [[nodiscard]] bool ResponseStarted() const noexcept override {
    return this->response_started;
  }

  ResponseHead answer;
  std::string answer_body;
  bool aborted = false;

 private:
  RequestHead head;
  std::string body;
  TimeMs received_at = LoopNow();
  bool response_started = false;
};

json ToJson(const Headers& headers) {
  json rows = json::array();
  std::ranges::for_each(headers.All(), [&rows](const HttpHeader& header) {
    rows.push_back(json::array({header.name, header.value}));
  });
  return rows;
}

Headers HeadersFromJson(const json& rows) {
  Headers headers;
  std::ranges::for_each(rows, [&headers](const json& row) {
    headers.Add(row.at(0).get<std::string>(), row.at(1).get<std::string>());
  });
  return headers;
}

}  // namespace

TicketExchange::TicketExchange(VmId process_id, std::string secret,
                               PeerLink& peer_link, Router& request_router)
    : self(std::move(process_id)),
      fleet_secret(std::move(secret)),
      link(peer_link),
      router(request_router),
      tickets(this->self) {
  this->link.Handle(std::string(kTicketRunPath), [this](PeerCall& call) {
    return this->AnswerForwarded(call);
  });
}

Result<std::string> TicketExchange::Mint(std::string_view team) {
  BOOST_OUTCOME_TRY(
      ticket, this->tickets.Mint(team, RandomHex(kNonceBytes), LoopNow()));
  LogEvent(EventId::kTicketMinted,
           {{"team", std::string(team)}, {"ticket", ticket.nonce}});
  return EncodeTicket(this->fleet_secret, ticket);
}

void TicketExchange::Tick(TimeMs now) { this->tickets.Tick(now); }

Task<> TicketExchange::Serve(Exchange& exchange) {
  co_await this->RunOrForward(exchange, nullptr);
}

Task<> TicketExchange::RunOrForward(Exchange& exchange,
                                    const std::string* peer_team) {
  const Result<AdmittedRequest> admitted =
      Admit(this->router.Core(), exchange, peer_team);
  if (!admitted) {
    co_await this->router.Refuse(exchange, "", admitted.error());
    co_return;
  }
  const CallerRequest& request = admitted.value().request;
  if (request.ticket.empty()) {
    co_await this->router.Refuse(
        exchange, request.attempt_id,
        Error::Of(ErrorKind::kTicketRequired,
                  "requests of this route run at most once and need a ticket: "
                  "send one from POST /v1/tickets in the header "
                  "Limpethaven-Ticket"));
    co_return;
  }
  const auto ticket = DecodeTicket(this->fleet_secret, request.ticket);
  if (!ticket) {
    co_await this->router.Refuse(
        exchange, request.attempt_id,
        Error::Of(ErrorKind::kTicketInvalid,
                  "the ticket is malformed or its signature is invalid; "
                  "expected a ticket from POST /v1/tickets"));
    co_return;
  }
  if (ticket->minter == this->self) {
    co_await this->RunLocally(exchange, *ticket, peer_team);
    co_return;
  }
  if (ticket->minter.address == this->self.address) {
    co_await this->router.Refuse(
        exchange, request.attempt_id,
        Error::Of(ErrorKind::kTicketMinterUnreachable,
                  "the process that minted the ticket no longer runs; another "
                  "one now has its address " +
                      ticket->minter.address));
    co_return;
  }
  co_await this->Forward(exchange, ticket->minter.address,
                         admitted.value().team);
}

Task<> TicketExchange::RunLocally(Exchange& exchange, Ticket ticket,
                                  const std::string* peer_team) {
  Result<AdmittedRequest> admitted =
      Admit(this->router.Core(), exchange, peer_team);
  if (!admitted) {
    co_await this->router.Refuse(exchange, "", admitted.error());
    co_return;
  }
  const std::string id = admitted.value().request.attempt_id;
  const std::string team = admitted.value().team;
  const Result<void> begun = this->tickets.Begin(ticket, team, LoopNow());
  if (!begun) {
    co_await this->router.Refuse(exchange, id, begun.error());
    co_return;
  }
  LogEvent(EventId::kTicketRun,
           {{"request", id}, {"team", team}, {"ticket", ticket.nonce}});
  PlainSession session(this->router.Core(), exchange,
                       std::move(admitted.value()), Charge());
  co_await session.Serve();
  if (session.MayHaveRun() == Ran::kNo) {
    this->tickets.Release(ticket.nonce);
  } else {
    this->tickets.Finish(ticket.nonce);
  }
}

Task<> TicketExchange::Forward(Exchange& exchange, std::string minter,
                               std::string team) {
  const RequestHead& head = exchange.Head();
  Headers headers = head.headers;
  // This process has checked the API key, so the minter gets the team instead.
  headers.Remove("Authorization");
  const json forwarded = {{"method", head.method},
                          {"target", head.target},
                          {"headers", ToJson(headers)},
                          {"team", team},
                          {"body", Base64UrlEncode(exchange.Body())}};
  const Result<std::string> text =
      co_await this->link.Call(minter, std::string(kTicketRunPath),
                               forwarded.dump(), LoopNow() + kForwardTimeoutMs);
  ResponseHead answer;
  std::string body;
  bool valid = text.has_value();
  if (valid) {
    try {
      const json fields = json::parse(text.value());
      answer.status = fields.at("status").get<int>();
      answer.headers = HeadersFromJson(fields.at("headers"));
      body = Base64UrlDecode(fields.at("body").get<std::string>());
    } catch (const json::exception&) {
      valid = false;
    }
  }
  if (!valid) {
    co_await this->router.Refuse(
        exchange, "",
        Error::Of(ErrorKind::kTicketMinterUnreachable,
                  "the process at " + minter +
                      " that minted the ticket cannot be reached, or its "
                      "answer is malformed"));
    co_return;
  }
  co_await exchange.Answer(std::move(answer), std::move(body));
}

Task<Result<std::string>> TicketExchange::AnswerForwarded(PeerCall& call) {
  RequestHead head;
  std::string body;
  std::string team;
  try {
    const json fields = json::parse(call.body);
    head.method = fields.at("method").get<std::string>();
    head.target = fields.at("target").get<std::string>();
    head.headers = HeadersFromJson(fields.at("headers"));
    body = Base64UrlDecode(fields.at("body").get<std::string>());
    team = fields.at("team").get<std::string>();
  } catch (const json::exception& fault) {
    co_return Error::Of(
        ErrorKind::kBadRequest,
        std::string("malformed forwarded request: ") + fault.what());
  }
  ForwardedExchange exchange(std::move(head), std::move(body));
  // Not forwarded a second time: the peer sent it to the minter's address,
  // where it is run, or refused if another process now has the address.
  co_await this->RunOrForward(exchange, &team);
  if (exchange.aborted) {
    co_return Error::Of(
        ErrorKind::kOutcomeUnknown,
        "the response to the forwarded request was aborted before its end");
  }
  const json answer = {{"status", exchange.answer.status},
                       {"headers", ToJson(exchange.answer.headers)},
                       {"body", Base64UrlEncode(exchange.answer_body)}};
  co_return answer.dump();
}

}  // namespace limpethaven
