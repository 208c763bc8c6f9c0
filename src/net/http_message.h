/// @file
/// Heads of HTTP messages as plain values, and how they are written.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Whether two header names or tokens are equal without regard to case.
[[nodiscard]] bool EqualsNoCase(std::string_view left,
                                std::string_view right) noexcept;

/// Headers in the order in which they came.
class Headers {
 public:
  /// Value of the first header of this name; empty when there is none.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  [[nodiscard]] bool Has(std::string_view name) const noexcept;
  /// Value as a whole number; empty when missing or not one.
  [[nodiscard]] std::optional<std::int64_t> GetInt(
      std::string_view name) const noexcept;
  /// Whether a comma-separated header holds this token.
  [[nodiscard]] bool HasToken(std::string_view name,
                              std::string_view token) const noexcept;
  void Add(std::string_view name, std::string_view value);
  /// Replaces every header of this name by one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);
  /// Removes every header whose value holds `text`, unless that is empty.
  void RemoveContaining(std::string_view text);
  [[nodiscard]] const std::vector<HttpHeader>& All() const noexcept;

  friend bool operator==(const Headers&, const Headers&) = default;

 private:
  std::vector<HttpHeader> fields;
};

/// Head of a request.
struct RequestHead {
  std::string method;
  std::string target;  ///< Path with query, as sent.
  Headers headers;
  bool keep_alive = true;
  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// Head of an answer.
struct ResponseHead {
  int status = 0;
  Headers headers;
  bool keep_alive = true;
  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// Path of a target, without its query.
[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept;
/// Value of a query parameter, decoded; empty when missing.
[[nodiscard]] std::string QueryValue(std::string_view target,
                                     std::string_view name);
/// Text escaped for use in a query.
[[nodiscard]] std::string EscapeQuery(std::string_view text);

/// Copies the headers that concern the whole way, not one connection: drops
/// those named by HTTP/1.1 and those that `Connection` lists.
[[nodiscard]] Headers EndToEndHeaders(const Headers& headers);

/// Bytes of a request with a body of known length.
[[nodiscard]] std::string WriteRequest(const RequestHead& head,
                                       std::string_view body);
/// Bytes of an answer with a body of known length.
[[nodiscard]] std::string WriteResponse(const ResponseHead& head,
                                        std::string_view body);
/// Bytes of the head of an answer whose body comes in chunks.
[[nodiscard]] std::string WriteChunkedHead(const ResponseHead& head);
/// One chunk; the last is empty.
[[nodiscard]] std::string WriteChunk(std::string_view bytes);

}  // namespace limpethaven
