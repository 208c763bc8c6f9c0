/// @file
/// Logging for programs that serve with blocking threads.
#pragma once

#include <initializer_list>
#include <string_view>

#include "log/event_log.h"

namespace limpethaven {

/// Writes an event that reports a fault to the process's log. Log lines have no
/// level, so the line equals that of `LogEvent`.
void LogWarning(EventId event, std::initializer_list<LogField> fields);
/// Makes standard error the process's log, flushed after each line, with
/// `program` as the `vm` field of its lines.
void StartLogging(std::string_view program);

}  // namespace limpethaven
