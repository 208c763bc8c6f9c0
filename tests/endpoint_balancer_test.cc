/// @file
/// Even load on plain endpoints: the candidate rules under the load of both
/// deployments of docs/design/scarce-capacity.md, with many processes that
/// choose by old reports.
#include "limpethaven/endpoint_balancer.h"

#include <catch2/catch.hpp>

#include "balancer_fleet.h"

namespace limpethaven {
namespace {

using testing::BalancerDay;
using testing::BalancerOutcome;
using testing::ChoiceRule;
using testing::kChangeAtMs;
using testing::PlayDay;

constexpr double kMaxBusiestOverMean = 1.15;
constexpr double kMinInTime = 0.99;
constexpr std::uint64_t kSeed = 20'261'204;

/// 136 processes, 3 endpoints.
BalancerDay FirstDeployment() {
  BalancerDay day;
  day.processes = {46, 45, 45};
  day.endpoints = {1, 1, 1};
  day.calls_per_s = 178;
  day.spike_per_s = 290;
  day.work_ms = 15;
  day.due_ms = 120;
  day.report_delay_ms = 1000;
  return day;
}

/// 66 processes, 5 endpoints in data centres of 2, 2 and 1.
BalancerDay SecondDeployment() {
  BalancerDay day;
  day.processes = {22, 22, 22};
  day.endpoints = {2, 2, 1};
  day.calls_per_s = 216;
  day.spike_per_s = 360;
  day.work_ms = 60;
  day.due_ms = 300;
  day.report_delay_ms = 1000;
  return day;
}

/// Part of the calls that endpoint 0 gets in the 2 s that begin `after_ms`
/// after its change.
double ShareAfterChange(const BalancerOutcome& outcome, DurationMs after_ms) {
  const auto second = static_cast<std::size_t>((kChangeAtMs + after_ms) / 1000);
  return (outcome.first_share.at(second) + outcome.first_share.at(second + 1)) /
         2;
}

void CheckServed(const BalancerOutcome& outcome) {
  CHECK(outcome.InTime() >= kMinInTime);
  CHECK(outcome.refused == 0);
}

TEST_CASE("shares keep plain endpoints evenly loaded in a spike") {
  const auto seed = kSeed + GENERATE(0U, 1U, 2U);
  BalancerDay day = SecondDeployment();
  day.hears_all = GENERATE(true, false);
  const BalancerOutcome shares = PlayDay(day, ChoiceRule::kShares, seed);
  CHECK(shares.busiest_over_mean <= kMaxBusiestOverMean);
  CheckServed(shares);
  // Calls to another data centre have a price.
  CHECK(shares.Remote() <= 0.2);
  // Nearest first, the rule without shares, loads the single endpoint of its
  // data centre above the others.
  CHECK(PlayDay(day, ChoiceRule::kFewestOwnCalls, seed).busiest_over_mean >
        kMaxBusiestOverMean);
  // All processes choose the endpoint that appeared idle a second ago.
  CHECK(PlayDay(day, ChoiceRule::kLeastReported, seed).InTime() < kMinInTime);
}

TEST_CASE("shares keep three plain endpoints evenly loaded") {
  const auto seed = kSeed + GENERATE(0U, 1U, 2U);
  BalancerDay day = FirstDeployment();
  // With 72% of the slots, and as measured.
  const auto factor = GENERATE(1.0, 3.0);
  day.calls_per_s *= factor;
  day.spike_per_s *= factor;
  const BalancerOutcome shares = PlayDay(day, ChoiceRule::kShares, seed);
  CHECK(shares.busiest_over_mean <= kMaxBusiestOverMean);
  CheckServed(shares);
  CHECK(shares.Remote() <= 0.05);
}

TEST_CASE("the share of an endpoint that becomes slow falls within 3 s") {
  BalancerDay day = GENERATE(FirstDeployment(), SecondDeployment());
  day.spike_per_s = 0;
  day.slow_factor = 3;
  // All reports are 1 s old, or some are heard by gossip.
  day.hears_all = GENERATE(true, false);
  if (!day.hears_all) day.report_delay_ms = 5;
  const BalancerOutcome slow = PlayDay(day, ChoiceRule::kShares, kSeed);
  const double before = ShareAfterChange(slow, -2000);
  CHECK(ShareAfterChange(slow, 3000) < 0.7 * before);
  // It still gets calls, which show when it is fast again.
  CHECK(slow.first_share.back() > 0.01);
  CHECK(slow.refused == 0);
}

TEST_CASE("shares follow endpoints that appear and leave") {
  BalancerDay day = SecondDeployment();
  day.spike_per_s = 0;
  day.appears = GENERATE(true, false);
  day.leaves = !day.appears;
  const BalancerOutcome shares = PlayDay(day, ChoiceRule::kShares, kSeed);
  CheckServed(shares);
  const double last = shares.first_share.back();
  CHECK(last >= (day.appears ? 0.1 : 0.0));
  CHECK(last <= (day.appears ? 0.3 : 0.0));
}

TEST_CASE("shares serve callers whose data centre has no endpoints") {
  BalancerDay day = SecondDeployment();
  day.endpoints = {3, 2, 0};
  CheckServed(PlayDay(day, ChoiceRule::kShares, kSeed));
}

TEST_CASE("shares serve callers that are all in one data centre") {
  BalancerDay day = GENERATE(FirstDeployment(), SecondDeployment());
  day.callers_in = GENERATE(0U, 2U);
  CheckServed(PlayDay(day, ChoiceRule::kShares, kSeed));
}

TEST_CASE("shares keep the load even with late reports and without any") {
  BalancerDay day = SecondDeployment();
  SECTION("no report: by capacity") {
    day.report_loss = 1;
    const BalancerOutcome shares = PlayDay(day, ChoiceRule::kShares, kSeed);
    CHECK(shares.busiest_over_mean <= kMaxBusiestOverMean);
    CheckServed(shares);
  }
  SECTION("half of the reports") {
    day.report_loss = 0.5;
    CheckServed(PlayDay(day, ChoiceRule::kShares, kSeed));
  }
  SECTION("reports 3 s old") {
    day.report_delay_ms = 3000;
    CheckServed(PlayDay(day, ChoiceRule::kShares, kSeed));
  }
}

/// Balancer of a process in data centre a, with one endpoint there and one in
/// data centre b.
struct TwoEndpoints {
  EndpointBalancer balancer{"a", 1};
  std::vector<BalancedEndpoint> endpoints = {{"near", "a", 6}, {"far", "b", 6}};

  TwoEndpoints() { this->balancer.SetProcesses({{"a", 10}, {"b", 10}}); }
  /// Reports that the near endpoint had `calls` of 60 ms within 2 s.
  bool Report(std::uint64_t incarnation, std::uint64_t sequence,
              std::int64_t calls, TimeMs now) {
    return this->balancer.OnReport(
        VmId{"peer", incarnation}, "a",
        LoadReport{sequence, 2000, {{ReportKeyOf("near"), calls, 60 * calls}}},
        now);
  }
  const PoolShares& Shares(TimeMs now) {
    return this->balancer.Update("pool", this->endpoints, {}, now);
  }
};

TEST_CASE("balancer ignores repeated and late reports") {
  TwoEndpoints pool;
  CHECK(pool.Report(1, 5, 10, 0));
  CHECK_FALSE(pool.Report(1, 5, 900, 10));
  CHECK_FALSE(pool.Report(1, 4, 900, 20));
  CHECK(pool.Report(2, 1, 10, 30));
  CHECK_FALSE(pool.Report(2, 0, 900, 40));
}

TEST_CASE("balancer uses shares by capacity without reports") {
  TwoEndpoints pool;
  CHECK(pool.Shares(0).local_share == Approx(0.5));
  pool.Report(1, 1, 10, 100);
  CHECK(pool.Shares(600).local_share == Approx(1));
  SECTION("the report is too old") {
    CHECK(pool.Shares(3700).local_share == Approx(0.5));
    // It is not taken again when it arrives a second time.
    CHECK_FALSE(pool.Report(1, 1, 10, 3800));
    CHECK(pool.Shares(4300).local_share == Approx(0.5));
  }
  SECTION("the peer is dead") {
    pool.balancer.Forget("peer");
    CHECK(pool.Shares(1200).local_share == Approx(0.5));
  }
}

TEST_CASE("a process with wrong information moves only its own calls") {
  TwoEndpoints pool;
  // A peer claims load that no endpoint could serve.
  pool.Report(1, 1, LoadReport::kMaxValue, 0);
  const PoolShares& shares = pool.Shares(0);
  double sum = 0;
  for (const EndpointShare& entry : shares.endpoints) {
    CHECK(entry.share >= 0);
    sum += entry.share;
  }
  CHECK(sum == Approx(1));
  const auto idle = [](const std::string&) { return std::int64_t{0}; };
  CHECK_FALSE(pool.balancer.Draw("pool", {}, idle).id.empty());
  CHECK(pool.balancer.Draw("pool", {"near"}, idle).id == "far");
  CHECK(pool.balancer.Draw("pool", {"near", "far"}, idle).id.empty());
}

}  // namespace
}  // namespace limpethaven
