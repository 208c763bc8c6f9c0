/// @file
/// Resume tokens: the `id:` of each event in a caller's stream, with which the
/// caller resumes the stream.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Identifies a running answer and the token to resume at. Holds all that a VM
/// needs to resume the answer, so that any VM can.
struct ResumeToken {
  std::string request_id;
  std::string attempt;  ///< Nonce of the attempt that generates the answer.
  std::string team;
  std::string model;
  std::string engine;  ///< Address of the decode engine.
  std::string cell;
  std::string reservation;
  std::int64_t pieces = 0;
  /// Index of the next token to send. Not signed, because it only selects among
  /// the tokens of this answer.
  std::int64_t offset = 0;
  friend auto operator<=>(const ResumeToken&, const ResumeToken&) = default;
};

std::ostream& operator<<(std::ostream& out, const ResumeToken& token);

/// Encodes and signs the fields without the offset: the part of the id that all
/// events of one answer share.
[[nodiscard]] std::string EncodeResumeBase(std::string_view secret,
                                           const ResumeToken& token);
/// Event id made of the offset and a base from `EncodeResumeBase`.
[[nodiscard]] std::string EncodeResumeId(std::string_view base,
                                         std::int64_t offset);
/// Decodes an event id; empty when it is malformed or its signature is invalid.
[[nodiscard]] std::optional<ResumeToken> DecodeResumeId(std::string_view secret,
                                                        std::string_view text);

}  // namespace limpethaven
