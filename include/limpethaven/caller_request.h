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

/// A run that a caller goes on with, wherever it was begun.
struct RunningAttempt {
  std::string cell;
  std::string attempt;   ///< Name of the placement that it runs under.
  std::string endpoint;  ///< Id of the endpoint that runs it.
  Tokens reserved_tokens = 0;
  std::int64_t offset = 0;  ///< First token that is wanted.
  friend auto operator<=>(const RunningAttempt&,
                          const RunningAttempt&) = default;
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
  bool has_token_counts = false;      ///< Whether token counts were given.
  std::optional<Tokens> output_hint;  ///< The caller's estimate.
  std::vector<PromptPart> prefix;     ///< Parts of the prompt, in order.
  std::optional<std::int64_t> last_event_id;      ///< Last event that it has.
  std::optional<RunningAttempt> resumed_attempt;  ///< Goes on with this run.
  std::string team;       ///< Team that the caller claims; empty: any.
  std::string prompt;     ///< Text of the prompt, where the system sees it.
  bool buffered = false;  ///< The answer is wanted in one piece.
  std::string ticket;     ///< Names the one run of a request that runs once.
  std::vector<std::uint64_t>
      prefix_blocks;  ///< Chained hashes of the prompt's leading blocks.
  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace limpethaven
