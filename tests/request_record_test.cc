/// @file
/// Tests of the request record. They guard against a second run of a request
/// that may run once, a false report that a request has not run, and too many
/// sends, in every order of events.
#include "limpethaven/request_record.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

namespace limpethaven {
namespace {

/// One send and its outcome.
struct SendStep {
  SendOutcome outcome = SendOutcome::kNotSent;
  bool answer_begun = false;  ///< An answer's head reached the caller.
  bool budget = true;         ///< The retry budget allows a retry.
};

SendStep MakeStep(int draw) {
  SendStep step;
  step.outcome = static_cast<SendOutcome>(draw % 6);
  const bool may_have_run = step.outcome != SendOutcome::kNotSent &&
                            step.outcome != SendOutcome::kNotRun;
  step.answer_begun = may_have_run && (draw / 6) % 3 == 0;
  step.budget = (draw / 18) % 4 != 0;
  return step;
}

/// Sends as the endpoints observed them, and the record's last decision.
struct ObservedSends {
  std::int64_t sends = 0;
  std::int64_t may_have_run = 0;
  NextStep last = NextStep::kSendAgain;
};

ObservedSends RunSteps(RequestRecord& record,
                       const std::vector<SendStep>& steps) {
  ObservedSends observed;
  record.OnAdmitted();
  for (const SendStep& step : steps) {
    if (observed.last != NextStep::kSendAgain || !record.MaySend()) break;
    record.OnSend();
    if (step.answer_begun) record.OnAnswerBegun();
    const bool sent = step.outcome != SendOutcome::kNotSent;
    const bool ran = sent && step.outcome != SendOutcome::kNotRun;
    observed.sends += sent ? 1 : 0;
    observed.may_have_run += ran ? 1 : 0;
    observed.last = record.OnOutcome(step.outcome, step.budget);
  }
  return observed;
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

TEST_CASE("request record keeps its guarantees in every order of events") {
  CheckProperty("a request that may run once is run at most once", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    RequestRecord record = RecordOf(0, *rc::gen::inRange(1, 6));
    RC_ASSERT(RunSteps(record, StepsOf(draws)).may_have_run <= 1);
  });
  CheckProperty("not run is reported only if no endpoint may have run it", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    RequestRecord record =
        RecordOf(*rc::gen::inRange(0, 3), *rc::gen::inRange(1, 6));
    const ObservedSends observed = RunSteps(record, StepsOf(draws));
    if (record.MayHaveRun() == Ran::kNo) RC_ASSERT(observed.may_have_run == 0);
    if (observed.last == NextStep::kRefuse) {
      RC_ASSERT(observed.may_have_run == 0);
    }
  });
  CheckProperty("a request is sent no more often than the route allows", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    const int max_sends = *rc::gen::inRange(1, 6);
    RequestRecord record = RecordOf(*rc::gen::inRange(0, 3), max_sends);
    RC_ASSERT(RunSteps(record, StepsOf(draws)).sends <= max_sends);
  });
  CheckProperty("a begun answer is never refused or reported as unknown", [] {
    const auto draws =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 72));
    RequestRecord record =
        RecordOf(*rc::gen::inRange(0, 3), *rc::gen::inRange(1, 6));
    const ObservedSends observed = RunSteps(record, StepsOf(draws));
    if (record.Phase() != RequestPhase::kBegun) return;
    RC_ASSERT(observed.last != NextStep::kRefuse);
    RC_ASSERT(observed.last != NextStep::kReport);
  });
}

// An engine that has crashed accepts no reconnection to the run that it broke.
TEST_CASE("a reconnection that fails does not turn a broken run into no run") {
  for (const SendOutcome reconnect :
       {SendOutcome::kNotSent, SendOutcome::kNotRun}) {
    RequestRecord record(RepeatRule::kOnce, 3);
    record.OnAdmitted();
    record.OnSend();
    REQUIRE(record.OnOutcome(AfterReconnect(SendOutcome::kBroken, reconnect),
                             true) == NextStep::kReport);
    REQUIRE(record.MayHaveRun() != Ran::kNo);
  }
  REQUIRE(AfterReconnect(SendOutcome::kBroken, SendOutcome::kAnswered) ==
          SendOutcome::kAnswered);
  REQUIRE(AfterReconnect(SendOutcome::kBroken, SendOutcome::kSilent) ==
          SendOutcome::kSilent);
}

TEST_CASE(
    "request record retries a timed-out send only if rule and budget allow") {
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
