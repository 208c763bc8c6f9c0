/// @file
/// Rate at which memory is freed or asked for in a cell.
#pragma once

#include <deque>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Tokens per time in the last 2 s. Not thread safe.
class DrainRate {
 public:
  void Add(Tokens tokens, TimeMs now);
  [[nodiscard]] double TokensPerMs(TimeMs now);
  /// Whether there were enough events in the window to rely on the rate.
  [[nodiscard]] bool Known(TimeMs now);

 private:
  struct Sample {
    TimeMs at = 0;
    Tokens tokens = 0;
  };
  void Evict(TimeMs now);

  std::deque<Sample> samples;  ///< Those of the window, in the order of time.
  Tokens sum = 0;
};

}  // namespace limpethaven
