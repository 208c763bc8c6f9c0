/// @file
/// Calls between the processes of the fleet: HTTP with JSON bodies over
/// persistent connections.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "limpethaven/error.h"
#include "limpethaven/vm_id.h"
#include "net/cancellation.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/gossip.h"

namespace limpethaven {

/// A peer's call that is being answered.
struct PeerCall {
  VmId from;
  const std::string& body;
  /// The HTTP exchange, which also reports a disconnect of the peer.
  Exchange& exchange;

  /// Sends a keep-alive to the caller of a long call.
  Task<> SendKeepAlive();
};

/// The handler of a long call sends a keep-alive at least this often.
inline constexpr DurationMs kKeepAlivePeriodMs = 150;

/// Answers one call. @returns the body of the answer, or the error that is sent
/// in its place.
using PeerHandler = std::function<Task<Result<std::string>>(PeerCall& call)>;

/// Client and server of the calls between peers. With a fleet secret, calls and
/// answers carry an HMAC tag under it and are refused without a valid one.
class PeerLink {
 public:
  PeerLink(Loop& event_loop, PeerIdentity peer_identity);

  /// Registers the handler of a path.
  void Handle(std::string path, PeerHandler handler);
  /// Registers the handler of a path whose calls may take long. The start of
  /// the response acknowledges the call at once, and the handler must send a
  /// keep-alive every `kKeepAlivePeriodMs` until it returns.
  void HandleLong(std::string path, PeerHandler handler);
  /// Listens for calls. @returns false when the port cannot be bound.
  [[nodiscard]] bool Start();
  /// Stops accepting connections.
  void Stop();
  /// Calls a peer. The error is `kEndpointFailed` when the peer cannot be
  /// reached or does not answer by `deadline`, `kPeerRejected` when the
  /// answer's tag is wrong, and `kInternal` when the peer answers with an error
  /// status and a body that is not an error; otherwise it is the error that the
  /// peer sent. When the connection to the peer cannot be made, so that no byte
  /// of the call was sent, the `ran` of the `kEndpointFailed` is `kNo`.
  /// @param stall_ms See `FetchResponse`.
  Task<Result<std::string>> Call(std::string ip, std::string path,
                                 std::string body, TimeMs deadline,
                                 DurationMs stall_ms = 0);
  /// Calls a handler that was registered by `HandleLong`, with the errors of
  /// `Call`.
  /// @param ack_ms Time within which the peer must acknowledge the call.
  /// @param deadline Time by which the answer must be complete.
  Task<Result<std::string>> CallLong(std::string ip, std::string path,
                                     std::string body, DurationMs ack_ms,
                                     TimeMs deadline, Cancellation& cancel);
  /// Closes connections that have been idle for too long.
  void Tick(TimeMs now);
  [[nodiscard]] Loop& GetLoop() noexcept;

 private:
  struct Handler {
    PeerHandler answer;
    bool is_long = false;
  };
  /// A call that is ready to send.
  struct SignedCall {
    std::string address;
    std::string bytes;  ///< The HTTP request.
    std::string tag;    ///< Empty without a fleet secret.
  };

  Task<> Answer(Exchange& exchange);
  /// @param call_tag Tag of the call; empty without a fleet secret.
  Task<> AnswerLong(PeerCall& call, const PeerHandler& handler,
                    std::string call_tag);
  [[nodiscard]] SignedCall Sign(const std::string& ip, const std::string& path,
                                const std::string& body) const;
  /// Returns the answer's body. The error is `kPeerRejected` when `answer_tag`
  /// is not the HMAC of the call's tag, the status and the body.
  /// @param call_tag Tag of the call; empty without a fleet secret.
  [[nodiscard]] Result<std::string> VerifyAnswer(
      const std::string& ip, int status, std::string body,
      std::string_view answer_tag, const std::string& call_tag) const;
  /// HMAC-SHA-256 of a call's parts under the fleet secret.
  [[nodiscard]] std::string TagOf(std::string_view from, std::string_view to,
                                  std::string_view path, std::string_view nonce,
                                  std::string_view body) const;

  Loop& loop;
  PeerIdentity identity;
  ConnectionPool pool;
  HttpServer server;
  std::map<std::string, Handler, std::less<>> handlers;
};

}  // namespace limpethaven
