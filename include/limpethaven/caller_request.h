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
  std::string id;  ///< Parts with the same content have the same id.
  Tokens tokens = 0;
  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

/// A running attempt that a caller resumes. Any VM may have started it.
struct RunningAttempt {
  std::string cell;
  std::string attempt;         ///< Id of the reservation that it runs under.
  std::string endpoint;        ///< Id of the endpoint that runs it.
  Tokens reserved_tokens = 0;  ///< Tokens reserved in the engine's KV cache.
  std::int64_t offset = 0;     ///< Index of the first output token to send.
  friend auto operator<=>(const RunningAttempt&,
                          const RunningAttempt&) = default;
};

/// A request as a dialect parsed it.
struct CallerRequest {
  /// Id of the request, from the caller or generated. Not to be confused with
  /// `RunningAttempt::attempt`, which names one run at an engine.
  std::string attempt_id;
  std::string host;  ///< Host name without the port.
  std::string path;  ///< Path without the query.
  std::string key;   ///< API key; empty when the caller sent none.
  /// Time within which the caller wants the complete answer; empty when it set
  /// none.
  std::optional<DurationMs> budget_ms;
  std::string model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  /// Whether `prompt_tokens` and `max_output_tokens` are set. Otherwise
  /// `TeamSpec::plain_tokens` is charged.
  bool has_token_counts = false;
  /// Number of output tokens that the caller expects.
  std::optional<Tokens> output_hint;
  /// Leading parts of the prompt, in order, as the caller listed them.
  std::vector<PromptPart> prefix;
  /// Number of the last event that the caller received; empty when it sent none
  /// or the dialect resumes by `resumed_attempt`.
  std::optional<std::int64_t> last_event_id;
  /// Attempt to resume; empty when the request starts a new one.
  std::optional<RunningAttempt> resumed_attempt;
  /// Team that the key must belong to; empty for any. Admission sets it to the
  /// request's team, which is empty on routes open to all callers.
  std::string team;
  std::string prompt;  ///< Empty when the dialect does not read the prompt.
  /// Whether the answer is sent as one body, not as a stream of events.
  bool buffered = false;
  std::string ticket;  ///< Signed ticket of a request that runs at most once.
  /// Hash of each complete block of the prompt, from `PrefixBlockHashes`; empty
  /// when the dialect does not read the prompt.
  std::vector<std::uint64_t> prefix_blocks;
  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace limpethaven
