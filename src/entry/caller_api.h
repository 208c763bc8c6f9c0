/// @file
/// HTTP API of the product's own caller protocol: dispatches requests by path.
#pragma once

#include <string>

#include "entry/ticket_exchange.h"
#include "node/entry_node.h"

namespace limpethaven {

/// Answers the callers of one process. Address lists, tickets and cancels are
/// answered here; all other requests are passed to the router.
class CallerApi {
 public:
  /// Registers its handlers at `entry_node`: for callers' requests, for ticks
  /// and for cancels from peers.
  /// @param secret Secret of the fleet, which signs tickets.
  CallerApi(EntryNode& entry_node, std::string secret);

  /// Answers one caller's request.
  Task<> Answer(Exchange& exchange);

 private:
  Task<> AnswerAddresses(Exchange& exchange);
  Task<> MintTicket(Exchange& exchange);
  Task<> CancelRequest(Exchange& exchange);
  Task<Result<std::string>> AnswerCancel(PeerCall& call);
  /// Team that the API key of a request belongs to. Fails with `kKeyMissing` or
  /// `kKeyRejected`.
  [[nodiscard]] Result<std::string> TeamOf(const RequestHead& head) const;

  EntryNode& node;
  TicketExchange tickets;
};

}  // namespace limpethaven
