/// @file
/// Splits a stream of server-sent events at the ends of complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpethaven {

/// Passes on complete events only, so that the stream can be resumed on another
/// endpoint after the last one.
class EventSplitter {
 public:
  /// Adds bytes. @returns the bytes not returned before, up to the end of the
  /// last complete event.
  [[nodiscard]] std::string Append(std::string_view bytes);
  /// Discards the bytes of an incomplete event.
  void DropPartial();
  /// Number in the `id:` of the last complete event that has one; empty when no
  /// event had a number.
  [[nodiscard]] std::optional<std::int64_t> LastId() const noexcept;
  /// Whether bytes of an incomplete event are held back.
  [[nodiscard]] bool HasPartial() const noexcept;

 private:
  void ReadIds(std::string_view events);

  std::string partial;
  std::optional<std::int64_t> last_id;
};

}  // namespace limpethaven
