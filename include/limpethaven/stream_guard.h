/// @file
/// Accepts only the events that continue one answer; drops crossed, late and
/// repeated ones.
#pragma once

#include <cstdint>
#include <string>

#include "limpethaven/interfaces.h"

namespace limpethaven {

/// What to do with a stream event.
enum class EventVerdict {
  kDeliver,       ///< Continues the answer.
  kOtherAttempt,  ///< Another request or attempt: dropped.
  kDuplicate,     ///< Tokens already delivered: dropped.
  kGap,           ///< Tokens are missing before it: resume at `NextOffset`.
};

/// Guard of one answer.
class StreamGuard {
 public:
  /// @param offset First token that is wanted.
  StreamGuard(std::string request_id, std::string attempt, std::int64_t offset);

  /// Judges an event and, when it is delivered, moves on behind it.
  [[nodiscard]] EventVerdict Classify(const StreamEvent& event);
  /// The first token not delivered yet.
  [[nodiscard]] std::int64_t NextOffset() const noexcept;
  /// Whether the explicit last event was delivered.
  [[nodiscard]] bool IsComplete() const noexcept;
  /// Events dropped so far.
  [[nodiscard]] std::int64_t Dropped() const noexcept;

 private:
  std::string request_id;
  std::string attempt;
  std::int64_t next_offset;
  bool complete = false;
  std::int64_t dropped = 0;
};

}  // namespace limpethaven
