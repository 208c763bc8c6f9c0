/// @file
/// How many tokens a generation will produce, learned from those that ended.
#pragma once

#include <optional>

#include "limpethaven/clock.h"
#include "limpethaven/online_regression.h"

namespace limpethaven {

/// Corrects callers' estimates, which are right at the median and often far
/// off. Not thread safe.
class OutputForecast {
 public:
  OutputForecast();

  /// A generation has ended in order.
  void Learn(std::optional<Tokens> hint, Tokens produced);
  /// Expected tokens of a generation that has just begun.
  [[nodiscard]] Tokens Predict(std::optional<Tokens> hint,
                               Tokens maximum) const;
  /// Expected tokens yet to come of one that has produced some.
  [[nodiscard]] static Tokens Remaining(Tokens expected, Tokens produced,
                                        Tokens maximum);

 private:
  OnlineRegression by_hint;  ///< Logarithms of estimate and tokens.
  double mean = 0;           ///< Of tokens produced.
  double samples = 0;
};

}  // namespace limpethaven
