/// @file
/// Resume tokens: the `id:` of each event that a caller receives.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Names a running answer and the next token wanted. Any VM can go on from it.
struct ResumeToken {
  std::string request_id;
  std::string attempt;
  std::string team;
  std::string model;
  std::string engine;  ///< Address of the decode engine.
  std::string cell;
  std::string reservation;
  std::int64_t pieces = 0;
  std::int64_t offset =
      0;  ///< Next token wanted. Not signed: it selects among own tokens.
  friend auto operator<=>(const ResumeToken&, const ResumeToken&) = default;
};

std::ostream& operator<<(std::ostream& out, const ResumeToken& token);

/// The signed part, the same for every event of one answer.
[[nodiscard]] std::string EncodeResumeBase(std::string_view secret,
                                           const ResumeToken& token);
/// Adds the offset to a signed part.
[[nodiscard]] std::string EncodeResumeId(std::string_view base,
                                         std::int64_t offset);
/// Reads an event id back; empty when it is malformed or its signature does not
/// fit.
[[nodiscard]] std::optional<ResumeToken> DecodeResumeId(std::string_view secret,
                                                        std::string_view text);

}  // namespace limpethaven
