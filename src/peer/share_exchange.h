/// @file
/// Charges teams for requests, and borrows tokens from peers before it refuses
/// a request.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/share_ledger.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"

namespace limpethaven {

/// Tolerance of the bound on a team's spending. In each window, a team may
/// spend (rate * window + burst) * (1 + `excess_ratio`) + `slack_tokens`. With
/// all members 0 it may spend rate * window + burst in windows of any length.
struct LimitTolerance {
  /// The bound applies to every window of this length.
  DurationMs window_ms = 0;
  /// Tolerated excess, as a ratio of rate * window + burst.
  double excess_ratio = 0;
  /// Tokens that are tolerated in addition.
  Tokens slack_tokens = 0;
  friend auto operator<=>(const LimitTolerance&,
                          const LimitTolerance&) = default;
};

/// The burst that a team's ledger may use: the team's burst, plus
/// `excess_ratio` of rate * window + burst, plus three quarters of the slack
/// tokens. It is the team's burst when `window_ms` is 0.
[[nodiscard]] Tokens LedgerBurst(const TeamSpec& team,
                                 const LimitTolerance& tolerance);

/// The team as its ledger has it while a process warms up: with `LedgerBurst`,
/// and with a higher rate where the tolerance has slack tokens.
[[nodiscard]] TeamSpec WarmUpSpec(TeamSpec team,
                                  const LimitTolerance& tolerance);

/// Share ledger of one process, with borrowing from its peers.
class ShareExchange {
 public:
  ShareExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                std::string local_data_centre, LimitTolerance limit_tolerance,
                DurationMs wait_ms);

  /// Sets the teams and the number of slots. Without a configured number, the
  /// process has no tokens of its own until it knows the fleet
  /// (`Membership::KnowsFleet`); it can borrow from members that do. Requests
  /// wait for the time that this usually takes.
  void Configure(const Configuration& config);
  /// Counts the processes that may be alive, and divides rates and bursts by
  /// more slots when there are more than before. The number of slots never
  /// decreases.
  void Tick();
  /// Charges a request. A team without a rate is not limited. The error is
  /// `kRequestOverBurst` when the request can never be charged, `kTeamLimit`
  /// when the process did not get enough tokens within the longest wait.
  Task<Result<void>> Charge(std::string team, std::string request_id,
                            Tokens tokens);
  /// Ends a charge and refunds unused tokens.
  void Settle(std::string_view request_id, Tokens used);
  /// A team's share in this process; zeros for an unknown team.
  [[nodiscard]] ShareView View(std::string_view team);
  /// Tokens borrowed since the start.
  [[nodiscard]] Tokens Borrowed() const noexcept;

 private:
  /// Tokens borrowed from a peer.
  struct Loan {
    Transfer transfer;
    std::string lender;
  };

  /// A peer to borrow from.
  struct Lender {
    std::string address;
    double estimate = 0;  ///< Tokens that it is expected to have.
    double score = 0;     ///< The estimate, weighted by data centre.
  };

  /// Time during which nothing is borrowed for requests that lack as many
  /// tokens as one that peers could not cover.
  struct BorrowCooldown {
    TimeMs until = 0;
    Tokens missing = 0;
  };

  /// Tokens of a team that a peer had left after its last answer.
  struct LenderBalance {
    Tokens available = 0;
    TimeMs received_at = 0;
  };

  Task<Result<std::string>> AnswerLend(PeerCall& call);
  /// Ends the transfers that a peer has accepted, or has not needed.
  Task<Result<std::string>> AnswerTransferEnd(
      PeerCall& call,
      void (ShareLedger::*end)(std::string_view transfer_id, TimeMs now));
  /// Borrows `missing` tokens, unless the team is in its cool-down, and charges
  /// the request.
  Task<ChargeOutcome> ChargeWithLoans(std::string team, std::string request_id,
                                      Tokens tokens, Tokens missing);
  /// Number of slots that rates and bursts are divided into; 0 while it is not
  /// known.
  [[nodiscard]] std::int64_t SlotCount() const;
  /// Sets the ledger's teams and slots, as of now.
  void ConfigureLedger();
  /// Raises the number of slots in use. @returns whether it has changed.
  bool UpdateSlots();
  /// Calls lenders, the fullest ones first, until they have lent `missing`
  /// tokens. May return less, or more.
  Task<std::vector<Loan>> Borrow(std::string team, Tokens missing);
  /// Calls lenders at the same time. Loans that arrive too late are returned.
  Task<std::vector<Loan>> CallLenders(std::string team, Tokens missing,
                                      std::vector<Lender> called);
  /// Borrows from one lender; the loan holds no tokens if it lends none.
  Task<Loan> BorrowFrom(std::string lender, std::string team, Tokens wanted);
  /// Removes loans that add up to at most `surplus` tokens.
  [[nodiscard]] static std::vector<Loan> TakeSurplus(std::vector<Loan>& loans,
                                                     Tokens surplus);
  /// Tells the lenders that the loans were accepted or are not needed.
  /// @param path Path of the call.
  void EndTransfers(const std::vector<Loan>& loans, std::string_view path);
  /// All peers to borrow a team's tokens from, in descending order of their
  /// estimated balance, weighted by data centre.
  [[nodiscard]] std::vector<Lender> RankLenders(const std::string& team);

  PeerLink& link;
  const Gossip& gossip;
  std::string data_centre;
  LimitTolerance tolerance;
  /// Longest wait for tokens before a request is refused.
  DurationMs max_wait_ms;
  TimeMs discovers_until;  ///< The fleet is usually known by then.
  TimeMs warms_up_until;
  bool warms_up = true;  ///< Whether the ledger has the teams of the warm-up.
  ShareLedger ledger;
  /// Teams with the bursts that the ledger uses.
  NamedTable<TeamSpec> teams;
  /// The same with `WarmUpSpec`.
  NamedTable<TeamSpec> warm_up_teams;
  /// Slots in the configuration; 0: one for each other known member and one for
  /// this process.
  std::int64_t configured_slots = 0;
  std::int64_t slots = 0;  ///< Slots in use; 0 while none are known.
  std::unordered_map<std::string, BorrowCooldown>
      borrow_cooldowns;  ///< By team.
  /// Keyed by team, then by the lender's address.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, LenderBalance>>
      lender_balances;
  std::uint64_t next_transfer_number = 1;
  Tokens borrowed = 0;
};

}  // namespace limpethaven
