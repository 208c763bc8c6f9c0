#include "limpethaven/error.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <ostream>

namespace limpethaven {
namespace {

constexpr std::array kRows = {
    ErrorRow{ErrorKind::kBadRequest, "bad_request", 400, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kBodyTooLarge, "body_too_large", 413, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kUnknownRoute, "unknown_route", 404, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kKeyMissing, "key_missing", 401, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kKeyRejected, "key_rejected", 401, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kKeyWithdrawn, "key_withdrawn", 401, Ran::kYes, 0,
             EventId::kKeyWithdrawnMidStream},
    ErrorRow{ErrorKind::kTeamMismatch, "team_mismatch", 403, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTicketRequired, "ticket_required", 428, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTicketInvalid, "ticket_invalid", 400, Ran::kNo, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTicketExpired, "ticket_expired", 409, Ran::kUnknown, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTicketUsed, "ticket_used", 409, Ran::kUnknown, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTicketMinterUnreachable, "ticket_minter_unreachable",
             503, Ran::kUnknown, 0, EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTeamLimit, "team_limit", 429, Ran::kNo, 1000,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kRequestOverBurst, "request_over_burst", 413, Ran::kNo,
             0, EventId::kRequestRefused},
    ErrorRow{ErrorKind::kCapacity, "capacity", 503, Ran::kNo, 500,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kDeadline, "deadline", 503, Ran::kNo, 500,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kNoEndpoint, "no_endpoint", 503, Ran::kNo, 1000,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kEndpointFailed, "endpoint_failed", 502, Ran::kUnknown,
             500, EventId::kRequestRefused},
    ErrorRow{ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, Ran::kUnknown,
             0, EventId::kRequestRefused},
    ErrorRow{ErrorKind::kStreamBroken, "stream_broken", 502, Ran::kYes, 100,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kStreamGone, "stream_gone", 410, Ran::kYes, 0,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kCancelled, "cancelled", 409, Ran::kYes, 0,
             EventId::kRequestCancelled},
    ErrorRow{ErrorKind::kSuperseded, "superseded", 409, Ran::kYes, 0,
             EventId::kRequestCancelled},
    ErrorRow{ErrorKind::kNotReady, "not_ready", 503, Ran::kNo, 500,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kLeaving, "leaving", 503, Ran::kNo, 100,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kTooManyStreams, "too_many_streams", 503, Ran::kNo, 200,
             EventId::kRequestRefused},
    ErrorRow{ErrorKind::kPromptQuarantined, "prompt_quarantined", 503, Ran::kNo,
             30'000, EventId::kRequestRefused},
    ErrorRow{ErrorKind::kPeerRejected, "peer_rejected", 403, Ran::kNo, 0,
             EventId::kPeerMessageRejected},
    ErrorRow{ErrorKind::kConfigInvalid, "config_invalid", 422, Ran::kNo, 0,
             EventId::kConfigRejected},
    ErrorRow{ErrorKind::kInternal, "internal", 500, Ran::kUnknown, 0,
             EventId::kInternalError},
};

}  // namespace

Error Error::Of(ErrorKind kind, std::string message) {
  const ErrorRow& row = RowOf(kind);
  return Error{kind, std::move(message), row.ran, row.retry_after_ms};
}

Error Error::WithRan(Ran value) const {
  Error copy = *this;
  copy.ran = value;
  return copy;
}

std::span<const ErrorRow> ErrorTable() noexcept { return kRows; }

const ErrorRow& RowOf(ErrorKind kind) noexcept {
  return kRows[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) noexcept {
  const auto row = std::ranges::find(kRows, name, &ErrorRow::name);
  if (row == kRows.end()) return std::nullopt;
  return row->kind;
}

std::string_view NameOf(Ran ran) noexcept {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      break;
  }
  return "unknown";
}

Ran RanFromName(std::string_view name) noexcept {
  if (name == "no") return Ran::kNo;
  if (name == "yes") return Ran::kYes;
  return Ran::kUnknown;
}

std::string ToJsonBody(const Error& error) {
  const nlohmann::json body = {{"error",
                                {{"kind", RowOf(error.kind).name},
                                 {"message", error.message},
                                 {"ran", NameOf(error.ran)},
                                 {"retry_after_ms", error.retry_after_ms}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Error> ErrorFromJsonBody(std::string_view body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("error") ||
      !json["error"].is_object()) {
    return std::nullopt;
  }
  const auto& fields = json["error"];
  const auto text = [&fields](const char* name) {
    return fields.contains(name) && fields[name].is_string()
               ? fields[name].get<std::string>()
               : std::string();
  };
  const auto kind = ErrorKindFromName(text("kind"));
  if (!kind) return std::nullopt;
  Error error = Error::Of(*kind, text("message"));
  error.ran = RanFromName(text("ran"));
  if (fields.contains("retry_after_ms") &&
      fields["retry_after_ms"].is_number_integer()) {
    error.retry_after_ms = fields["retry_after_ms"].get<std::int64_t>();
  }
  return error;
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << RowOf(error.kind).name << " (ran " << NameOf(error.ran)
             << "): " << error.message;
}

}  // namespace limpethaven
