#include "net/tasks.h"

#include "log/event_log.h"

namespace limpethaven {

void LogTaskFault(const std::exception_ptr& fault) noexcept {
  if (!fault) return;
  try {
    std::rethrow_exception(fault);
  } catch (const std::exception& error) {
    LogEvent(EventId::kInternalError, {{"what", error.what()}});
  } catch (...) {
    LogEvent(EventId::kInternalError, {{"what", "unknown exception"}});
  }
}

}  // namespace limpethaven
