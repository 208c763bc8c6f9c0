#include "log/request_story.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

#include "limpethaven/event.h"

namespace limpethaven {
namespace {

/// Events that end a request.
constexpr std::array<EventId, 3> kTerminalEvents = {EventId::kRequestRefused,
                                                    EventId::kRequestFinished,
                                                    EventId::kRequestCancelled};

/// Integer that follows `prefix` (such as `t=`) in a line; 0 if `prefix` or the
/// integer is missing.
std::int64_t IntegerAfter(std::string_view line, std::string_view prefix) {
  const auto position = line.find(prefix);
  if (position == std::string_view::npos) return 0;
  const std::string_view rest = line.substr(position + prefix.size());
  std::int64_t value = 0;
  std::from_chars(rest.data(), rest.data() + rest.size(), value);
  return value;
}

/// Whether a line holds the field ` request=ID`. The id may be followed by `#`
/// and a suffix: this is how the lines of a request's placements name it.
bool HasRequestField(std::string_view line, const std::string& field) {
  const auto position = line.find(field);
  if (position == std::string_view::npos) return false;
  const std::size_t end = position + field.size();
  return end == line.size() || line[end] == ' ' || line[end] == '#';
}

bool IsTerminalEvent(std::string_view line) {
  const std::int64_t event = IntegerAfter(line, " ev=");
  return std::ranges::any_of(kTerminalEvents, [event](EventId id) {
    return static_cast<std::int64_t>(id) == event;
  });
}

}  // namespace

RequestTimeline BuildRequestTimeline(std::string_view request,
                                     const std::vector<std::string>& lines) {
  const std::string field = " request=" + std::string(request);
  RequestTimeline timeline;
  std::ranges::copy_if(lines, std::back_inserter(timeline.events),
                       [&field](const std::string& line) {
                         return HasRequestField(line, field);
                       });
  std::ranges::stable_sort(timeline.events, {}, [](const std::string& line) {
    return IntegerAfter(line, "t=");
  });
  timeline.terminal_event = "no terminal event in these logs";
  std::ranges::for_each(timeline.events, [&timeline](const std::string& line) {
    if (IsTerminalEvent(line)) timeline.terminal_event = line;
  });
  return timeline;
}

}  // namespace limpethaven
