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
  /// Starts before the next expected token, or has no tokens and is not the
  /// last event: dropped.
  kDuplicate,
  /// Starts after the next expected token: dropped. The stream must be resumed
  /// at `NextOffset`.
  kGap,
};

/// Event filter of one answer.
class StreamGuard {
 public:
  /// @param offset Index of the first token to deliver.
  StreamGuard(std::string request_id, std::string attempt, std::int64_t offset);

  /// Classifies an event. An event to be delivered advances `NextOffset` past
  /// its tokens.
  [[nodiscard]] EventVerdict Classify(const StreamEvent& event);
  /// Index of the next expected token, the first that was not delivered yet.
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
