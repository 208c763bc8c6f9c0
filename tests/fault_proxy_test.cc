/// @file
/// The fault schedule of the proxy.
#include "standin/fault_proxy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace limpethaven {
namespace {

std::vector<FaultPeriod> PeriodsOf(std::uint64_t seed, std::size_t count) {
  FaultSchedule schedule(seed);
  std::vector<FaultPeriod> periods(count);
  std::ranges::generate(periods, [&schedule] { return schedule.Next(); });
  return periods;
}

// Guards against a run with faults that its seed does not reproduce.
TEST_CASE("fault schedules of one seed are equal, those of two seeds differ") {
  REQUIRE(PeriodsOf(7, 200) == PeriodsOf(7, 200));
  REQUIRE(PeriodsOf(7, 200) != PeriodsOf(8, 200));
}

// Guards against a schedule that leaves a fault out, or that leaves requests no
// time to be served between two faults.
TEST_CASE("fault schedule contains every fault, with fault-free time between") {
  const std::vector<FaultPeriod> periods = PeriodsOf(3, 400);
  std::set<ProxyFault> faults;
  for (std::size_t index = 0; index < periods.size(); ++index) {
    REQUIRE((periods[index].fault == ProxyFault::kNone) == (index % 2 == 0));
    REQUIRE(periods[index].duration_ms > 0);
    faults.insert(periods[index].fault);
  }
  REQUIRE(faults.size() == 6);
}

}  // namespace
}  // namespace limpethaven
