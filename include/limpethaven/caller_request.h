/// @file
/// A caller's request, independent of the dialect that it was sent in.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// A part of a prompt that other prompts may begin with as well.
struct PromptPart {
  std::string id;  ///< Equal for equal parts.
  Tokens tokens = 0;
  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

/// A running attempt that a caller resumes, on whichever VM it was started.
struct RunningAttempt {
  std::string cell;
  std::string attempt;   ///< Reservation that it runs under.
  std::string endpoint;  ///< Id of the endpoint that runs it.
  Tokens reserved_tokens = 0;
  std::int64_t offset = 0;  ///< Index of the first token to send.
  friend auto operator<=>(const RunningAttempt&,
                          const RunningAttempt&) = default;
};

/// A request as a dialect parsed it.
struct CallerRequest {
  std::string attempt_id;  ///< Id that the caller gave this attempt.
  std::string host;        ///< Host name without the port.
  std::string path;        ///< Path without the query.
  std::string key;         ///< API key; empty when the caller sent none.
  /// Time within which the caller wants the answer; empty when it set none.
  std::optional<DurationMs> budget_ms;
  std::string model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  bool has_token_counts = false;      ///< Whether the caller sent token counts.
  std::optional<Tokens> output_hint;  ///< Expected number of output tokens.
  std::vector<PromptPart> prefix;  ///< Leading parts of the prompt, in order.
  /// Id of the last event that the caller received; empty when it sent none.
  std::optional<std::int64_t> last_event_id;
  /// Attempt to resume; empty when the request starts a new one.
  std::optional<RunningAttempt> resumed_attempt;
  std::string team;    ///< Team that the key must belong to; empty: any.
  std::string prompt;  ///< Prompt; empty when the dialect does not read it.
  /// Whether the answer is sent as one body, not as a stream of events.
  bool buffered = false;
  std::string ticket;  ///< Signed ticket of a request that runs at most once.
  /// Hash of each of the prompt's leading blocks, chained with the one before.
  std::vector<std::uint64_t> prefix_blocks;
  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace limpethaven
