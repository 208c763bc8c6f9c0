/// @file
/// Incremental HTTP/1.1 parser, without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace limpethaven {

/// Reason why a message was rejected.
enum class ParseFault {
  kNone,
  kMalformed,       ///< Not valid HTTP, or ambiguous framing.
  kHeaderTooLarge,  ///< The head exceeds `MessageLimits::header_bytes`.
  kBodyTooLarge,    ///< The body exceeds `MessageLimits::body_bytes`.
  kTruncated,       ///< The connection ended before the message did.
};

/// Size limits of one message.
struct MessageLimits {
  std::uint32_t header_bytes = 16'384;
  std::uint64_t body_bytes = 4'194'304;
  friend auto operator<=>(const MessageLimits&, const MessageLimits&) = default;
};

/// Parses one message. Framing that two implementations could interpret
/// differently (a length together with chunked encoding, or two lengths) is
/// rejected as malformed: it would allow request smuggling.
class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };

  HttpParser(Kind kind, MessageLimits limits);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Treats the response as one without a body, as the response to a HEAD
  /// request is. Call it before `Put`.
  void ExpectNoBody();
  /// Parses bytes, at most up to the end of the message. More bytes are needed
  /// if neither `Done` nor a fault results.
  /// @returns the number of bytes consumed; the caller passes the rest again.
  std::size_t Put(std::string_view bytes);
  /// Reports that the peer closed its sending side in order. This completes a
  /// message that is delimited by the close; any other that has begun and is
  /// not complete becomes truncated.
  void PutEof();

  [[nodiscard]] bool HeadDone() const noexcept;
  [[nodiscard]] bool Done() const noexcept;
  [[nodiscard]] ParseFault Fault() const noexcept;
  /// Whether any byte has been passed to `Put`.
  [[nodiscard]] bool Started() const noexcept;
  /// Whether the end of the body is marked by the close of the connection.
  [[nodiscard]] bool CloseDelimited() const noexcept;
  /// Valid only after `HeadDone`.
  [[nodiscard]] const RequestHead& Request() const noexcept;
  /// Valid only after `HeadDone`.
  [[nodiscard]] const ResponseHead& Response() const noexcept;
  /// Removes and returns the body bytes parsed since the last call.
  [[nodiscard]] std::string TakeBody();

 private:
  class Reader;
  std::unique_ptr<Reader> reader;
};

}  // namespace limpethaven
