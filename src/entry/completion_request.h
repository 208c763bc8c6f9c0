/// @file
/// The body of a completion call.
#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// A checked completion call.
struct CompletionRequest {
  std::string model;
  std::string prompt;
  Tokens max_tokens = 0;
  bool stream = false;
  friend auto operator<=>(const CompletionRequest&,
                          const CompletionRequest&) = default;
};

/// Most tokens that one call may ask for.
inline constexpr Tokens kMaxTokensPerRequest = 100'000;

/// Reads an OpenAI-shaped body with `prompt` or `messages`. Errors name the
/// field and what was expected.
[[nodiscard]] Result<CompletionRequest> ParseCompletionRequest(
    std::string_view body);

}  // namespace limpethaven
