#include "limpethaven/memory_forecast.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace limpethaven {

Tokens PeakMemory(std::vector<HeldGeneration> generations) {
  return MemoryForecast(std::move(generations)).PeakWith(HeldGeneration{});
}

MemoryForecast::MemoryForecast(std::vector<HeldGeneration> generations)
    : held(std::move(generations)) {
  std::ranges::sort(this->held, std::greater<>(),
                    &HeldGeneration::remaining_tokens);
}

Tokens MemoryForecast::PeakWith(const HeldGeneration& additional) const {
  // The peak lies just before a generation ends. In the order of falling
  // remaining tokens, all generations before that one are then still running.
  Tokens peak_tokens = 0;
  Tokens held_tokens = 0;
  Tokens running_count = 0;
  const auto add = [&](const HeldGeneration& generation) {
    held_tokens += generation.held_tokens;
    ++running_count;
    peak_tokens = std::max(
        peak_tokens, held_tokens + running_count * generation.remaining_tokens);
  };
  bool added = additional.held_tokens <= 0;
  std::ranges::for_each(this->held, [&](const HeldGeneration& generation) {
    if (!added && additional.remaining_tokens > generation.remaining_tokens) {
      add(additional);
      added = true;
    }
    add(generation);
  });
  if (!added) add(additional);
  return peak_tokens;
}

}  // namespace limpethaven
