/// @file
/// A request that runs at most once, although its ticket is sent three times.
#include <iostream>

#include "limpethaven/limpethaven.h"

int main() {
  const limpethaven::VmId self{"10.0.0.1", 1};
  limpethaven::TicketBook book(self);
  const auto ticket = book.Mint("north", limpethaven::RandomHex(16), 0);
  const std::string ticket_text =
      limpethaven::EncodeTicket("a-secret-of-the-fleet", ticket.value());

  int runs = 0;
  for (int send_index = 0; send_index < 3; ++send_index) {
    const auto decoded =
        limpethaven::DecodeTicket("a-secret-of-the-fleet", ticket_text);
    const auto begun = book.Begin(*decoded, "north", 100 + send_index);
    if (!begun) {
      std::cout << "send " << send_index << ": " << begun.error() << '\n';
      continue;
    }
    ++runs;
    book.Finish(decoded->nonce);
    std::cout << "send " << send_index << ": ran\n";
  }
  return runs == 1 ? 0 : 1;
}
