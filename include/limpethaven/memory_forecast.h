/// @file
/// Forecasts the peak memory use of an engine from the generations it runs.
#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// A generation that occupies KV cache on an engine.
struct HeldGeneration {
  Tokens held_tokens = 0;       ///< Prompt and tokens produced so far.
  Tokens remaining_tokens = 0;  ///< Tokens it is still expected to produce.
  friend auto operator<=>(const HeldGeneration&,
                          const HeldGeneration&) = default;
};

/// Returns the forecast peak of the tokens held by all generations together.
/// Assumes that all generations produce tokens at the same rate, and that each
/// frees its memory when it has produced its remaining tokens.
///
/// Short generations free their memory before long ones reach their final size,
/// so the peak can lie below the sum of the final sizes.
[[nodiscard]] Tokens PeakMemory(std::vector<HeldGeneration> generations);

/// The same forecast for one set of generations and many candidates for one
/// more. Immutable.
class MemoryForecast {
 public:
  MemoryForecast() = default;
  explicit MemoryForecast(std::vector<HeldGeneration> generations);

  /// Peak with one more generation, or without if it holds no tokens.
  [[nodiscard]] Tokens PeakWith(const HeldGeneration& additional) const;

 private:
  /// In the order of falling remaining tokens.
  std::vector<HeldGeneration> held;
};

}  // namespace limpethaven
