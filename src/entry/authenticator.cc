#include "entry/authenticator.h"

#include <string_view>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMinKeyBytes = 8;
constexpr std::size_t kMaxKeyBytes = 512;

}  // namespace

Result<CallerIdentity> Authenticate(const Configuration& config,
                                    const httplib::Request& request) {
  const std::string header = request.get_header_value("Authorization");
  if (!header.starts_with(kBearer)) {
    return Error::Of(ErrorKind::kKeyMissing,
                     "expected the header Authorization: Bearer KEY");
  }
  const std::string key = header.substr(kBearer.size());
  if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes) {
    return Error::Of(ErrorKind::kKeyRejected, "the key is not known");
  }
  // The lookup compares digests of the key, so its time says nothing about a
  // stored key's text.
  const std::string digest = Sha256Hex(key);
  const TeamSpec* team = config.FindTeamByKeyDigest(digest);
  if (team == nullptr) {
    return Error::Of(ErrorKind::kKeyRejected, "the key is not known");
  }
  return CallerIdentity{team->name, digest, key};
}

}  // namespace limpethaven
