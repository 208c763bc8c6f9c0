#include "limpethaven/request_fingerprint.h"

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr std::size_t kDigits = 24;

}  // namespace

std::string RequestFingerprint(std::string_view method, std::string_view target,
                               std::string_view team,
                               std::string_view content) {
  std::string text;
  for (const std::string_view part : {method, target, team}) {
    // Without lengths, different parts could give the same text.
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  text += content;
  return std::string(kFingerprintPrefix) + Sha256Hex(text).substr(0, kDigits);
}

}  // namespace limpethaven
