#include "limpethaven/output_forecast.h"

#include <algorithm>
#include <cmath>

namespace limpethaven {
namespace {

/// Typical logarithm of an estimate and its spread, until samples say more.
constexpr double kTypicalLog = 5.7;
constexpr double kSpreadLog = 0.8;
constexpr double kPriorSamples = 10;
constexpr double kLearningRate = 0.02;
/// A generation that has outrun its estimate goes on for this part of what it
/// has produced: long ones have long rests.
constexpr double kOverrunPart = 0.3;
constexpr Tokens kMinRemaining = 8;

}  // namespace

OutputForecast::OutputForecast()
    : by_hint(0, 1, kTypicalLog, kSpreadLog, kPriorSamples) {}

void OutputForecast::Learn(std::optional<Tokens> hint, Tokens produced) {
  if (produced <= 0) return;
  const auto tokens = static_cast<double>(produced);
  this->samples += 1;
  const double rate = std::max(kLearningRate, 1.0 / this->samples);
  this->mean += rate * (tokens - this->mean);
  if (hint && *hint > 0) {
    this->by_hint.Add(std::log(static_cast<double>(*hint)), std::log(tokens));
  }
}

Tokens OutputForecast::Predict(std::optional<Tokens> hint,
                               Tokens maximum) const {
  double expected = static_cast<double>(maximum);
  if (hint && *hint > 0) {
    // The mean of a log-normal lies above its median.
    const double variance = std::min(1.0, this->by_hint.ResidualVariance());
    expected =
        std::exp(this->by_hint.Predict(std::log(static_cast<double>(*hint))) +
                 variance / 2);
  } else if (this->samples > 0) {
    expected = this->mean;
  }
  const auto tokens = static_cast<Tokens>(std::ceil(expected));
  return maximum > 0 ? std::clamp<Tokens>(tokens, 1, maximum)
                     : std::max<Tokens>(1, tokens);
}

Tokens OutputForecast::Remaining(Tokens expected, Tokens produced,
                                 Tokens maximum) {
  const auto overrun =
      static_cast<Tokens>(kOverrunPart * static_cast<double>(produced));
  const Tokens remaining =
      std::max({expected - produced, overrun, kMinRemaining});
  return maximum > 0 ? std::clamp<Tokens>(maximum - produced, 0, remaining)
                     : remaining;
}

}  // namespace limpethaven
