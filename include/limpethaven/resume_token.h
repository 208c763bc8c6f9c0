/// @file
/// Resume ids: the `id:` of each event in a caller's stream. A caller whose
/// connection broke sends the last one to resume the stream after that event.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Contents of a resume id: a running answer, and the output token to resume
/// at. It holds all that a VM needs to resume the answer, so any VM can.
struct ResumeToken {
  std::string request_id;
  std::string attempt;  ///< Id of the attempt that generates the answer.
  std::string team;
  std::string model;
  std::string engine;  ///< Endpoint id of the decode engine.
  std::string cell;
  /// Id of the reservation of engine memory that the attempt runs under. An
  /// attempt has the id of its reservation.
  std::string reservation;
  /// Reserved memory, in pieces of `kTokensPerPiece` tokens.
  std::int64_t pieces = 0;
  /// Index of the next output token to send. Not signed, because it only
  /// selects among the tokens of this answer.
  std::int64_t offset = 0;
  friend auto operator<=>(const ResumeToken&, const ResumeToken&) = default;
};

std::ostream& operator<<(std::ostream& out, const ResumeToken& token);

/// Encodes and signs all fields but the offset. This part of the resume id is
/// the same in all events of one attempt.
[[nodiscard]] std::string EncodeResumeBase(std::string_view secret,
                                           const ResumeToken& token);
/// Returns the resume id made of an offset and a base from `EncodeResumeBase`.
[[nodiscard]] std::string EncodeResumeId(std::string_view base,
                                         std::int64_t offset);
/// Decodes a resume id; empty when it is malformed or its signature is invalid.
[[nodiscard]] std::optional<ResumeToken> DecodeResumeId(std::string_view secret,
                                                        std::string_view text);

}  // namespace limpethaven
