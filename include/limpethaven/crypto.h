/// @file
/// Digests, message authentication and random bytes, over OpenSSL.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace limpethaven {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view data);
/// HMAC-SHA-256 of `data` under `secret` as 64 hexadecimal digits.
[[nodiscard]] std::string HmacSha256Hex(std::string_view secret,
                                        std::string_view data);
/// HMAC-SHA-256 of `data` under `secret`: 32 raw bytes.
[[nodiscard]] std::string HmacSha256(std::string_view secret,
                                     std::string_view data);
/// Compares in time that depends on the lengths only.
[[nodiscard]] bool ConstantTimeEqual(std::string_view left,
                                     std::string_view right) noexcept;
/// `bytes` random bytes as hexadecimal digits.
[[nodiscard]] std::string RandomHex(std::size_t bytes);
/// 64 random bits.
[[nodiscard]] std::uint64_t RandomBits();
/// URL-safe base64 without padding.
[[nodiscard]] std::string Base64UrlEncode(std::string_view data);
/// Inverse of `Base64UrlEncode`; empty on a character outside the alphabet.
[[nodiscard]] std::string Base64UrlDecode(std::string_view text);

/// Signs `payload`: base64url of it, a dot, and the first 32 digits of its
/// HMAC.
[[nodiscard]] std::string SignText(std::string_view secret,
                                   std::string_view payload);
/// Reads back what `SignText` wrote. Empty when the signature does not fit.
[[nodiscard]] std::string VerifyText(std::string_view secret,
                                     std::string_view text);

}  // namespace limpethaven
