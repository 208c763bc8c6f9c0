/// @file
/// Server-sent events: reading and writing.
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpethaven {

/// One server-sent event.
struct SseEvent {
  std::string id;
  std::string name;  ///< The `event:` field; empty for plain messages.
  std::string data;
  friend auto operator<=>(const SseEvent&, const SseEvent&) = default;
};

/// Text of an event on the wire.
[[nodiscard]] std::string FormatSse(const SseEvent& event);
/// A comment line that keeps the connection alive.
[[nodiscard]] std::string_view SseKeepAlive() noexcept;

/// Splits a byte stream into events; pieces may end anywhere.
class SseParser {
 public:
  /// @returns events completed by these bytes. Past `kMaxEventBytes` without an
  /// end the parser fails: see `Failed`.
  [[nodiscard]] std::vector<SseEvent> Feed(std::string_view bytes);
  [[nodiscard]] bool Failed() const noexcept;

  static constexpr std::size_t kMaxEventBytes = 1'000'000;

 private:
  void Line(std::string_view line, std::vector<SseEvent>& events);

  std::string buffer;
  SseEvent current;
  bool has_fields = false;
  bool failed = false;
};

}  // namespace limpethaven
