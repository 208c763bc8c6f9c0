#include "load/caller.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

#include "edge/http_client.h"
#include "limpethaven/crypto.h"
#include "limpethaven/prompt.h"
#include "protocol/engine_messages.h"
#include "protocol/sse.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// Read and write timeout of a connection to an entry VM.
constexpr DurationMs kIdleTimeoutMs = 3000;
/// Timeout of a request for the address list, and the delay before the list is
/// requested again when no VM returned one.
constexpr DurationMs kAddressTimeoutMs = 500;
/// A stream that has not ended after this many connections counts as lost.
constexpr std::int64_t kMaxConnectionCount = 12;
constexpr std::chrono::milliseconds kRetryDelay(100);

}  // namespace

/// State of one stream that is kept across its connections.
struct Caller::StreamState {
  std::string last_id;  ///< Id of the last event, from which to resume.
  std::string text;
  std::int64_t tokens = 0;
  bool done = false;
  std::optional<Error> error;
  TimeMs last_token_at = 0;
  double max_gap_ms = 0;  ///< Longest pause between two tokens.
  std::function<void()> on_first_token;
};

Caller::Caller(std::vector<std::string> seed_addresses,
               HistoryWriter& history_writer)
    : seeds(std::move(seed_addresses)), history(history_writer) {}

void Caller::SendCompletion(const LoadRequest& request) {
  HistoryEvent sent;
  sent.tokens = CountTokens(request.prompt);
  sent.max_tokens = request.max_tokens;
  this->Record(HistoryKind::kSent, request, sent);
  StreamState state;
  state.on_first_token = [&] {
    this->Record(HistoryKind::kFirstToken, request, {});
  };
  for (std::int64_t connection = 0; connection < kMaxConnectionCount;
       ++connection) {
    const StreamEnd end = this->ReadStream(request, state);
    HistoryEvent event;
    event.max_tokens = request.max_tokens;
    event.tokens = state.tokens;
    event.max_gap_ms = state.max_gap_ms;
    if (end == StreamEnd::kComplete) {
      event.digest = Sha256Hex(state.text);
      return this->Record(HistoryKind::kWhole, request, event);
    }
    if (end == StreamEnd::kRefused) {
      // A VM refuses with these kinds while it starts or stops; another VM can
      // serve the request.
      const ErrorKind kind = state.error->kind;
      if (kind == ErrorKind::kNotReady || kind == ErrorKind::kLeaving) {
        state.error.reset();
        std::this_thread::sleep_for(kRetryDelay);
        continue;
      }
      event.error = std::string(RowOf(kind).name);
      event.ran = std::string(NameOf(state.error->ran));
      event.detail = state.error->message;
      return this->Record(HistoryKind::kRefused, request, event);
    }
    if (!state.last_id.empty()) {
      this->Record(HistoryKind::kResumed, request, {});
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  this->Record(HistoryKind::kLost, request, {});
}

void Caller::SendTicketedCallTwice(const LoadRequest& request,
                                   const std::string& path) {
  HistoryEvent sent;
  sent.once = true;
  this->Record(HistoryKind::kSent, request, sent);
  const auto record_refusal = [&](const Error& error) {
    HistoryEvent event;
    event.once = true;
    event.error = std::string(RowOf(error.kind).name);
    event.ran = std::string(NameOf(error.ran));
    this->Record(HistoryKind::kRefused, request, event);
  };
  HttpPool pool;
  httplib::Request mint_request = PostRequest("/v1/tickets", "");
  mint_request.set_header("Authorization", "Bearer " + request.key);
  const auto mint_response =
      pool.Send(this->NextAddress(), mint_request, kIdleTimeoutMs);
  if (!mint_response) {
    return record_refusal(mint_response.error().WithRan(Ran::kNo));
  }
  if (const auto error = ErrorFromJsonBody(mint_response.value().body)) {
    return record_refusal(*error);
  }
  const std::string ticket =
      json::parse(mint_response.value().body)["ticket"].get<std::string>();
  const auto send = [&](const std::string& address) {
    HttpPool call_pool;
    httplib::Request call = PostRequest(path, request.id);
    call.set_header("Authorization", "Bearer " + request.key);
    call.set_header("Limpethaven-Ticket", ticket);
    const auto answer = call_pool.Send(address, call, kIdleTimeoutMs);
    if (!answer) return record_refusal(answer.error().WithRan(Ran::kUnknown));
    if (const auto error = ErrorFromJsonBody(answer.value().body)) {
      return record_refusal(*error);
    }
    HistoryEvent event;
    event.once = true;
    this->Record(HistoryKind::kWhole, request, event);
  };
  const std::array<std::string, 2> targets = {this->NextAddress(),
                                              this->NextAddress()};
  std::thread second([&] { send(targets[1]); });
  send(targets[0]);
  second.join();
}

std::string Caller::NextAddress() {
  this->RefreshAddresses();
  const std::lock_guard lock(this->mutex);
  const auto& candidates =
      this->addresses.empty() ? this->seeds : this->addresses;
  return candidates[this->next_index++ % candidates.size()];
}

void Caller::RefreshAddresses() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->clock.Now() < this->addresses_valid_until) return;
    // Only one thread fetches the list; the others use the present addresses
    // meanwhile.
    this->addresses_valid_until = this->clock.Now() + kAddressTimeoutMs;
  }
  for (const std::string& seed : this->seeds) {
    const auto client = NewHttpClient(seed, kAddressTimeoutMs);
    const auto response = client->Get("/v1/addresses");
    if (!response || response->status != 200) continue;
    const json answer = json::parse(response->body, nullptr, false);
    if (!answer.is_object() || answer["addresses"].empty()) continue;
    std::vector<std::string> listed_addresses;
    for (const json& row : answer["addresses"]) {
      listed_addresses.push_back(row["address"].get<std::string>());
    }
    const std::lock_guard lock(this->mutex);
    this->addresses = std::move(listed_addresses);
    this->addresses_valid_until =
        this->clock.Now() + answer["ttl_ms"].get<DurationMs>();
    return;
  }
}

Caller::StreamEnd Caller::ReadStream(const LoadRequest& request,
                                     StreamState& state) {
  const std::string address = this->NextAddress();
  const auto client = NewHttpClient(address, kIdleTimeoutMs);
  const json body = {{"model", request.model},
                     {"prompt", request.prompt},
                     {"max_tokens", request.max_tokens},
                     {"stream", true}};
  httplib::Request http_request = PostRequest("/v1/completions", body.dump());
  http_request.set_header("Authorization", "Bearer " + request.key);
  http_request.set_header("Request-Id", request.id);
  if (!state.last_id.empty()) {
    http_request.set_header("Last-Event-ID", state.last_id);
  }
  SseParser parser;
  std::string refusal;
  int status = 0;
  http_request.response_handler = [&status](const httplib::Response& response) {
    status = response.status;
    return true;
  };
  http_request.content_receiver = [&](const char* data, std::size_t length,
                                      std::uint64_t, std::uint64_t) {
    if (status != 200) {
      refusal.append(data, length);
      return true;
    }
    for (const SseEvent& event : parser.Feed(std::string_view(data, length))) {
      if (event.name == "error") {
        state.error = ErrorFromJsonBody(event.data);
      } else if (event.data == "[DONE]") {
        state.done = true;
      } else {
        if (!event.id.empty()) state.last_id = event.id;
        const json chunk = json::parse(event.data, nullptr, false);
        const std::string text = chunk["choices"][0]["text"].get<std::string>();
        if (text.empty()) continue;
        const TimeMs now = this->clock.Now();
        if (state.text.empty()) {
          state.on_first_token();
        } else {
          state.max_gap_ms = std::max(
              state.max_gap_ms, static_cast<double>(now - state.last_token_at));
        }
        state.last_token_at = now;
        state.text += text;
        ++state.tokens;
      }
    }
    return true;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool complete = client->send(http_request, response, error);
  if (state.done) return StreamEnd::kComplete;
  if (status != 0 && status != 200) state.error = ErrorFromJsonBody(refusal);
  if (state.error) return StreamEnd::kRefused;
  {
    // Drops the address until the next refresh, so that the stream
    // resumes at another VM.
    const std::lock_guard lock(this->mutex);
    std::erase(this->addresses, address);
  }
  return complete || status != 0 ? StreamEnd::kBroken : StreamEnd::kUnreachable;
}

void Caller::Record(HistoryKind kind, const LoadRequest& request,
                    HistoryEvent event) {
  event.kind = kind;
  event.request = request.id;
  event.team = request.team;
  this->history.Write(std::move(event));
}

}  // namespace limpethaven
