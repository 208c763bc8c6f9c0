#include "protocol/sse.h"

namespace limpethaven {
namespace {

/// Value of a `field: value` line, without the one space after the colon.
std::string_view FieldValue(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return value;
}

}  // namespace

std::string FormatSse(const SseEvent& event) {
  std::string text;
  // 24 bytes hold the field names, separators and line ends.
  text.reserve(event.id.size() + event.data.size() + 24);
  if (!event.id.empty()) text.append("id: ").append(event.id).append("\n");
  if (!event.name.empty()) {
    text.append("event: ").append(event.name).append("\n");
  }
  return text.append("data: ").append(event.data).append("\n\n");
}

std::string_view SseKeepAlive() noexcept { return ": keep-alive\n\n"; }

std::vector<SseEvent> SseParser::Feed(std::string_view bytes) {
  std::vector<SseEvent> events;
  this->buffer.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = this->buffer.find('\n'); end != std::string::npos;
       end = this->buffer.find('\n', begin)) {
    this->ParseLine(std::string_view(this->buffer).substr(begin, end - begin),
                    events);
    begin = end + 1;
  }
  this->buffer.erase(0, begin);
  if (this->buffer.size() + this->current.data.size() > kMaxEventBytes) {
    this->failed = true;
  }
  return events;
}

bool SseParser::Failed() const noexcept { return this->failed; }

void SseParser::ParseLine(std::string_view line,
                          std::vector<SseEvent>& events) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) {
    if (this->has_fields) events.push_back(std::move(this->current));
    this->current = {};
    this->has_fields = false;
    return;
  }
  const std::size_t colon = line.find(':');
  // Skips comments and lines without a value.
  if (colon == 0 || colon == std::string_view::npos) return;
  const std::string_view field = line.substr(0, colon);
  const std::string_view value = FieldValue(line, colon);
  this->has_fields = true;
  if (field == "id") this->current.id = value;
  if (field == "event") this->current.name = value;
  if (field == "data") {
    if (!this->current.data.empty()) this->current.data += '\n';
    this->current.data += value;
  }
}

}  // namespace limpethaven
