/// @file
/// Units of time and the clocks. Code that decides (membership, scheduling,
/// quotas) gets the time as an argument and reads no clock.
#pragma once

#include <cstdint>

namespace limpethaven {

/// A point in time in milliseconds. Its origin depends on the clock, so only
/// differences between points on the same clock have a meaning.
using TimeMs = std::int64_t;
/// A duration in milliseconds.
using DurationMs = std::int64_t;
/// A number of tokens.
using Tokens = std::int64_t;

/// Source of monotonic and wall time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Monotonic time in milliseconds since an arbitrary origin.
  [[nodiscard]] virtual TimeMs Now() const noexcept = 0;
  /// Wall time in milliseconds since the Unix epoch.
  [[nodiscard]] virtual TimeMs WallNow() const noexcept = 0;
};

/// The operating system's clocks.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimeMs Now() const noexcept override;
  [[nodiscard]] TimeMs WallNow() const noexcept override;
};

}  // namespace limpethaven
