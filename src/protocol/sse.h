/// @file
/// Parser and formatter for server-sent events.
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpethaven {

/// One server-sent event.
struct SseEvent {
  std::string id;    ///< The `id:` field; empty without one.
  std::string name;  ///< The `event:` field; empty without one.
  std::string data;  ///< Values of the `data:` lines, joined by line feeds.
  friend auto operator<=>(const SseEvent&, const SseEvent&) = default;
};

/// Formats an event for the wire. No field of it may contain a line break.
[[nodiscard]] std::string FormatSse(const SseEvent& event);
/// Comment line that is sent to keep an idle connection open.
[[nodiscard]] std::string_view SseKeepAlive() noexcept;

/// Incremental parser for a stream of server-sent events. Chunks may end at any
/// byte.
class SseParser {
 public:
  /// Parses the next bytes of the stream.
  /// @returns Events that these bytes complete.
  [[nodiscard]] std::vector<SseEvent> Feed(std::string_view bytes);
  /// Whether an unfinished event has exceeded `kMaxEventBytes`. Stays true.
  [[nodiscard]] bool Failed() const noexcept;

  /// Limit for the unparsed bytes and the data of an unfinished event.
  static constexpr std::size_t kMaxEventBytes = 1'000'000;

 private:
  /// Parses one line; an empty line completes the event and adds it to
  /// `events`.
  void ParseLine(std::string_view line, std::vector<SseEvent>& events);

  std::string buffer;       ///< Bytes of a line whose end has not arrived.
  SseEvent current;         ///< Event whose end has not arrived.
  bool has_fields = false;  ///< Whether `current` has had a field.
  bool failed = false;
};

}  // namespace limpethaven
