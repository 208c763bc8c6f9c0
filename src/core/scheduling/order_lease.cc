#include "limpethaven/order_lease.h"

#include <algorithm>
#include <ostream>
#include <string>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr std::uint64_t kMaxEra = (1ULL << OrderTerm::kEraBits) - 1;
constexpr std::uint64_t kMaxNumber = (1ULL << OrderTerm::kNumberBits) - 1;
constexpr std::uint32_t kMaxCounter = (1U << OrderToken::kCounterBits) - 1;
constexpr std::uint32_t kHolderMask = (1U << OrderToken::kHolderBits) - 1;
/// Hexadecimal digits of the holder's hash.
constexpr std::size_t kHashDigits = 3;

/// Whether a token can hold the term.
bool FitsToken(const OrderTerm& term) {
  return term.revision.era <= kMaxEra && term.revision.number <= kMaxNumber &&
         term.step <= OrderTerm::kMaxStep;
}

}  // namespace

std::string_view NameOf(OrderLeaseState state) noexcept {
  switch (state) {
    case OrderLeaseState::kHeld:
      return "held";
    case OrderLeaseState::kNotOwner:
      return "not_owner";
    case OrderLeaseState::kNoMajority:
      return "no_majority";
    case OrderLeaseState::kPaused:
      return "paused";
    case OrderLeaseState::kWaiting:
      return "waiting";
    case OrderLeaseState::kNoNewRevision:
      return "no_new_revision";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, const OrderTerm& term) {
  return out << term.revision << '/' << term.step;
}

std::uint64_t OrderToken::Value() const noexcept {
  std::uint64_t value = 1;
  value = (value << OrderTerm::kEraBits) | this->term.revision.era;
  value = (value << OrderTerm::kNumberBits) | this->term.revision.number;
  value = (value << OrderTerm::kStepBits) | this->term.step;
  value = (value << kCounterBits) | this->counter;
  return (value << kHolderBits) | (this->holder & kHolderMask);
}

std::uint32_t OrderHolderHash(std::string_view address,
                              std::uint64_t incarnation) {
  const std::string digest =
      Sha256Hex(std::string(address) + "/" + std::to_string(incarnation));
  const auto hash = static_cast<std::uint32_t>(
      std::stoul(digest.substr(0, kHashDigits), nullptr, 16));
  return std::max<std::uint32_t>(1, hash);
}

OrderLease::OrderLease(std::uint32_t holder_hash, OrderLeaseSettings initial)
    : holder(holder_hash), settings(initial) {}

void OrderLease::Update(const OrderLeaseInput& input, TimeMs now) {
  const bool paused = this->updated_at && now - *this->updated_at >
                                              this->settings.max_update_gap_ms;
  this->updated_at = now;
  this->needs_revision = false;
  const std::size_t largest = this->LargestKnown(input.known_members, now);
  const bool majority =
      input.known_members > 0 && 2 * input.reached_members > largest;
  if (paused) this->held_since.reset();
  if (!input.first_owner || !majority) {
    this->reason = input.first_owner ? OrderLeaseState::kNoMajority
                                     : OrderLeaseState::kNotOwner;
    this->held_since.reset();
    return;
  }
  if (!this->held_since) this->held_since = now;
  const bool claims = now - *this->held_since >= this->settings.lease_ms;
  if (!claims || this->HasTerm()) return;
  const bool remembered = 2 * input.remembering_members > largest;
  const std::optional<OrderTerm> next =
      remembered ? this->NextTerm(input.revision) : std::nullopt;
  this->needs_revision = !next;
  if (!next) return;
  this->own_term = *next;
  this->counter = 0;
  this->claimed_for = this->held_since;
  this->claimed_at = now;
}

std::optional<OrderTerm> OrderLease::NextTerm(
    const SourceRevision& revision) const {
  const OrderTerm highest = std::max(this->HighestTerm(), this->other_term);
  OrderTerm next{revision, 0};
  if (next <= highest) next = OrderTerm{highest.revision, highest.step + 1};
  if (next.step >= OrderTerm::kMaxStep || !FitsToken(next)) return std::nullopt;
  return next;
}

bool OrderLease::HasTerm() const noexcept {
  return this->claimed_for == this->held_since &&
         this->own_term > this->other_term && this->counter < kMaxCounter;
}

void OrderLease::Interrupt(TimeMs now) {
  if (this->held_since) this->held_since = now;
}

void OrderLease::HearTerm(const OrderTerm& term, TimeMs now) {
  // Requests and answers repeat this process's own term, too.
  if (!FitsToken(term) || term <= this->HighestTerm()) return;
  this->heard_term = term;
  this->Interrupt(now);
}

void OrderLease::HearOtherTerm(const OrderTerm& term) {
  if (FitsToken(term)) this->other_term = std::max(this->other_term, term);
}

OrderLeaseState OrderLease::State(TimeMs now) const {
  if (!this->held_since) return this->reason;
  if (now - *this->updated_at > this->settings.max_update_gap_ms) {
    return OrderLeaseState::kPaused;
  }
  const DurationMs wait = this->settings.lease_ms + this->settings.margin_ms;
  const bool held = now - *this->held_since >= wait && this->HasTerm() &&
                    now - this->claimed_at > this->settings.contact_ttl_ms;
  if (held) return OrderLeaseState::kHeld;
  return this->needs_revision ? OrderLeaseState::kNoNewRevision
                              : OrderLeaseState::kWaiting;
}

std::optional<OrderToken> OrderLease::NextToken(TimeMs now) {
  if (this->State(now) != OrderLeaseState::kHeld) return std::nullopt;
  return OrderToken{this->own_term, ++this->counter, this->holder};
}

const OrderTerm& OrderLease::OwnTerm() const noexcept { return this->own_term; }

OrderTerm OrderLease::HighestTerm() const noexcept {
  return std::max(this->heard_term, this->own_term);
}

std::size_t OrderLease::LargestKnown(std::size_t present, TimeMs now) {
  while (!this->known.empty() && this->known.back().count <= present) {
    this->known.pop_back();
  }
  this->known.push_back(KnownMembers{now, present});
  while (now - this->known.front().at > this->settings.member_retention_ms) {
    this->known.pop_front();
  }
  return this->known.front().count;
}

}  // namespace limpethaven
