#include "peer/peer_link.h"

#include <algorithm>
#include <charconv>
#include <memory>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

/// Most idle connections to each peer that are kept.
constexpr std::size_t kMaxIdlePerPeer = 8;
/// Most connections from peers. Each call that waits for its answer holds one.
constexpr std::size_t kMaxPeerConnections = 1500;
constexpr DurationMs kIdleTimeoutMs = 30'000;
constexpr std::size_t kNonceBytes = 8;
constexpr std::string_view kFromHeader = "Limpethaven-From";
constexpr std::string_view kNonceHeader = "Limpethaven-Nonce";
constexpr std::string_view kTagHeader = "Limpethaven-Tag";
constexpr int kOk = 200;
/// Status that the HMAC covers when the answer to a long call is an error. The
/// HTTP status is always 200, because it is sent before the answer is known.
constexpr int kRefusedStatus = 500;
/// Keep-alive of a long call; whitespace before a JSON body has no meaning.
constexpr std::string_view kKeepAlive = " ";
/// A long call fails when its peer sends nothing for this time plus the
/// caller's `ack_ms`.
constexpr DurationMs kKeepAliveTimeoutMs = 2 * kKeepAlivePeriodMs;

std::string TextOf(const VmId& vm) {
  return vm.address + "@" + std::to_string(vm.incarnation);
}

Error CallError(const std::string& ip, CallFault fault,
                std::size_t received_bytes) {
  const bool sent = fault != CallFault::kConnect;
  return Error::Of(ErrorKind::kEndpointFailed,
                   "call to peer " + ip +
                       " failed: " + std::string(NameOf(fault)) + ", after " +
                       std::to_string(received_bytes) + " bytes of the answer")
      .WithRan(sent ? Ran::kUnknown : Ran::kNo);
}

VmId VmIdFrom(std::string_view text) {
  VmId vm;
  const auto at = text.find('@');
  vm.address = text.substr(0, at);
  if (at == std::string_view::npos) return vm;
  std::from_chars(text.data() + at + 1, text.data() + text.size(),
                  vm.incarnation);
  return vm;
}

}  // namespace

Task<> PeerCall::SendKeepAlive() {
  // The result is not needed: the exchange reports a disconnect of the peer.
  co_await this->exchange.Send(std::string(kKeepAlive));
}

PeerLink::PeerLink(Loop& event_loop, PeerIdentity peer_identity)
    : loop(event_loop),
      identity(std::move(peer_identity)),
      pool(event_loop, kMaxIdlePerPeer),
      server(
          event_loop,
          [this](Exchange& exchange) { return this->Answer(exchange); },
          kMaxPeerConnections) {
  ServerLimits limits;
  limits.idle_timeout_ms = kIdleTimeoutMs;
  this->server.SetLimits(limits);
}

void PeerLink::Handle(std::string path, PeerHandler handler) {
  this->handlers.insert_or_assign(std::move(path),
                                  Handler{std::move(handler), false});
}

void PeerLink::HandleLong(std::string path, PeerHandler handler) {
  this->handlers.insert_or_assign(std::move(path),
                                  Handler{std::move(handler), true});
}

bool PeerLink::Start() {
  return this->server.Listen(this->identity.self.address + ":" +
                             std::to_string(this->identity.port));
}

void PeerLink::Stop() { this->server.StopAccepting(); }

Loop& PeerLink::GetLoop() noexcept { return this->loop; }

void PeerLink::Tick(TimeMs now) { this->pool.CloseExpired(now); }

Task<Result<std::string>> PeerLink::Call(std::string ip, std::string path,
                                         std::string body, TimeMs deadline,
                                         DurationMs stall_ms) {
  SignedCall call = this->Sign(ip, path, body);
  const HttpResponse answer = co_await FetchResponse(
      this->loop, this->pool, call.address, std::move(call.bytes), deadline,
      kMaxFetchedBytes, stall_ms);
  if (answer.fault != CallFault::kNone) {
    co_return CallError(ip, answer.fault, answer.body.size());
  }
  co_return this->VerifyAnswer(ip, answer.head.status, answer.body,
                               answer.head.headers.Get(kTagHeader), call.tag);
}

Task<Result<std::string>> PeerLink::CallLong(std::string ip, std::string path,
                                             std::string body,
                                             DurationMs ack_ms, TimeMs deadline,
                                             Cancellation& cancel) {
  SignedCall signed_call = this->Sign(ip, path, body);
  HttpCall call(this->loop, this->pool, signed_call.address);
  const CancelScope scope(cancel, [&call] { call.Cancel(); });
  const TimeMs ack_deadline = LoopNow() + ack_ms;
  CallFault fault = co_await call.Send(std::move(signed_call.bytes),
                                       kIdleTimeoutMs, ack_deadline, deadline);
  if (fault == CallFault::kNone) fault = co_await call.ReadHead(ack_deadline);
  std::string text;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string part;
    const TimeMs keep_alive_deadline =
        std::min(deadline, LoopNow() + kKeepAliveTimeoutMs + ack_ms);
    fault = co_await call.ReadBody(part, keep_alive_deadline);
    text += part;
    ended = call.Done() && part.empty();
  }
  if (fault != CallFault::kNone) {
    co_return CallError(ip, fault, text.size());
  }
  // Keep-alives precede the answer. With a fleet secret, the last line is the
  // HMAC of the call's tag, the status and the answer.
  std::string answer_tag;
  if (!signed_call.tag.empty()) {
    const auto line = text.rfind('\n');
    answer_tag = line == std::string::npos ? "" : text.substr(line + 1);
    text.resize(line == std::string::npos ? 0 : line);
  }
  text.erase(0, std::min(text.size(), text.find_first_not_of(kKeepAlive)));
  const bool refused = ErrorFromJsonBody(text).has_value();
  co_return this->VerifyAnswer(ip, refused ? kRefusedStatus : kOk,
                               std::move(text), answer_tag, signed_call.tag);
}

PeerLink::SignedCall PeerLink::Sign(const std::string& ip,
                                    const std::string& path,
                                    const std::string& body) const {
  SignedCall call;
  call.address = ip + ":" + std::to_string(this->identity.port);
  const std::string from = TextOf(this->identity.self);
  RequestHead head{"POST", path, {}};
  head.headers.Add("Host", call.address);
  head.headers.Add(kFromHeader, from);
  if (!this->identity.secret.empty()) {
    const std::string nonce = RandomHex(kNonceBytes);
    call.tag = this->TagOf(from, ip, path, nonce, body);
    head.headers.Add(kNonceHeader, nonce);
    head.headers.Add(kTagHeader, call.tag);
  }
  call.bytes = WriteRequest(head, body);
  return call;
}

Result<std::string> PeerLink::VerifyAnswer(const std::string& ip, int status,
                                           std::string body,
                                           std::string_view answer_tag,
                                           const std::string& call_tag) const {
  if (!call_tag.empty()) {
    const std::string expected = HmacSha256Hex(
        this->identity.secret, call_tag + std::to_string(status) + body);
    if (!ConstantTimeEqual(expected, answer_tag)) {
      return Error::Of(ErrorKind::kPeerRejected,
                       "answer of peer " + ip +
                           " has an authentication tag that does not match the "
                           "fleet secret");
    }
  }
  if (status == kOk) return body;
  if (auto error = ErrorFromJsonBody(body)) return *error;
  return Error::Of(ErrorKind::kInternal,
                   "peer " + ip + " answered with status " +
                       std::to_string(status) +
                       " and a body that is not an error");
}

Task<> PeerLink::Answer(Exchange& exchange) {
  const Headers& headers = exchange.Head().headers;
  const std::string_view from = headers.Get(kFromHeader);
  const std::string path(PathOf(exchange.Head().target));
  std::string call_tag;
  Result<std::string> result = Error::Of(
      ErrorKind::kUnknownRoute, "peer call has a path without a handler");
  const auto handler = this->handlers.find(path);
  if (!this->identity.secret.empty()) {
    call_tag = this->TagOf(from, this->identity.self.address, path,
                           headers.Get(kNonceHeader), exchange.Body());
  }
  if (!ConstantTimeEqual(call_tag, headers.Get(kTagHeader))) {
    result = Error::Of(ErrorKind::kPeerRejected,
                       "peer call has an authentication tag that does not "
                       "match the fleet secret");
  } else if (handler != this->handlers.end()) {
    PeerCall call{VmIdFrom(from), exchange.Body(), exchange};
    if (handler->second.is_long) {
      co_await this->AnswerLong(call, handler->second.answer, call_tag);
      co_return;
    }
    result = co_await handler->second.answer(call);
  }
  ResponseHead head{kOk, {}};
  std::string body;
  if (result) {
    body = std::move(result.value());
  } else {
    head.status = RowOf(result.error().kind).http_status;
    body = ToJsonBody(result.error());
  }
  head.headers.Add("Content-Type", "application/json");
  if (!call_tag.empty()) {
    head.headers.Add(
        kTagHeader,
        HmacSha256Hex(this->identity.secret,
                      call_tag + std::to_string(head.status) + body));
  }
  co_await exchange.Answer(head, std::move(body));
}

Task<> PeerLink::AnswerLong(PeerCall& call, const PeerHandler& handler,
                            std::string call_tag) {
  ResponseHead head{kOk, {}};
  head.headers.Add("Content-Type", "application/json");
  const bool begun = co_await call.exchange.Begin(std::move(head));
  if (!begun) co_return;
  const Result<std::string> result = co_await handler(call);
  std::string body = result ? result.value() : ToJsonBody(result.error());
  if (!call_tag.empty()) {
    const int status = result ? kOk : kRefusedStatus;
    const std::string answer_tag = HmacSha256Hex(
        this->identity.secret, call_tag + std::to_string(status) + body);
    body += "\n" + answer_tag;
  }
  co_await call.exchange.Send(std::move(body));
  co_await call.exchange.End();
}

std::string PeerLink::TagOf(std::string_view from, std::string_view to,
                            std::string_view path, std::string_view nonce,
                            std::string_view body) const {
  std::string text;
  for (const std::string_view part : {from, to, path, nonce, body}) {
    // Without lengths, different parts could give the same text.
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return HmacSha256Hex(this->identity.secret, text);
}

}  // namespace limpethaven
