#include "limpethaven/crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <span>
#include <vector>

namespace limpethaven {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t kSignatureHexDigits = 32;

std::string ToHex(std::span<const unsigned char> bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  std::ranges::for_each(bytes, [&text](unsigned char byte) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 15U];
  });
  return text;
}

const unsigned char* BytesOf(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest HmacDigest(std::string_view secret, std::string_view data) {
  Digest digest{};
  unsigned int length = digest.size();
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       BytesOf(data), data.size(), digest.data(), &length);
  return digest;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  Digest digest{};
  SHA256(BytesOf(data), data.size(), digest.data());
  return ToHex(digest);
}

std::string HmacSha256Hex(std::string_view secret, std::string_view data) {
  return ToHex(HmacDigest(secret, data));
}

std::string HmacSha256(std::string_view secret, std::string_view data) {
  const Digest digest = HmacDigest(secret, data);
  return std::string(digest.begin(), digest.end());
}

bool ConstantTimeEqual(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  RAND_bytes(buffer.data(), static_cast<int>(buffer.size()));
  return ToHex(buffer);
}

std::uint64_t RandomBits() {
  std::uint64_t bits = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof(bits));
  return bits;
}

std::string Base64UrlEncode(std::string_view data) {
  std::string text;
  text.reserve((data.size() * 4 + 2) / 3);
  std::uint32_t bit_buffer = 0;
  int buffered_bits = 0;
  for (const char character : data) {
    bit_buffer = (bit_buffer << 8U) | static_cast<unsigned char>(character);
    buffered_bits += 8;
    while (buffered_bits >= 6) {
      buffered_bits -= 6;
      text +=
          kBase64Alphabet[(bit_buffer >> static_cast<unsigned>(buffered_bits)) &
                          63U];
    }
  }
  if (buffered_bits > 0) {
    text += kBase64Alphabet[(bit_buffer
                             << static_cast<unsigned>(6 - buffered_bits)) &
                            63U];
  }
  return text;
}

std::string Base64UrlDecode(std::string_view text) {
  std::string data;
  data.reserve(text.size() * 3 / 4);
  std::uint32_t bit_buffer = 0;
  int buffered_bits = 0;
  for (const char character : text) {
    const auto value = kBase64Alphabet.find(character);
    if (value == std::string_view::npos) return {};
    bit_buffer = (bit_buffer << 6U) | static_cast<std::uint32_t>(value);
    buffered_bits += 6;
    if (buffered_bits >= 8) {
      buffered_bits -= 8;
      data += static_cast<char>(
          (bit_buffer >> static_cast<unsigned>(buffered_bits)) & 255U);
    }
  }
  return data;
}

std::string SignText(std::string_view secret, std::string_view payload) {
  return Base64UrlEncode(payload) + "." +
         HmacSha256Hex(secret, payload).substr(0, kSignatureHexDigits);
}

std::string VerifyText(std::string_view secret, std::string_view text) {
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) return {};
  std::string payload = Base64UrlDecode(text.substr(0, dot));
  const std::string expected =
      HmacSha256Hex(secret, payload).substr(0, kSignatureHexDigits);
  if (payload.empty() || !ConstantTimeEqual(expected, text.substr(dot + 1))) {
    return {};
  }
  return payload;
}

}  // namespace limpethaven
