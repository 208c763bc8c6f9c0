/// @file
/// Waits for SIGTERM and SIGINT.
#pragma once

#include "limpethaven/clock.h"

namespace limpethaven {

/// Blocks the stop signals in this thread and all it starts. Call first in
/// `main`.
void BlockStopSignals();
/// Waits for a stop signal. @param timeout_ms 0 waits for ever. @returns
/// whether one came.
bool WaitForStopSignal(DurationMs timeout_ms);

}  // namespace limpethaven
