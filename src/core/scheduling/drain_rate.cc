#include "core/scheduling/drain_rate.h"

namespace limpethaven {
namespace {

/// Length of the window. In a longer one, the rate follows the start of a load
/// spike too late; in a shorter one, it varies with single generations.
constexpr DurationMs kWindowMs = 2000;
/// Fewer events within the window say little about the rate.
constexpr std::size_t kMinSamples = 8;

}  // namespace

void DrainRate::Add(Tokens tokens, TimeMs now) {
  this->samples.push_back(Sample{now, tokens});
  this->sum += tokens;
  this->Evict(now);
}

double DrainRate::TokensPerMs(TimeMs now) {
  this->Evict(now);
  return static_cast<double>(this->sum) / static_cast<double>(kWindowMs);
}

bool DrainRate::Known(TimeMs now) {
  this->Evict(now);
  return this->samples.size() >= kMinSamples;
}

void DrainRate::Evict(TimeMs now) {
  while (!this->samples.empty() &&
         now - this->samples.front().at >= kWindowMs) {
    this->sum -= this->samples.front().tokens;
    this->samples.pop_front();
  }
}

}  // namespace limpethaven
