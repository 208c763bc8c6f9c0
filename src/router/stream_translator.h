/// @file
/// Translates an endpoint's stream into the caller's.
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
  kInvalid,     ///< The bytes received do not continue the answer.
  kSuperseded,  ///< The caller has resumed over another connection.
};

/// One caller's stream, fed by one endpoint after another. It passes on
/// complete events only, so that another endpoint can continue after the last
/// one.
class StreamTranslator {
 public:
  virtual ~StreamTranslator() = default;
  /// Starts reading a new run, which continues the stream.
  /// @param cell Cell in which the run was placed.
  /// @param attempt Id of the run's reservation.
  /// @param endpoint Id of the endpoint that runs it.
  /// @param reserved Tokens of KV cache that are reserved for it.
  virtual void OnPlaced(std::string_view cell, std::string_view attempt,
                        std::string_view endpoint, Tokens reserved) = 0;
  /// Takes bytes from the endpoint. @returns bytes for the caller.
  [[nodiscard]] virtual std::string Feed(std::string_view bytes) = 0;
  [[nodiscard]] virtual StreamState State() const noexcept = 0;
  /// The endpoint's stream has ended; an incomplete event is dropped.
  /// @param in_order Whether it ended with the end of the response, instead of
  /// breaking off.
  virtual void OnEnd(bool in_order) = 0;
  /// Whether the complete answer was received.
  [[nodiscard]] virtual bool Complete() const noexcept = 0;
  /// Bytes that follow the last event of a complete answer; the whole body if
  /// the caller wants the answer in one piece.
  [[nodiscard]] virtual std::string FinalBytes() const = 0;
  /// Number of the last event that was passed on; empty before the first.
  [[nodiscard]] virtual std::optional<std::int64_t> LastEvent()
      const noexcept = 0;
  /// Tokens of the answer that the caller has: passed on here, or received
  /// before it resumed.
  [[nodiscard]] virtual Tokens Produced() const noexcept = 0;
  /// Text that was passed on; empty where the protocol does not expose it.
  [[nodiscard]] virtual std::string_view Text() const noexcept = 0;
  /// Number that the engine gave to the connection being read; 0 before its
  /// first event.
  [[nodiscard]] virtual std::int64_t Attachment() const noexcept = 0;
};

}  // namespace limpethaven
