/// @file
/// A recorded history: one JSON object per line, written by the load tool and
/// read by the history checker.
#pragma once

#include <compare>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// What a history event records.
enum class HistoryKind {
  /// A caller sent a request.
  kSent,
  /// The caller received the request's first token.
  kFirstToken,
  /// A connection broke after some events; the caller resumes the stream.
  kResumed,
  /// The caller received the complete answer; `digest` is that of its text.
  kWhole,
  /// The request was refused or its stream ended with an error; `error` and
  /// `ran` hold the reason.
  kRefused,
  /// The caller gave up without an answer or a refusal.
  kLost,
  /// The caller cancelled the request.
  kCancelled,
  /// An endpoint reported in `count` how often it ran the request.
  kEndpointRan,
  /// The operators withdrew the key of `team`.
  kWithdrawn,
  /// A fault was injected; `detail` names it.
  kFault,
};

/// One event. Its fields are the JSON keys of a line in a history file.
struct HistoryEvent {
  HistoryKind kind = HistoryKind::kSent;
  TimeMs at_ms = 0;     ///< Monotonic milliseconds on the recording machine.
  TimeMs wall_ms = 0;   ///< Milliseconds since the Unix epoch.
  std::string process;  ///< Name of the process that recorded the event.
  std::string request;  ///< Request id.
  std::string team;
  std::string error;  ///< Error kind of a refusal.
  std::string ran;  ///< Whether a refused request ran: `no`, `unknown`, `yes`.
  std::string digest;  ///< SHA-256 of an answer's text, in hexadecimal.
  std::string detail;  ///< Message of a refusal or name of a fault.
  /// Prompt tokens of a `kSent` event, generated tokens of a `kWhole` event.
  std::int64_t tokens = 0;
  std::int64_t max_tokens = 0;  ///< Upper limit on generated tokens.
  std::int64_t count = 0;       ///< Runs that an endpoint reported.
  double max_gap_ms = 0;        ///< Longest pause between two tokens.
  bool once = false;            ///< The request may run at most once.
  friend auto operator<=>(const HistoryEvent&, const HistoryEvent&) = default;
};

/// Name of a kind in a history file.
[[nodiscard]] std::string_view NameOf(HistoryKind kind) noexcept;
/// Encodes an event as one line of JSON without the newline.
[[nodiscard]] std::string EncodeHistoryEvent(const HistoryEvent& event);
/// Decodes one line; the error is `kBadRequest` with the reason.
[[nodiscard]] Result<HistoryEvent> DecodeHistoryEvent(std::string_view line);
/// Reads a history file; the error is `kBadRequest` with the path and the line
/// number.
[[nodiscard]] Result<std::vector<HistoryEvent>> ReadHistory(
    const std::string& path);

/// Appends events to a history file and flushes each one. Thread safe.
class HistoryWriter {
 public:
  /// @param path File to append to.
  /// @param process_name Value of `HistoryEvent::process` in each event.
  HistoryWriter(const std::string& path, std::string process_name);
  /// Sets the times and the process of an event and appends it.
  void Write(HistoryEvent event);

 private:
  std::mutex mutex;
  std::ofstream out;
  std::string process;
  SystemClock clock;
};

}  // namespace limpethaven
