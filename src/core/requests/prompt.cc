#include "limpethaven/prompt.h"

#include <algorithm>

#include "limpethaven/config_model.h"
#include "limpethaven/rendezvous.h"

namespace limpethaven {

Tokens EstimateTokens(std::string_view prompt) noexcept {
  const std::size_t tokens =
      (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  return std::max<Tokens>(1, static_cast<Tokens>(tokens));
}

std::vector<std::uint64_t> PrefixBlockHashes(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kBytesPerToken * kTokensPerPiece;
  constexpr std::uint64_t kChainMultiplier = 0x9e3779b97f4a7c15ULL;
  std::vector<std::uint64_t> hashes;
  std::uint64_t chained_hash = 0;
  while (prompt.size() >= kBlockBytes) {
    chained_hash = (chained_hash * kChainMultiplier) ^
                   StableHash(prompt.substr(0, kBlockBytes));
    hashes.push_back(chained_hash);
    prompt.remove_prefix(kBlockBytes);
  }
  return hashes;
}

}  // namespace limpethaven
