#include "limpethaven/stream_guard.h"

namespace limpethaven {

StreamGuard::StreamGuard(std::string request, std::string attempt_id,
                         std::int64_t offset)
    : request_id(std::move(request)),
      attempt(std::move(attempt_id)),
      next_offset(offset) {}

EventVerdict StreamGuard::Classify(const StreamEvent& event) {
  if (event.request_id != this->request_id || event.attempt != this->attempt) {
    ++this->dropped;
    return EventVerdict::kOtherAttempt;
  }
  if (event.offset < this->next_offset || (event.count == 0 && !event.last)) {
    ++this->dropped;
    return EventVerdict::kDuplicate;
  }
  if (event.offset > this->next_offset) {
    ++this->dropped;
    return EventVerdict::kGap;
  }
  this->next_offset += event.count;
  this->complete = event.last;
  return EventVerdict::kDeliver;
}

std::int64_t StreamGuard::NextOffset() const noexcept {
  return this->next_offset;
}

bool StreamGuard::IsComplete() const noexcept { return this->complete; }

std::int64_t StreamGuard::Dropped() const noexcept { return this->dropped; }

}  // namespace limpethaven
