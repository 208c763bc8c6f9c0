/// @file
/// A straight line fitted to samples as they come, newer ones weighing more.
#pragma once

namespace limpethaven {

/// Least squares of `y = intercept + slope * x` with exponential forgetting.
class OnlineRegression {
 public:
  /// Starts from a line as if `weight` samples had been seen on it, spread
  /// around `x`.
  /// @param spread Standard deviation of those samples' x.
  OnlineRegression(double intercept, double slope, double x, double spread,
                   double weight) noexcept;

  /// Takes in a sample; earlier ones lose the part `forget` of their weight.
  void Add(double x, double y, double forget = 0.02) noexcept;
  [[nodiscard]] double Predict(double x) const noexcept;
  [[nodiscard]] double Slope() const noexcept;
  [[nodiscard]] double Intercept() const noexcept;
  /// Mean square of the samples' distance from the line.
  [[nodiscard]] double ResidualVariance() const noexcept;

 private:
  double weight_sum = 0;
  double x_sum = 0;
  double y_sum = 0;
  double xx_sum = 0;
  double xy_sum = 0;
  double residual_sum = 0;
};

}  // namespace limpethaven
