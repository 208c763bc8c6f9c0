/// @file
/// Structured log: each line is one numbered event with named fields, in
/// logfmt.
///
/// The number of lines per second is limited for each event. Lines are buffered
/// in memory until the next flush. If the reader of the log stalls, lines are
/// dropped and the process does not block. Dropped lines are counted, and
/// `log_lines_dropped` events report their number.
#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>
#include <unordered_map>

#include "limpethaven/clock.h"
#include "limpethaven/event.h"

namespace limpethaven {

/// One named field of a log line.
struct LogField {
  std::string_view name;
  std::string value;

  /// Builds a field from a string, an integer, a bool or any other value that
  /// can be written to a stream.
  template <typename T>
  [[nodiscard]] static LogField Of(std::string_view name, const T& value) {
    if constexpr (std::same_as<T, bool>) {
      return {name, value ? "true" : "false"};
    } else if constexpr (std::integral<T>) {
      return {name, std::to_string(value)};
    } else if constexpr (std::convertible_to<T, std::string_view>) {
      return {name, std::string(std::string_view(value))};
    } else {
      std::ostringstream text;
      text << value;
      return {name, text.str()};
    }
  }
};

/// Limits and flushing of an `EventLog`.
struct LogLimits {
  /// Lines of one event that are written in a second of wall time.
  std::int64_t max_lines_per_event_per_s = 200;
  /// Lines are dropped while the buffer holds more than this.
  std::size_t max_buffer_bytes = 262'144;
  bool flush_each_line = false;  ///< Whether `Write` flushes after each line.
};

/// Writes log lines to a file descriptor without blocking on its reader. Not
/// thread-safe.
class EventLog {
 public:
  /// @param descriptor File descriptor that lines are written to. It is made
  /// non-blocking and stays open when the log is destroyed.
  explicit EventLog(int descriptor, LogLimits log_limits = {});

  /// Sets the `vm` field of all later lines. An empty name omits the field.
  void SetVm(std::string name);
  /// Adds a line to the buffer, or drops it if a limit is reached. Lines of
  /// one event that are dropped in a second are reported before the first line
  /// of that event in a later second.
  /// @param wall_ms Time of the event, in milliseconds since the Unix epoch.
  void Write(EventId event, std::initializer_list<LogField> fields,
             TimeMs wall_ms);
  /// Writes buffered lines until the buffer is empty or the descriptor accepts
  /// no more.
  void Flush();
  /// Number of lines dropped so far, at either limit.
  [[nodiscard]] std::uint64_t Dropped() const noexcept;

 private:
  /// Count of one event's lines in the current second.
  struct LineBudget {
    std::int64_t second = 0;   ///< Second of wall time that is counted.
    std::int64_t lines = 0;    ///< Lines in this second, dropped ones included.
    std::int64_t dropped = 0;  ///< Lines over the limit in this second.
  };

  /// Adds a line, or counts it as dropped if the buffer is full. The first line
  /// after such a drop is preceded by a `log_lines_dropped` event.
  void Append(EventId event, std::initializer_list<LogField> fields,
              TimeMs wall_ms);
  /// Formats a line into the buffer, without a check of the limits.
  void AppendLine(EventId event, std::initializer_list<LogField> fields,
                  TimeMs wall_ms);

  int output_fd;
  LogLimits limits;
  std::string vm;
  std::string buffer;
  std::unordered_map<int, LineBudget> line_budgets;  ///< Keyed by event number.
  std::uint64_t dropped = 0;
  /// Lines dropped because the buffer was full, since the last report of them.
  std::int64_t dropped_on_full_buffer = 0;
};

/// Sets the log of the process, which must outlive its use. With `nullptr`,
/// events are discarded. Not synchronized with `LogEvent`: call it while no
/// other thread logs.
void SetEventLog(EventLog* log) noexcept;
/// Number of lines that the process's log has dropped; 0 without a log.
[[nodiscard]] std::uint64_t DroppedLogLines() noexcept;
/// Writes an event to the process's log, with the current wall time. Fields
/// must not contain a key or a secret. Thread-safe.
void LogEvent(EventId event, std::initializer_list<LogField> fields);

}  // namespace limpethaven
