#include "limpethaven/memory_forecast.h"

#include <algorithm>
#include <functional>

namespace limpethaven {

Tokens PeakMemory(std::vector<HeldGeneration> generations) {
  // The peak lies just before a generation ends. In the order of falling
  // remaining tokens, all generations before that one are then still running.
  std::ranges::sort(generations, std::greater<>(),
                    &HeldGeneration::remaining_tokens);
  Tokens peak_tokens = 0;
  Tokens held_tokens = 0;
  Tokens running_count = 0;
  std::ranges::for_each(generations, [&](const HeldGeneration& generation) {
    held_tokens += generation.held_tokens;
    ++running_count;
    peak_tokens = std::max(
        peak_tokens, held_tokens + running_count * generation.remaining_tokens);
  });
  return peak_tokens;
}

}  // namespace limpethaven
