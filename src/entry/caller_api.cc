#include "entry/caller_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "entry/native_callers.h"
#include "limpethaven/crypto.h"
#include "limpethaven/rendezvous.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::string_view kRequestsPath = "/v1/requests/";
constexpr std::string_view kCancelPath = "/peer/v1/cancel";
constexpr DurationMs kCancelTimeoutMs = 500;

ResponseHead JsonHead(int status) {
  ResponseHead head{status, {}};
  head.headers.Add("Content-Type", "application/json");
  return head;
}

}  // namespace

CallerApi::CallerApi(EntryNode& entry_node, std::string secret)
    : node(entry_node),
      tickets(entry_node.gossip.Members().Self(), std::move(secret),
              entry_node.link, entry_node.router) {
  this->node.SetCallerHandler(
      [this](Exchange& exchange) { return this->Answer(exchange); });
  this->node.SetTickHandler([this](TimeMs now) { this->tickets.Tick(now); });
  this->node.link.Handle(std::string(kCancelPath), [this](PeerCall& call) {
    return this->AnswerCancel(call);
  });
}

Task<> CallerApi::Answer(Exchange& exchange) {
  const RequestHead& head = exchange.Head();
  const std::string_view path = PathOf(head.target);
  if (path == "/v1/addresses" && head.method == "GET") {
    co_await this->AnswerAddresses(exchange);
    co_return;
  }
  if (!this->node.Serves()) {
    co_await this->node.router.Refuse(
        exchange, "",
        Error::Of(ErrorKind::kNotReady, "no configuration received yet"));
    co_return;
  }
  if (path == "/v1/tickets" && head.method == "POST") {
    co_await this->MintTicket(exchange);
    co_return;
  }
  if (path.starts_with(kRequestsPath) && head.method == "DELETE") {
    co_await this->CancelRequest(exchange);
    co_return;
  }
  const Configuration& config = *this->node.state.Config();
  const RouteSpec* route = config.FindServiceRoute(path);
  if (route != nullptr && route->repeat == RepeatRule::kOnce) {
    co_await this->tickets.Serve(exchange);
    co_return;
  }
  co_await this->node.router.Serve(exchange);
}

Task<> CallerApi::AnswerAddresses(Exchange& exchange) {
  const std::vector<MemberUpdate> serving =
      this->node.gossip.Members().ServingMembers();
  std::vector<std::string> addresses;
  std::ranges::transform(serving, std::back_inserter(addresses),
                         &MemberUpdate::address);
  const Result<std::string> team = this->TeamOf(exchange.Head());
  // All callers of a team get the same order; without a team it is random.
  const std::string order_key =
      team ? "team/" + team.value() : RandomHex(sizeof(std::uint64_t));
  const std::string& own_address = this->node.settings.callers_address;
  const std::string port = own_address.substr(own_address.rfind(':'));
  json rows = json::array();
  std::ranges::for_each(
      RendezvousOrder(order_key, addresses), [&](const std::string& address) {
        const auto member =
            std::ranges::find(serving, address, &MemberUpdate::address);
        rows.push_back(
            {{"address", address + port},
             {"data_centre", member->data_centre},
             {"weight", std::max<std::int64_t>(1, member->cpu_millicores)}});
      });
  const json answer = {{"addresses", rows},
                       {"ttl_ms", this->node.settings.address_ttl_ms}};
  co_await exchange.Answer(JsonHead(200), answer.dump());
}

Task<> CallerApi::MintTicket(Exchange& exchange) {
  std::string team;
  if (!ApiKeyOf(exchange.Head()).empty()) {
    const Result<std::string> key_team = this->TeamOf(exchange.Head());
    if (!key_team) {
      co_await this->node.router.Refuse(exchange, "", key_team.error());
      co_return;
    }
    team = key_team.value();
  }
  const Result<std::string> ticket = this->tickets.Mint(team);
  if (!ticket) {
    co_await this->node.router.Refuse(exchange, "", ticket.error());
    co_return;
  }
  const json answer = {{"ticket", ticket.value()},
                       {"expires_ms", TicketSettings{}.lifetime_ms},
                       {"address", this->node.settings.callers_address}};
  co_await exchange.Answer(JsonHead(200), answer.dump());
}

Task<> CallerApi::CancelRequest(Exchange& exchange) {
  const Result<std::string> team = this->TeamOf(exchange.Head());
  if (!team) {
    co_await this->node.router.Refuse(exchange, "", team.error());
    co_return;
  }
  const std::string id(
      PathOf(exchange.Head().target).substr(kRequestsPath.size()));
  bool found = this->node.router.Core().active.Cancel(id, team.value());
  const std::string body =
      json({{"request", id}, {"team", team.value()}}).dump();
  const std::vector<std::string> peers =
      this->node.gossip.Members().UsableAddresses();
  for (const std::string& peer : peers) {
    if (found) break;
    if (peer == this->node.settings.ip) continue;
    const Result<std::string> answer = co_await this->node.link.Call(
        peer, std::string(kCancelPath), body, LoopNow() + kCancelTimeoutMs);
    found = answer && answer.value() == "true";
  }
  const json answer = {{"cancelled", found}};
  co_await exchange.Answer(JsonHead(found ? 200 : 404), answer.dump());
}

Task<Result<std::string>> CallerApi::AnswerCancel(PeerCall& call) {
  const json fields = json::parse(call.body, nullptr, false);
  const bool valid = fields.is_object() && fields.contains("request") &&
                     fields["request"].is_string() && fields.contains("team") &&
                     fields["team"].is_string();
  if (!valid) {
    co_return Error::Of(ErrorKind::kBadRequest,
                        "malformed cancel: expected a JSON object with the "
                        "strings request and team");
  }
  const bool found = this->node.router.Core().active.Cancel(
      fields["request"].get<std::string>(), fields["team"].get<std::string>());
  co_return std::string(found ? "true" : "false");
}

Result<std::string> CallerApi::TeamOf(const RequestHead& head) const {
  const std::string key = ApiKeyOf(head);
  if (key.empty()) {
    return Error::Of(ErrorKind::kKeyMissing,
                     "the request has no API key; expected the header "
                     "Authorization: Bearer KEY");
  }
  const TeamSpec* team =
      this->node.state.Config()->FindTeamByKeyDigest(Sha256Hex(key));
  if (team == nullptr) {
    return Error::Of(ErrorKind::kKeyRejected, "the API key belongs to no team");
  }
  return team->name;
}

}  // namespace limpethaven
