/// @file
/// Evidence against prompt parts, its exchange between processes, and the
/// choice of the part to quarantine.
#include "limpethaven/prompt_quarantine.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "limpethaven/membership.h"
#include "limpethaven/request_fingerprint.h"

namespace limpethaven {
namespace {

using Parts = std::vector<std::string>;

bool IsQuarantined(const PromptQuarantine& quarantine, const std::string& part,
                   TimeMs now) {
  return quarantine.Find({part}, now).has_value();
}

/// Passes all evidence of one process to another.
void Exchange(PromptQuarantine& from, PromptQuarantine& to, TimeMs now) {
  to.Merge(from.Outgoing(100, now), now);
}

TEST_CASE("quarantine: the own part of a prompt is not suspected") {
  CallerRequest request;
  REQUIRE(ShareableParts(request).empty());
  request.prefix = {PromptPart{"own", 9}};
  REQUIRE(ShareableParts(request).empty());
  request.prefix = {PromptPart{"first", 80},
                    PromptPart{std::string(99, 'x'), 30}, PromptPart{"own", 9}};
  const Parts parts = ShareableParts(request);
  REQUIRE(parts.size() == 2);
  REQUIRE(parts[0] == "first");
  REQUIRE(parts[1].size() < 20);
}

TEST_CASE("quarantine: one crash is not enough, nor two reports of one crash") {
  PromptQuarantine quarantine;
  quarantine.OnCrash({"dead"}, "engine-1", 1000);
  quarantine.OnCrash({"dead"}, "engine-1", 1200);
  REQUIRE_FALSE(IsQuarantined(quarantine, "dead", 1200));
  quarantine.OnCrash({"dead"}, "engine-2", 1300);
  REQUIRE(IsQuarantined(quarantine, "dead", 1300));
  REQUIRE(quarantine.Find({"other", "dead"}, 1300)->crashes == 2);
}

TEST_CASE("quarantine: parts beside the one that crashes engines stay free") {
  PromptQuarantine quarantine;
  // The same two parts in every crash: the deeper one is the culprit.
  quarantine.OnCrash({"first", "dead"}, "engine-1", 1000);
  quarantine.OnCrash({"first", "dead"}, "engine-2", 1010);
  REQUIRE(IsQuarantined(quarantine, "dead", 1010));
  REQUIRE_FALSE(IsQuarantined(quarantine, "first", 1010));
  // A deeper part that occurred in fewer of the crashes is released.
  PromptQuarantine inner;
  inner.OnCrash({"dead", "deep"}, "engine-1", 1000);
  inner.OnCrash({"dead", "deep"}, "engine-2", 1010);
  REQUIRE(IsQuarantined(inner, "deep", 1010));
  inner.OnCrash({"dead", "other"}, "engine-3", 1020);
  REQUIRE(IsQuarantined(inner, "dead", 1020));
  REQUIRE_FALSE(IsQuarantined(inner, "deep", 1020));
}

TEST_CASE("quarantine: two crashing parts beside one common part are found") {
  PromptQuarantine quarantine;
  quarantine.OnCrash({"first", "dead-1"}, "engine-1", 1000);
  quarantine.OnCrash({"first", "dead-2"}, "engine-2", 1010);
  quarantine.OnCrash({"first", "dead-1"}, "engine-3", 1020);
  quarantine.OnCrash({"first", "dead-2"}, "engine-4", 1030);
  // A complete answer shows that the part common to all is sound.
  quarantine.OnServed({"first"}, 1040);
  REQUIRE(IsQuarantined(quarantine, "dead-1", 1040));
  REQUIRE(IsQuarantined(quarantine, "dead-2", 1040));
  REQUIRE_FALSE(IsQuarantined(quarantine, "first", 1040));
}

TEST_CASE("quarantine: a complete answer clears what was recorded before it") {
  PromptQuarantine quarantine;
  quarantine.OnCrash({"part"}, "engine-1", 1000);
  quarantine.OnCrash({"part"}, "engine-2", 1010);
  quarantine.OnServed({"part"}, 1500);
  REQUIRE_FALSE(IsQuarantined(quarantine, "part", 1500));
  // Crashes after the answer count again.
  quarantine.OnCrash({"part"}, "engine-3", 1600);
  REQUIRE_FALSE(IsQuarantined(quarantine, "part", 1600));
  quarantine.OnCrash({"part"}, "engine-4", 1700);
  REQUIRE(IsQuarantined(quarantine, "part", 1700));
}

TEST_CASE("quarantine: it lasts longer with every further crash") {
  PromptQuarantine quarantine;
  quarantine.OnCrash({"dead"}, "engine-1", 0);
  quarantine.OnCrash({"dead"}, "engine-2", 0);
  const DurationMs initial_ms = QuarantineSettings{}.initial_ms;
  REQUIRE(IsQuarantined(quarantine, "dead", initial_ms - 1));
  REQUIRE_FALSE(IsQuarantined(quarantine, "dead", initial_ms));
  quarantine.OnCrash({"dead"}, "engine-3", initial_ms);
  REQUIRE(quarantine.Find({"dead"}, initial_ms)->remaining_ms ==
          2 * initial_ms);
  for (int number = 4; number < 30; ++number) {
    quarantine.OnCrash({"dead"}, "engine-" + std::to_string(number),
                       initial_ms);
  }
  REQUIRE(quarantine.Find({"dead"}, initial_ms)->remaining_ms ==
          QuarantineSettings{}.max_ms);
}

TEST_CASE("quarantine: processes add up their crashes and share answers") {
  PromptQuarantine left;
  PromptQuarantine right;
  left.OnCrash({"first", "dead"}, "engine-1", 1000);
  right.OnCrash({"first", "dead"}, "engine-2", 1000);
  Exchange(left, right, 1100);
  REQUIRE(IsQuarantined(right, "dead", 1100));
  Exchange(right, left, 1100);
  REQUIRE(IsQuarantined(left, "dead", 1100));
  // A process that has just started learns it from any peer.
  PromptQuarantine started;
  Exchange(left, started, 1200);
  REQUIRE(IsQuarantined(started, "dead", 1200));
  right.OnServed({"dead"}, 1300);
  Exchange(right, started, 1300);
  REQUIRE_FALSE(IsQuarantined(started, "dead", 1300));
  // Late reports of the earlier crashes change nothing.
  Exchange(left, started, 1400);
  REQUIRE_FALSE(IsQuarantined(started, "dead", 1400));
}

TEST_CASE("quarantine: unrelated failures do not displace it") {
  PromptQuarantine quarantine;
  quarantine.OnCrash({"dead"}, "engine-1", 1000);
  quarantine.OnCrash({"dead"}, "engine-2", 1000);
  for (int number = 0; number < 1000; ++number) {
    const std::string text = std::to_string(number);
    quarantine.OnCrash({"part-" + text}, "other-" + text, 1000);
  }
  REQUIRE(IsQuarantined(quarantine, "dead", 1000));
  REQUIRE(quarantine.Quarantined(1000).size() == 1);
  REQUIRE(quarantine.Outgoing(1000, 1000).size() <=
          QuarantineSettings{}.max_parts);
}

TEST_CASE("quarantine: old evidence is not kept alive by its exchange") {
  PromptQuarantine left;
  PromptQuarantine right;
  left.OnCrash({"dead"}, "engine-1", 0);
  left.OnCrash({"dead"}, "engine-2", 0);
  const DurationMs step_ms = QuarantineSettings{}.crash_retention_ms / 4;
  for (int step = 1; step <= 6; ++step) {
    Exchange(left, right, step * step_ms);
    Exchange(right, left, step * step_ms);
  }
  REQUIRE(left.Outgoing(10, 6 * step_ms).empty());
  REQUIRE(right.Outgoing(10, 6 * step_ms).empty());
}

TEST_CASE("quarantine: gossip carries the evidence of its sender") {
  GossipMessage message;
  message.from = VmId{"10.0.0.1", 7};
  const std::string plain = EncodeGossip("secret", message);
  REQUIRE(DecodeGossip("secret", plain).value() == message);
  message.evidence = {
      PartEvidence{"dead", 1, {EngineCrash{4'000'000'000U, 12}}, std::nullopt},
      PartEvidence{"sound", 0, {}, 5}};
  const std::string text = EncodeGossip("secret", message);
  REQUIRE(DecodeGossip("secret", text).value() == message);
}

TEST_CASE("quarantine: processes agree whatever order messages arrive in") {
  rc::prop("the same evidence leads to the same parts", [] {
    struct Crash {
      int process;
      int part;
      int engine;
    };
    const auto crashes =
        *rc::gen::container<std::vector<Crash>>(rc::gen::construct<Crash>(
            rc::gen::inRange(0, 3), rc::gen::inRange(0, 4),
            rc::gen::inRange(0, 6)));
    std::vector<PromptQuarantine> processes(3);
    for (const Crash& crash : crashes) {
      processes[static_cast<std::size_t>(crash.process)].OnCrash(
          {"part-" + std::to_string(crash.part)},
          "engine-" + std::to_string(crash.engine), 1000);
    }
    const auto order =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
    for (const int pair : order) {
      const auto from = static_cast<std::size_t>(pair / 3);
      const auto to = static_cast<std::size_t>(pair % 3);
      if (from != to) Exchange(processes[from], processes[to], 1000);
    }
    // Then everyone hears from everyone, twice.
    for (int round = 0; round < 2; ++round) {
      for (auto& from : processes) {
        for (auto& to : processes) {
          if (&from != &to) Exchange(from, to, 1000);
        }
      }
    }
    RC_ASSERT(processes[0].Quarantined(1000) == processes[1].Quarantined(1000));
    RC_ASSERT(processes[1].Quarantined(1000) == processes[2].Quarantined(1000));
  });
}

TEST_CASE("quarantine: requests under way beside a deadly one stay free") {
  const std::string deadly = RequestFingerprint("GET", "/deadly", "team", "");
  const std::string sound = RequestFingerprint("GET", "/sound", "team", "");
  PromptQuarantine quarantine;
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    quarantine.OnCrash({deadly}, endpoint, 1000);
    if (endpoint != std::string_view("e4")) {
      quarantine.OnCrash({sound}, endpoint, 1000);
    }
  }
  CHECK(quarantine.Find({deadly}, 1001));
  CHECK_FALSE(quarantine.Find({sound}, 1001));
}

TEST_CASE("quarantine: a caller cannot have another team's request refused") {
  CHECK(RequestFingerprint("GET", "/a", "team", "body") !=
        RequestFingerprint("GET", "/a", "other", "body"));
  CHECK(RequestFingerprint("GET", "/a", "team", "") !=
        RequestFingerprint("GET", "/ateam", "", ""));
}

TEST_CASE("quarantine: a request is released after its time") {
  const QuarantineSettings settings;
  const std::string deadly = RequestFingerprint("GET", "/deadly", "team", "");
  PromptQuarantine quarantine;
  for (const char* endpoint : {"e1", "e2"}) {
    quarantine.OnCrash({deadly}, endpoint, 1000);
  }
  CHECK_FALSE(quarantine.Find({deadly}, 1001));
  quarantine.OnCrash({deadly}, "e3", 1000);
  CHECK(quarantine.Find({deadly}, 1000 + settings.request_ms - 1));
  CHECK_FALSE(quarantine.Find({deadly}, 1000 + settings.request_ms));
}

}  // namespace
}  // namespace limpethaven
