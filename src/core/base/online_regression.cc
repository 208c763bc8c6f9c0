#include "limpethaven/online_regression.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Variance of x below which the slope is taken as 0, to avoid a division by
/// almost zero.
constexpr double kMinVariance = 1e-9;

}  // namespace

OnlineRegression::OnlineRegression(double intercept, double slope, double x,
                                   double x_std_dev, double weight) noexcept
    : weight_sum(weight),
      x_sum(weight * x),
      y_sum(weight * (intercept + slope * x)),
      xx_sum(weight * (x * x + x_std_dev * x_std_dev)),
      xy_sum(weight *
             (x * (intercept + slope * x) + slope * x_std_dev * x_std_dev)) {}

void OnlineRegression::Add(double x, double y, double decay) noexcept {
  const double error = y - this->Predict(x);
  const double retained_ratio = 1.0 - decay;
  this->weight_sum = this->weight_sum * retained_ratio + 1.0;
  this->x_sum = this->x_sum * retained_ratio + x;
  this->y_sum = this->y_sum * retained_ratio + y;
  this->xx_sum = this->xx_sum * retained_ratio + x * x;
  this->xy_sum = this->xy_sum * retained_ratio + x * y;
  this->residual_sum = this->residual_sum * retained_ratio + error * error;
}

void OnlineRegression::Scale(double factor) noexcept {
  this->y_sum *= factor;
  this->xy_sum *= factor;
  this->residual_sum *= factor * factor;
}

double OnlineRegression::Predict(double x) const noexcept {
  return this->Intercept() + this->Slope() * x;
}

double OnlineRegression::Slope() const noexcept {
  const double mean_x = this->x_sum / this->weight_sum;
  const double variance = this->xx_sum / this->weight_sum - mean_x * mean_x;
  const double covariance =
      this->xy_sum / this->weight_sum - mean_x * this->y_sum / this->weight_sum;
  return variance < kMinVariance ? 0 : covariance / variance;
}

double OnlineRegression::Intercept() const noexcept {
  return (this->y_sum - this->Slope() * this->x_sum) / this->weight_sum;
}

double OnlineRegression::ResidualVariance() const noexcept {
  return this->residual_sum / std::max(1.0, this->weight_sum);
}

}  // namespace limpethaven
