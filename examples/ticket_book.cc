/// @file
/// A request that runs at most once, however often its ticket is sent.
#include <iostream>

#include "limpethaven/limpethaven.h"

int main() {
  const limpethaven::VmId self{"10.0.0.1", 1};
  limpethaven::TicketBook book(self);
  const auto ticket = book.Mint("north", limpethaven::RandomHex(16), 0);
  const std::string text =
      limpethaven::EncodeTicket("a-secret-of-the-fleet", ticket.value());

  int runs = 0;
  for (int sending = 0; sending < 3; ++sending) {
    const auto read = limpethaven::DecodeTicket("a-secret-of-the-fleet", text);
    const auto begun = book.Begin(*read, "north", 100 + sending);
    if (!begun) {
      std::cout << "sending " << sending << ": " << begun.error() << '\n';
      continue;
    }
    ++runs;
    book.Finish(read->nonce);
    std::cout << "sending " << sending << ": ran\n";
  }
  return runs == 1 ? 0 : 1;
}
