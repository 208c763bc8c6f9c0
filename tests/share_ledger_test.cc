/// @file
/// Tests of the share ledger. They guard against a fleet that admits more than
/// a team's rate and burst when messages are lost, late or duplicated and
/// processes pause or restart. The share bound is: tokens spent in any window
/// <= rate * window + burst.
#include "limpethaven/share_ledger.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "share_fleet.h"

namespace limpethaven {
namespace {

using testing::CheckShareBound;
using testing::MakeShareSchedule;
using testing::RunShareSchedule;
using testing::ShareFleetSettings;
using testing::ShareStep;
using testing::Spend;
using testing::StepKind;

Configuration OneTeam(std::int64_t rate, Tokens burst, std::int64_t slots) {
  Configuration config;
  config.fleet.share_slots = slots;
  config.teams.emplace("north", TeamSpec{"north", rate, burst, 1});
  return config;
}

/// Time from which a ledger configured at 0 accrues tokens.
constexpr TimeMs kFirstAccrual = ShareSettings{}.transfer_ttl_ms;

TEST_CASE("share ledger starts empty and accrues tokens at its slot's rate") {
  ShareLedger ledger;
  ledger.Configure(OneTeam(1000, 4000, 4), 0);
  REQUIRE(ledger.View("north", 0).available == 0);
  REQUIRE(ledger.View("north", kFirstAccrual).available == 0);
  REQUIRE(ledger.View("north", kFirstAccrual + 1000).available == 250);
  REQUIRE(ledger.View("north", 100'000).available == 1000);
}

TEST_CASE("share ledger reports by how many tokens a charge falls short") {
  ShareLedger ledger;
  ledger.Configure(OneTeam(1000, 4000, 4), 0);
  const TimeMs now = kFirstAccrual + 1000;
  REQUIRE(ledger.TryCharge("north", "r1", 300, {}, now) ==
          ChargeOutcome{false, 50});
  REQUIRE(ledger.TryCharge("north", "r1", 250, {}, now) ==
          ChargeOutcome{true, 0});
  REQUIRE_FALSE(ledger.TryCharge("unknown", "r2", 1, {}, now).charged);
}

TEST_CASE("share ledger refunds unused tokens") {
  ShareLedger ledger;
  ledger.Configure(OneTeam(1000, 4000, 1), 0);
  const TimeMs now = kFirstAccrual + 4000;
  REQUIRE(ledger.TryCharge("north", "r1", 4000, {}, now).charged);
  REQUIRE(ledger.Settle("r1", 1000, now) == 3000);
  REQUIRE(ledger.View("north", now).available == 3000);
  REQUIRE(ledger.Settle("r1", 0, now) == 0);
}

TEST_CASE(
    "share ledger does not refund tokens that would have overflowed the "
    "bucket") {
  ShareLedger ledger;
  ledger.Configure(OneTeam(1000, 4000, 1), 0);
  const TimeMs now = kFirstAccrual + 4000;
  REQUIRE(ledger.TryCharge("north", "r1", 2000, {}, now).charged);
  // The bucket is full again after 2 s. A bucket charged with the true cost
  // would have overflowed meanwhile, so there is nothing to refund.
  REQUIRE(ledger.View("north", now + 2000).available == 4000);
  REQUIRE(ledger.TryCharge("north", "r2", 4000, {}, now + 2000).charged);
  REQUIRE(ledger.Settle("r1", 0, now + 2000) == 0);
}

TEST_CASE("share ledger accepts a transfer once and only before it expires") {
  ShareLedger lender;
  ShareLedger borrower;
  lender.Configure(OneTeam(1000, 4000, 2), 0);
  borrower.Configure(OneTeam(1000, 4000, 2), 0);
  const TimeMs now = kFirstAccrual + 2000;
  const Tokens lent = lender.Lend("north", "t1", 900, now);
  REQUIRE(lent == 900);
  REQUIRE(lender.Lend("north", "t1", 900, now) == 0);
  const Transfer transfer{"t1", "north", lent, now};
  REQUIRE(
      borrower.TryCharge("north", "r1", 1900, {transfer}, now + 500).charged);
  REQUIRE_FALSE(
      borrower.TryCharge("north", "r2", 600, {transfer}, now + 501).charged);
  const Transfer expired{"t2", "north", 900, now};
  REQUIRE_FALSE(
      borrower.TryCharge("north", "r3", 800, {expired}, now + 1000).charged);
}

TEST_CASE("share ledger takes back a transfer that was not accepted, once") {
  ShareLedger lender;
  lender.Configure(OneTeam(1000, 4000, 2), 0);
  const TimeMs now = 10'000;
  REQUIRE(lender.Lend("north", "t1", 1500, now) == 1500);
  REQUIRE(lender.View("north", now).available == 500);
  lender.Return("t1", now);
  lender.Return("t1", now);
  lender.Confirm("t1", now);
  REQUIRE(lender.View("north", now) == ShareView{2000, 2000, 0, 0});
  REQUIRE(lender.Lend("north", "t1", 100, now) == 0);
  // Returned too late: other tokens may accrue in their place.
  REQUIRE(lender.Lend("north", "t2", 1500, now) == 1500);
  lender.Return("t2", now + 1000);
  REQUIRE(lender.View("north", now + 1000) == ShareView{500, 2000, 0, 0});
  // A confirmed transfer was spent.
  REQUIRE(lender.Lend("north", "t3", 400, now + 1000) == 400);
  lender.Confirm("t3", now + 1000);
  lender.Return("t3", now + 1000);
  REQUIRE(lender.View("north", now + 1000).available == 100);
}

TEST_CASE(
    "share ledger of a restarted lender does not count lent tokens twice") {
  // A restarted lender has no record of its transfers. It must not accrue the
  // lent tokens again before the borrower can no longer spend them.
  const Configuration config = OneTeam(8000, 4000, 2);
  ShareLedger borrower;
  borrower.Configure(config, 0);
  ShareLedger lender;
  lender.Configure(config, 0);
  const TimeMs now = 10'000;
  const Tokens lent = lender.Lend("north", "t1", 2000, now);
  ShareLedger restarted;
  restarted.Configure(config, now);
  const TimeMs later = now + 400;
  REQUIRE(borrower
              .TryCharge("north", "r1", 2000 + lent,
                         {{"t1", "north", lent, now}}, later)
              .charged);
  REQUIRE(restarted.View("north", later).available == 0);
}

TEST_CASE(
    "share ledger subtracts a transfer once when it is confirmed after it "
    "expired") {
  // Confirm expires transfers first. Expiry and confirmation must not both
  // subtract the same transfer from the tokens in flight.
  ShareLedger lender;
  lender.Configure(OneTeam(8000, 4000, 2), 0);
  REQUIRE(lender.Lend("north", "t1", 1500, 10'000) == 1500);
  lender.Confirm("t1", 11'500);
  REQUIRE(lender.View("north", 20'000) == ShareView{2000, 2000, 0, 0});
}

TEST_CASE("share bound check reports a history that exceeds the bound") {
  REQUIRE_FALSE(
      CheckShareBound({{0, 4000}, {1000, 1000}}, 1000, 4000).has_value());
  REQUIRE(CheckShareBound({{0, 4000}, {999, 1000}}, 1000, 4000).has_value());
  REQUIRE(CheckShareBound({{0, 1}, {5000, 4000}, {5000, 1}}, 1000, 4000)
              .has_value());
}

TEST_CASE("share bound holds in 10000 seeded schedules of faults") {
  constexpr std::uint64_t kScheduleCount = 10'000;
  constexpr std::size_t kStepCount = 300;
  std::size_t admissions = 0;
  for (std::uint64_t seed = 1; seed <= kScheduleCount; ++seed) {
    const ShareFleetSettings settings{2 + seed % 7, seed % 3 == 0 ? 1000 : 8000,
                                      4000};
    const auto history =
        RunShareSchedule(settings, MakeShareSchedule(seed, kStepCount));
    admissions += history.size();
    const auto violation =
        CheckShareBound(history, settings.rate, settings.burst);
    INFO("seed " << seed);
    if (violation) FAIL(*violation);
  }
  // With few admissions the bound would hold for any ledger.
  REQUIRE(admissions > 10 * kScheduleCount);
}

TEST_CASE("share bound holds for any schedule") {
  const auto step = rc::gen::construct<ShareStep>(
      rc::gen::element(
          StepKind::kAdvance, StepKind::kBorrow, StepKind::kDeliver,
          StepKind::kCharge, StepKind::kDrainAll, StepKind::kSettle,
          StepKind::kConfirm, StepKind::kRestart, StepKind::kPause),
      rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 8U),
      rc::gen::inRange(0U, 5000U));
  REQUIRE(rc::check("spent <= rate * window + burst", [&step] {
    const auto steps = *rc::gen::container<std::vector<ShareStep>>(step);
    const ShareFleetSettings settings{3, 8000, 4000};
    const auto violation = CheckShareBound(RunShareSchedule(settings, steps),
                                           settings.rate, settings.burst);
    if (violation) RC_FAIL(*violation);
  }));
}

}  // namespace
}  // namespace limpethaven
