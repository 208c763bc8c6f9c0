#include "limpethaven/request_record.h"

#include <array>
#include <string_view>

namespace limpethaven {
namespace {

constexpr std::array<std::string_view, 8> kPhaseNames = {
    "received",     "admitted", "queued", "prefill_sent",
    "prefill_done", "sent",     "begun",  "done"};
constexpr std::array<std::string_view, 6> kOutcomeNames = {
    "not_sent", "not_run", "failed", "broken", "silent", "answered"};
constexpr std::array<std::string_view, 5> kStepNames = {
    "send_again", "forward", "refuse", "report", "break_off"};

}  // namespace

SendOutcome AfterReconnect(SendOutcome run, SendOutcome reconnect) noexcept {
  const bool reached_run =
      reconnect != SendOutcome::kNotSent && reconnect != SendOutcome::kNotRun;
  return reached_run ? reconnect : run;
}

RequestRecord::RequestRecord(RepeatRule repeat_rule, std::int64_t sends_allowed)
    : rule(repeat_rule), max_sends(sends_allowed) {}

void RequestRecord::OnAdmitted() { this->phase = RequestPhase::kAdmitted; }

void RequestRecord::OnQueued() { this->phase = RequestPhase::kQueued; }

void RequestRecord::OnPrefillSent() {
  this->phase = RequestPhase::kPrefillSent;
}

void RequestRecord::OnPrefillDone() {
  this->phase = RequestPhase::kPrefillDone;
}

void RequestRecord::OnSend() {
  ++this->sends;
  // The endpoint may have run it unless the outcome shows otherwise.
  ++this->possible_runs;
  this->in_flight = true;
  if (this->phase != RequestPhase::kBegun) this->phase = RequestPhase::kSent;
}

void RequestRecord::OnAnswerBegun() { this->phase = RequestPhase::kBegun; }

NextStep RequestRecord::OnOutcome(SendOutcome outcome, bool budget_left) {
  const bool not_run =
      outcome == SendOutcome::kNotSent || outcome == SendOutcome::kNotRun;
  if (not_run && this->in_flight) --this->possible_runs;
  // A send of which no byte went out does not count against `max_sends`.
  if (outcome == SendOutcome::kNotSent && this->in_flight) --this->sends;
  this->in_flight = false;
  if (outcome == SendOutcome::kAnswered) return NextStep::kForward;
  if (this->MaySend() && (budget_left || !this->NextIsRetry())) {
    return NextStep::kSendAgain;
  }
  if (this->phase == RequestPhase::kBegun) return NextStep::kBreakOff;
  if (outcome == SendOutcome::kFailed) return NextStep::kForward;
  return this->possible_runs == 0 ? NextStep::kRefuse : NextStep::kReport;
}

void RequestRecord::OnDone() { this->phase = RequestPhase::kDone; }

bool RequestRecord::MaySend() const noexcept {
  if (this->in_flight || this->phase == RequestPhase::kDone) return false;
  if (this->sends >= this->max_sends) return false;
  if (this->phase == RequestPhase::kBegun) {
    return this->rule == RepeatRule::kResumable;
  }
  return this->possible_runs == 0 || this->rule != RepeatRule::kOnce;
}

bool RequestRecord::NextIsRetry() const noexcept { return this->sends > 0; }

Ran RequestRecord::MayHaveRun() const noexcept {
  if (this->possible_runs == 0) return Ran::kNo;
  return this->phase == RequestPhase::kBegun ? Ran::kYes : Ran::kUnknown;
}

RequestPhase RequestRecord::Phase() const noexcept { return this->phase; }

std::int64_t RequestRecord::Sends() const noexcept { return this->sends; }

std::string_view NameOf(RequestPhase phase) noexcept {
  return kPhaseNames[static_cast<std::size_t>(phase)];
}

std::string_view NameOf(SendOutcome outcome) noexcept {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view NameOf(NextStep step) noexcept {
  return kStepNames[static_cast<std::size_t>(step)];
}

}  // namespace limpethaven
