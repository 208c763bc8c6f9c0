/// @file
/// Two processes share a team's rate. One borrows tokens from the other instead
/// of refusing a request that its own share does not cover.
#include <iostream>

#include "limpethaven/limpethaven.h"

int main() {
  using limpethaven::ShareLedger;
  limpethaven::Configuration config;
  config.fleet.share_slots = 2;
  config.teams.emplace("north", limpethaven::TeamSpec{"north", 1000, 4000, 1});

  ShareLedger borrower;
  ShareLedger lender;
  borrower.Configure(config, 0);
  lender.Configure(config, 0);

  const limpethaven::TimeMs now = 10'000;
  const auto without_loan =
      borrower.TryCharge("north", "request-1", 3000, {}, now);
  std::cout << "without a loan: " << without_loan.missing << " tokens short\n";

  const auto lent_tokens =
      lender.Lend("north", "transfer-1", without_loan.missing, now);
  const limpethaven::Transfer transfer{"transfer-1", "north", lent_tokens, now};
  const auto with_loan =
      borrower.TryCharge("north", "request-1", 3000, {transfer}, now + 2);
  std::cout << "with " << lent_tokens
            << " borrowed: " << (with_loan.charged ? "charged" : "short")
            << '\n';
  lender.Confirm("transfer-1", now + 4);

  const auto refunded_tokens = borrower.Settle("request-1", 2400, now + 900);
  std::cout << refunded_tokens << " unused tokens refunded\n";
  return with_loan.charged ? 0 : 1;
}
