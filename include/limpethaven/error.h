/// @file
/// All error kinds, and the table of how each is answered.
#pragma once

#include <boost/outcome.hpp>
#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "limpethaven/event.h"

namespace limpethaven {

/// Every way in which a request can be refused or fail. Each kind has a row in
/// `ErrorTable()`, in this order.
enum class ErrorKind {
  kBadRequest,      ///< The request is malformed.
  kBodyTooLarge,    ///< The body exceeds the size limit.
  kUnknownRoute,    ///< No route matches the request.
  kKeyMissing,      ///< The request has no API key.
  kKeyRejected,     ///< The API key belongs to no team.
  kKeyWithdrawn,    ///< The API key was withdrawn while the request was served.
  kTeamMismatch,    ///< The ticket or resume id belongs to another team.
  kTicketRequired,  ///< The route needs a ticket, none was sent.
  kTicketInvalid,   ///< The ticket is malformed or wrongly signed.
  kTicketExpired,   ///< The ticket's time to live has passed.
  kTicketUsed,      ///< The run was begun before.
  kTicketMinterUnreachable,  ///< The ticket's minter is gone or unreachable.
  kTeamLimit,          ///< The team's share has too few tokens at the moment.
  kRequestOverBurst,   ///< The request needs more tokens than the team's burst.
  kCapacity,           ///< No memory is free in time, or a table is full.
  kDeadline,           ///< The answer or its first token is too late.
  kNoEndpoint,         ///< The route has no usable endpoint.
  kEndpointFailed,     ///< A call to an endpoint or to a peer failed.
  kOutcomeUnknown,     ///< A request that runs at most once may have run.
  kStreamBroken,       ///< A stream ended early; a retry is advised.
  kStreamGone,         ///< The engine no longer holds the stream to resume.
  kCancelled,          ///< The caller cancelled the request.
  kSuperseded,         ///< A newer connection, or a newer order, took over.
  kNotReady,           ///< The process has no configuration yet.
  kLeaving,            ///< The process is draining.
  kTooManyStreams,     ///< The process serves its highest number of requests.
  kPromptQuarantined,  ///< A part of the prompt has crashed several engines.
  kPeerRejected,       ///< A peer's message is malformed or not authentic.
  kConfigInvalid,      ///< The configuration contains an error.
  kInternal,           ///< A fault inside the process.
};

/// Whether an endpoint may have run the request. `kNo` guarantees that none has
/// run it and none will.
enum class Ran { kNo, kUnknown, kYes };

/// One row of the error table.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;  ///< Name in JSON answers.
  int http_status;        ///< HTTP status of the answer.
  Ran ran;                ///< Default of `Error::ran`.
  /// Recommended delay before a retry, in milliseconds; 0 advises not to retry.
  std::int64_t retry_after_ms;
  EventId event;  ///< Log event written with the refusal.
};

/// An error: its kind, a message, whether the request ran, and retry advice.
///
/// Example: `return Error::Of(ErrorKind::kTeamLimit, "team north lacks 388 of
/// the 400 tokens that the request needs");`
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  Ran ran = Ran::kNo;
  /// Recommended delay before a retry; 0 advises not to retry.
  std::int64_t retry_after_ms = 0;

  /// Builds an error with the `ran` and the retry advice of the table.
  [[nodiscard]] static Error Of(ErrorKind kind, std::string message);
  /// Returns a copy with another `ran`.
  [[nodiscard]] Error WithRan(Ran value) const;

  friend auto operator<=>(const Error&, const Error&) = default;
};

/// Result of an operation that can fail with `Error`.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Shorthand for a successful `Result<void>`.
[[nodiscard]] inline auto Success() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// All rows, in the order of `ErrorKind`.
[[nodiscard]] std::span<const ErrorRow> ErrorTable() noexcept;
[[nodiscard]] const ErrorRow& RowOf(ErrorKind kind) noexcept;
/// Kind with this name in JSON; empty when no kind has it.
[[nodiscard]] std::optional<ErrorKind> ErrorKindFromName(
    std::string_view name) noexcept;
/// Name of `ran` in JSON: `no`, `unknown` or `yes`.
[[nodiscard]] std::string_view NameOf(Ran ran) noexcept;
/// Inverse of `NameOf(Ran)`; any other text gives `kUnknown`.
[[nodiscard]] Ran RanFromName(std::string_view name) noexcept;
/// JSON body of a refusal: `{"error":{kind,message,ran,retry_after_ms}}`.
[[nodiscard]] std::string ToJsonBody(const Error& error);
/// Parses a body written by `ToJsonBody`; empty when the text is not
/// such a body.
[[nodiscard]] std::optional<Error> ErrorFromJsonBody(std::string_view body);

std::ostream& operator<<(std::ostream& out, const Error& error);

}  // namespace limpethaven
