#include "limpethaven/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace limpethaven {
namespace {

/// Bytes of the longest end of an event that may lie before the next ones.
constexpr std::size_t kMaxSplitBytes = 3;
/// Longest event of a stream.
constexpr std::size_t kMaxEventBytes = 1'000'000;

/// Offset after the last complete event in `text`; 0 when there is none.
std::size_t EndOfEvents(std::string_view text) {
  const auto lf = text.rfind("\n\n");
  const auto crlf = text.rfind("\r\n\r\n");
  const std::size_t lf_end = lf == std::string_view::npos ? 0 : lf + 2;
  const std::size_t crlf_end = crlf == std::string_view::npos ? 0 : crlf + 4;
  return std::max(lf_end, crlf_end);
}

/// Removes the first line from a text. @returns it without its end.
std::string_view TakeLine(std::string_view& text) {
  const auto end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

/// Number at the start of the value of an `id:` line; empty for other lines.
std::optional<std::int64_t> IdOf(std::string_view line) {
  constexpr std::string_view kField = "id:";
  if (!line.starts_with(kField)) return std::nullopt;
  line.remove_prefix(kField.size());
  line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(line.data(), line.data() + line.size(), number);
  if (parsed.ec != std::errc()) return std::nullopt;
  return number;
}

}  // namespace

std::string EventSplitter::Append(std::string_view bytes) {
  // The bytes held back contain no end of an event, except for its first part.
  const std::size_t searched =
      this->partial.size() - std::min(this->partial.size(), kMaxSplitBytes);
  this->partial.append(bytes);
  const std::size_t found =
      EndOfEvents(std::string_view(this->partial).substr(searched));
  const std::size_t end = found == 0 ? 0 : searched + found;
  std::string complete = this->partial.substr(0, end);
  this->partial.erase(0, end);
  this->ReadIds(complete);
  return complete;
}

void EventSplitter::DropPartial() { this->partial.clear(); }

std::optional<std::int64_t> EventSplitter::LastId() const noexcept {
  return this->last_id;
}

void EventSplitter::SetLastId(std::optional<std::int64_t> id) {
  this->last_id = id;
}

bool EventSplitter::HasPartial() const noexcept {
  return !this->partial.empty();
}

bool EventSplitter::EventTooLong() const noexcept {
  return this->partial.size() > kMaxEventBytes;
}

std::optional<std::int64_t> EventSplitter::FirstId(std::string_view events) {
  bool in_event = false;
  while (!events.empty()) {
    const std::string_view line = TakeLine(events);
    if (line.empty() && in_event) return std::nullopt;
    if (const auto number = IdOf(line)) return number;
    in_event = in_event || (!line.empty() && line.front() != ':');
  }
  return std::nullopt;
}

void EventSplitter::ReadIds(std::string_view events) {
  while (!events.empty()) {
    if (const auto number = IdOf(TakeLine(events))) this->last_id = number;
  }
}

}  // namespace limpethaven
