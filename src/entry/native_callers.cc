#include "entry/native_callers.h"

#include "entry/completion_request.h"
#include "limpethaven/crypto.h"
#include "limpethaven/prompt.h"
#include "limpethaven/resume_token.h"
#include "protocol/sse.h"

namespace limpethaven {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kTicketHeader = "Limpethaven-Ticket";
constexpr std::string_view kResumeHeader = "Last-Event-ID";
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kRequestIdRandomBytes = 12;
constexpr DurationMs kMsPerS = 1000;

std::string NewRequestId() { return "r-" + RandomHex(kRequestIdRandomBytes); }

bool Contains(std::string_view text, std::string_view part) {
  return !part.empty() && text.find(part) != std::string_view::npos;
}

Result<void> CheckContainsNoKey(std::string_view text, std::string_view key) {
  if (!Contains(text, key)) return Success();
  return Error::Of(
      ErrorKind::kBadRequest,
      "the request contains the API key outside of the Authorization header");
}

Result<std::string> RequestIdOf(const RequestHead& head) {
  std::string id(head.headers.Get(kRequestIdHeader));
  if (id.size() > kMaxRequestIdBytes ||
      id.find_first_of("#/ \r\n") != std::string::npos) {
    return Error::Of(ErrorKind::kBadRequest,
                     "Request-Id: expected at most 128 characters without '#', "
                     "'/' and spaces");
  }
  return id.empty() ? NewRequestId() : id;
}

void SetCompletionFields(const CompletionRequest& completion,
                         CallerRequest& request) {
  request.model = completion.model;
  request.prompt = completion.prompt;
  request.prompt_tokens = CountTokens(completion.prompt);
  request.max_output_tokens = completion.max_tokens;
  request.prefix_blocks = PrefixBlockHashes(completion.prompt);
}

}  // namespace

std::string ApiKeyOf(const RequestHead& head) {
  const std::string_view credential = head.headers.Get("Authorization");
  if (!credential.starts_with(kBearer)) return {};
  return std::string(credential.substr(kBearer.size()));
}

NativeCallers::NativeCallers(std::string secret)
    : fleet_secret(std::move(secret)) {}

Result<CallerRequest> NativeCallers::Read(const RequestHead& head,
                                          const std::string& body) const {
  const bool completion = PathOf(head.target) == kCompletionsPath;
  BOOST_OUTCOME_TRY(request, completion ? this->ReadCompletion(head, body)
                                        : this->ReadService(head, body));
  BOOST_OUTCOME_TRY(CheckContainsNoKey(body, request.key));
  BOOST_OUTCOME_TRY(CheckContainsNoKey(head.target, request.key));
  return request;
}

Result<CallerRequest> NativeCallers::ReadCompletion(
    const RequestHead& head, const std::string& body) const {
  CallerRequest request;
  request.path = kCompletionsPath;
  request.key = ApiKeyOf(head);
  request.has_token_counts = true;
  const std::string_view resume = head.headers.Get(kResumeHeader);
  if (resume.empty()) {
    BOOST_OUTCOME_TRY(id, RequestIdOf(head));
    BOOST_OUTCOME_TRY(completion, ParseCompletionRequest(body));
    request.attempt_id = id;
    request.buffered = !completion.stream;
    SetCompletionFields(completion, request);
    return request;
  }
  const auto token = DecodeResumeId(this->fleet_secret, resume);
  if (!token) {
    return Error::Of(ErrorKind::kBadRequest,
                     "Last-Event-ID: malformed or with an invalid signature, "
                     "expected the id of an event of the stream to resume");
  }
  // As long as the caller has no token, the prompt in the body allows another
  // engine to generate the answer. Without the body only the running attempt
  // can be resumed.
  const auto completion = ParseCompletionRequest(body);
  if (completion && token->offset == 0) {
    SetCompletionFields(completion.value(), request);
  }
  request.attempt_id = token->request_id;
  request.model = token->model;
  request.team = token->team;
  request.resumed_attempt =
      RunningAttempt{token->cell, token->attempt, token->engine,
                     token->pieces * kTokensPerPiece, token->offset};
  return request;
}

Result<CallerRequest> NativeCallers::ReadService(const RequestHead& head,
                                                 const std::string&) const {
  CallerRequest request;
  request.attempt_id = NewRequestId();
  request.path = PathOf(head.target);
  request.key = ApiKeyOf(head);
  request.ticket = head.headers.Get(kTicketHeader);
  return request;
}

const RouteSpec* NativeCallers::FindRoute(const Configuration& config,
                                          const CallerRequest& request) const {
  if (request.path == kCompletionsPath) {
    return config.FindModelRoute(request.model);
  }
  return config.FindServiceRoute(request.path);
}

ResponseHead NativeCallers::ErrorHead(const Error& error) const {
  ResponseHead head{RowOf(error.kind).http_status, {}};
  head.headers.Add("Content-Type", "application/json");
  if (error.retry_after_ms > 0) {
    const DurationMs seconds = (error.retry_after_ms + kMsPerS - 1) / kMsPerS;
    head.headers.Add("Retry-After", std::to_string(seconds));
  }
  return head;
}

std::string NativeCallers::ErrorBody(const Error& error) const {
  return ToJsonBody(error);
}

ResponseHead NativeCallers::AnswerHead(const ResponseHead& endpoint_head,
                                       const CallerRequest& request) const {
  if (request.path != kCompletionsPath) {
    ResponseHead head{endpoint_head.status,
                      EndToEndHeaders(endpoint_head.headers)};
    head.headers.Remove("Content-Length");
    return head;
  }
  ResponseHead head{200, {}};
  head.headers.Add("Content-Type",
                   request.buffered ? "application/json" : "text/event-stream");
  head.headers.Add(kRequestIdHeader, request.attempt_id);
  return head;
}

std::optional<std::string> NativeCallers::StreamErrorEvent(
    const Error& error) const {
  return FormatSse(SseEvent{"", "error", ToJsonBody(error)});
}

}  // namespace limpethaven
