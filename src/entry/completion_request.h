/// @file
/// Parses the body of a completion request.
#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// A parsed and validated completion request.
struct CompletionRequest {
  std::string model;
  std::string prompt;
  Tokens max_tokens = 0;
  bool stream = false;
  friend auto operator<=>(const CompletionRequest&,
                          const CompletionRequest&) = default;
};

/// Most output tokens that one request may ask for.
inline constexpr Tokens kMaxTokensPerRequest = 100'000;

/// Parses a body in the OpenAI format, with `prompt` or `messages`. Fails with
/// `kBadRequest`; the message names the field and the value that was expected.
[[nodiscard]] Result<CompletionRequest> ParseCompletionRequest(
    std::string_view body);

}  // namespace limpethaven
