#include "limpethaven/output_forecast.h"

#include <algorithm>
#include <cmath>

namespace limpethaven {
namespace {

/// Prior of the regression until it has samples: mean and standard deviation of
/// the logarithm of an estimate, and the number of samples that it counts as.
constexpr double kPriorMeanLog = 5.7;
constexpr double kPriorStdDevLog = 0.8;
constexpr double kPriorSampleCount = 10;
/// Minimum weight of a new sample in the mean; the first samples are averaged
/// equally.
constexpr double kMinLearningRate = 0.02;
/// Lower bound of the tokens that a generation is expected to still produce, as
/// a ratio of those it has produced. It takes effect when a generation nears or
/// exceeds its prediction: the longer one has run, the more it still produces.
constexpr double kOverrunRatio = 0.3;
/// Lower bound of the same forecast in tokens.
constexpr Tokens kMinRemainingTokens = 8;

}  // namespace

OutputForecast::OutputForecast()
    : log_tokens_by_log_hint(0, 1, kPriorMeanLog, kPriorStdDevLog,
                             kPriorSampleCount) {}

void OutputForecast::Learn(std::optional<Tokens> hint, Tokens produced) {
  if (produced <= 0) return;
  const auto tokens = static_cast<double>(produced);
  this->sample_count += 1;
  const double rate = std::max(kMinLearningRate, 1.0 / this->sample_count);
  this->mean_tokens += rate * (tokens - this->mean_tokens);
  if (hint && *hint > 0) {
    this->log_tokens_by_log_hint.Add(std::log(static_cast<double>(*hint)),
                                     std::log(tokens));
  }
}

Tokens OutputForecast::Predict(std::optional<Tokens> hint,
                               Tokens maximum) const {
  double expected = static_cast<double>(maximum);
  if (hint && *hint > 0) {
    // The regression of logarithms predicts the median. The mean of a
    // log-normal distribution is higher by the factor exp(variance / 2).
    const double variance =
        std::min(1.0, this->log_tokens_by_log_hint.ResidualVariance());
    expected = std::exp(this->log_tokens_by_log_hint.Predict(
                            std::log(static_cast<double>(*hint))) +
                        variance / 2);
  } else if (this->sample_count > 0) {
    expected = this->mean_tokens;
  }
  const auto tokens = static_cast<Tokens>(std::ceil(expected));
  return maximum > 0 ? std::clamp<Tokens>(tokens, 1, maximum)
                     : std::max<Tokens>(1, tokens);
}

Tokens OutputForecast::Remaining(Tokens expected, Tokens produced,
                                 Tokens maximum) {
  const auto overrun =
      static_cast<Tokens>(kOverrunRatio * static_cast<double>(produced));
  const Tokens remaining =
      std::max({expected - produced, overrun, kMinRemainingTokens});
  return maximum > 0 ? std::clamp<Tokens>(maximum - produced, 0, remaining)
                     : remaining;
}

}  // namespace limpethaven
