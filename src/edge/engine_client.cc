#include "edge/engine_client.h"

#include "protocol/engine_messages.h"
#include "protocol/sse.h"

namespace limpethaven {
namespace {

constexpr DurationMs kControlTimeoutMs = 500;

/// Error for a response whose status is not 200: the error in the JSON body if
/// it holds one, otherwise `kEndpointFailed` with the status.
Error ErrorOfResponse(std::string_view address, int status,
                      std::string_view body) {
  if (auto error = ErrorFromJsonBody(body)) return *error;
  return Error::Of(ErrorKind::kEndpointFailed,
                   std::string(address) +
                       ": engine answered with HTTP status " +
                       std::to_string(status));
}

}  // namespace

Result<PrefillAnswer> HttpEngineClient::Prefill(const PrefillCall& call) {
  const PrefillBody body{call.request_id, call.attempt, call.prompt,
                         call.prompt_tokens};
  BOOST_OUTCOME_TRY(
      text, this->Call(call.address, PostRequest("/prefill", WriteJson(body)),
                       call.timeout_ms));
  return ReadJson<PrefillAnswer>(text, "prefill answer");
}

Result<void> HttpEngineClient::Generate(const GenerateCall& call,
                                        StreamObserver& observer) {
  const GenerateBody body{call.request_id,
                          call.attempt,
                          call.kv_source,
                          call.kv_handle,
                          call.prompt_tokens,
                          call.max_tokens,
                          call.pieces,
                          call.priority,
                          call.offset,
                          call.resume,
                          call.expected_attachment};
  const auto client = NewHttpClient(call.address, call.idle_timeout_ms);
  httplib::Request request = PostRequest("/generate", WriteJson(body));
  SseParser parser;
  std::string error_body;
  int status = 0;
  bool stopped = false;
  request.response_handler = [&status](const httplib::Response& response) {
    status = response.status;
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    const std::string_view bytes(data, length);
    if (status != 200) {
      error_body.append(bytes);
      return error_body.size() < SseParser::kMaxEventBytes;
    }
    const std::vector<SseEvent> events = parser.Feed(bytes);
    if (events.empty()) stopped = !observer.OnIdle();
    for (const SseEvent& event : events) {
      const auto parsed = ReadJson<StreamEvent>(event.data, "stream event");
      // An event that cannot be parsed ends the read like a stop by the
      // observer.
      stopped = !parsed || !observer.OnEvent(parsed.value());
      if (stopped) return false;
    }
    if (stopped) return false;
    return !parser.Failed();
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool complete = client->send(request, response, error);
  if (status != 0 && status != 200) {
    return ErrorOfResponse(call.address, status, error_body);
  }
  if (stopped) return Success();
  if (!complete) return HttpFailure(call.address, error);
  return Success();
}

Result<void> HttpEngineClient::Cancel(std::string_view address,
                                      std::string_view request_id,
                                      std::string_view attempt,
                                      std::int64_t attachment) {
  const CancelBody body{std::string(request_id), std::string(attempt),
                        attachment};
  BOOST_OUTCOME_TRY(this->Call(address, PostRequest("/cancel", WriteJson(body)),
                               kControlTimeoutMs));
  return Success();
}

Result<EngineLoad> HttpEngineClient::Load(std::string_view address) {
  BOOST_OUTCOME_TRY(
      text, this->Call(address, GetRequest("/load"), kControlTimeoutMs));
  return ReadJson<EngineLoad>(text, "engine load");
}

Result<std::vector<CacheEvent>> HttpEngineClient::CacheEvents(
    std::string_view address, std::int64_t after) {
  BOOST_OUTCOME_TRY(text, this->Call(address,
                                     GetRequest("/cache_events?after=" +
                                                std::to_string(after)),
                                     kControlTimeoutMs));
  return ReadJson<std::vector<CacheEvent>>(text, "cache events");
}

Result<EngineState> HttpEngineClient::ReadState(std::string_view address) {
  BOOST_OUTCOME_TRY(
      text, this->Call(address, GetRequest("/state"), kControlTimeoutMs));
  return ReadJson<EngineState>(text, "engine state");
}

Result<void> HttpEngineClient::Order(std::string_view address,
                                     const EngineOrder& order) {
  BOOST_OUTCOME_TRY(this->Call(
      address, PostRequest("/orders", WriteJson(order)), kControlTimeoutMs));
  return Success();
}

Result<std::string> HttpEngineClient::Call(std::string_view address,
                                           httplib::Request request,
                                           DurationMs timeout_ms) {
  BOOST_OUTCOME_TRY(response,
                    this->pool.Send(address, std::move(request), timeout_ms));
  if (response.status != 200) {
    return ErrorOfResponse(address, response.status, response.body);
  }
  return std::move(response.body);
}

}  // namespace limpethaven
