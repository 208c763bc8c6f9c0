/// @file
/// Return of endpoints that failed for a while, on a fleet of entry nodes.
#include <catch2/catch.hpp>

#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;
using testing::ScriptedEngine;

EngineAnswer Serve(const RequestHead& call) {
  return EngineAnswer{testing::WholeStream(call, 1)};
}

// Guards against an endpoint that is held to single probes for as long as the
// entries run, although it answers each of them.
TEST_CASE("a plain endpoint that was down gets its part of the calls again") {
  constexpr DurationMs kPauseMs = 10;
  constexpr DurationMs kDownMs = 500;
  constexpr DurationMs kReturnMs = 2500;
  PlatformFleetSettings settings;
  settings.engines = 1;
  settings.service_endpoints = 2;
  settings.balance_plain_pools = GENERATE(false, true);
  PlatformFleet fleet(settings, Serve);
  ScriptedEngine& crashed = *fleet.engines.back();
  const auto press = [&fleet](DurationMs duration_ms) {
    for (DurationMs spent = 0; spent < duration_ms; spent += kPauseMs) {
      fleet.StartService(static_cast<std::size_t>(spent / kPauseMs) %
                         fleet.entries.size());
      fleet.RunFor(kPauseMs);
    }
  };
  press(kDownMs);
  crashed.Stop();
  press(kDownMs);
  crashed.Listen();
  press(kReturnMs);
  const std::size_t before = crashed.calls.size();
  press(kReturnMs);
  const std::size_t calls = crashed.calls.size() - before;
  // Half of the calls, with room for how ties between endpoints are broken.
  CHECK(static_cast<DurationMs>(calls) >= kReturnMs / kPauseMs / 4);
}

}  // namespace
}  // namespace limpethaven
