/// @file
/// Splits a stream of server-sent events at the ends of complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpethaven {

/// Passes on complete events only, so that the stream can be resumed on another
/// endpoint after the last of them.
class EventSplitter {
 public:
  /// Adds bytes of the stream. @returns the complete events that were not
  /// returned before.
  [[nodiscard]] std::string Append(std::string_view bytes);
  /// Discards the bytes of an incomplete event.
  void DropPartial();
  /// Number at the start of the last `id:` of a complete event; an id that does
  /// not start with a number is skipped. Empty when there was none.
  [[nodiscard]] std::optional<std::int64_t> LastId() const noexcept;
  /// Number at the start of the `id:` of the first event in a text of complete
  /// events, comments aside; empty when that event has none.
  [[nodiscard]] static std::optional<std::int64_t> FirstId(
      std::string_view events);
  /// Sets the last id back, when events were not passed on after all.
  void SetLastId(std::optional<std::int64_t> id);
  /// Whether bytes of an incomplete event are held back.
  [[nodiscard]] bool HasPartial() const noexcept;
  /// Whether an incomplete event is longer than any event may be.
  [[nodiscard]] bool EventTooLong() const noexcept;

 private:
  /// Sets `last_id` from complete events.
  void ReadIds(std::string_view events);

  std::string partial;  ///< Bytes after the last complete event.
  std::optional<std::int64_t> last_id;
};

}  // namespace limpethaven
