/// @file
/// The life of one request: what was sent where, and what may still be said
/// and done about it.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Where a request stands.
enum class RequestPhase {
  kReceived,
  kAdmitted,     ///< Charged to its team.
  kQueued,       ///< Waits for a place.
  kPrefillSent,  ///< An engine reads its prompt.
  kPrefillDone,  ///< Its memory can be fetched.
  kSent,         ///< An endpoint may be running it.
  kBegun,        ///< The caller has the head of an answer.
  kDone,
};

/// How one send to an endpoint ended.
enum class SendOutcome {
  kNotSent,   ///< No byte left this process.
  kNotRun,    ///< The endpoint says that it has not run and never will.
  kFailed,    ///< The endpoint ran it and answered with a failure.
  kBroken,    ///< The connection broke, or the answer was not whole.
  kSilent,    ///< Nothing came in time.
  kAnswered,  ///< A whole answer.
};

/// What to do next.
enum class NextStep {
  kSendAgain,  ///< To another endpoint, from the start or the last event.
  kForward,    ///< Pass the endpoint's own answer on.
  kRefuse,     ///< Answer that it has not run.
  kReport,     ///< Answer that its outcome is unknown.
  kBreakOff,   ///< End the caller's connection without the answer's end.
};

/// One request. Holds no connection and reads no clock.
class RequestRecord {
 public:
  /// @param rule What may be done again.
  /// @param max_sends Endpoints that it may be sent to.
  RequestRecord(RepeatRule rule, std::int64_t max_sends);

  void OnAdmitted();
  void OnQueued();
  void OnPrefillSent();
  void OnPrefillDone();
  /// A byte of the request itself goes to an endpoint. Only when `MaySend`.
  void OnSend();
  /// The caller gets the head of an answer.
  void OnAnswerBegun();
  /// Ends the last send.
  /// @param budget_left Whether the fleet's retry budget has room.
  /// @returns what to do; `kSendAgain` only when `MaySend`.
  [[nodiscard]] NextStep OnOutcome(SendOutcome outcome, bool budget_left);
  void OnDone();

  /// Whether it may be sent to one more endpoint now.
  [[nodiscard]] bool MaySend() const noexcept;
  /// Whether the next send is a repeat that the retry budget pays for.
  [[nodiscard]] bool NextIsRetry() const noexcept;
  /// Whether an endpoint may have run it. `kNo` is a promise.
  [[nodiscard]] Ran MayHaveRun() const noexcept;
  [[nodiscard]] RequestPhase Phase() const noexcept;
  [[nodiscard]] std::int64_t Sends() const noexcept;

 private:
  RepeatRule rule;
  std::int64_t max_sends;
  std::int64_t sends = 0;
  std::int64_t possible_runs = 0;  ///< Sends that may have run.
  bool in_flight = false;
  RequestPhase phase = RequestPhase::kReceived;
};

/// `received`, `admitted` and so on.
[[nodiscard]] std::string_view NameOf(RequestPhase phase) noexcept;
[[nodiscard]] std::string_view NameOf(SendOutcome outcome) noexcept;
[[nodiscard]] std::string_view NameOf(NextStep step) noexcept;

}  // namespace limpethaven
