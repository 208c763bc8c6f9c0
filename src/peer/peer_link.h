/// @file
/// Calls between the system's own processes: HTTP with JSON bodies over kept
/// connections.
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

/// A peer's call while it is answered.
struct PeerCall {
  VmId from;
  const std::string& body;
  Exchange& exchange;  ///< To notice that the peer no longer waits.

  /// Tells the caller of a long call that it is still being answered.
  Task<> SayStillHere();
};

/// A long call is to say so at least this often.
inline constexpr DurationMs kStillHereMs = 150;

/// Answers one call. @returns the body of the answer, or why there is none.
using PeerHandler = std::function<Task<Result<std::string>>(PeerCall& call)>;

/// Both ends of the calls between peers. With a fleet secret every call and
/// answer proves that its sender knows it.
class PeerLink {
 public:
  PeerLink(Loop& event_loop, PeerIdentity peer_identity);

  /// Registers the handler of a path.
  void Handle(std::string path, PeerHandler handler);
  /// The same for a handler that may take long: the caller hears at once that
  /// its call arrived; the handler says again and again that it is still
  /// here.
  void HandleLong(std::string path, PeerHandler handler);
  /// @returns false when the port cannot be had.
  [[nodiscard]] bool Start();
  void Stop();
  /// Calls a peer. An error whose `ran` is `kNo` promises that no byte left.
  Task<Result<std::string>> Call(std::string ip, std::string path,
                                 std::string body, TimeMs deadline);
  /// Calls a handler that may take long.
  /// @param ack_ms Until the peer must say that the call arrived.
  /// @param deadline Until which the answer is waited for.
  Task<Result<std::string>> CallLong(std::string ip, std::string path,
                                     std::string body, DurationMs ack_ms,
                                     TimeMs deadline, Cancellation& cancel);
  void Tick(TimeMs now);
  [[nodiscard]] Loop& GetLoop() noexcept;

 private:
  struct Handler {
    PeerHandler answer;
    bool is_long = false;
  };
  struct SignedCall {
    std::string address;
    std::string bytes;
    std::string tag;  ///< Empty without a fleet secret.
  };

  Task<> Answer(Exchange& exchange);
  Task<> AnswerLong(PeerCall& call, const PeerHandler& handler,
                    std::string tag);
  [[nodiscard]] SignedCall Sign(const std::string& ip, const std::string& path,
                                const std::string& body) const;
  /// The answer's body, if it proves to come from a peer.
  [[nodiscard]] Result<std::string> Check(const std::string& ip, int status,
                                          std::string body,
                                          std::string_view proof,
                                          const std::string& tag) const;
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
