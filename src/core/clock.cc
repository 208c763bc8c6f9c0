#include "limpethaven/clock.h"

#include <chrono>

namespace limpethaven {
namespace {

template <typename ClockType>
TimeMs MillisecondsOf() noexcept {
  const auto since = ClockType::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

TimeMs SystemClock::Now() const noexcept {
  return MillisecondsOf<std::chrono::steady_clock>();
}

TimeMs SystemClock::WallNow() const noexcept {
  return MillisecondsOf<std::chrono::system_clock>();
}

}  // namespace limpethaven
