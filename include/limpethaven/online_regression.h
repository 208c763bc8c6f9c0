/// @file
/// Linear regression that is updated with each sample and weights recent
/// samples more.
#pragma once

namespace limpethaven {

/// Least-squares fit of `y = intercept + slope * x` with exponentially decaying
/// sample weights.
class OnlineRegression {
 public:
  /// Starts from a prior that counts as `weight` samples on a given line.
  /// @param x Mean of those samples' x.
  /// @param x_std_dev Standard deviation of those samples' x.
  OnlineRegression(double intercept, double slope, double x, double x_std_dev,
                   double weight) noexcept;

  /// Adds a sample with weight 1.
  /// @param decay Fraction by which the weight of earlier samples is reduced.
  void Add(double x, double y, double decay = 0.02) noexcept;
  /// Multiplies all samples' y by `factor`.
  void Scale(double factor) noexcept;
  [[nodiscard]] double Predict(double x) const noexcept;
  [[nodiscard]] double Slope() const noexcept;
  [[nodiscard]] double Intercept() const noexcept;
  /// Weighted mean of the squared prediction errors. The error of a sample is
  /// taken before it is added. Samples of the prior have error 0.
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
