/// @file
/// Guards against timelines that miss a line of a request, hold lines of
/// another request whose id starts with the same characters, or are out of
/// order.
#include "log/request_story.h"

#include <catch2/catch.hpp>

namespace limpethaven {
namespace {

TEST_CASE(
    "request timeline has the lines of one request from several VMs in order") {
  const std::vector<std::string> lines = {
      "t=30 ev=402 name=request_finished vm=a request=r1 sends=1",
      "t=10 ev=400 name=request_accepted vm=a request=r1 team=north",
      "t=15 ev=400 name=request_accepted vm=a request=r12 team=north",
      "t=20 ev=411 name=placement_decision vm=b request=r1#7f cell=c",
      "t=21 ev=300 name=member_alive vm=a member=10.0.0.1",
  };
  const RequestTimeline timeline = BuildRequestTimeline("r1", lines);
  REQUIRE(timeline.events ==
          std::vector<std::string>{lines[1], lines[3], lines[0]});
  REQUIRE(timeline.terminal_event == lines[0]);
  REQUIRE(BuildRequestTimeline("r3", lines).events.empty());
  REQUIRE(BuildRequestTimeline("r12", lines).terminal_event ==
          "no terminal event in these logs");
}

}  // namespace
}  // namespace limpethaven
