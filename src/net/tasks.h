/// @file
/// Tasks that run as long as their process.
#pragma once

#include "net/notifier.h"

namespace limpethaven {

/// Pause before a task that failed is started again.
inline constexpr DurationMs kTaskRestartMs = 200;

/// Starts a coroutine that is to run as long as the process. An exception that
/// leaves it is logged, and it is started again: a message that it cannot
/// handle must not end its work for good. It is not started again once it has
/// returned.
/// @param start Starts the coroutine; called again for each further start.
template <typename Start>
void SpawnService(Loop& loop, Start start) {
  Spawn(loop, [&loop, start = std::move(start)]() -> Task<> {
    for (;;) {
      std::exception_ptr fault;
      try {
        co_await start();
      } catch (...) {
        fault = std::current_exception();
      }
      if (!fault) co_return;
      LogTaskFault(fault);
      co_await SleepFor(loop, kTaskRestartMs);
    }
  });
}

}  // namespace limpethaven
