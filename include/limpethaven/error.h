/// @file
/// The closed list of error kinds and the one table from kind to answer.
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

/// Every way a request can be refused or fail. Closed: each kind has a row in
/// `ErrorTable()`.
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

/// Whether any endpoint may have received the request. `kNo` is a promise.
enum class Ran { kNo, kUnknown, kYes };

/// One row of the error table.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;  ///< Name in JSON answers.
  int http_status;        ///< HTTP status of the answer.
  Ran ran;  ///< What `ran` says unless the error itself says more.
  std::int64_t
      retry_after_ms;  ///< Advice in milliseconds; 0 means do not retry.
  EventId event;       ///< Log event written with the refusal.
};

/// An error value: kind, message, and what is known about execution.
///
/// Example: `return Error::Of(ErrorKind::kTeamLimit, "team north has 12 of 400
/// tokens");`
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  Ran ran = Ran::kNo;
  std::int64_t retry_after_ms = 0;

  /// Builds an error with the table's `ran` and retry advice.
  [[nodiscard]] static Error Of(ErrorKind kind, std::string message);
  /// Copy of this error with another `ran`.
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

/// The whole table, in the order of `ErrorKind`.
[[nodiscard]] std::span<const ErrorRow> ErrorTable() noexcept;
/// Row of one kind.
[[nodiscard]] const ErrorRow& RowOf(ErrorKind kind) noexcept;
/// Kind by its JSON name; empty when unknown.
[[nodiscard]] std::optional<ErrorKind> ErrorKindFromName(
    std::string_view name) noexcept;
/// `no`, `unknown` or `yes`.
[[nodiscard]] std::string_view NameOf(Ran ran) noexcept;
/// Inverse of `NameOf(Ran)`; anything else reads as `kUnknown`.
[[nodiscard]] Ran RanFromName(std::string_view name) noexcept;
/// JSON body of a refusal: `{"error":{kind,message,ran,retry_after_ms}}`.
[[nodiscard]] std::string ToJsonBody(const Error& error);
/// Reads a refusal body written by `ToJsonBody`; empty when it is not one.
[[nodiscard]] std::optional<Error> ErrorFromJsonBody(std::string_view body);

std::ostream& operator<<(std::ostream& out, const Error& error);

}  // namespace limpethaven
