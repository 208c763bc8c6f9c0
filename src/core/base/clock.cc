#include "limpethaven/clock.h"

#include <chrono>

namespace limpethaven {
namespace {

template <typename ClockType>
TimeMs MillisecondsSinceEpoch() noexcept {
  const auto since_epoch = ClockType::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

}  // namespace

TimeMs SystemClock::Now() const noexcept {
  return MillisecondsSinceEpoch<std::chrono::steady_clock>();
}

TimeMs SystemClock::WallNow() const noexcept {
  return MillisecondsSinceEpoch<std::chrono::system_clock>();
}

}  // namespace limpethaven
