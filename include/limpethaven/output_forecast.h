/// @file
/// Predicts how many tokens a generation will produce, from the generations
/// that have ended.
#pragma once

#include <optional>

#include "limpethaven/clock.h"
#include "limpethaven/online_regression.h"

namespace limpethaven {

/// Corrects callers' estimates by regression. Their median is right, but single
/// estimates are often far off. Not thread safe.
class OutputForecast {
 public:
  OutputForecast();

  /// Adds the sample of a generation that ended normally.
  /// @param hint The caller's estimate, in tokens.
  void Learn(std::optional<Tokens> hint, Tokens produced);
  /// Predicts the tokens of a generation that has produced none yet.
  /// @param hint The caller's estimate, in tokens.
  /// @param maximum Limit of the generation, in tokens; 0 if it has none.
  [[nodiscard]] Tokens Predict(std::optional<Tokens> hint,
                               Tokens maximum) const;
  /// Predicts the tokens that a running generation will still produce.
  /// @param expected Tokens predicted when it began.
  /// @param maximum Limit of the generation, in tokens; 0 if it has none.
  [[nodiscard]] static Tokens Remaining(Tokens expected, Tokens produced,
                                        Tokens maximum);

 private:
  /// Logarithm of the tokens produced by the logarithm of the estimate.
  OnlineRegression log_tokens_by_log_hint;
  double mean_tokens = 0;  ///< Moving average of the tokens produced.
  double sample_count = 0;
};

}  // namespace limpethaven
