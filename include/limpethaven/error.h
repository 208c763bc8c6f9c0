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
  kBadRequest,
  kBodyTooLarge,
  kUnknownRoute,
  kKeyMissing,
  kKeyRejected,
  kKeyWithdrawn,
  kTeamMismatch,
  kTicketRequired,
  kTicketInvalid,
  kTicketExpired,
  kTicketUsed,
  kTicketMinterUnreachable,
  kTeamLimit,
  kRequestOverBurst,
  kCapacity,
  kDeadline,
  kNoEndpoint,
  kEndpointFailed,
  kOutcomeUnknown,
  kStreamBroken,
  kStreamGone,
  kCancelled,
  kSuperseded,
  kNotReady,
  kLeaving,
  kTooManyStreams,
  kPeerRejected,
  kConfigInvalid,
  kInternal,
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
/// Example: `return Error::Of(ErrorKind::kTeamLimit, "team north has 12 of 400
/// tokens");`
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  Ran ran = Ran::kNo;
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
/// Row of `kind`.
[[nodiscard]] const ErrorRow& RowOf(ErrorKind kind) noexcept;
/// Kind with this name in JSON; empty when no kind has it.
[[nodiscard]] std::optional<ErrorKind> ErrorKindFromName(
    std::string_view name) noexcept;
/// `no`, `unknown` or `yes`.
[[nodiscard]] std::string_view NameOf(Ran ran) noexcept;
/// Inverse of `NameOf(Ran)`; any other text gives `kUnknown`.
[[nodiscard]] Ran RanFromName(std::string_view name) noexcept;
/// JSON body of a refusal: `{"error":{kind,message,ran,retry_after_ms}}`.
[[nodiscard]] std::string ToJsonBody(const Error& error);
/// Parses a body written by `ToJsonBody`; empty when it is no such body.
[[nodiscard]] std::optional<Error> ErrorFromJsonBody(std::string_view body);

std::ostream& operator<<(std::ostream& out, const Error& error);

}  // namespace limpethaven
