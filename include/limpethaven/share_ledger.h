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
/// expires. Unused tokens of a finished request are refunded only as far as a
/// bucket that was charged with the true cost would still hold them.
///
/// These rules together keep, for every window W:
/// tokens spent by the fleet <= rate * W + burst.
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
  /// The borrower may spend a transfer for this time after requesting it, and
  /// the lender counts it against its cap for this time after lending.
  DurationMs transfer_ttl_ms = 1000;
  /// Tokens that a team has when its process starts, over all slots together.
  /// An earlier process on the slot may have spent its share already, so a
  /// value above 0 needs a limit on the fleet that allows for these tokens.
  Tokens initial_tokens = 0;
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
  Tokens available = 0;
  Tokens cap = 0;               ///< The slot's part of the burst.
  Tokens lent_in_flight = 0;    ///< Lent, neither confirmed nor expired.
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

  /// Sets the rates and bursts of all teams, divided by `slots`. Teams that are
  /// not in `teams` are removed. A new team starts with its part of
  /// `initial_tokens` and accrues nothing for `transfer_ttl_ms`.
  void Configure(const NamedTable<TeamSpec>& teams, std::int64_t slots,
                 TimeMs now);
  /// Sets teams and slots from a configuration.
  void Configure(const Configuration& config, TimeMs now);
  /// Charges `tokens` for a request against the team's bucket and the
  /// `received` transfers. Transfers that have expired or were accepted before
  /// add nothing. When the sum falls short, nothing is charged and the received
  /// tokens are added to the bucket as far as the cap allows.
  [[nodiscard]] ChargeOutcome TryCharge(std::string_view team,
                                        std::string_view request_id,
                                        Tokens tokens,
                                        const std::vector<Transfer>& received,
                                        TimeMs now);
  /// Ends a charge. @param used Tokens that the request used. @returns the
  /// tokens that are refunded.
  Tokens Settle(std::string_view request_id, Tokens used, TimeMs now);
  /// Lends up to `wanted` tokens to a peer. A transfer id that was used before
  /// lends nothing. @returns the tokens lent.
  [[nodiscard]] Tokens Lend(std::string_view team, std::string_view transfer_id,
                            Tokens wanted, TimeMs now);
  /// Ends a transfer that the borrower has accepted: it no longer counts
  /// against this process's cap.
  void Confirm(std::string_view transfer_id, TimeMs now);
  /// A team's share in this process; zeros for an unknown team.
  [[nodiscard]] ShareView View(std::string_view team, TimeMs now);
  /// The team's burst over all slots, which no charge can exceed; 0 for an
  /// unknown team.
  [[nodiscard]] Tokens Burst(std::string_view team) const;

 private:
  using MilliTokens = std::int64_t;

  /// Highest level since the admission of request `first_admission`.
  struct PeakStep {
    MilliTokens peak = 0;  ///< Relative to `TeamShare::refund_offset`.
    std::uint64_t first_admission = 0;
  };

  /// Token bucket of one team.
  struct TeamShare {
    std::int64_t rate_per_s = 0;
    MilliTokens burst = 0;
    MilliTokens cap = 0;
    MilliTokens level = 0;
    MilliTokens in_flight = 0;
    /// What the last division by `slots` left over.
    std::int64_t accrual_remainder = 0;
    TimeMs accrued_at = 0;
    /// Sum of the refunds since `peaks` was last cleared. They would have been
    /// in the bucket since admission, so each raises all recorded peaks.
    MilliTokens refund_offset = 0;
    /// Ascending by `first_admission`, descending by `peak`.
    std::vector<PeakStep> peaks;
    std::uint64_t next_admission = 0;
    std::int64_t in_service = 0;
  };

  struct Charge {
    std::string team;
    MilliTokens charged = 0;
    std::uint64_t admission = 0;
  };

  struct LentTransfer {
    std::string team;
    MilliTokens tokens = 0;
    TimeMs expires_at = 0;
  };

  [[nodiscard]] TeamShare* Find(std::string_view team, TimeMs now);
  void Accrue(TeamShare& share, TimeMs now) const;
  static void ObservePeak(TeamShare& share);
  [[nodiscard]] static MilliTokens PeakSince(const TeamShare& share,
                                             std::uint64_t admission);
  [[nodiscard]] MilliTokens Accept(const std::vector<Transfer>& received,
                                   std::string_view team, TimeMs now);
  void ExpireTransfers(TimeMs now);

  ShareSettings settings;
  std::int64_t slots = 1;
  /// Keyed by team.
  std::unordered_map<std::string, TeamShare> shares;
  /// Charges that are not settled, by request id.
  std::unordered_map<std::string, Charge> charges;
  /// Transfers lent to peers, by transfer id, until they expire.
  std::unordered_map<std::string, LentTransfer> lent_transfers;
  /// Expiry of each accepted transfer, by its id.
  std::unordered_map<std::string, TimeMs> accepted_transfers;
  TimeMs next_expiry_check = 0;
};

}  // namespace limpethaven
