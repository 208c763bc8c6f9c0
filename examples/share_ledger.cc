/// @file
/// Two processes that share a team's rate: one borrows from the other before it
/// refuses.
#include <iostream>

#include "limpethaven/limpethaven.h"

int main() {
  using limpethaven::ShareLedger;
  limpethaven::Configuration config;
  config.fleet.share_slots = 2;
  config.teams.emplace("north", limpethaven::TeamSpec{"north", 1000, 4000, 1});

  ShareLedger here;
  ShareLedger peer;
  here.Configure(config, 0);
  peer.Configure(config, 0);

  const limpethaven::TimeMs now = 10'000;
  const auto alone = here.TryCharge("north", "request-1", 3000, {}, now);
  std::cout << "alone: " << alone.missing << " tokens short\n";

  const auto lent = peer.Lend("north", "transfer-1", alone.missing, now);
  const limpethaven::Transfer transfer{"transfer-1", "north", lent, now};
  const auto together =
      here.TryCharge("north", "request-1", 3000, {transfer}, now + 2);
  std::cout << "with " << lent
            << " borrowed: " << (together.charged ? "charged" : "short")
            << '\n';
  peer.Confirm("transfer-1", now + 4);

  const auto back = here.Settle("request-1", 2400, now + 900);
  std::cout << back << " unused tokens came back\n";
  return together.charged ? 0 : 1;
}
