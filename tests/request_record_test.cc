/// @file
/// What may be done and said about one request, in every order of events.
#include "limpethaven/request_record.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

namespace limpethaven {
namespace {

/// One send, and what came of it.
struct SendStep {
  SendOutcome outcome = SendOutcome::kNotSent;
  bool begins = false;  ///< The caller got the head of an answer before.
  bool budget = true;
};

SendStep MakeStep(int draw) {
  SendStep step;
  step.outcome = static_cast<SendOutcome>(draw % 6);
  const bool reached = step.outcome != SendOutcome::kNotSent &&
                       step.outcome != SendOutcome::kNotRun;
  step.begins = reached && (draw / 6) % 3 == 0;
  step.budget = (draw / 18) % 4 != 0;
  return step;
}

/// What an observer of the endpoints saw.
struct Seen {
  std::int64_t sends = 0;
  std::int64_t may_have_run = 0;
  NextStep last = NextStep::kSendAgain;
};

Seen Play(RequestRecord& record, const std::vector<SendStep>& steps) {
  Seen seen;
  record.OnAdmitted();
  for (const SendStep& step : steps) {
    if (seen.last != NextStep::kSendAgain || !record.MaySend()) break;
    record.OnSend();
    if (step.begins) record.OnAnswerBegun();
    const bool left = step.outcome != SendOutcome::kNotSent;
    const bool ran = left && step.outcome != SendOutcome::kNotRun;
    seen.sends += left ? 1 : 0;
    seen.may_have_run += ran ? 1 : 0;
    seen.last = record.OnOutcome(step.outcome, step.budget);
  }
  return seen;
}

std::vector<SendStep> StepsOf(const std::vector<int>& draws) {
  std::vector<SendStep> steps;
  steps.reserve(draws.size());
  for (const int draw : draws) steps.push_back(MakeStep(draw));
  return steps;
}

RequestRecord RecordOf(int rule, int max_sends) {
  return RequestRecord(static_cast<RepeatRule>(rule), max_sends);
}

void CheckProperty(const char* name, const std::function<void()>& property) {
  REQUIRE(rc::check(name, property));
}

TEST_CASE("request record keeps its promises in every order of events") {
  CheckProperty("a request that runs once is run at most once", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    RequestRecord record = RecordOf(0, *rc::gen::inRange(1, 6));
    RC_ASSERT(Play(record, StepsOf(draws)).may_have_run <= 1);
  });
  CheckProperty("not run is said only of what no endpoint may have run", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    RequestRecord record =
        RecordOf(*rc::gen::inRange(0, 3), *rc::gen::inRange(1, 6));
    const Seen seen = Play(record, StepsOf(draws));
    if (record.MayHaveRun() == Ran::kNo) RC_ASSERT(seen.may_have_run == 0);
    if (seen.last == NextStep::kRefuse) RC_ASSERT(seen.may_have_run == 0);
  });
  CheckProperty("no more endpoints get it than the route allows", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    const int max_sends = *rc::gen::inRange(1, 6);
    RequestRecord record = RecordOf(*rc::gen::inRange(0, 3), max_sends);
    RC_ASSERT(Play(record, StepsOf(draws)).sends <= max_sends);
  });
  CheckProperty("an answer that has begun is never replaced by another", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    RequestRecord record =
        RecordOf(*rc::gen::inRange(0, 3), *rc::gen::inRange(1, 6));
    const Seen seen = Play(record, StepsOf(draws));
    if (record.Phase() != RequestPhase::kBegun) return;
    RC_ASSERT(seen.last != NextStep::kRefuse);
    RC_ASSERT(seen.last != NextStep::kReport);
  });
}

TEST_CASE("request record sends a silent call elsewhere only if it may") {
  RequestRecord once(RepeatRule::kOnce, 3);
  once.OnAdmitted();
  once.OnSend();
  REQUIRE(once.OnOutcome(SendOutcome::kSilent, true) == NextStep::kReport);
  RequestRecord repeatable(RepeatRule::kRepeatable, 3);
  repeatable.OnAdmitted();
  repeatable.OnSend();
  REQUIRE(repeatable.OnOutcome(SendOutcome::kSilent, true) ==
          NextStep::kSendAgain);
  repeatable.OnSend();
  REQUIRE(repeatable.OnOutcome(SendOutcome::kSilent, false) ==
          NextStep::kReport);
}

}  // namespace
}  // namespace limpethaven
