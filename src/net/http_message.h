/// @file
/// Heads of HTTP messages as plain values, and their serialization.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Whether two header names or tokens are equal, ignoring case.
[[nodiscard]] bool EqualsNoCase(std::string_view left,
                                std::string_view right) noexcept;

/// Header fields in the order in which they were received or added. Names are
/// compared without regard to case.
class Headers {
 public:
  /// Value of the first header with this name; empty if there is none.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  [[nodiscard]] bool Has(std::string_view name) const noexcept;
  /// Value of the first header with this name as an integer; empty if the
  /// header is missing or its value is not an integer.
  [[nodiscard]] std::optional<std::int64_t> GetInt(
      std::string_view name) const noexcept;
  /// Whether a header with this name, read as a comma-separated list, contains
  /// this token.
  [[nodiscard]] bool HasToken(std::string_view name,
                              std::string_view token) const noexcept;
  void Add(std::string_view name, std::string_view value);
  /// Replaces all headers with this name by a single one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  /// Removes every header whose value contains `text`. An empty `text` removes
  /// nothing.
  void RemoveContaining(std::string_view text);
  [[nodiscard]] const std::vector<HttpHeader>& All() const noexcept;

  friend bool operator==(const Headers&, const Headers&) = default;

 private:
  std::vector<HttpHeader> fields;
};

/// Request line and headers of a request.
struct RequestHead {
  std::string method;
  std::string target;  ///< Path and query, still percent-encoded.
  Headers headers;
  bool keep_alive = true;
  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// Status and headers of a response.
struct ResponseHead {
  int status = 0;
  Headers headers;
  bool keep_alive = true;
  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// Path of a request target, without its query.
[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept;
/// Percent-decoded value of a query parameter; empty if it is missing.
[[nodiscard]] std::string QueryValue(std::string_view target,
                                     std::string_view name);
/// Percent-encodes text for use as a query value.
[[nodiscard]] std::string EscapeQuery(std::string_view text);

/// Copies the end-to-end headers. Hop-by-hop headers are left out: those that
/// HTTP/1.1 defines and those that the `Connection` header lists.
[[nodiscard]] Headers EndToEndHeaders(const Headers& headers);

/// Serializes a request with a body of known length.
[[nodiscard]] std::string WriteRequest(const RequestHead& head,
                                       std::string_view body);
/// Serializes a response with a body of known length.
[[nodiscard]] std::string WriteResponse(const ResponseHead& head,
                                        std::string_view body);
/// Serializes the head of a response whose body is sent with chunked encoding.
[[nodiscard]] std::string WriteChunkedHead(const ResponseHead& head);
/// Serializes one chunk of a body; an empty chunk ends the body.
[[nodiscard]] std::string WriteChunk(std::string_view bytes);

}  // namespace limpethaven
