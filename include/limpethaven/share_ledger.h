/// @file
/// One process's share of every team's rate and burst, with borrowing between
/// processes.
///
/// The fleet's rate and burst are cut into a published number of slots. Each
/// process accrues rate / slots, holds at most burst / slots, and starts empty,
/// earning nothing until transfers of an earlier process on the same slot have
/// expired. Tokens move between processes by transfers that the lender
/// subtracts before sending; a transfer in flight still counts against the
/// lender's cap until it is confirmed or expires. Unused tokens of a finished
/// request come back only as far as a bucket charged with the true cost would
/// still hold them. Together this keeps, for every window W: tokens spent by
/// the fleet <= rate * W + burst.
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
  /// How long a transfer may be spent after it was asked for, and how long the
  /// lender counts it.
  DurationMs transfer_ttl_ms = 1000;
  /// What every team has at the start of a process, over all slots together.
  /// Above 0 only where the bound on the fleet leaves room for what an earlier
  /// process on the slot has spent.
  Tokens initial_tokens = 0;
};

/// Tokens on their way from one process to another.
struct Transfer {
  std::string id;  ///< Chosen by the borrower; accepted once.
  std::string team;
  Tokens tokens = 0;
  TimeMs requested_at = 0;  ///< The borrower's clock when it asked.
  friend auto operator<=>(const Transfer&, const Transfer&) = default;
};

std::ostream& operator<<(std::ostream& out, const Transfer& transfer);

/// What came of a charge.
struct ChargeOutcome {
  bool charged = false;
  Tokens missing = 0;  ///< Tokens short when not charged.
  friend auto operator<=>(const ChargeOutcome&, const ChargeOutcome&) = default;
};

/// What one team has here.
struct ShareView {
  Tokens available = 0;
  Tokens cap = 0;
  Tokens lent_in_flight = 0;
  std::int64_t in_service = 0;
  friend auto operator<=>(const ShareView&, const ShareView&) = default;
};

/// Share ledger of one process. Not thread safe; time must not go back between
/// calls.
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

  /// Takes rates and bursts of teams, cut into `slots`. New teams start with
  /// their part of `initial_tokens` and earn nothing for `transfer_ttl_ms`.
  void Configure(const NamedTable<TeamSpec>& teams, std::int64_t slots,
                 TimeMs now);
  /// The same with the teams and slots of a configuration.
  void Configure(const Configuration& config, TimeMs now);
  /// Charges `tokens` for a request, spending own tokens and `received`
  /// transfers. Transfers past their deadline or seen before add nothing. When
  /// the sum falls short, what was received is kept as far as the cap allows.
  [[nodiscard]] ChargeOutcome TryCharge(std::string_view team,
                                        std::string_view request_id,
                                        Tokens tokens,
                                        const std::vector<Transfer>& received,
                                        TimeMs now);
  /// Ends a charge. @param used Tokens that were really used. @returns tokens
  /// given back.
  Tokens Settle(std::string_view request_id, Tokens used, TimeMs now);
  /// Subtracts up to `wanted` tokens for a peer. A repeated id lends nothing.
  [[nodiscard]] Tokens Lend(std::string_view team, std::string_view transfer_id,
                            Tokens wanted, TimeMs now);
  /// The borrower has accepted the transfer: it no longer counts here.
  void Confirm(std::string_view transfer_id, TimeMs now);
  /// What a team has here; zeros for an unknown team.
  [[nodiscard]] ShareView View(std::string_view team, TimeMs now);
  /// Largest charge the whole fleet could ever cover for a team; 0 for an
  /// unknown team.
  [[nodiscard]] Tokens Burst(std::string_view team) const;

 private:
  using MilliTokens = std::int64_t;

  /// From request `first` on, the level has been as high as `peak` since
  /// admission.
  struct PeakStep {
    MilliTokens peak = 0;  ///< Relative to `Row::refund_offset`.
    std::uint64_t first = 0;
  };

  struct Row {
    std::int64_t rate_per_s = 0;
    MilliTokens burst = 0;
    MilliTokens cap = 0;
    MilliTokens level = 0;
    MilliTokens in_flight = 0;
    std::int64_t accrual_rest = 0;  ///< Remainder of the division by slots.
    TimeMs accrued_at = 0;
    MilliTokens refund_offset = 0;
    std::vector<PeakStep>
        peaks;  ///< Ascending by `first`, descending by `peak`.
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

  [[nodiscard]] Row* Find(std::string_view team, TimeMs now);
  void Accrue(Row& row, TimeMs now) const;
  static void ObservePeak(Row& row);
  [[nodiscard]] static MilliTokens PeakSince(const Row& row,
                                             std::uint64_t admission);
  [[nodiscard]] MilliTokens Accept(const std::vector<Transfer>& received,
                                   std::string_view team, TimeMs now);
  void ExpireTransfers(TimeMs now);

  ShareSettings settings;
  std::int64_t slots = 1;
  std::unordered_map<std::string, Row> rows;
  std::unordered_map<std::string, Charge> charges;
  std::unordered_map<std::string, LentTransfer> lent;
  std::unordered_map<std::string, TimeMs>
      seen;  ///< Accepted transfers, until they expire.
  TimeMs next_expiry_check = 0;
};

}  // namespace limpethaven
