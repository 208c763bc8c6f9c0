#include "limpethaven/retry_budget.h"

#include <algorithm>

namespace limpethaven {

RetryBudget::RetryBudget(RetrySettings initial) noexcept
    : settings(initial), balance(initial.max_balance) {}

void RetryBudget::OnRequest() noexcept {
  this->balance = std::min(this->settings.max_balance,
                           this->balance + this->settings.ratio);
}

bool RetryBudget::TryRetry() noexcept {
  if (this->balance < 1.0) return false;
  this->balance -= 1.0;
  return true;
}

}  // namespace limpethaven
