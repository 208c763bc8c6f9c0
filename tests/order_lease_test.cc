/// @file
/// Tests of the lease on orders: no two holders order within `lease_ms`, and no
/// token is repeated or falls.
#include "limpethaven/order_lease.h"

#include <catch2/catch.hpp>

#include "peer/order_marks.h"

namespace limpethaven {
namespace {

constexpr SourceRevision kRevision{0, 100};
constexpr OrderLeaseInput kAllReached{true, 9, 9, 9, kRevision};
constexpr OrderLeaseInput kNotFirst{false, 9, 9, 9, kRevision};
constexpr DurationMs kTickMs = 100;

/// Updates a lease every `kTickMs` from `from` on, until and including `to`.
void Run(OrderLease& lease, const OrderLeaseInput& input, TimeMs from,
         TimeMs to) {
  for (TimeMs now = from; now <= to; now += kTickMs) lease.Update(input, now);
}

}  // namespace

TEST_CASE("a process orders only after it was the first owner for 5 s") {
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 4900);
  CHECK(lease.State(4999) == OrderLeaseState::kWaiting);
  CHECK_FALSE(lease.NextToken(4999));
  Run(lease, kAllReached, 5000, 5000);
  CHECK(lease.State(5000) == OrderLeaseState::kHeld);
  CHECK(lease.NextToken(5000));
}

TEST_CASE("an interrupted ownership stops orders at once and starts the wait") {
  // The other first owner may have waited out its time meanwhile.
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 6000);
  lease.Update(kNotFirst, 6100);
  CHECK(lease.State(6100) == OrderLeaseState::kNotOwner);
  CHECK_FALSE(lease.NextToken(6100));
  Run(lease, kAllReached, 6200, 11'100);
  CHECK_FALSE(lease.NextToken(11'199));
  Run(lease, kAllReached, 11'200, 11'200);
  CHECK(lease.NextToken(11'200));
}

TEST_CASE("a paused process does not order before a new wait") {
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 6000);
  // A process that is continued may come to its next order before its next
  // update.
  CHECK(lease.State(7001) == OrderLeaseState::kPaused);
  CHECK_FALSE(lease.NextToken(7001));
  Run(lease, kAllReached, 7100, 12'000);
  CHECK(lease.State(12'000) == OrderLeaseState::kWaiting);
  Run(lease, kAllReached, 12'100, 12'100);
  CHECK(lease.State(12'100) == OrderLeaseState::kHeld);
  lease.Interrupt(12'150);
  CHECK(lease.State(12'150) == OrderLeaseState::kWaiting);
}

TEST_CASE("no process orders while the members are split half and half") {
  OrderLease left(1);
  OrderLease right(2);
  const OrderLeaseInput whole{true, 8, 8, 8, kRevision};
  const OrderLeaseInput half{true, 8, 4, 4, kRevision};
  Run(left, whole, 0, 6000);
  CHECK(left.NextToken(6000));
  Run(left, half, 6100, 70'000);
  Run(right, half, 6100, 70'000);
  CHECK(left.State(70'000) == OrderLeaseState::kNoMajority);
  CHECK_FALSE(left.NextToken(70'000));
  CHECK_FALSE(right.NextToken(70'000));
}

TEST_CASE("members that were forgotten count for 60 s in the majority") {
  // A process that is cut off sees fewer and fewer members; those that it has
  // left are no majority of the fleet.
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 1000);
  const OrderLeaseInput few{true, 4, 4, 4, kRevision};
  Run(lease, few, 1100, 61'000);
  CHECK(lease.State(61'000) == OrderLeaseState::kNoMajority);
  Run(lease, few, 61'100, 66'000);
  CHECK_FALSE(lease.NextToken(66'000));
  Run(lease, few, 66'100, 66'200);
  CHECK(lease.NextToken(66'200));
}

TEST_CASE("the orders of two holders are further apart than the lease") {
  // The first owner is cut off at 10,000 ms. Its calls are no longer answered,
  // so it misses the majority after the life of its contacts. The second sees
  // it as suspect after one probe period at the earliest.
  const OrderLeaseSettings settings;
  OrderLease first(1);
  OrderLease second(2);
  std::optional<TimeMs> last_order;
  std::optional<TimeMs> next_order;
  for (TimeMs now = 0; now <= 30'000; now += kTickMs) {
    const bool reached = now < 10'000 + settings.contact_ttl_ms;
    const std::size_t first_reaches = reached ? 9 : 1;
    first.Update(
        OrderLeaseInput{true, 9, first_reaches, first_reaches, kRevision}, now);
    second.Update(OrderLeaseInput{now >= 10'500, 9, 8, 8, kRevision}, now);
    if (first.NextToken(now)) last_order = now;
    if (!next_order && second.NextToken(now)) next_order = now;
  }
  REQUIRE(last_order);
  REQUIRE(next_order);
  // An order may be on its way for the time limit of its call.
  constexpr DurationMs kCallTimeoutMs = 500;
  CHECK(*next_order - *last_order - kCallTimeoutMs > settings.lease_ms);
}

TEST_CASE("tokens of one holder rise and have 53 bits") {
  OrderLease lease(0xABC);
  Run(lease, kAllReached, 0, 5000);
  std::uint64_t last = 0;
  const auto take_all = [&](TimeMs now) {
    while (const auto token = lease.NextToken(now)) {
      REQUIRE(token->Value() > last);
      last = token->Value();
      REQUIRE((last & 0x3F) == (0xABC & 0x3F));
    }
  };
  take_all(5000);
  CHECK(lease.HighestTerm() == OrderTerm{kRevision, 0});
  // When the counter has no numbers left, a new term is claimed.
  Run(lease, kAllReached, 5100, 6700);
  take_all(6700);
  CHECK(lease.HighestTerm() == OrderTerm{kRevision, 1});
  const OrderToken largest{
      OrderTerm{{(1U << 8) - 1, (1U << 31) - 1}, OrderTerm::kMaxStep},
      (1U << 4) - 1, (1U << 6) - 1};
  CHECK(largest.Value() == (1ULL << 53) - 1);
}

TEST_CASE("a term that is heard late stops the orders until a new wait") {
  // Another process has held the lease with a higher term: the tokens of this
  // one would be lower than one that an engine has seen.
  OrderLease lease(1);
  lease.HearTerm(OrderTerm{kRevision, 1}, 0);
  Run(lease, kAllReached, 0, 5000);
  const auto before = lease.NextToken(5000);
  REQUIRE(before);
  CHECK(before->term == OrderTerm{kRevision, 2});
  // Its own term, repeated by an entry process.
  lease.HearTerm(OrderTerm{kRevision, 2}, 5050);
  CHECK(lease.State(5050) == OrderLeaseState::kHeld);
  lease.HearTerm(OrderTerm{kRevision, 4}, 5100);
  CHECK_FALSE(lease.NextToken(5100));
  Run(lease, kAllReached, 5200, 10'100);
  const auto after = lease.NextToken(10'100);
  REQUIRE(after);
  CHECK(after->term == OrderTerm{kRevision, 5});
  CHECK(after->Value() > before->Value());
}

TEST_CASE("a holder that returns does not use its earlier term again") {
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 5000);
  REQUIRE(lease.NextToken(5000)->term == OrderTerm{kRevision, 0});
  lease.Update(kNotFirst, 5100);
  Run(lease, kAllReached, 5200, 10'200);
  CHECK(lease.NextToken(10'200)->term == OrderTerm{kRevision, 1});
}

TEST_CASE("tokens are above the terms of the pool's other cells") {
  // An engine that moves from another cell has seen the tokens of its owner.
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 5000);
  REQUIRE(lease.NextToken(5000)->term == OrderTerm{kRevision, 0});
  lease.HearOtherTerm(OrderTerm{kRevision, 4});
  // The new term is used when a majority has been told.
  CHECK_FALSE(lease.NextToken(5000));
  Run(lease, kAllReached, 5100, 6600);
  CHECK_FALSE(lease.NextToken(6600));
  Run(lease, kAllReached, 6700, 6700);
  CHECK(lease.NextToken(6700)->term == OrderTerm{kRevision, 5});
}

TEST_CASE("without terms left there are no orders") {
  OrderLease lease(1);
  lease.HearOtherTerm(OrderTerm{kRevision, OrderTerm::kMaxStep});
  Run(lease, kAllReached, 0, 20'000);
  CHECK_FALSE(lease.NextToken(20'000));
  CHECK(lease.State(20'000) == OrderLeaseState::kNoNewRevision);
  // Nor has a token room for this one.
  const SourceRevision largest{0, 1ULL << OrderTerm::kNumberBits};
  Run(lease, OrderLeaseInput{true, 9, 9, 9, largest}, 20'100, 40'000);
  CHECK_FALSE(lease.NextToken(40'000));
  // The next change of the source brings new terms.
  Run(lease, OrderLeaseInput{true, 9, 9, 9, {0, 101}}, 40'100, 42'000);
  CHECK(lease.NextToken(42'000)->term == OrderTerm{{0, 101}, 0});
}

TEST_CASE("no term is claimed while a majority may have forgotten the last") {
  // All members have started at revision 100; an earlier holder may have used
  // that in its tokens.
  OrderLease lease(1);
  Run(lease, OrderLeaseInput{true, 9, 9, 0, {1, 100}}, 0, 20'000);
  CHECK(lease.HighestTerm() == OrderTerm{});
  CHECK(lease.State(20'000) == OrderLeaseState::kNoNewRevision);
  // Four of nine are no majority.
  Run(lease, OrderLeaseInput{true, 9, 9, 4, {1, 101}}, 20'100, 30'000);
  CHECK(lease.HighestTerm() == OrderTerm{});
  Run(lease, OrderLeaseInput{true, 9, 9, 5, {1, 101}}, 30'100, 32'000);
  CHECK(lease.NextToken(32'000)->term == OrderTerm{{1, 101}, 0});
}

TEST_CASE("terms rise when the source is restored from an older copy") {
  // Its numbers go back, its era rises.
  OrderLease lease(1);
  lease.HearTerm(OrderTerm{{1, 500}, 6}, 0);
  Run(lease, OrderLeaseInput{true, 9, 9, 9, {2, 450}}, 0, 5000);
  CHECK(lease.NextToken(5000)->term == OrderTerm{{2, 450}, 0});
}

TEST_CASE("a term is claimed and told to a majority before it is used") {
  // A holder that dies after its first order must not leave a term that nobody
  // else has heard: its successor would use it again.
  const OrderLeaseSettings settings;
  OrderLease lease(1);
  Run(lease, kAllReached, 0, 2900);
  CHECK(lease.HighestTerm() == OrderTerm{});
  Run(lease, kAllReached, 3000, 5000);
  CHECK(lease.HighestTerm() == OrderTerm{kRevision, 0});
  // All contacts that count at the first token were called after the claim.
  CHECK(lease.NextToken(5000));
  CHECK(5000 - settings.contact_ttl_ms > 3000);
}

TEST_CASE("two processes that claim at once do not order") {
  // Both take themselves for the first owner, and claim the same term. A member
  // that both call tells them.
  OrderLease left(1);
  OrderLease right(2);
  OrderMarks member;
  for (TimeMs now = 0; now <= 60'000; now += kTickMs) {
    left.Update(kAllReached, now);
    right.Update(kAllReached, now);
    member.Note("cell", OrderMark{left.OwnTerm(), 1, 0});
    member.Note("cell", OrderMark{right.OwnTerm(), 2, 0});
    left.HearTerm(member.Of("cell").term, now);
    right.HearTerm(member.Of("cell").term, now);
    CHECK_FALSE(left.NextToken(now));
    CHECK_FALSE(right.NextToken(now));
  }
}

}  // namespace limpethaven
