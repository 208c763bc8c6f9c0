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
  Tokens remaining_tokens = 0;  ///< Tokens that it is expected to produce yet.
  friend auto operator<=>(const HeldGeneration&,
                          const HeldGeneration&) = default;
};

/// Returns the highest number of tokens held at the same time, in tokens.
/// Assumes that all generations produce tokens at the same rate, and that each
/// frees its memory when it has produced its remaining tokens.
///
/// Short generations free their memory before long ones reach their final size,
/// so the peak can lie below the sum of the final sizes.
[[nodiscard]] Tokens PeakMemory(std::vector<HeldGeneration> generations);

}  // namespace limpethaven
