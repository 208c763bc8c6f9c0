/// @file
/// Turns an endpoint's stream into what the caller gets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Whether an endpoint's stream can be followed.
enum class StreamState {
  kOpen,
  kInvalid,     ///< What came does not continue the answer.
  kSuperseded,  ///< The caller went on over another connection.
};

/// One caller's stream, fed by one endpoint after another. Lets through whole
/// events only, so that the stream can go on elsewhere behind the last one.
class StreamTranslator {
 public:
  virtual ~StreamTranslator() = default;
  /// A run under this placement follows; what it sends continues the stream.
  virtual void OnPlaced(std::string_view cell, std::string_view attempt,
                        std::string_view endpoint, Tokens reserved) = 0;
  /// Takes bytes of the endpoint. @returns bytes for the caller.
  [[nodiscard]] virtual std::string Feed(std::string_view bytes) = 0;
  [[nodiscard]] virtual StreamState State() const noexcept = 0;
  /// The endpoint's stream has ended in order, or broken; part of an event is
  /// dropped.
  virtual void OnEnd(bool in_order) = 0;
  /// Whether the whole answer came.
  [[nodiscard]] virtual bool Complete() const noexcept = 0;
  /// What follows the last event.
  [[nodiscard]] virtual std::string FinalBytes() const = 0;
  /// Last event that was passed on; empty before the first.
  [[nodiscard]] virtual std::optional<std::int64_t> LastEvent()
      const noexcept = 0;
  /// Tokens that were passed on, or that the caller had before.
  [[nodiscard]] virtual Tokens Produced() const noexcept = 0;
  /// Text that was passed on, where the system sees it.
  [[nodiscard]] virtual std::string_view Text() const noexcept = 0;
  /// Number of the endpoint's connection that is followed; 0 before it named
  /// one.
  [[nodiscard]] virtual std::int64_t Attachment() const noexcept = 0;
};

}  // namespace limpethaven
