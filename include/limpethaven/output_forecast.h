/// @file
/// Predicts how many tokens a generation will produce, from the generations
/// that have ended.
#pragma once

#include <optional>

#include "limpethaven/clock.h"
#include "limpethaven/online_regression.h"

namespace limpethaven {

/// Predicts the output length from the caller's estimate by a regression over
/// the generations that have ended, since single estimates are often far off
/// even where their median is right. Not thread safe.
class OutputForecast {
 public:
  OutputForecast();

  /// Adds the sample of a generation that ended normally.
  /// @param hint The caller's estimate, in tokens; 0 or less counts as none.
  /// @param produced Output tokens; a sample with 0 or less is ignored.
  void Learn(std::optional<Tokens> hint, Tokens produced);
  /// Predicts the output tokens of a generation that has produced none yet, at
  /// least 1. Without a hint it is the mean of the ended generations, and
  /// `maximum` while none has ended.
  /// @param hint The caller's estimate, in tokens; 0 or less counts as none.
  /// @param maximum Limit of the generation, in tokens; 0 if it has none.
  [[nodiscard]] Tokens Predict(std::optional<Tokens> hint,
                               Tokens maximum) const;
  /// Predicts the tokens that a running generation will still produce.
  /// @param expected Tokens predicted when it began.
  /// @param produced Output tokens so far.
  /// @param maximum Limit of the generation, in tokens; 0 if it has none.
  [[nodiscard]] static Tokens Remaining(Tokens expected, Tokens produced,
                                        Tokens maximum);

 private:
  /// Regression of the logarithm of the tokens produced on the logarithm of the
  /// caller's estimate.
  OnlineRegression log_tokens_by_log_hint;
  double mean_tokens = 0;  ///< Moving average of the tokens produced.
  double sample_count = 0;
};

}  // namespace limpethaven
