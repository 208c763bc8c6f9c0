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

/// Tolerance of the bound on a team's spending above its rate and burst. With
/// all members 0, the bound is rate and burst themselves.
struct LimitTolerance {
  /// The bound applies to every window of this length.
  DurationMs window_ms = 0;
  /// Tolerated excess, as a ratio of rate and burst.
  double excess_ratio = 0;
  /// Tokens that are tolerated in addition.
  Tokens slack_tokens = 0;
  friend auto operator<=>(const LimitTolerance&,
                          const LimitTolerance&) = default;
};

/// The burst that a team's ledger may use: the team's burst, raised by the part
/// of the tolerance that spending could not use otherwise.
[[nodiscard]] Tokens LedgerBurst(const TeamSpec& team,
                                 const LimitTolerance& tolerance);

/// Share ledger of one process, with borrowing from its peers.
class ShareExchange {
 public:
  ShareExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                std::string local_data_centre, LimitTolerance limit_tolerance,
                DurationMs wait_ms);

  /// Sets the teams and the number of slots.
  void Configure(const Configuration& config);
  /// Counts the processes that may be alive, and divides rates and bursts by
  /// more slots when there are more than before.
  void Tick();
  /// Charges a request. A team without a rate is not limited. The error is
  /// `kRequestOverBurst` when the request can never be charged, `kTeamLimit`
  /// when the tokens were not there in time.
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

  /// Tokens of a team that a peer had left after its last answer.
  struct LenderBalance {
    Tokens available = 0;
    TimeMs received_at = 0;
  };

  Task<Result<std::string>> AnswerLend(PeerCall& call);
  Task<Result<std::string>> AnswerConfirm(PeerCall& call);
  /// Borrows `missing` tokens, unless the team is in its cool-down, and charges
  /// the request.
  Task<ChargeOutcome> ChargeWithLoans(std::string team, std::string request_id,
                                      Tokens tokens, Tokens missing);
  /// Number of slots that rates and bursts are divided into.
  [[nodiscard]] std::int64_t SlotCount() const;
  /// Calls lenders in turn until they have lent `missing` tokens.
  Task<std::vector<Loan>> Borrow(std::string team, Tokens missing);
  /// Confirms to the lenders that the loans were accepted.
  void Confirm(const std::vector<Loan>& loans);
  /// Addresses of peers to borrow a team's tokens from, in descending order of
  /// their estimated balance, weighted by data centre.
  [[nodiscard]] std::vector<std::string> RankLenders(const std::string& team);

  PeerLink& link;
  const Gossip& gossip;
  std::string data_centre;
  LimitTolerance tolerance;
  /// Longest wait for tokens before a request is refused.
  DurationMs max_wait_ms;
  ShareLedger ledger;
  /// Teams with the bursts that the ledger uses.
  NamedTable<TeamSpec> teams;
  /// Slots in the configuration; 0 for one slot for each member.
  std::int64_t configured_slots = 0;
  std::int64_t slots = 1;
  /// End of the cool-down after peers could not lend enough, keyed by team.
  std::unordered_map<std::string, TimeMs> borrow_cooldown_until;
  /// Keyed by team, then by the lender's address.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, LenderBalance>>
      lender_balances;
  std::uint64_t next_transfer_number = 1;
  Tokens borrowed = 0;
};

}  // namespace limpethaven
