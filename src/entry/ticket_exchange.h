/// @file
/// Runs each request of a run-once route at most once. Such a request carries a
/// ticket, and only the process that minted the ticket runs it.
#pragma once

#include <string>
#include <string_view>

#include "limpethaven/ticket_book.h"
#include "peer/peer_link.h"
#include "router/router.h"

namespace limpethaven {

/// Mints the tickets of one process, runs the requests that carry them, and
/// forwards requests with tickets of other processes to their minters.
class TicketExchange {
 public:
  /// @param process_id Identity of this process, which tickets name as minter.
  /// @param secret Secret of the fleet, which signs tickets.
  TicketExchange(VmId process_id, std::string secret, PeerLink& peer_link,
                 Router& request_router);

  /// Mints a signed ticket. Fails with `kCapacity` when there are too many
  /// ticket records.
  /// @param team Empty for routes that are open to all callers.
  [[nodiscard]] Result<std::string> Mint(std::string_view team);
  /// Answers a caller's request to a run-once route.
  Task<> Serve(Exchange& exchange);
  /// Evicts ticket records whose retention has ended.
  void Tick(TimeMs now);

 private:
  /// Admits a request and checks its ticket, then runs the request here or
  /// forwards it to the minter.
  /// @param peer_team Team that a forwarding peer has authenticated; null for a
  /// request that came from a caller.
  Task<> RunOrForward(Exchange& exchange, const std::string* peer_team);
  /// Runs a request whose ticket this process minted.
  Task<> RunLocally(Exchange& exchange, Ticket ticket,
                    const std::string* peer_team);
  /// Has the minter run a request, and passes its response on.
  Task<> Forward(Exchange& exchange, std::string minter, std::string team);
  /// Answers a peer that forwards a request.
  Task<Result<std::string>> AnswerForwarded(PeerCall& call);

  VmId self;
  std::string fleet_secret;
  PeerLink& link;
  Router& router;
  TicketBook tickets;
};

}  // namespace limpethaven
