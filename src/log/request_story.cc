#include "log/request_story.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

#include "limpethaven/event.h"

namespace limpethaven {
namespace {

/// Events that end a request.
constexpr std::array<EventId, 3> kEnds = {EventId::kRequestRefused,
                                          EventId::kRequestFinished,
                                          EventId::kRequestCancelled};

/// Whole number behind `name=` in a line; 0 when there is none.
std::int64_t NumberIn(std::string_view line, std::string_view name) {
  const auto at = line.find(name);
  if (at == std::string_view::npos) return 0;
  const std::string_view rest = line.substr(at + name.size());
  std::int64_t value = 0;
  std::from_chars(rest.data(), rest.data() + rest.size(), value);
  return value;
}

/// Whether a line is of a request; a placement of it bears a hash sign and
/// more behind the request's id.
bool IsOf(std::string_view line, const std::string& field) {
  const auto at = line.find(field);
  if (at == std::string_view::npos) return false;
  const std::size_t end = at + field.size();
  return end == line.size() || line[end] == ' ' || line[end] == '#';
}

bool Ends(std::string_view line) {
  const std::int64_t event = NumberIn(line, " ev=");
  return std::ranges::any_of(kEnds, [event](EventId id) {
    return static_cast<std::int64_t>(id) == event;
  });
}

}  // namespace

RequestTimeline BuildRequestTimeline(std::string_view request,
                                     const std::vector<std::string>& lines) {
  const std::string field = " request=" + std::string(request);
  RequestTimeline story;
  std::ranges::copy_if(
      lines, std::back_inserter(story.events),
      [&field](const std::string& line) { return IsOf(line, field); });
  std::ranges::stable_sort(story.events, {}, [](const std::string& line) {
    return NumberIn(line, "t=");
  });
  story.terminal_event = "no end in these logs";
  std::ranges::for_each(story.events, [&story](const std::string& line) {
    if (Ends(line)) story.terminal_event = line;
  });
  return story;
}

}  // namespace limpethaven
