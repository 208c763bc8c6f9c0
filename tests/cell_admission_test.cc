/// @file
/// Tests of the order and refusal rules of a cell: what callers get over a day
/// with load spikes, and that nobody starves.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "cell_day.h"

namespace limpethaven {
namespace {

using testing::DayOutcome;
using testing::Deployment;
using testing::PlatformCells;
using testing::PlayDay;
using testing::Served;

CellSettings WithRules() {
  CellSettings settings = PlatformCells();
  settings.late_after_on_time = true;
  settings.refuse_by_drain_rate = true;
  return settings;
}

double OnTimeRatio(const Served& served) {
  return static_cast<double>(served.on_time) /
         static_cast<double>(std::max(1, served.All()));
}

double LateRatio(const Served& served) {
  return static_cast<double>(served.late) / static_cast<double>(served.All());
}

template <typename Groups>
double LeastOnTimeRatio(const Groups& groups) {
  double least = 1;
  std::ranges::for_each(groups, [&least](const auto& group) {
    least = std::min(least, OnTimeRatio(group.second));
  });
  return least;
}

// Guards against late generations that hold memory which others need to be on
// time, against callers that are refused after seconds of waiting, and against
// times to come back at which callers are refused again.
void CheckDay(const Deployment& deployment) {
  const DurationMs longest_due_ms =
      std::ranges::max(deployment.kinds, {}, &testing::CallerKind::due_ms)
          .due_ms;
  for (unsigned seed = 0; seed < 4; ++seed) {
    const DayOutcome present = PlayDay(deployment, PlatformCells(), seed);
    const DayOutcome chosen = PlayDay(deployment, WithRules(), seed);
    INFO(Text("present rule", present));
    INFO(Text("on time first, refused by drain rate", chosen));
    CHECK(LateRatio(present.all) > 0.02);
    CHECK(LateRatio(chosen.all) < 0.005);
    CHECK(OnTimeRatio(chosen.all) > 0.97);
    CHECK(OnTimeRatio(chosen.all) > OnTimeRatio(present.all) + 0.01);
    CHECK(LeastOnTimeRatio(chosen.by_priority) > 0.95);
    CHECK(LeastOnTimeRatio(chosen.by_team) > 0.95);
    CHECK(LeastOnTimeRatio(chosen.by_size) > 0.95);
    CHECK(LeastOnTimeRatio(chosen.by_team) > LeastOnTimeRatio(present.by_team));
    CHECK(LeastOnTimeRatio(chosen.by_size) > LeastOnTimeRatio(present.by_size));
    const std::vector<DurationMs>& waits = chosen.refused_after_ms;
    REQUIRE(waits.size() > 10);
    // Most are refused at once, and nearly all by the time that their first
    // event is due.
    CHECK(waits[waits.size() / 2] <= 10);
    CHECK(waits[waits.size() * 9 / 10] <= longest_due_ms);
    CHECK(present.refused_after_ms.front() > longest_due_ms);
    CHECK(chosen.told == static_cast<int>(waits.size()));
    CHECK(chosen.shortest_retry_ms >= 100);
    CHECK(chosen.overtaken == 0);
    CHECK(chosen.returned_placed > 0.8 * chosen.returned);
    CHECK(chosen.returned_on_time > 0.8 * chosen.returned);
  }
}

TEST_CASE("callers of the first deployment get their targets in load spikes") {
  CheckDay(testing::FirstDeployment());
}

TEST_CASE("callers of the second deployment get their targets in load spikes") {
  CheckDay(testing::SecondDeployment());
}

}  // namespace
}  // namespace limpethaven
