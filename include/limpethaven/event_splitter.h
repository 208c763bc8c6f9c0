/// @file
/// Cuts a stream of server-sent events at the ends of whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpethaven {

/// Lets through whole events only, so that a stream can go on elsewhere behind
/// the last one.
class EventSplitter {
 public:
  /// Takes bytes. @returns those up to the end of the last whole event.
  [[nodiscard]] std::string Append(std::string_view bytes);
  /// Drops the bytes of an event that was cut off.
  void DropPartial();
  /// Id of the last whole event; empty when none had a number.
  [[nodiscard]] std::optional<std::int64_t> LastId() const noexcept;
  /// Whether part of an event is waiting for its rest.
  [[nodiscard]] bool HasPartial() const noexcept;

 private:
  void ReadIds(std::string_view events);

  std::string partial;
  std::optional<std::int64_t> last_id;
};

}  // namespace limpethaven
