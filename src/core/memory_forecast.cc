#include "limpethaven/memory_forecast.h"

#include <algorithm>
#include <functional>

namespace limpethaven {

Tokens PeakMemory(std::vector<HeldGeneration> generations) {
  // The peak falls on a moment just before one ends. Longest first: at the end
  // of one, all before it in this order still run.
  std::ranges::sort(generations, std::greater<>(), &HeldGeneration::remaining);
  Tokens peak = 0;
  Tokens held = 0;
  Tokens running = 0;
  std::ranges::for_each(generations, [&](const HeldGeneration& generation) {
    held += generation.held;
    ++running;
    peak = std::max(peak, held + running * generation.remaining);
  });
  return peak;
}

}  // namespace limpethaven
