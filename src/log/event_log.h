/// @file
/// Structured log lines on standard output: one numbered event with named
/// fields, in logfmt.
///
/// Lines are bounded a second for each event, and gathered in memory until the
/// next flush; a reader that does not read loses lines, never time. What was
/// lost is counted and said.
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

  /// Builds a field from any streamable value.
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

/// Bounds of what is written.
struct LogLimits {
  std::int64_t max_lines_per_event_per_s = 200;  ///< Of one event, each second.
  std::size_t max_buffer_bytes = 262'144;  ///< Lines that wait for the reader.
  bool flush_each_line = false;  ///< Hands each line to the kernel at once.
};

/// Writes log lines to a descriptor without ever waiting for its reader. Not
/// thread safe.
class EventLog {
 public:
  /// @param descriptor Written to; made non-blocking.
  explicit EventLog(int descriptor, LogLimits log_limits = {});

  /// Name of this VM in every line.
  void SetVm(std::string name);
  void Write(EventId event, std::initializer_list<LogField> fields,
             TimeMs wall_ms);
  /// Hands waiting lines to the kernel, as many as it takes.
  void Flush();
  /// Lines that were not written.
  [[nodiscard]] std::uint64_t Dropped() const noexcept;

 private:
  struct Budget {
    std::int64_t second = 0;
    std::int64_t lines = 0;
    std::int64_t dropped = 0;
  };

  /// Adds a line if the buffer has room.
  void Append(EventId event, std::initializer_list<LogField> fields,
              TimeMs wall_ms);
  void AppendLine(EventId event, std::initializer_list<LogField> fields,
                  TimeMs wall_ms);

  int out;
  LogLimits limits;
  std::string vm;
  std::string buffer;
  std::unordered_map<int, Budget> budgets;  ///< By event number.
  std::uint64_t dropped = 0;
  std::int64_t unread = 0;  ///< Lines lost to a reader that does not read.
};

/// The process's log. Without one, events are dropped.
void SetEventLog(EventLog* log) noexcept;
/// Lines that the process's log did not write.
[[nodiscard]] std::uint64_t DroppedLogLines() noexcept;
/// Writes an event to the process's log. Never pass a key or a secret. Calls of
/// several threads follow one another.
void LogEvent(EventId event, std::initializer_list<LogField> fields);

}  // namespace limpethaven
