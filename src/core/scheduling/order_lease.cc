#include "limpethaven/order_lease.h"

#include <algorithm>
#include <string>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr std::uint32_t kMaxTerm = (1U << OrderToken::kTermBits) - 1;
constexpr std::uint32_t kMaxCounter = (1U << OrderToken::kCounterBits) - 1;
/// Hexadecimal digits of the holder's hash.
constexpr std::size_t kHolderDigits = OrderToken::kHolderBits / 4;

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
  }
  return "unknown";
}

std::uint64_t OrderToken::Value() const noexcept {
  return (std::uint64_t{this->term} << (kCounterBits + kHolderBits)) |
         (std::uint64_t{this->counter} << kHolderBits) | this->holder;
}

std::uint32_t OrderHolderHash(std::string_view address,
                              std::uint64_t incarnation) {
  const std::string digest =
      Sha256Hex(std::string(address) + "/" + std::to_string(incarnation));
  const auto hash = static_cast<std::uint32_t>(
      std::stoul(digest.substr(0, kHolderDigits), nullptr, 16));
  return std::max<std::uint32_t>(1, hash);
}

OrderLease::OrderLease(std::uint32_t holder_hash, OrderLeaseSettings initial)
    : holder(holder_hash), settings(initial) {}

void OrderLease::Update(const OrderLeaseInput& input, TimeMs now) {
  const bool paused = this->updated_at && now - *this->updated_at >
                                              this->settings.max_update_gap_ms;
  this->updated_at = now;
  const std::size_t largest = this->LargestKnown(input.known_members, now);
  const bool majority = 2 * input.reached_members > largest;
  if (paused) this->held_since.reset();
  if (!input.first_owner || !majority) {
    this->reason = input.first_owner ? OrderLeaseState::kNoMajority
                                     : OrderLeaseState::kNotOwner;
    this->held_since.reset();
    return;
  }
  if (!this->held_since) this->held_since = now;
  const bool claims = now - *this->held_since >= this->settings.lease_ms;
  const std::uint32_t highest = std::max(this->HighestTerm(), this->other_term);
  if (!claims || this->HasTerm() || highest >= kMaxTerm) return;
  this->own_term = highest + 1;
  this->counter = 0;
  this->claimed_for = this->held_since;
  this->claimed_at = now;
}

bool OrderLease::HasTerm() const noexcept {
  return this->claimed_for == this->held_since &&
         this->own_term > this->other_term && this->counter < kMaxCounter;
}

void OrderLease::Interrupt(TimeMs now) {
  if (this->held_since) this->held_since = now;
}

void OrderLease::HearTerm(std::uint32_t term, TimeMs now) {
  // Requests and answers repeat this process's own term, too.
  if (term > kMaxTerm || term <= this->HighestTerm()) return;
  this->heard_term = term;
  this->Interrupt(now);
}

void OrderLease::HearOtherTerm(std::uint32_t term) {
  if (term <= kMaxTerm) this->other_term = std::max(this->other_term, term);
}

OrderLeaseState OrderLease::State(TimeMs now) const {
  if (!this->held_since) return this->reason;
  if (now - *this->updated_at > this->settings.max_update_gap_ms) {
    return OrderLeaseState::kPaused;
  }
  const DurationMs wait = this->settings.lease_ms + this->settings.margin_ms;
  const bool held = now - *this->held_since >= wait && this->HasTerm() &&
                    now - this->claimed_at > this->settings.contact_ttl_ms;
  return held ? OrderLeaseState::kHeld : OrderLeaseState::kWaiting;
}

std::optional<OrderToken> OrderLease::NextToken(TimeMs now) {
  if (this->State(now) != OrderLeaseState::kHeld) return std::nullopt;
  return OrderToken{this->own_term, ++this->counter, this->holder};
}

std::uint32_t OrderLease::OwnTerm() const noexcept { return this->own_term; }

std::uint32_t OrderLease::HighestTerm() const noexcept {
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
