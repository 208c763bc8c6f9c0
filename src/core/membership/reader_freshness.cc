#include "limpethaven/reader_freshness.h"

#include <algorithm>

namespace limpethaven {

std::string_view NameOf(ReadReason reason) noexcept {
  switch (reason) {
    case ReadReason::kReadersFresh:
      return "readers_fresh";
    case ReadReason::kOwnReadDue:
      return "own_read_due";
    case ReadReason::kNoReaders:
      return "no_readers";
    case ReadReason::kNoFreshAnswer:
      return "no_fresh_answer";
    case ReadReason::kStateTooOld:
      return "state_too_old";
    case ReadReason::kSettling:
      return "settling";
  }
  return "unknown";
}

ReaderFreshness::ReaderFreshness(ReaderFreshnessSettings freshness_settings)
    : settings(freshness_settings) {}

void ReaderFreshness::SetReaders(const std::vector<std::string>& addresses) {
  std::erase_if(this->readers, [&addresses](const auto& entry) {
    return std::ranges::find(addresses, entry.first) == addresses.end();
  });
  std::ranges::for_each(addresses, [this](const std::string& address) {
    this->readers.try_emplace(address);
  });
}

bool ReaderFreshness::OnAnswer(std::string_view reader,
                               const ReaderAnswer& answer, TimeMs now) {
  const auto row = this->readers.find(reader);
  if (row == this->readers.end()) return false;
  const DurationMs took_ms = now - answer.sent_at;
  const bool in_time =
      answer.source_age_ms && took_ms <= this->settings.max_answer_ms &&
      answer.waited_ms <= took_ms &&
      *answer.source_age_ms <= this->settings.max_source_age_ms;
  if (!in_time) {
    row->second.fresh_since.reset();
    return false;
  }
  const TimeMs shown_at =
      answer.sent_at + answer.waited_ms - *answer.source_age_ms;
  if (this->KnewMoreAt(shown_at, answer.known)) {
    row->second.fresh_since.reset();
    return false;
  }
  Reader& state = row->second;
  const bool interrupted = !state.fresh_since ||
                           now - state.fresh_at > this->settings.max_silence_ms;
  if (interrupted) state.fresh_since = now;
  state.fresh_at = now;
  state.complete_at = std::max(state.complete_at, shown_at);
  this->fresh_at = std::max(this->fresh_at, now);
  this->complete_at = std::max(this->complete_at.value_or(shown_at), shown_at);
  return true;
}

void ReaderFreshness::OnFailure(std::string_view reader) {
  const auto row = this->readers.find(reader);
  if (row != this->readers.end()) row->second.fresh_since.reset();
}

void ReaderFreshness::OnKnown(const KnownState& known, TimeMs now) {
  // Only the last entry before the oldest time that a fresh answer can show is
  // needed of the older ones.
  const TimeMs oldest =
      now - this->settings.max_source_age_ms - this->settings.max_answer_ms;
  while (this->history.size() > 1 && this->history[1].time <= oldest) {
    this->history.pop_front();
  }
  const bool changed = this->history.empty() ||
                       this->history.back().known.version != known.version ||
                       this->history.back().known.revision != known.revision;
  if (changed) this->history.push_back(KnownAt{now, known});
}

void ReaderFreshness::OnOwnRead(TimeMs read_complete_at) {
  this->own_complete_at = std::max(
      this->own_complete_at.value_or(read_complete_at), read_complete_at);
  this->complete_at =
      std::max(this->complete_at.value_or(read_complete_at), read_complete_at);
}

void ReaderFreshness::RequireOwnRead(TimeMs now) { this->own_read_due = now; }

ReadReason ReaderFreshness::Decide(TimeMs now) {
  const bool own_read_missing =
      !this->own_complete_at ||
      (this->own_read_due && *this->own_complete_at < *this->own_read_due);
  if (own_read_missing || this->readers.empty()) {
    this->reading = true;
    return own_read_missing ? ReadReason::kOwnReadDue : ReadReason::kNoReaders;
  }
  if (this->reading) {
    this->reading = std::ranges::none_of(this->readers, [&](const auto& entry) {
      return this->Settled(entry.second, now);
    });
    return this->reading ? ReadReason::kSettling : ReadReason::kReadersFresh;
  }
  if (now - this->fresh_at > this->settings.max_silence_ms) {
    this->reading = true;
    return ReadReason::kNoFreshAnswer;
  }
  if (now - this->complete_at.value_or(0) > this->settings.max_state_age_ms) {
    this->reading = true;
    return ReadReason::kStateTooOld;
  }
  return ReadReason::kReadersFresh;
}

std::optional<DurationMs> ReaderFreshness::StateAgeMs(TimeMs now) const {
  if (!this->complete_at) return std::nullopt;
  return now - *this->complete_at;
}

bool ReaderFreshness::KnewMoreAt(TimeMs time, const KnownState& known) const {
  const auto later = std::ranges::find_if(
      this->history,
      [time](const KnownAt& entry) { return entry.time > time; });
  if (later == this->history.begin()) return false;
  const KnownState& then = std::prev(later)->known;
  return known.version < then.version || known.revision < then.revision;
}

bool ReaderFreshness::Settled(const Reader& reader, TimeMs now) const {
  return reader.fresh_since &&
         now - *reader.fresh_since >= this->settings.settle_ms &&
         now - reader.fresh_at <= this->settings.max_silence_ms &&
         now - reader.complete_at <= this->settings.max_state_age_ms;
}

}  // namespace limpethaven
