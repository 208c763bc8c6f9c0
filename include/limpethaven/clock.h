/// @file
/// Time as the decision core sees it: milliseconds handed in, never read.
#pragma once

#include <cstdint>

namespace limpethaven {

/// A point on a monotonic clock, in milliseconds. Only differences have
/// meaning.
using TimeMs = std::int64_t;
/// A length of time in milliseconds.
using DurationMs = std::int64_t;
/// A number of tokens.
using Tokens = std::int64_t;

/// Source of monotonic and wall time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Monotonic milliseconds.
  [[nodiscard]] virtual TimeMs Now() const noexcept = 0;
  /// Milliseconds since the Unix epoch.
  [[nodiscard]] virtual TimeMs WallNow() const noexcept = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimeMs Now() const noexcept override;
  [[nodiscard]] TimeMs WallNow() const noexcept override;
};

}  // namespace limpethaven
