/// @file
/// How full an engine's memory will get with the generations it holds.
#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// One generation on an engine.
struct HeldGeneration {
  Tokens held = 0;       ///< Prompt and what it has produced.
  Tokens remaining = 0;  ///< What it is expected to produce yet.
  friend auto operator<=>(const HeldGeneration&,
                          const HeldGeneration&) = default;
};

/// Highest sum of tokens held at any moment, if all generations produce at the
/// same pace, each until it has produced what remains, and then frees all.
///
/// Generations that end soon free their memory before the long ones have grown,
/// so that the peak lies below the sum of final sizes.
[[nodiscard]] Tokens PeakMemory(std::vector<HeldGeneration> generations);

}  // namespace limpethaven
