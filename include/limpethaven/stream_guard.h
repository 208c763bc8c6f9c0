/// @file
/// Filters a stream of events: only those that continue one answer are
/// delivered. Events of other answers, late events and duplicates are dropped.
#pragma once

#include <cstdint>
#include <string>

#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Classification of a stream event.
enum class EventVerdict {
  kDeliver,       ///< Continues the answer: to be delivered.
  kOtherAttempt,  ///< Belongs to another request or attempt: dropped.
  kDuplicate,     ///< Starts at a delivered token, or has none: dropped.
  kGap,  ///< Tokens before it are missing: dropped; resume at `NextOffset`.
};

/// Event filter of one answer.
class StreamGuard {
 public:
  /// @param offset Index of the first token to deliver.
  StreamGuard(std::string request_id, std::string attempt, std::int64_t offset);

  /// Classifies an event. On `kDeliver`, the next expected token is the one
  /// after the event.
  [[nodiscard]] EventVerdict Classify(const StreamEvent& event);
  /// Index of the first token that was not delivered yet.
  [[nodiscard]] std::int64_t NextOffset() const noexcept;
  /// Whether the event marked as the last one was delivered.
  [[nodiscard]] bool IsComplete() const noexcept;
  /// Number of events dropped so far.
  [[nodiscard]] std::int64_t Dropped() const noexcept;

 private:
  std::string request_id;
  std::string attempt;
  std::int64_t next_offset;
  bool complete = false;
  std::int64_t dropped = 0;
};

}  // namespace limpethaven
