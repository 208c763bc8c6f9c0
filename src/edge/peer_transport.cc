#include "edge/peer_transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <charconv>

#include "edge/log.h"
#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr const char* kFromHeader = "Limpethaven-From";
constexpr const char* kNonceHeader = "Limpethaven-Nonce";
constexpr const char* kTagHeader = "Limpethaven-Tag";
constexpr std::size_t kMaxDatagramBytes = 65'536;
constexpr std::size_t kNonceBytes = 8;
constexpr int kReceiveTimeoutMs = 200;

std::string CallTag(std::string_view secret, std::string_view from,
                    std::string_view to, std::string_view path,
                    std::string_view nonce, std::string_view body) {
  std::string text;
  for (const std::string_view part : {from, to, path, nonce, body}) {
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return HmacSha256Hex(secret, text);
}

std::string AnswerTag(std::string_view secret, std::string_view call_tag,
                      int status, std::string_view body) {
  return HmacSha256Hex(secret, std::string(call_tag) + std::to_string(status) +
                                   std::string(body));
}

std::string TextOf(const VmId& vm) {
  return vm.address + "@" + std::to_string(vm.incarnation);
}

VmId VmIdFrom(std::string_view text) {
  VmId vm;
  const auto at = text.find('@');
  vm.address = text.substr(0, at);
  if (at != std::string_view::npos) {
    std::from_chars(text.data() + at + 1, text.data() + text.size(),
                    vm.incarnation);
  }
  return vm;
}

sockaddr_in SocketAddress(std::string_view address, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, std::string(address).c_str(), &out.sin_addr);
  return out;
}

}  // namespace

HttpPeerTransport::HttpPeerTransport(PeerTransportSettings initial)
    : settings(std::move(initial)),
      server(HttpServerSettings{.address = this->settings.self.address,
                                .port = this->settings.peer_port}) {}

HttpPeerTransport::~HttpPeerTransport() { this->Stop(); }

void HttpPeerTransport::Handle(const std::string& path, PeerHandler handler) {
  this->server.Routes().Post(
      path, [this, handler = std::move(handler)](
                const httplib::Request& request, httplib::Response& response) {
        this->Answer(handler, request, response);
      });
}

Result<void> HttpPeerTransport::Start(DatagramHandler handler) {
  this->on_datagram = std::move(handler);
  BOOST_OUTCOME_TRY(this->server.Start());
  BOOST_OUTCOME_TRY(this->OpenSocket());
  this->receiver = std::thread([this] { this->Receive(); });
  return Success();
}

void HttpPeerTransport::Stop() {
  this->stopping = true;
  this->server.Stop();
  if (this->receiver.joinable()) this->receiver.join();
  if (this->udp_socket >= 0) ::close(this->udp_socket);
  this->udp_socket = -1;
}

void HttpPeerTransport::SendDatagram(std::string_view address,
                                     std::string_view bytes) {
  const sockaddr_in to = SocketAddress(address, this->settings.peer_port);
  this->datagram_bytes += bytes.size();
  ::sendto(this->udp_socket, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

Result<std::string> HttpPeerTransport::Call(std::string_view address,
                                            std::string_view path,
                                            std::string_view body,
                                            DurationMs timeout_ms) {
  const std::string from = TextOf(this->settings.self);
  const std::string nonce = RandomHex(kNonceBytes);
  const std::string tag =
      CallTag(this->settings.fleet_secret, from, address, path, nonce, body);
  httplib::Request request = PostRequest(std::string(path), std::string(body));
  request.set_header(kFromHeader, from);
  request.set_header(kNonceHeader, nonce);
  request.set_header(kTagHeader, tag);
  const std::string target =
      std::string(address) + ":" + std::to_string(this->settings.peer_port);
  BOOST_OUTCOME_TRY(response,
                    this->pool.Send(target, std::move(request), timeout_ms));
  const std::string expected = AnswerTag(this->settings.fleet_secret, tag,
                                         response.status, response.body);
  if (!ConstantTimeEqual(expected, response.get_header_value(kTagHeader))) {
    return Error::Of(ErrorKind::kPeerRejected,
                     target + " did not prove that it is a peer")
        .WithRan(Ran::kUnknown);
  }
  if (response.status == 200) return std::move(response.body);
  if (auto error = ErrorFromJsonBody(response.body)) return *error;
  return Error::Of(ErrorKind::kInternal,
                   target + " answered " + std::to_string(response.status));
}

std::uint64_t HttpPeerTransport::DatagramBytes() const noexcept {
  return this->datagram_bytes;
}

void HttpPeerTransport::Answer(const PeerHandler& handler,
                               const httplib::Request& request,
                               httplib::Response& response) const {
  const std::string from = request.get_header_value(kFromHeader);
  const std::string& secret = this->settings.fleet_secret;
  const std::string tag =
      CallTag(secret, from, this->settings.self.address, request.path,
              request.get_header_value(kNonceHeader), request.body);
  if (!ConstantTimeEqual(tag, request.get_header_value(kTagHeader))) {
    LogWarning(EventId::kPeerMessageRejected,
               {{"from", from}, {"why", "wrong tag"}});
    WriteRefusal(response, Error::Of(ErrorKind::kPeerRejected,
                                     "wrong authentication tag"));
    return;
  }
  const auto result = handler(VmIdFrom(from), request.body);
  if (result) {
    response.set_content(result.value(), "application/json");
    response.status = 200;
  } else {
    WriteRefusal(response, result.error());
  }
  response.set_header(kTagHeader,
                      AnswerTag(secret, tag, response.status, response.body));
}

Result<void> HttpPeerTransport::OpenSocket() {
  this->udp_socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  const timeval timeout{0, kReceiveTimeoutMs * 1000};
  setsockopt(this->udp_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  const sockaddr_in own =
      SocketAddress(this->settings.self.address, this->settings.peer_port);
  if (::bind(this->udp_socket, reinterpret_cast<const sockaddr*>(&own),
             sizeof(own)) != 0) {
    return Error::Of(ErrorKind::kInternal,
                     "cannot bind UDP port " +
                         std::to_string(this->settings.peer_port) + " on " +
                         this->settings.self.address);
  }
  return Success();
}

void HttpPeerTransport::Receive() {
  std::array<char, kMaxDatagramBytes> buffer{};
  while (!this->stopping) {
    const ssize_t length =
        ::recv(this->udp_socket, buffer.data(), buffer.size(), 0);
    if (length <= 0) continue;
    this->datagram_bytes += static_cast<std::uint64_t>(length);
    this->on_datagram(
        std::string_view(buffer.data(), static_cast<std::size_t>(length)));
  }
}

}  // namespace limpethaven
