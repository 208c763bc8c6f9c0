/// @file
/// What a caller asks, in types whose fields say what they hold.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// A part of a prompt that other prompts may share.
struct PromptPart {
  std::string id;
  Tokens tokens = 0;
  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

/// A caller's request as its dialect read it.
struct CallerRequest {
  std::string attempt_id;  ///< The caller's name for this attempt.
  std::string host;        ///< Host named by the caller, without a port.
  std::string path;        ///< Without query.
  std::string key;         ///< Credential; empty when none was shown.
  std::optional<DurationMs> budget_ms;  ///< How long the caller waits.
  std::string model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  bool counts_tokens = false;         ///< Whether token counts were given.
  std::optional<Tokens> output_hint;  ///< The caller's estimate.
  std::vector<PromptPart> prefix;     ///< Parts of the prompt, in order.
  std::optional<std::int64_t> resume_after;  ///< Last event that it has.
  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace limpethaven
