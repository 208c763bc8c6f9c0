/// @file
/// Checks a history against the invariants of the service.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "load/history.h"

namespace limpethaven {

/// An invariant that a history violates.
struct Violation {
  std::string invariant;
  std::string request;  ///< Request id.
  std::string detail;   ///< Recorded facts that contradict the invariant.
  friend auto operator<=>(const Violation&, const Violation&) = default;
};

/// Counts and violations of a history.
struct HistoryVerdict {
  std::int64_t sent = 0;     ///< Requests sent.
  std::int64_t whole = 0;    ///< Complete answers.
  std::int64_t resumed = 0;  ///< Resumptions of broken streams.
  /// Sent requests that the caller gave up, or that have no recorded ending.
  std::int64_t lost = 0;
  /// Requests with several complete answers, and at-most-once requests that ran
  /// several times.
  std::int64_t doubled = 0;
  /// Number of refusals, keyed by error kind.
  std::map<std::string, std::int64_t> refused;
  std::vector<Violation> violations;
};

/// Longest time for which a key may still be accepted after its withdrawal.
inline constexpr DurationMs kWithdrawnKeyGraceMs = 5000;

/// Checks every invariant that callers and endpoints can observe: each request
/// ends, with at most one complete answer; the text of a complete answer is the
/// one generated for its request; a request refused as not run has not run; an
/// at-most-once request runs at most once; and withdrawn keys stop working.
[[nodiscard]] HistoryVerdict CheckHistory(
    const std::vector<HistoryEvent>& events);

/// Writes the table of counts and violations that `limpethaven-load check`
/// prints.
std::ostream& operator<<(std::ostream& out, const HistoryVerdict& verdict);

}  // namespace limpethaven
