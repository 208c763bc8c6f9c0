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

constexpr std::string_view kRunPath = "/peer/v1/ticket_run";
constexpr std::size_t kNonceBytes = 16;
constexpr DurationMs kForwardTimeoutMs = 62'000;

/// A peer's forwarded call; its answer is gathered instead of sent.
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
    this->begun = true;
    this->answer = std::move(answer_head);
    this->answer_body = std::move(text);
    co_return true;
  }
  Task<bool> Begin(ResponseHead answer_head) override {
    this->begun = true;
    this->answer = std::move(answer_head);
    co_return true;
  }
  Task<bool> Send(std::string bytes) override {
    this->answer_body += bytes;
    co_return true;
  }
  Task<bool> End() override { co_return true; }
  void Abort() override { this->broken = true; }
  [[nodiscard]] bool CallerDisconnected() const noexcept override {
    return false;
  }
  void OnDisconnect(std::function<void()>) override {}
  [[nodiscard]] bool ResponseStarted() const noexcept override {
    return this->begun;
  }

  ResponseHead answer;
  std::string answer_body;
  bool broken = false;

 private:
  RequestHead head;
  std::string body;
  TimeMs received_at = LoopNow();
  bool begun = false;
};

json ToJson(const Headers& headers) {
  json rows = json::array();
  std::ranges::for_each(headers.All(), [&rows](const HttpHeader& header) {
    rows.push_back(json::array({header.name, header.value}));
  });
  return rows;
}

Headers HeadersFrom(const json& rows) {
  Headers headers;
  std::ranges::for_each(rows, [&headers](const json& row) {
    headers.Add(row.at(0).get<std::string>(), row.at(1).get<std::string>());
  });
  return headers;
}

}  // namespace

TicketExchange::TicketExchange(VmId own, std::string secret,
                               PeerLink& peer_link, Router& request_router)
    : self(std::move(own)),
      fleet_secret(std::move(secret)),
      link(peer_link),
      router(request_router),
      tickets(this->self) {
  this->link.Handle(std::string(kRunPath), [this](PeerCall& call) {
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
  co_await this->ServeAs(exchange, nullptr);
}

Task<> TicketExchange::ServeAs(Exchange& exchange,
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
                  "this route runs at most once: send a ticket from POST "
                  "/v1/tickets in the header Limpethaven-Ticket"));
    co_return;
  }
  const auto ticket = DecodeTicket(this->fleet_secret, request.ticket);
  if (!ticket) {
    co_await this->router.Refuse(
        exchange, request.attempt_id,
        Error::Of(ErrorKind::kTicketInvalid,
                  "expected a ticket from POST /v1/tickets"));
    co_return;
  }
  if (ticket->minter == this->self) {
    co_await this->RunHere(exchange, *ticket, peer_team);
    co_return;
  }
  if (ticket->minter.address == this->self.address) {
    co_await this->router.Refuse(
        exchange, request.attempt_id,
        Error::Of(ErrorKind::kTicketMinterUnreachable,
                  "the process that minted the ticket was replaced"));
    co_return;
  }
  co_await this->Forward(exchange, ticket->minter.address,
                         admitted.value().team);
}

Task<> TicketExchange::RunHere(Exchange& exchange, Ticket ticket,
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
  // The key has done its work here; the minter is told the team.
  headers.Remove("Authorization");
  const json ask = {{"method", head.method},
                    {"target", head.target},
                    {"headers", ToJson(headers)},
                    {"team", team},
                    {"body", Base64UrlEncode(exchange.Body())}};
  const Result<std::string> text = co_await this->link.Call(
      minter, std::string(kRunPath), ask.dump(), LoopNow() + kForwardTimeoutMs);
  ResponseHead answer;
  std::string body;
  bool whole = text.has_value();
  if (whole) {
    try {
      const json fields = json::parse(text.value());
      answer.status = fields.at("status").get<int>();
      answer.headers = HeadersFrom(fields.at("headers"));
      body = Base64UrlDecode(fields.at("body").get<std::string>());
    } catch (const json::exception&) {
      whole = false;
    }
  }
  if (!whole) {
    co_await this->router.Refuse(
        exchange, "",
        Error::Of(ErrorKind::kTicketMinterUnreachable,
                  "the process that minted the ticket cannot be reached"));
    co_return;
  }
  co_await exchange.Answer(std::move(answer), std::move(body));
}

Task<Result<std::string>> TicketExchange::AnswerForwarded(PeerCall& call) {
  RequestHead head;
  std::string body;
  std::string team;
  try {
    const json ask = json::parse(call.body);
    head.method = ask.at("method").get<std::string>();
    head.target = ask.at("target").get<std::string>();
    head.headers = HeadersFrom(ask.at("headers"));
    body = Base64UrlDecode(ask.at("body").get<std::string>());
    team = ask.at("team").get<std::string>();
  } catch (const json::exception& fault) {
    co_return Error::Of(ErrorKind::kBadRequest, fault.what());
  }
  ForwardedExchange exchange(std::move(head), std::move(body));
  // A call forwarded to a process that did not mint its ticket ends here.
  co_await this->ServeAs(exchange, &team);
  if (exchange.broken) {
    co_return Error::Of(ErrorKind::kOutcomeUnknown, "the call broke off");
  }
  const json answer = {{"status", exchange.answer.status},
                       {"headers", ToJson(exchange.answer.headers)},
                       {"body", Base64UrlEncode(exchange.answer_body)}};
  co_return answer.dump();
}

}  // namespace limpethaven
