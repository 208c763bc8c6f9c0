#include "limpethaven/limit_divisor.h"

#include <algorithm>

namespace limpethaven {

std::int64_t LimitDivisor::Update(std::size_t rank, std::int64_t processes,
                                  TimeMs now) {
  if (rank > 0) {
    this->first_since.reset();
    return rank == 1 ? kStandInDivisor
                     : kStandInDivisor * std::max<std::int64_t>(1, processes);
  }
  if (!this->first_since) this->first_since = now;
  return now - *this->first_since >= kTakeoverMs ? 1 : kStandInDivisor;
}

}  // namespace limpethaven
