/// @file
/// Checks a history against what must always hold.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "load/history.h"

namespace limpethaven {

/// A promise that a history breaks.
struct Violation {
  std::string promise;
  std::string request;
  std::string what;
  friend auto operator<=>(const Violation&, const Violation&) = default;
};

/// Counts and violations of a history.
struct HistoryVerdict {
  std::int64_t sent = 0;
  std::int64_t whole = 0;
  std::int64_t resumed = 0;
  std::int64_t lost = 0;
  std::int64_t doubled = 0;
  std::map<std::string, std::int64_t> refused;  ///< By error kind.
  std::vector<Violation> violations;
};

/// How long a withdrawn key may go on working.
inline constexpr DurationMs kWithdrawalLimitMs = 5000;

/// Checks every promise that callers and endpoints can witness: each request
/// ends once, answers are whole and the request's own, refusals that say "not
/// run" are true, requests that may run once did, and withdrawn keys stop
/// working.
[[nodiscard]] HistoryVerdict CheckHistory(
    const std::vector<HistoryEvent>& events);

/// Writes the table that the demo and `check` print.
std::ostream& operator<<(std::ostream& out, const HistoryVerdict& verdict);

}  // namespace limpethaven
