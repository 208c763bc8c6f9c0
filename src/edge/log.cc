#include "edge/log.h"

#include <unistd.h>

namespace limpethaven {

void LogWarning(EventId event, std::initializer_list<LogField> fields) {
  LogEvent(event, fields);
}

void StartLogging(std::string_view program) {
  static EventLog log(STDERR_FILENO, LogLimits{.flush_each_line = true});
  log.SetVm(std::string(program));
  SetEventLog(&log);
}

}  // namespace limpethaven
