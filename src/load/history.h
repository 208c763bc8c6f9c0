/// @file
/// A recorded history: one JSON object a line, written by callers and read by
/// the checker.
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

/// What a history event says.
enum class HistoryKind {
  kSent,         ///< A caller sent a request.
  kFirstToken,   ///< Its first token came.
  kResumed,      ///< The caller went on at another VM.
  kWhole,        ///< The whole answer came; `digest` is of its text.
  kRefused,      ///< Refused or broken, with `error` and `ran`.
  kLost,         ///< The caller gave up without an answer or a refusal.
  kCancelled,    ///< The caller cancelled it.
  kEndpointRan,  ///< An endpoint says how often it ran the request, in `count`.
  kWithdrawn,    ///< The operators withdrew the key of `team`.
  kFault,        ///< A fault was induced; `detail` names it.
};

/// One event.
struct HistoryEvent {
  HistoryKind kind = HistoryKind::kSent;
  TimeMs at_ms = 0;     ///< Monotonic milliseconds on the recording machine.
  TimeMs wall_ms = 0;   ///< Milliseconds since the Unix epoch.
  std::string process;  ///< Who recorded it.
  std::string request;
  std::string team;
  std::string error;   ///< Error kind of a refusal.
  std::string ran;     ///< `no`, `unknown` or `yes`.
  std::string digest;  ///< SHA-256 of an answer's text.
  std::string detail;
  std::int64_t tokens =
      0;  ///< Prompt tokens when sent, generated tokens when whole.
  std::int64_t max_tokens = 0;
  std::int64_t count = 0;
  double max_gap_ms = 0;  ///< Longest pause between two tokens.
  bool once = false;      ///< The request may run at most once.
  friend auto operator<=>(const HistoryEvent&, const HistoryEvent&) = default;
};

/// Name of a kind in a history file.
[[nodiscard]] std::string_view NameOf(HistoryKind kind) noexcept;
/// One line, without its end.
[[nodiscard]] std::string EncodeHistoryEvent(const HistoryEvent& event);
[[nodiscard]] Result<HistoryEvent> DecodeHistoryEvent(std::string_view line);
/// Reads a file; an error names its line.
[[nodiscard]] Result<std::vector<HistoryEvent>> ReadHistory(
    const std::string& path);

/// Writes events as they come. Thread safe.
class HistoryWriter {
 public:
  /// @param path File to write; events are added to what it holds.
  HistoryWriter(const std::string& path, std::string process_name);
  /// Stamps an event with times and process, and writes it.
  void Write(HistoryEvent event);

 private:
  std::mutex mutex;
  std::ofstream out;
  std::string process;
  SystemClock clock;
};

}  // namespace limpethaven
