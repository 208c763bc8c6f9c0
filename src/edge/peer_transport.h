/// @file
/// Messages between the system's own processes: HTTP calls and UDP datagrams.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "limpethaven/interfaces.h"
#include "limpethaven/vm_id.h"

namespace limpethaven {

/// Settings of the peer transport.
struct PeerTransportSettings {
  VmId self;
  int peer_port = 0;         ///< Same on every VM, TCP and UDP.
  std::string fleet_secret;  ///< Shared by the fleet; signs every message.
};

/// Handles one authenticated call from a peer: body in, body or error out.
using PeerHandler = std::function<Result<std::string>(const VmId& from,
                                                      const std::string& body)>;
/// Handles one datagram; its contents are authenticated by the receiver.
using DatagramHandler = std::function<void(std::string_view bytes)>;

/// Peer transport of one process.
///
/// Calls carry an HMAC over sender, addressee, path, nonce and body; answers
/// carry one over the call's tag and the answer, so that each side knows the
/// other holds the fleet secret.
class HttpPeerTransport final : public PeerTransport {
 public:
  explicit HttpPeerTransport(PeerTransportSettings settings);
  ~HttpPeerTransport() override;
  HttpPeerTransport(const HttpPeerTransport&) = delete;
  HttpPeerTransport& operator=(const HttpPeerTransport&) = delete;

  /// Adds a handler for calls to `path`. Before `Start`.
  void Handle(const std::string& path, PeerHandler handler);
  [[nodiscard]] Result<void> Start(DatagramHandler on_datagram);
  void Stop();

  void SendDatagram(std::string_view address, std::string_view bytes) override;
  [[nodiscard]] Result<std::string> Call(std::string_view address,
                                         std::string_view path,
                                         std::string_view body,
                                         DurationMs timeout_ms) override;
  /// Bytes of datagrams sent and received so far.
  [[nodiscard]] std::uint64_t DatagramBytes() const noexcept;

 private:
  void Answer(const PeerHandler& handler, const httplib::Request& request,
              httplib::Response& response) const;
  [[nodiscard]] Result<void> OpenSocket();
  void Receive();

  PeerTransportSettings settings;
  HttpServer server;
  HttpPool pool;
  DatagramHandler on_datagram;
  int udp_socket = -1;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> datagram_bytes = 0;
  std::thread receiver;
};

}  // namespace limpethaven
