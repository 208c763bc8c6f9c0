#include "entry/native_endpoints.h"

#include <algorithm>
#include <array>

#include "entry/completion_stream.h"
#include "protocol/engine_messages.h"

namespace limpethaven {
namespace {

/// Reconnections of a broken stream to its run at the same engine.
constexpr std::int64_t kMaxReattachCount = 6;

/// Headers of a caller's request that are not forwarded to plain services:
/// credentials, and headers that the router reads or sets itself.
constexpr std::array<std::string_view, 6> kNotForwarded = {
    "Authorization",      "Host",       "Content-Length",
    "Limpethaven-Ticket", "Request-Id", "Accept-Encoding"};

OutgoingCall PostJson(std::string_view path, std::string body) {
  RequestHead head{"POST", std::string(path), {}};
  head.headers.Add("Content-Type", "application/json");
  return OutgoingCall{std::move(head), std::move(body)};
}

bool IsCompletion(const Dispatch& dispatch) {
  return dispatch.stream != nullptr;
}

OutgoingCall ServiceCallOf(const Dispatch& dispatch) {
  OutgoingCall call;
  call.head.method = dispatch.caller_head.method;
  call.head.target = dispatch.caller_head.target;
  call.head.headers = EndToEndHeaders(dispatch.caller_head.headers);
  std::ranges::for_each(kNotForwarded, [&call](std::string_view name) {
    call.head.headers.Remove(name);
  });
  call.head.headers.RemoveContaining(dispatch.request.key);
  call.head.headers.Add("Host", dispatch.endpoint.address);
  call.head.headers.Add("Request-Id", dispatch.request.attempt_id);
  call.body = dispatch.caller_body;
  return call;
}

}  // namespace

NativeEndpoints::NativeEndpoints(std::string secret)
    : fleet_secret(std::move(secret)) {}

OutgoingCall NativeEndpoints::Run(const Dispatch& dispatch) const {
  if (!IsCompletion(dispatch)) return ServiceCallOf(dispatch);
  GenerateBody body;
  body.request_id = dispatch.request.attempt_id;
  body.attempt = dispatch.attempt;
  if (dispatch.kv_handle) {
    body.kv_source = dispatch.kv_handle->engine_address;
    body.kv_handle = dispatch.kv_handle->handle;
  }
  body.prompt_tokens = dispatch.request.prompt_tokens;
  body.offset = dispatch.stream->Produced();
  body.max_tokens = dispatch.request.max_output_tokens - body.offset;
  body.pieces =
      (dispatch.reserved_tokens + kTokensPerPiece - 1) / kTokensPerPiece;
  body.resume = dispatch.reattach;
  body.expected_attachment = dispatch.stream->Attachment();
  return PostJson("/generate", WriteJson(body));
}

OutgoingCall NativeEndpoints::Prefill(const Dispatch& dispatch) const {
  PrefillBody body;
  body.request_id = dispatch.request.attempt_id;
  body.attempt = dispatch.attempt;
  body.prompt = dispatch.request.prompt + std::string(dispatch.stream->Text());
  body.prompt_tokens =
      dispatch.request.prompt_tokens + dispatch.stream->Produced();
  return PostJson("/prefill", WriteJson(body));
}

std::optional<OutgoingCall> NativeEndpoints::ReleaseKv(const KvHandle&) const {
  return std::nullopt;
}

std::optional<OutgoingCall> NativeEndpoints::CancelAbandonedRun(
    const Dispatch& dispatch) const {
  if (!IsCompletion(dispatch)) return std::nullopt;
  const CancelBody body{dispatch.request.attempt_id, dispatch.attempt,
                        dispatch.stream->Attachment()};
  return PostJson("/cancel", WriteJson(body));
}

std::optional<OutgoingCall> NativeEndpoints::CancelRun(
    const CancelCommand& command) const {
  return PostJson("/cancel", WriteJson(CancelBody{command.request_id,
                                                  command.reservation, 0}));
}

OutgoingCall NativeEndpoints::FetchLoad() const {
  return OutgoingCall{RequestHead{"GET", "/load", {}}, {}};
}

std::optional<OutgoingCall> NativeEndpoints::ChangeRole(
    const RoleChange&) const {
  // The role is part of the placement service's orders. Its fencing tokens are
  // ordered by configuration version: with tokens of two kinds at one engine,
  // a current order could be refused, or an outdated one accepted.
  return std::nullopt;
}

RoleOrderOutcome NativeEndpoints::ClassifyRoleChange(
    const ResponseHead&) const {
  return RoleOrderOutcome::kUnknown;
}

std::optional<OutgoingCall> NativeEndpoints::FetchCacheEvents(
    std::int64_t after) const {
  return OutgoingCall{
      RequestHead{"GET", "/cache_events?after=" + std::to_string(after), {}},
      {}};
}

AnswerClass NativeEndpoints::Classify(const ResponseHead& head,
                                      std::string_view body,
                                      const CallerRequest& request) const {
  AnswerClass answer;
  // Always true in this protocol: every event carries the id of its attempt,
  // and a connection serves one call at a time.
  answer.matches_request = true;
  answer.success = head.status >= 200 && head.status < 300;
  const bool plain_call =
      request.max_output_tokens == 0 && !request.resumed_attempt;
  // The caller may get a failed response of a plain service as it is, but not
  // one of an engine.
  answer.final_failure = plain_call;
  const auto error = ErrorFromJsonBody(body);
  if (answer.success || !error) return answer;
  answer.superseded = error->kind == ErrorKind::kSuperseded;
  answer.not_run = !plain_call && (error->ran == Ran::kNo ||
                                   error->kind == ErrorKind::kStreamGone ||
                                   error->kind == ErrorKind::kCancelled);
  return answer;
}

Result<std::string> NativeEndpoints::ParseHandle(std::string_view body) const {
  BOOST_OUTCOME_TRY(answer, ReadJson<PrefillAnswer>(body, "prefill answer"));
  return answer.kv_handle;
}

Result<EngineLoad> NativeEndpoints::ParseLoad(std::string_view body) const {
  return ReadJson<EngineLoad>(body, "engine load");
}

Result<std::vector<CacheEvent>> NativeEndpoints::ParseCacheEvents(
    std::string_view body) const {
  return ReadJson<std::vector<CacheEvent>>(body, "cache events");
}

std::unique_ptr<StreamTranslator> NativeEndpoints::NewStream(
    const CallerRequest& request, const PoolSpec*) const {
  return std::make_unique<CompletionStream>(request, this->fleet_secret);
}

std::int64_t NativeEndpoints::MaxReattaches() const noexcept {
  return kMaxReattachCount;
}

}  // namespace limpethaven
