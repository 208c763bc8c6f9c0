/// @file
/// Token buckets that hold one process's share of every team's rate and burst,
/// with borrowing between processes.
///
/// The fleet's rate and burst are divided into a configured number of slots
/// (`FleetSpec::share_slots`). Each process accrues rate / slots and holds at
/// most burst / slots. It starts empty and accrues nothing until all transfers
/// of an earlier process on the same slot have expired. Tokens move between
/// processes by transfers. The lender subtracts the tokens before it sends
/// them, and counts them against its cap until the transfer is confirmed or
/// expires. Unused tokens of a finished request are refunded, except those that
/// would have overflowed the bucket if only the true cost had been charged.
///
/// These rules guarantee for every time window of W seconds: tokens spent by
/// the fleet <= rate * W + burst. A process that does not know how many others
/// there are has no slots yet: it holds nothing, and what has accrued since its
/// start is added when it knows them.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"

namespace limpethaven {

/// Settings of a share ledger.
struct ShareSettings {
  /// The borrower may spend a transfer for this time after requesting it. The
  /// lender counts the transfer against its cap for this time after lending,
  /// which ends later, because the request comes first.
  DurationMs transfer_ttl_ms = 1000;
};

/// Tokens lent by one process to another.
struct Transfer {
  std::string id;  ///< Chosen by the borrower, which accepts it once.
  std::string team;
  Tokens tokens = 0;
  TimeMs requested_at = 0;  ///< On the borrower's clock.
  friend auto operator<=>(const Transfer&, const Transfer&) = default;
};

std::ostream& operator<<(std::ostream& out, const Transfer& transfer);

/// Outcome of a charge.
struct ChargeOutcome {
  bool charged = false;
  Tokens missing = 0;  ///< Tokens that the charge falls short by.
  friend auto operator<=>(const ChargeOutcome&, const ChargeOutcome&) = default;
};

/// One team's share in this process.
struct ShareView {
  Tokens available = 0;  ///< Tokens in the bucket.
  Tokens cap = 0;        ///< Most tokens held: burst / slots.
  /// Tokens lent by transfers that are neither confirmed nor expired.
  Tokens lent_in_flight = 0;
  std::int64_t in_service = 0;  ///< Charges that are not settled.
  friend auto operator<=>(const ShareView&, const ShareView&) = default;
};

/// Share ledger of one process. Not thread safe. `now` must not decrease from
/// one call to the next.
///
/// Example:
/// ```
/// ledger.Configure(config, now);
/// if (ledger.TryCharge("north", "r1", 120, {}, now).charged)
/// ledger.Settle("r1", 80, later);
/// ```
class ShareLedger {
 public:
  explicit ShareLedger(ShareSettings settings = {});

  /// Sets the rates and bursts of all teams, divided by `slots`; with 0 slots
  /// the buckets hold nothing, and accrual is deferred until there are some.
  /// Teams that are not in `teams` are removed. A new team starts empty and
  /// accrues nothing for `transfer_ttl_ms`.
  void Configure(const NamedTable<TeamSpec>& teams, std::int64_t slots,
                 TimeMs now);
  /// Sets teams and slots from a configuration.
  void Configure(const Configuration& config, TimeMs now);
  /// Charges `tokens` for a request against the team's bucket and the
  /// `received` transfers. Transfers that have expired, were accepted before or
  /// belong to another team add nothing. When the sum falls short, nothing is
  /// charged and the received tokens are added to the bucket as far as the cap
  /// allows. A charge for an unknown team fails.
  [[nodiscard]] ChargeOutcome TryCharge(std::string_view team,
                                        std::string_view request_id,
                                        Tokens tokens,
                                        const std::vector<Transfer>& received,
                                        TimeMs now);
  /// Ends a charge. @param used Tokens that the request used. @returns the
  /// tokens that are refunded.
  Tokens Settle(std::string_view request_id, Tokens used, TimeMs now);
  /// Lends up to `wanted` tokens to a peer. A repeated call with the id of a
  /// transfer that has not expired lends nothing, also after its confirmation.
  /// @returns the tokens lent.
  [[nodiscard]] Tokens Lend(std::string_view team, std::string_view transfer_id,
                            Tokens wanted, TimeMs now);
  /// Ends a transfer that the borrower has accepted: its tokens no longer count
  /// against this process's cap.
  void Confirm(std::string_view transfer_id, TimeMs now);
  /// Takes back the tokens of a transfer that the borrower will never accept.
  /// Without effect once the transfer has expired or was confirmed.
  void Return(std::string_view transfer_id, TimeMs now);
  /// A team's share in this process; zeros for an unknown team.
  [[nodiscard]] ShareView View(std::string_view team, TimeMs now);
  /// The team's burst over all slots, which no charge can exceed; 0 for an
  /// unknown team.
  [[nodiscard]] Tokens Burst(std::string_view team) const;

 private:
  using MilliTokens = std::int64_t;

  /// Highest sum of the level and the tokens in flight since an admission. It
  /// holds for the admissions from `first_admission` up to that of the next
  /// step.
  struct PeakStep {
    MilliTokens peak = 0;               ///< Without `TeamShare::refund_offset`.
    std::uint64_t first_admission = 0;  ///< Number of the admission.
  };

  /// Token bucket of one team.
  struct TeamShare {
    std::int64_t rate_per_s = 0;
    MilliTokens burst = 0;
    MilliTokens cap = 0;
    MilliTokens level = 0;      ///< Tokens in the bucket.
    MilliTokens in_flight = 0;  ///< Lent, neither confirmed nor expired.
    /// Remainder of dividing the accrued tokens by `slots`, which is added to
    /// the next accrual. In thousandths of tokens of the whole fleet.
    std::int64_t accrual_remainder = 0;
    /// Time up to which tokens have accrued, or from which they accrue.
    TimeMs accrued_at = 0;
    /// Sum of the refunds since `peaks` was last cleared. Refunded tokens count
    /// as if they had always been in the bucket, so each refund raises all
    /// recorded peaks: a peak is `PeakStep::peak` plus this sum.
    MilliTokens refund_offset = 0;
    /// Sorted by ascending `first_admission` and descending `peak`.
    std::vector<PeakStep> peaks;
    std::uint64_t next_admission = 0;  ///< Number of the next admission.
    std::int64_t in_service = 0;       ///< Charges that are not settled.
  };

  struct Charge {
    std::string team;
    MilliTokens charged = 0;
    std::uint64_t admission = 0;  ///< Number of the admission.
  };

  struct LentTransfer {
    std::string team;
    MilliTokens tokens = 0;  ///< 0 once it was confirmed or returned.
    TimeMs expires_at = 0;
  };

  /// Returns the team's share, brought up to date; null for an unknown team.
  [[nodiscard]] TeamShare* Find(std::string_view team, TimeMs now);
  void Accrue(TeamShare& share, TimeMs now) const;
  /// Raises the recorded peaks that are below the current level.
  static void ObservePeak(TeamShare& share);
  /// Highest sum of the level and the tokens in flight since an admission.
  [[nodiscard]] static MilliTokens PeakSince(const TeamShare& share,
                                             std::uint64_t admission);
  /// Accepts the transfers that can be spent. @returns the sum of their tokens.
  [[nodiscard]] MilliTokens Accept(const std::vector<Transfer>& received,
                                   std::string_view team, TimeMs now);
  void ExpireTransfers(TimeMs now);

  ShareSettings settings;
  std::int64_t slots = 0;  ///< 0: not known.
  /// Share of each team, keyed by its name.
  std::unordered_map<std::string, TeamShare> shares;
  /// Charges that are not settled, keyed by request id.
  std::unordered_map<std::string, Charge> charges;
  /// Transfers lent to peers, keyed by transfer id. They are kept until they
  /// expire.
  std::unordered_map<std::string, LentTransfer> lent_transfers;
  /// Expiry times of accepted transfers, keyed by transfer id.
  std::unordered_map<std::string, TimeMs> accepted_transfers;
  TimeMs next_expiry_check = 0;
};

}  // namespace limpethaven
