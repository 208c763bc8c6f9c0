/// @file
/// Blocking wait for the stop signals SIGTERM and SIGINT.
#pragma once

#include "limpethaven/clock.h"

namespace limpethaven {

/// Blocks the stop signals in this thread and in the threads that it starts
/// later, and ignores SIGPIPE in the process. Call first in `main`, so that
/// only `WaitForStopSignal` receives the stop signals.
void BlockStopSignals();
/// Waits for a stop signal. Requires `BlockStopSignals`.
///
/// @param timeout_ms Longest wait; 0 waits without a limit.
/// @returns Whether a stop signal arrived.
bool WaitForStopSignal(DurationMs timeout_ms);

}  // namespace limpethaven
