/// @file
/// Right of one process at a time to send orders to the engines of a cell, and
/// the fencing tokens of these orders.
///
/// No state is shared, so the right follows from time alone: a process has it
/// when it has been the first owner of the cell without interruption, was not
/// paused and reached a majority of the members for longer than an earlier
/// holder needs to notice that it has lost one of these.
///
/// A holder claims the term of its tokens while it waits, and uses it only when
/// a majority of the members has been told. Two majorities have a member in
/// common, so a later holder hears the term also when the earlier one dies
/// right after its first order.
///
/// A member that restarts forgets the terms that it was told. A term therefore
/// begins with a revision of the source, which outlives all processes, and a
/// claim needs a majority of members that have started before that revision:
/// such a member either remembers an earlier term, or was told of it before it
/// started, when the source had a lower revision. Where the source does not
/// change, it is enough that they have started long ago: an order that an
/// engine carries out changes the source.
#pragma once

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <optional>
#include <string_view>

#include "limpethaven/clock.h"
#include "limpethaven/source_revision.h"

namespace limpethaven {

/// Settings of an order lease.
struct OrderLeaseSettings {
  /// No two holders send orders to one engine within this time.
  DurationMs lease_ms = 3000;
  /// Added to `lease_ms` to get the wait of a new holder: an earlier one may
  /// still reach its last members or have an order on its way.
  DurationMs margin_ms = 2000;
  /// Calls of `Update` that are further apart are taken for a pause of this
  /// process.
  DurationMs max_update_gap_ms = 1000;
  /// A member counts as reached for this time from the send of a call that it
  /// answered.
  DurationMs contact_ttl_ms = 1500;
  /// The majority is that of the largest number of members that were known
  /// within this time.
  DurationMs member_retention_ms = 60'000;
};

/// What a lease depends on, as of one moment.
struct OrderLeaseInput {
  /// Whether this process is the first owner of the cell.
  bool first_owner = false;
  /// Processes that may be alive, this one included, whether they can be
  /// reached or not; 0 while their number is not known.
  std::size_t known_members = 0;
  /// Members, this process included, that have answered a call which was sent
  /// within `OrderLeaseSettings::contact_ttl_ms`.
  std::size_t reached_members = 0;
  /// Those of `reached_members` that remember all terms with `revision` whose
  /// orders an engine may still carry out.
  std::size_t remembering_members = 0;
  /// Revision of the source that this process knows.
  SourceRevision revision;
};

/// Why a lease is not held.
enum class OrderLeaseState {
  kHeld,
  kNotOwner,  ///< Another process is the first owner.
  /// Half of the members or fewer are reached, or their number is not known.
  kNoMajority,
  kPaused,   ///< `Update` was not called for too long.
  kWaiting,  ///< Earlier holders may still send orders.
  /// Half of the members or more may have forgotten earlier terms: a term can
  /// be claimed after the next change of the source, or when they have run for
  /// long enough.
  kNoNewRevision,
};

/// Name of a state: `held`, `not_owner`, `no_majority`, `paused`, `waiting` or
/// `no_new_revision`.
[[nodiscard]] std::string_view NameOf(OrderLeaseState state) noexcept;

/// Order of the claims of a cell's lease. The default value stands for none.
struct OrderTerm {
  static constexpr unsigned kEraBits = 8;
  static constexpr unsigned kNumberBits = 31;
  static constexpr unsigned kStepBits = 3;
  static constexpr std::uint32_t kMaxStep = (1U << kStepBits) - 1;

  /// Revision of the source when the first term with it was claimed.
  SourceRevision revision;
  /// Number of the claim among those with this revision. `kMaxStep` is never
  /// claimed; it follows two claims of the same term.
  std::uint32_t step = 0;
  friend auto operator<=>(const OrderTerm&, const OrderTerm&) = default;
};

/// Writes `revision/step`.
std::ostream& operator<<(std::ostream& out, const OrderTerm& term);

/// Parts of a fencing token, from the high bits: a bit that is always set, 42
/// bits of term, 4 bits of counter and 6 bits of the holder's hash. The bit
/// puts the tokens above those of earlier versions, which had other parts.
struct OrderToken {
  static constexpr unsigned kHolderBits = 6;
  static constexpr unsigned kCounterBits = 4;
  static constexpr unsigned kTermBits =
      OrderTerm::kEraBits + OrderTerm::kNumberBits + OrderTerm::kStepBits;

  OrderTerm term;
  std::uint32_t counter = 0;
  std::uint32_t holder = 0;
  /// A number below 2^53.
  [[nodiscard]] std::uint64_t Value() const noexcept;
  friend auto operator<=>(const OrderToken&, const OrderToken&) = default;
};

/// Hash of a process for its claims and tokens, from its address and
/// incarnation; 12 bits, not 0.
[[nodiscard]] std::uint32_t OrderHolderHash(std::string_view address,
                                            std::uint64_t incarnation);

/// Lease of one process on the orders to the engines of one cell. Does no I/O
/// and reads no clock. Not thread safe.
class OrderLease {
 public:
  /// @param holder_hash From `OrderHolderHash`.
  explicit OrderLease(std::uint32_t holder_hash,
                      OrderLeaseSettings initial = {});

  /// Updates the conditions. Call it several times within
  /// `OrderLeaseSettings::max_update_gap_ms`.
  void Update(const OrderLeaseInput& input, TimeMs now);
  /// Starts the wait anew, because this process was paused or an engine has
  /// seen a higher token.
  void Interrupt(TimeMs now);
  /// Takes note of a term that a holder of this cell has used. A term above its
  /// own shows that another process has held the lease, which starts the wait
  /// anew.
  void HearTerm(const OrderTerm& term, TimeMs now);
  /// Takes note of a term that was used in another cell of the pool, whose
  /// engines may move to this one. Later tokens are above it.
  void HearOtherTerm(const OrderTerm& term);
  /// State as of `now`, which may be later than the last `Update`. Check it
  /// again directly before an order is sent.
  [[nodiscard]] OrderLeaseState State(TimeMs now) const;
  /// Token of the next order; empty when the lease is not held.
  [[nodiscard]] std::optional<OrderToken> NextToken(TimeMs now);
  /// Term that this process claimed last.
  [[nodiscard]] const OrderTerm& OwnTerm() const noexcept;
  /// Highest term that is known: claimed by this process, or heard from another
  /// one.
  [[nodiscard]] OrderTerm HighestTerm() const noexcept;

 private:
  struct KnownMembers {
    TimeMs at = 0;
    std::size_t count = 0;
  };

  /// Term above all known ones that can be claimed at a revision; empty if
  /// there is none.
  [[nodiscard]] std::optional<OrderTerm> NextTerm(
      const SourceRevision& revision) const;
  /// Whether the claimed term can be used for a further token.
  [[nodiscard]] bool HasTerm() const noexcept;
  /// Records the present number of members. @returns the largest of the
  /// retention.
  [[nodiscard]] std::size_t LargestKnown(std::size_t present, TimeMs now);

  std::uint32_t holder;
  OrderLeaseSettings settings;
  /// Numbers of known members, each larger than all later ones, oldest first.
  std::deque<KnownMembers> known;
  /// Since when all conditions have held; empty while one does not.
  std::optional<TimeMs> held_since;
  std::optional<TimeMs> updated_at;
  OrderLeaseState reason = OrderLeaseState::kNotOwner;
  OrderTerm heard_term;
  OrderTerm other_term;
  OrderTerm own_term;
  /// Whether a claim is due and needs a change of the source.
  bool needs_revision = false;
  /// `held_since` when `own_term` was claimed. Each wait needs a new claim.
  std::optional<TimeMs> claimed_for;
  TimeMs claimed_at = 0;
  std::uint32_t counter = 0;
};

}  // namespace limpethaven
