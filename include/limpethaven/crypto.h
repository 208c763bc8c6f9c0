/// @file
/// Digests, message authentication and random bytes, over OpenSSL.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace limpethaven {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view data);
/// HMAC-SHA-256 of `data` under `secret` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string HmacSha256Hex(std::string_view secret,
                                        std::string_view data);
/// HMAC-SHA-256 of `data` under `secret` as 32 raw bytes.
[[nodiscard]] std::string HmacSha256(std::string_view secret,
                                     std::string_view data);
/// Compares two byte strings in a time that depends on their lengths only, so
/// that the time does not reveal how many leading bytes match.
[[nodiscard]] bool ConstantTimeEqual(std::string_view left,
                                     std::string_view right) noexcept;
/// `bytes` random bytes as twice as many lower-case hexadecimal digits.
[[nodiscard]] std::string RandomHex(std::size_t bytes);
/// 64 random bits from a cryptographic generator.
[[nodiscard]] std::uint64_t RandomBits();
/// Encodes `data` as URL-safe base64 without padding.
[[nodiscard]] std::string Base64UrlEncode(std::string_view data);
/// Decodes what `Base64UrlEncode` returns. Empty when a character is outside
/// the alphabet.
[[nodiscard]] std::string Base64UrlDecode(std::string_view text);

/// Signs `payload`. Returns it as URL-safe base64, followed by a dot and the
/// first 32 hexadecimal digits of its HMAC-SHA-256.
[[nodiscard]] std::string SignText(std::string_view secret,
                                   std::string_view payload);
/// Returns the payload of a text made by `SignText`. Empty when the text is
/// malformed or its signature does not match.
[[nodiscard]] std::string VerifyText(std::string_view secret,
                                     std::string_view text);

}  // namespace limpethaven
