/// @file
/// Limits retries to a fraction of requests, so that retries never multiply an
/// outage.
#pragma once

#include <cstdint>

namespace limpethaven {

/// Settings of a retry budget.
struct RetrySettings {
  double ratio = 0.2;         ///< Retries allowed per request.
  double max_balance = 20.0;  ///< Retries that can be saved up.
};

/// Retry budget of one process. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetrySettings settings = {}) noexcept;
  /// Counts a first attempt.
  void OnRequest() noexcept;
  /// Takes one retry if the budget has it.
  [[nodiscard]] bool TryRetry() noexcept;

 private:
  RetrySettings settings;
  double balance;
};

}  // namespace limpethaven
