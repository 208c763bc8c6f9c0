/// @file
/// Request rates: spacing of permits, and the parts of a limit that processes
/// keep to.
#include "limpethaven/request_pacer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "limpethaven/endpoint_limits.h"

namespace limpethaven {
namespace {

/// Most of these ascending times in any window of 4 s.
std::ptrdiff_t MostInWindow(const std::vector<TimeMs>& times) {
  constexpr DurationMs kWindowMs = 4000;
  std::ptrdiff_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    most = std::max(
        most, std::upper_bound(first, times.end(), *first + kWindowMs) - first);
  }
  return most;
}

TEST_CASE("pacer: permits come at even intervals and expire") {
  RequestPacer pacer(10, 250, 1000);
  REQUIRE(pacer.WaitMs(900) == 100);
  REQUIRE(pacer.Allows(1000));
  pacer.OnSend(1000);
  REQUIRE(pacer.WaitMs(1000) == 100);
  // After a long pause only the permits of the last 250 ms are left.
  int used = 0;
  while (pacer.Allows(60'000)) {
    pacer.OnSend(60'000);
    ++used;
  }
  REQUIRE(used >= 2);
  REQUIRE(used <= 3);
}

TEST_CASE("pacer: a rate of zero never allows a request") {
  RequestPacer pacer(0, 1000, 0);
  REQUIRE_FALSE(pacer.Allows(1'000'000));
  pacer.OnSend(1'000'000);
  REQUIRE(pacer.WaitMs(1'000'000) > 0);
  pacer.SetRate(1, 1000, 1'000'000);
  REQUIRE(pacer.Allows(1'000'000));
}

TEST_CASE("limits: processes together keep to a limit, idle or under load") {
  const auto process_count = GENERATE(1, 3, 8, 40, 90);
  const auto limit = GENERATE(0.4, 1.0, 2.5, 8.0, 60.0);
  const auto pause_s = GENERATE(0, 7);
  INFO(process_count << " processes, limit " << limit);
  std::vector<EndpointLimits> processes;
  for (int index = 0; index < process_count; ++index) {
    processes.emplace_back(static_cast<std::uint64_t>(index) + 1);
    processes.back().SetProcessCount(process_count, 0);
    processes.back().OnAnswer("endpoint", limit, 0);
  }
  std::vector<TimeMs> sent;
  for (TimeMs now = 0; now < 30'000; now += 10) {
    // A burst after a pause must not use what the pause left over.
    if (pause_s > 0 && (now / 1000) % (2 * pause_s) < pause_s) continue;
    for (EndpointLimits& process : processes) {
      if (process.WaitMs("endpoint", now) > 0) continue;
      process.OnSend("endpoint", now);
      sent.push_back(now);
    }
  }
  REQUIRE(static_cast<double>(MostInWindow(sent)) <= 1.5 * limit * 4 + 5);
  if (pause_s == 0 && limit >= 1) {
    REQUIRE(static_cast<double>(sent.size()) >= limit * 30 * 0.6);
  }
}

TEST_CASE("limits: an answer without a limit ends it, as does a long silence") {
  EndpointLimits limits(1);
  REQUIRE(limits.OnAnswer("a", 2.0, 0) == LimitChange::kNamed);
  REQUIRE(limits.OnAnswer("a", 2.0, 10) == LimitChange::kNone);
  REQUIRE(limits.OnAnswer("a", 3.0, 20) == LimitChange::kNamed);
  REQUIRE(limits.Find("a") == 3.0);
  REQUIRE(limits.WaitMs("b", 20) == 0);
  REQUIRE(limits.OnAnswer("a", std::nullopt, 30) == LimitChange::kEnded);
  REQUIRE(limits.OnAnswer("a", std::nullopt, 40) == LimitChange::kNone);
  REQUIRE(limits.WaitMs("a", 40) == 0);
  limits.OnAnswer("a", 0.0, 50);
  REQUIRE(limits.WaitMs("a", 50) > 0);
  REQUIRE(limits.Expire(kLimitRetentionMs).empty());
  REQUIRE(limits.Expire(50 + kLimitRetentionMs).size() == 1);
  REQUIRE(limits.WaitMs("a", 50 + kLimitRetentionMs) == 0);
}

}  // namespace
}  // namespace limpethaven
