/// @file
/// The product's own caller interface: which part answers which call.
#pragma once

#include <string>

#include "entry/ticket_exchange.h"
#include "node/entry_node.h"

namespace limpethaven {

/// Answers callers of one process.
class CallerApi {
 public:
  /// Takes over the callers' address of `entry_node`.
  CallerApi(EntryNode& entry_node, std::string secret);

  Task<> Answer(Exchange& exchange);

 private:
  Task<> AnswerAddresses(Exchange& exchange);
  Task<> MintTicket(Exchange& exchange);
  Task<> CancelRequest(Exchange& exchange);
  Task<Result<std::string>> AnswerCancel(PeerCall& call);
  /// Team of the key that a call shows.
  [[nodiscard]] Result<std::string> TeamOf(const RequestHead& head) const;

  EntryNode& node;
  TicketExchange tickets;
};

}  // namespace limpethaven
