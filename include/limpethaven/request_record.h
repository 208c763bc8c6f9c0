/// @file
/// State machine of one request: counts its sends to endpoints and decides
/// whether it may be sent again and how it is answered.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Progress of a request.
enum class RequestPhase {
  kReceived,
  kAdmitted,     ///< Charged to its team's share.
  kQueued,       ///< Waits for a free endpoint.
  kPrefillSent,  ///< A prefill engine processes its prompt.
  kPrefillDone,  ///< Its KV cache can be fetched.
  kSent,         ///< An endpoint may be running it.
  kBegun,        ///< The head of an answer was sent to the caller.
  kDone,
};

/// Outcome of one send to an endpoint.
enum class SendOutcome {
  kNotSent,   ///< No byte of the request was sent.
  kNotRun,    ///< The endpoint reports that it has not run it and will not.
  kFailed,    ///< The endpoint ran it and answered with a failure.
  kBroken,    ///< The connection broke or the answer is incomplete.
  kSilent,    ///< The endpoint sent nothing before the time-out.
  kAnswered,  ///< The endpoint sent a complete answer.
};

/// Outcome of a run after a reconnection to it has ended. A reconnection that
/// was not sent, or that the endpoint turned away, says nothing about the run
/// itself, which may have run.
[[nodiscard]] SendOutcome AfterReconnect(SendOutcome run,
                                         SendOutcome reconnect) noexcept;

/// Action after a send has ended.
enum class NextStep {
  /// Send to another endpoint: the whole request, or what remains of an answer
  /// that has begun.
  kSendAgain,
  kForward,   ///< Forward the endpoint's answer or failure to the caller.
  kRefuse,    ///< Answer with an error: the request has not run.
  kReport,    ///< Answer with an error: the request may have run.
  kBreakOff,  ///< Close the caller's connection before the answer's end.
};

/// State of one request. Holds no connection and reads no clock.
class RequestRecord {
 public:
  /// @param rule Whether the request may run more than once, or be resumed.
  /// @param max_sends Highest number of sends to endpoints. A send of which no
  ///   byte went out does not count.
  RequestRecord(RepeatRule rule, std::int64_t max_sends);

  void OnAdmitted();
  void OnQueued();
  void OnPrefillSent();
  void OnPrefillDone();
  /// Call before the first byte of the request goes to an endpoint, and only
  /// when `MaySend` returns true.
  void OnSend();
  /// Call when the head of an answer goes to the caller.
  void OnAnswerBegun();
  /// Records the outcome of the last send.
  /// @param budget_left Whether the retry budget allows one more retry.
  /// @returns the action to take; `kSendAgain` only when `MaySend` is true.
  [[nodiscard]] NextStep OnOutcome(SendOutcome outcome, bool budget_left);
  void OnDone();

  /// Whether the request may be sent to one more endpoint now.
  [[nodiscard]] bool MaySend() const noexcept;
  /// Whether the next send is a retry, which the retry budget must allow.
  [[nodiscard]] bool NextIsRetry() const noexcept;
  /// Whether an endpoint may have run the request. `kNo` guarantees that none
  /// has; `kYes` means that an answer has begun.
  [[nodiscard]] Ran MayHaveRun() const noexcept;
  [[nodiscard]] RequestPhase Phase() const noexcept;
  /// Sends that count against `max_sends`.
  [[nodiscard]] std::int64_t Sends() const noexcept;

 private:
  RepeatRule rule;
  std::int64_t max_sends;
  std::int64_t sends = 0;
  std::int64_t possible_runs = 0;  ///< Sends that an endpoint may have run.
  bool in_flight = false;          ///< The last send has no outcome yet.
  RequestPhase phase = RequestPhase::kReceived;
};

/// Name of a phase in logs, such as `received`.
[[nodiscard]] std::string_view NameOf(RequestPhase phase) noexcept;
/// Name of an outcome in logs, such as `not_sent`.
[[nodiscard]] std::string_view NameOf(SendOutcome outcome) noexcept;
/// Name of an action in logs, such as `send_again`.
[[nodiscard]] std::string_view NameOf(NextStep step) noexcept;

}  // namespace limpethaven
