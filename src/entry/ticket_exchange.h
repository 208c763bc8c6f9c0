/// @file
/// Runs calls that may not be repeated at most once: only the process that
/// minted a call's ticket runs it.
#pragma once

#include <string>
#include <string_view>

#include "limpethaven/ticket_book.h"
#include "peer/peer_link.h"
#include "router/router.h"

namespace limpethaven {

/// Tickets of one process, and the way to those of its peers.
class TicketExchange {
 public:
  TicketExchange(VmId own, std::string secret, PeerLink& peer_link,
                 Router& request_router);

  /// Mints a ticket for a team; empty team for routes open to all.
  [[nodiscard]] Result<std::string> Mint(std::string_view team);
  /// Answers a call that carries a ticket.
  Task<> Serve(Exchange& exchange);
  void Tick(TimeMs now);

 private:
  /// @param peer_team Team that a peer names; null for callers' own calls.
  Task<> ServeAs(Exchange& exchange, const std::string* peer_team);
  Task<> RunHere(Exchange& exchange, Ticket ticket,
                 const std::string* peer_team);
  Task<> Forward(Exchange& exchange, std::string minter, std::string team);
  Task<Result<std::string>> AnswerForwarded(PeerCall& call);

  VmId self;
  std::string fleet_secret;
  PeerLink& link;
  Router& router;
  TicketBook tickets;
};

}  // namespace limpethaven
