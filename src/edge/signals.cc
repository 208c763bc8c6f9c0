#include "edge/signals.h"

#include <csignal>
#include <ctime>

namespace limpethaven {
namespace {

constexpr DurationMs kMsPerS = 1000;
constexpr DurationMs kNsPerMs = 1'000'000;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool WaitForStopSignal(DurationMs timeout_ms) {
  const sigset_t signals = StopSignals();
  if (timeout_ms == 0) {
    int signal = 0;
    return sigwait(&signals, &signal) == 0;
  }
  const timespec timeout{timeout_ms / kMsPerS,
                         (timeout_ms % kMsPerS) * kNsPerMs};
  return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

}  // namespace limpethaven
