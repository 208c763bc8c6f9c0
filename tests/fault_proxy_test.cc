/// @file
/// The proxy that disturbs connections: its schedule, and what passes.
#include "standin/fault_proxy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace limpethaven {
namespace {

std::vector<ProxySpan> SpansOf(std::uint64_t seed, std::size_t count) {
  ProxySchedule schedule(seed);
  std::vector<ProxySpan> spans(count);
  std::ranges::generate(spans, [&schedule] { return schedule.Next(); });
  return spans;
}

TEST_CASE("a proxy's schedule is the same for a seed and differs by seed") {
  REQUIRE(SpansOf(7, 200) == SpansOf(7, 200));
  REQUIRE(SpansOf(7, 200) != SpansOf(8, 200));
}

TEST_CASE("a proxy's schedule plays every fault, with calm between") {
  const std::vector<ProxySpan> spans = SpansOf(3, 400);
  std::set<ProxyFault> seen;
  for (std::size_t index = 0; index < spans.size(); ++index) {
    REQUIRE((spans[index].fault == ProxyFault::kNone) == (index % 2 == 0));
    REQUIRE(spans[index].for_ms > 0);
    seen.insert(spans[index].fault);
  }
  REQUIRE(seen.size() == 6);
}

}  // namespace
}  // namespace limpethaven
