#include "entry/caller_api.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "edge/engine_messages.h"
#include "edge/log.h"
#include "edge/sse.h"
#include "limpethaven/crypto.h"
#include "limpethaven/prompt.h"
#include "limpethaven/rendezvous.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kRandomIdBytes = 12;
constexpr const char* kTicketHeader = "Limpethaven-Ticket";
constexpr const char* kRequestIdHeader = "Request-Id";

/// Headers that concern one connection or the caller's proof of identity; lower
/// case.
constexpr std::array<std::string_view, 17> kNotForwarded = {
    "authorization",
    "proxy-authorization",
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "keep-alive",
    "te",
    "upgrade",
    "expect",
    "limpethaven-ticket",
    "request-id",
    "remote_addr",
    "remote_port",
    "local_addr",
    "local_port",
    "accept-encoding"};

std::string LowerCase(std::string_view text) {
  std::string lower;
  std::ranges::transform(text, std::back_inserter(lower),
                         [](unsigned char character) {
                           return static_cast<char>(std::tolower(character));
                         });
  return lower;
}

bool Contains(std::string_view text, std::string_view part) {
  return !part.empty() && text.find(part) != std::string_view::npos;
}

/// Headers to send on. One that holds the caller's key under any name is left
/// out.
std::vector<HttpHeader> ForwardedHeaders(const httplib::Request& request,
                                         std::string_view key) {
  std::vector<HttpHeader> headers;
  std::ranges::for_each(request.headers, [&](const auto& header) {
    const std::string name = LowerCase(header.first);
    if (std::ranges::find(kNotForwarded, name) != kNotForwarded.end()) return;
    if (Contains(header.second, key)) return;
    headers.push_back(HttpHeader{header.first, header.second});
  });
  return headers;
}

Result<void> CheckNoKeyInside(std::string_view text, std::string_view key) {
  if (!Contains(text, key)) return Success();
  return Error::Of(
      ErrorKind::kBadRequest,
      "the request contains the key outside of the Authorization header");
}

std::string ChunkJson(const std::string& id, const std::string& model,
                      std::string_view text, bool last) {
  const json chunk = {
      {"id", id},
      {"object", "text_completion"},
      {"model", model},
      {"choices", json::array({{{"index", 0},
                                {"text", text},
                                {"finish_reason",
                                 last ? json("stop") : json(nullptr)}}})}};
  return chunk.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Writes an answer as server-sent events.
class SseSink final : public AnswerSink {
 public:
  SseSink(httplib::DataSink& data_sink, std::string request_id,
          std::string model_name)
      : out(data_sink),
        id(std::move(request_id)),
        model(std::move(model_name)) {}

  bool OnText(std::string_view text, std::string_view resume_id) override {
    return this->Write(
        FormatSse(SseEvent{std::string(resume_id), "",
                           ChunkJson(this->id, this->model, text, false)}));
  }

  bool OnKeepAlive() override { return this->Write(SseKeepAlive()); }

  void Finish() {
    this->Write(FormatSse(
        SseEvent{"", "", ChunkJson(this->id, this->model, "", true)}));
    this->Write(FormatSse(SseEvent{"", "", "[DONE]"}));
  }

  void Fail(const Error& error) {
    this->Write(FormatSse(SseEvent{"", "error", ToJsonBody(error)}));
  }

 private:
  bool Write(std::string_view text) {
    return this->out.is_writable() && this->out.write(text.data(), text.size());
  }

  httplib::DataSink& out;
  std::string id;
  std::string model;
};

/// Gathers an answer that is sent in one piece.
class CollectSink final : public AnswerSink {
 public:
  bool OnText(std::string_view piece, std::string_view) override {
    this->text += piece;
    return true;
  }
  bool OnKeepAlive() override { return true; }
  [[nodiscard]] const std::string& Text() const noexcept { return this->text; }

 private:
  std::string text;
};

}  // namespace

CallerApi::CallerApi(EntryNode& entry_node) : node(entry_node) {}

void CallerApi::AddRoutes(httplib::Server& routes) {
  const auto bind = [this](void (CallerApi::*method)(const httplib::Request&,
                                                     httplib::Response&)) {
    return [this, method](const httplib::Request& request,
                          httplib::Response& response) {
      (this->*method)(request, response);
    };
  };
  routes.Get("/v1/addresses", bind(&CallerApi::Addresses));
  routes.Post("/v1/tickets", bind(&CallerApi::MintTicket));
  // A POST without a body and its length is refused by the library; a ticket
  // needs neither.
  routes.set_pre_routing_handler([this](const httplib::Request& request,
                                        httplib::Response& response) {
    const bool empty = !request.has_header("Content-Length") &&
                       !request.has_header("Transfer-Encoding");
    if (request.method != "POST" || request.path != "/v1/tickets" || !empty) {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    this->MintTicket(request, response);
    return httplib::Server::HandlerResponse::Handled;
  });
  routes.Post("/v1/completions", bind(&CallerApi::Complete));
  routes.Delete(R"(/v1/requests/([A-Za-z0-9._\-]+))", bind(&CallerApi::Cancel));
  const auto call_service = bind(&CallerApi::CallService);
  routes.Get("/s/.*", call_service);
  routes.Post("/s/.*", call_service);
  routes.Put("/s/.*", call_service);
  routes.Patch("/s/.*", call_service);
  routes.Delete("/s/.*", call_service);
}

void CallerApi::Addresses(const httplib::Request& request,
                          httplib::Response& response) {
  std::vector<std::string> addresses = this->node.gossip->Usable();
  const auto caller = Authenticate(*this->node.config->Snapshot(), request);
  const std::string order_key =
      caller ? "team/" + caller.value().team : NewRequestId();
  addresses = RendezvousOrder(order_key, addresses);
  json rows = json::array();
  std::ranges::for_each(addresses, [&](const std::string& address) {
    rows.push_back(
        {{"address", address + ":" + std::to_string(this->node.settings.port)},
         {"data_centre", this->node.gossip->DataCentreOf(address)},
         {"weight", 1}});
  });
  const json answer = {{"addresses", rows},
                       {"ttl_ms", this->node.settings.address_ttl_ms}};
  response.set_content(answer.dump(), "application/json");
}

void CallerApi::MintTicket(const httplib::Request& request,
                           httplib::Response& response) {
  if (!this->node.Ready()) {
    return this->Refuse(request, response,
                        Error::Of(ErrorKind::kNotReady, "starting"));
  }
  std::string team;
  if (request.has_header("Authorization")) {
    const auto caller = Authenticate(*this->node.config->Snapshot(), request);
    if (!caller) return this->Refuse(request, response, caller.error());
    team = caller.value().team;
  }
  const auto ticket = this->node.router->MintTicket(team);
  if (!ticket) return this->Refuse(request, response, ticket.error());
  const json answer = {
      {"ticket", ticket.value()},
      {"expires_ms", TicketSettings{}.lifetime_ms},
      {"address", this->node.self.address + ":" +
                      std::to_string(this->node.settings.port)}};
  response.set_content(answer.dump(), "application/json");
}

void CallerApi::Complete(const httplib::Request& request,
                         httplib::Response& response) {
  if (request.has_header("Last-Event-ID")) {
    return this->Resume(request, response);
  }
  bool stream = false;
  const auto session = this->Admit(request, stream);
  if (!session) return this->Refuse(request, response, session.error());
  const auto prepared = session.value()->Prepare();
  if (!prepared) return this->Refuse(request, response, prepared.error());
  this->Answer(session.value(), session.value()->Id(), session.value()->Model(),
               stream, response);
}

void CallerApi::Resume(const httplib::Request& request,
                       httplib::Response& response) {
  const auto session = this->AdmitResume(request);
  if (!session) return this->Refuse(request, response, session.error());
  this->node.metrics.CountResumed();
  this->Answer(session.value(), session.value()->Id(), session.value()->Model(),
               true, response);
}

Result<std::shared_ptr<CompletionSession>> CallerApi::Admit(
    const httplib::Request& request, bool& stream) {
  if (!this->node.Ready()) {
    return Error::Of(ErrorKind::kNotReady, "no configuration yet");
  }
  const auto config = this->node.config->Snapshot();
  BOOST_OUTCOME_TRY(caller, Authenticate(*config, request));
  BOOST_OUTCOME_TRY(completion, ParseCompletionRequest(request.body));
  BOOST_OUTCOME_TRY(CheckNoKeyInside(request.body, caller.key));
  stream = completion.stream;
  const RouteSpec* route = config->FindModelRoute(completion.model);
  if (route == nullptr) {
    return Error::Of(ErrorKind::kUnknownRoute,
                     "no route serves the model " + completion.model);
  }
  std::string id = request.get_header_value(kRequestIdHeader);
  if (id.size() > kMaxRequestIdBytes ||
      id.find_first_of("#/ \r\n") != std::string::npos) {
    return Error::Of(ErrorKind::kBadRequest,
                     "Request-Id: expected at most 128 characters without '#', "
                     "'/' and spaces");
  }
  if (id.empty()) id = this->NewRequestId();
  BOOST_OUTCOME_TRY(active,
                    this->node.active.Add(id, caller.team, caller.key_digest));
  const Tokens charge = CountTokens(completion.prompt) + completion.max_tokens;
  const auto charged = this->node.shares->Charge(caller.team, id, charge);
  if (!charged) {
    this->node.active.Remove(*active);
    return charged.error();
  }
  LogEvent(EventId::kRequestAccepted, {{"request", id},
                                       {"team", caller.team},
                                       {"model", completion.model},
                                       LogField::Of("charged", charge)});
  return std::make_shared<CompletionSession>(
      *this->node.session_context,
      SessionRequest{active, completion, config->teams.at(caller.team).weight,
                     route->first_token_ms, route->serve_late, charge});
}

Result<std::shared_ptr<CompletionSession>> CallerApi::AdmitResume(
    const httplib::Request& request) {
  if (!this->node.Ready()) {
    return Error::Of(ErrorKind::kNotReady, "no configuration yet");
  }
  const auto config = this->node.config->Snapshot();
  BOOST_OUTCOME_TRY(caller, Authenticate(*config, request));
  const auto token = DecodeResumeId(this->node.settings.fleet_secret,
                                    request.get_header_value("Last-Event-ID"));
  if (!token) {
    return Error::Of(ErrorKind::kBadRequest,
                     "Last-Event-ID: expected the id of an event");
  }
  if (token->team != caller.team) {
    return Error::Of(ErrorKind::kTeamMismatch,
                     "the answer belongs to another team");
  }
  CompletionRequest completion;
  // With the body at hand the answer can move to another engine; without it, it
  // cannot.
  if (const auto body = ParseCompletionRequest(request.body)) {
    if (token->offset == 0) completion = body.value();
  }
  completion.model = token->model;
  const RouteSpec* route = config->FindModelRoute(token->model);
  if (route == nullptr) {
    return Error::Of(ErrorKind::kUnknownRoute, "the model's route is gone");
  }
  // The connection that this one replaces may still be open here.
  BOOST_OUTCOME_TRY(row,
                    this->node.active.Replace(token->request_id, caller.team,
                                              caller.key_digest));
  LogEvent(EventId::kRequestResumed, {{"request", token->request_id},
                                      {"team", caller.team},
                                      {"engine", token->engine},
                                      LogField::Of("offset", token->offset)});
  auto session = std::make_shared<CompletionSession>(
      *this->node.session_context,
      SessionRequest{row, completion, config->teams.at(caller.team).weight,
                     route->first_token_ms, route->serve_late, 0});
  BOOST_OUTCOME_TRY(session->Attach(*token));
  return session;
}

void CallerApi::Answer(const std::shared_ptr<CompletionSession>& session,
                       const std::string& id, const std::string& model,
                       bool stream, httplib::Response& response) {
  response.set_header(kRequestIdHeader, id);
  if (stream) {
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, session, id, model](std::size_t, httplib::DataSink& out) {
          SseSink sink(out, id, model);
          const auto outcome = session->Deliver(sink);
          if (outcome) {
            sink.Finish();
          } else {
            this->node.metrics.CountRefused(outcome.error().kind);
            LogEvent(RowOf(outcome.error().kind).event,
                     {{"request", id}, LogField::Of("why", outcome.error())});
            sink.Fail(outcome.error());
          }
          out.done();
          return true;
        });
    return;
  }
  CollectSink sink;
  const auto outcome = session->Deliver(sink);
  if (!outcome) {
    this->node.metrics.CountRefused(outcome.error().kind);
    return WriteRefusal(response, outcome.error());
  }
  const Tokens prompt_tokens = session->PromptTokens();
  const Tokens generated = session->Delivered();
  const json answer = {
      {"id", id},
      {"object", "text_completion"},
      {"model", model},
      {"choices",
       json::array(
           {{{"index", 0}, {"text", sink.Text()}, {"finish_reason", "stop"}}})},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", generated},
        {"total_tokens", prompt_tokens + generated}}}};
  response.set_content(answer.dump(), "application/json");
}

void CallerApi::Cancel(const httplib::Request& request,
                       httplib::Response& response) {
  const auto caller = Authenticate(*this->node.config->Snapshot(), request);
  if (!caller) return this->Refuse(request, response, caller.error());
  const std::string id = request.matches[1].str();
  bool found = this->node.active.Cancel(id, caller.value().team);
  const std::string body =
      WriteJson(CancelRequestBody{id, caller.value().team});
  constexpr DurationMs kCancelTimeoutMs = 500;
  for (const std::string& peer : this->node.gossip->Usable()) {
    if (found) break;
    if (peer == this->node.self.address) continue;
    const auto answer = this->node.transport.Call(peer, "/peer/v1/cancel", body,
                                                  kCancelTimeoutMs);
    found = answer && answer.value() == "true";
  }
  const json answer = {{"cancelled", found}};
  response.status = found ? 200 : 404;
  response.set_content(answer.dump(), "application/json");
}

void CallerApi::CallService(const httplib::Request& request,
                            httplib::Response& response) {
  const auto answer = this->Route(request);
  if (!answer) return this->Refuse(request, response, answer.error());
  response.status = answer.value().status;
  response.set_content(answer.value().body, answer.value().content_type.empty()
                                                ? "application/octet-stream"
                                                : answer.value().content_type);
}

Result<ServiceAnswer> CallerApi::Route(const httplib::Request& request) {
  if (!this->node.Ready()) {
    return Error::Of(ErrorKind::kNotReady, "no configuration yet");
  }
  const auto config = this->node.config->Snapshot();
  const RouteSpec* route = config->FindServiceRoute(request.path);
  if (route == nullptr) {
    return Error::Of(ErrorKind::kUnknownRoute,
                     "no route serves " + request.path);
  }
  CallerIdentity caller;
  if (!route->open) {
    BOOST_OUTCOME_TRY(identity, Authenticate(*config, request));
    caller = identity;
    BOOST_OUTCOME_TRY(CheckNoKeyInside(request.target, caller.key));
    BOOST_OUTCOME_TRY(CheckNoKeyInside(request.body, caller.key));
  }
  const PoolSpec& pool = config->pools.at(route->pool);
  const std::string request_id = this->NewRequestId();
  BOOST_OUTCOME_TRY(active, this->node.active.Add(request_id, caller.team,
                                                  caller.key_digest));
  ServiceCall call{"",
                   request_id,
                   request.method,
                   request.target,
                   request.body,
                   ForwardedHeaders(request, caller.key),
                   0};
  auto answer = [&]() -> Result<ServiceAnswer> {
    if (route->repeatable) {
      return this->node.router->CallRepeatable(pool, std::move(call));
    }
    const std::string ticket = request.get_header_value(kTicketHeader);
    if (ticket.empty()) {
      return Error::Of(ErrorKind::kTicketRequired,
                       "this route runs at most once: send a ticket from POST "
                       "/v1/tickets in "
                       "the header Limpethaven-Ticket");
    }
    return this->node.router->CallOnce(pool, ticket, caller.team,
                                       std::move(call));
  }();
  this->node.active.Remove(*active);
  return answer;
}

void CallerApi::Refuse(const httplib::Request& request,
                       httplib::Response& response, const Error& error) {
  this->node.metrics.CountRefused(error.kind);
  LogEvent(RowOf(error.kind).event,
           {{"method", request.method},
            {"path", request.path},
            {"request", request.get_header_value(kRequestIdHeader)},
            LogField::Of("why", error)});
  WriteRefusal(response, error);
}

std::string CallerApi::NewRequestId() const {
  return "r-" + RandomHex(kRandomIdBytes);
}

}  // namespace limpethaven
