/// @file
/// Reads HTTP/1.1 messages from bytes, without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace limpethaven {

/// What a parser found wrong.
enum class ParseFault {
  kNone,
  kMalformed,       ///< Not HTTP, or framing that cannot be trusted.
  kHeaderTooLarge,  ///< Over the limit of the head.
  kBodyTooLarge,    ///< Over the limit of the body.
  kTruncated,       ///< The connection ended inside the message.
};

/// Bounds of one message.
struct MessageLimits {
  std::uint32_t header_bytes = 16'384;
  std::uint64_t body_bytes = 4'194'304;
  friend auto operator<=>(const MessageLimits&, const MessageLimits&) = default;
};

/// Parses one message. Framing that two readers could take differently (both a
/// length and chunks, two lengths) is malformed.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };

  HttpParser(Kind kind, MessageLimits limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// The answer belongs to a request without a body in its answer (HEAD).
  void ExpectNoBody();
  /// Takes bytes, at most to the end of the message. @returns bytes taken; more
  /// bytes are needed when neither `Done` nor a fault follows.
  std::size_t Put(std::string_view bytes);
  /// The connection has ended in order.
  void PutEnd();

  [[nodiscard]] bool HeadDone() const noexcept;
  [[nodiscard]] bool Done() const noexcept;
  [[nodiscard]] ParseFault Fault() const noexcept;
  /// Whether any byte of the message was taken.
  [[nodiscard]] bool Started() const noexcept;
  /// Whether the message ends with its connection.
  [[nodiscard]] bool EndsWithConnection() const noexcept;
  /// Only after `HeadDone`.
  [[nodiscard]] const RequestHead& Request() const noexcept;
  /// Only after `HeadDone`.
  [[nodiscard]] const ResponseHead& Response() const noexcept;
  /// Body bytes parsed since the last call.
  [[nodiscard]] std::string TakeBody();

 private:
  class Reader;
  std::unique_ptr<Reader> reader;
};

}  // namespace limpethaven
