/// @file
/// Charges teams for requests, borrowing from peers before it refuses.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/share_ledger.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"

namespace limpethaven {

/// How far the bound on a team's spending lies above its rate and burst. All
/// zero where the bound is rate and burst themselves.
struct LimitTolerance {
  DurationMs window_ms = 0;  ///< The bound is on every span of this length.
  double excess = 0;         ///< Part of rate and burst that is tolerated.
  Tokens slack = 0;          ///< Tokens on top.
  friend auto operator<=>(const LimitTolerance&,
                          const LimitTolerance&) = default;
};

/// The burst that a team's ledger may use: rate and burst, raised by what the
/// bound tolerates and spending cannot otherwise reach.
[[nodiscard]] Tokens LedgerBurst(const TeamSpec& team,
                                 const LimitTolerance& tolerance);

/// Share ledger of one process with its peers.
class ShareExchange {
 public:
  ShareExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                std::string own_data_centre, LimitTolerance limit_tolerance,
                DurationMs wait_ms);

  void Configure(const Configuration& config);
  /// Counts the processes that may be alive, and cuts shares anew when there
  /// are more than before.
  void Tick();
  /// Charges a request, or says why not. A team without a rate is not limited.
  Task<Result<void>> Charge(std::string team, std::string request_id,
                            Tokens tokens);
  /// Ends a charge and gives back what was not used.
  void Settle(std::string_view request_id, Tokens used);
  [[nodiscard]] ShareView View(std::string_view team);
  /// Tokens borrowed since the start.
  [[nodiscard]] Tokens Borrowed() const noexcept;

 private:
  struct Loan {
    Transfer transfer;
    std::string lender;
  };

  /// What a peer had left of a team's tokens.
  struct LenderRow {
    Tokens left = 0;
    TimeMs heard_at = 0;
  };

  Task<Result<std::string>> AnswerLend(PeerCall& call);
  Task<Result<std::string>> AnswerConfirm(PeerCall& call);
  Task<ChargeOutcome> ChargeWithLoans(std::string team, std::string request_id,
                                      Tokens tokens, Tokens missing);
  /// Processes that the rate is cut for.
  [[nodiscard]] std::int64_t Slots() const;
  Task<std::vector<Loan>> Borrow(std::string team, Tokens missing);
  void Confirm(const std::vector<Loan>& loans);
  /// Peers to ask for a team's tokens, those that seem to have most first.
  [[nodiscard]] std::vector<std::string> Lenders(const std::string& team);

  PeerLink& link;
  const Gossip& gossip;
  std::string data_centre;
  LimitTolerance tolerance;
  DurationMs max_wait_ms;  ///< For tokens, before a refusal.
  ShareLedger ledger;
  NamedTable<TeamSpec> teams;        ///< With the bursts of the ledger.
  std::int64_t published_slots = 0;  ///< 0: as many as there are members.
  std::int64_t slots = 1;
  std::unordered_map<std::string, TimeMs> poor_until;  ///< By team.
  /// By team and address.
  std::unordered_map<std::string, std::unordered_map<std::string, LenderRow>>
      lenders;
  std::uint64_t next_transfer = 1;
  Tokens borrowed = 0;
};

}  // namespace limpethaven
