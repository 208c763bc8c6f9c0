/// @file
/// Logging of the daemons that still have threads.
#pragma once

#include <initializer_list>
#include <string_view>

#include "log/event_log.h"

namespace limpethaven {

/// The same as `LogEvent`; kept for calls that report trouble.
void LogWarning(EventId event, std::initializer_list<LogField> fields);
/// Logs to standard error, line by line, for the program of this name.
void StartLogging(std::string_view program);

}  // namespace limpethaven
