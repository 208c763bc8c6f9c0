#include "peer/peer_link.h"

#include <charconv>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

/// Idle connections kept to each peer.
constexpr std::size_t kIdlePerPeer = 8;
/// Connections from peers; each call that waits holds one.
constexpr std::size_t kMaxPeerConnections = 1500;
constexpr DurationMs kIdleMs = 30'000;
constexpr std::size_t kNonceBytes = 8;
constexpr std::string_view kFromHeader = "Limpethaven-From";
constexpr std::string_view kNonceHeader = "Limpethaven-Nonce";
constexpr std::string_view kTagHeader = "Limpethaven-Tag";
constexpr int kOk = 200;

std::string TextOf(const VmId& vm) {
  return vm.address + "@" + std::to_string(vm.incarnation);
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

PeerLink::PeerLink(Loop& event_loop, PeerIdentity peer_identity)
    : loop(event_loop),
      identity(std::move(peer_identity)),
      pool(event_loop, kIdlePerPeer),
      server(
          event_loop,
          [this](Exchange& exchange) { return this->Answer(exchange); },
          kMaxPeerConnections) {
  ServerLimits limits;
  limits.idle_timeout_ms = kIdleMs;
  this->server.SetLimits(limits);
}

void PeerLink::Handle(std::string path, PeerHandler2 handler) {
  this->handlers.insert_or_assign(std::move(path), std::move(handler));
}

bool PeerLink::Start() {
  return this->server.Listen(this->identity.self.address + ":" +
                             std::to_string(this->identity.port));
}

void PeerLink::Stop() { this->server.StopAccepting(); }

Loop& PeerLink::OfLoop() noexcept { return this->loop; }

void PeerLink::Tick(TimeMs now) { this->pool.Tick(now); }

Task<Result<std::string>> PeerLink::Call(std::string ip, std::string path,
                                         std::string body, TimeMs deadline) {
  const std::string address = ip + ":" + std::to_string(this->identity.port);
  const std::string from = TextOf(this->identity.self);
  RequestHead head{"POST", path, {}};
  head.headers.Add("Host", address);
  head.headers.Add(kFromHeader, from);
  std::string tag;
  if (!this->identity.secret.empty()) {
    const std::string nonce = RandomHex(kNonceBytes);
    tag = this->TagOf(from, ip, path, nonce, body);
    head.headers.Add(kNonceHeader, nonce);
    head.headers.Add(kTagHeader, tag);
  }
  const HttpAnswer answer = co_await CallWhole(
      this->loop, this->pool, address, WriteRequest(head, body), deadline);
  if (answer.fault != CallFault::kNone) {
    const bool sent = answer.fault != CallFault::kConnect;
    co_return Error::Of(ErrorKind::kEndpointFailed,
                        "peer " + ip + ": " + std::string(NameOf(answer.fault)))
        .WithRan(sent ? Ran::kUnknown : Ran::kNo);
  }
  if (!tag.empty()) {
    const std::string expected =
        HmacSha256Hex(this->identity.secret,
                      tag + std::to_string(answer.head.status) + answer.body);
    if (!ConstantTimeEqual(expected, answer.head.headers.Get(kTagHeader))) {
      co_return Error::Of(ErrorKind::kPeerRejected,
                          ip + " did not prove that it is a peer");
    }
  }
  if (answer.head.status == kOk) co_return answer.body;
  if (auto error = ErrorFromJsonBody(answer.body)) co_return *error;
  co_return Error::Of(ErrorKind::kInternal,
                      "peer " + ip + " answered " +
                          std::to_string(answer.head.status));
}

Task<> PeerLink::Answer(Exchange& exchange) {
  const Headers& headers = exchange.Head().headers;
  const std::string_view from = headers.Get(kFromHeader);
  const std::string path(PathOf(exchange.Head().target));
  std::string tag;
  Result<std::string> result =
      Error::Of(ErrorKind::kUnknownRoute, "no such call");
  const auto handler = this->handlers.find(path);
  if (!this->identity.secret.empty()) {
    tag = this->TagOf(from, this->identity.self.address, path,
                      headers.Get(kNonceHeader), exchange.Body());
  }
  if (!ConstantTimeEqual(tag, headers.Get(kTagHeader))) {
    result = Error::Of(ErrorKind::kPeerRejected, "wrong authentication tag");
  } else if (handler != this->handlers.end()) {
    PeerCall call{VmIdFrom(from), exchange.Body(), exchange};
    result = co_await handler->second(call);
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
  if (!tag.empty()) {
    head.headers.Add(kTagHeader,
                     HmacSha256Hex(this->identity.secret,
                                   tag + std::to_string(head.status) + body));
  }
  co_await exchange.Answer(head, std::move(body));
}

std::string PeerLink::TagOf(std::string_view from, std::string_view to,
                            std::string_view path, std::string_view nonce,
                            std::string_view body) const {
  std::string text;
  for (const std::string_view part : {from, to, path, nonce, body}) {
    // Lengths keep parts from running into each other.
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return HmacSha256Hex(this->identity.secret, text);
}

}  // namespace limpethaven
