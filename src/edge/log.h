/// @file
/// Structured log lines: one numbered event with named fields, written by glog.
#pragma once

#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>

#include "limpethaven/event.h"

namespace limpethaven {

/// One named field of a log line.
struct LogField {
  std::string_view name;
  std::string value;

  /// Builds a field from any streamable value.
  template <typename T>
  [[nodiscard]] static LogField Of(std::string_view name, const T& value) {
    std::ostringstream text;
    text << value;
    return {name, text.str()};
  }
};

/// Writes `[NUMBER NAME] field=value ...` at info level.
/// Values with spaces are quoted. Never pass a key or a secret.
void LogEvent(EventId event, std::initializer_list<LogField> fields);
/// The same at warning level.
void LogWarning(EventId event, std::initializer_list<LogField> fields);
/// Starts glog: to standard error, without files, for the program of this name.
void StartLogging(std::string_view program);

}  // namespace limpethaven
