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
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/gossip.h"

namespace limpethaven {

/// A peer's call while it is answered.
struct PeerCall {
  VmId from;
  const std::string& body;
  Exchange& exchange;  ///< To notice that the peer no longer waits.
};

/// Answers one call. @returns the body of the answer, or why there is none.
using PeerHandler2 = std::function<Task<Result<std::string>>(PeerCall& call)>;

/// Both ends of the calls between peers. With a fleet secret every call and
/// answer proves that its sender knows it.
class PeerLink {
 public:
  PeerLink(Loop& event_loop, PeerIdentity peer_identity);

  /// Registers the handler of a path.
  void Handle(std::string path, PeerHandler2 handler);
  /// @returns false when the port cannot be had.
  [[nodiscard]] bool Start();
  void Stop();
  /// Calls a peer. An error whose `ran` is `kNo` promises that no byte left.
  Task<Result<std::string>> Call(std::string ip, std::string path,
                                 std::string body, TimeMs deadline);
  void Tick(TimeMs now);
  [[nodiscard]] Loop& OfLoop() noexcept;

 private:
  Task<> Answer(Exchange& exchange);
  [[nodiscard]] std::string TagOf(std::string_view from, std::string_view to,
                                  std::string_view path,
                                  std::string_view nonce,
                                  std::string_view body) const;

  Loop& loop;
  PeerIdentity identity;
  ConnectionPool pool;
  HttpServer2 server;
  std::map<std::string, PeerHandler2, std::less<>> handlers;
};

}  // namespace limpethaven
