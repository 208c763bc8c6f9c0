#include "limpethaven/prompt.h"

#include <algorithm>

#include "limpethaven/config_model.h"
#include "limpethaven/rendezvous.h"

namespace limpethaven {

Tokens CountTokens(std::string_view prompt) noexcept {
  const std::size_t tokens =
      (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  return std::max<Tokens>(1, static_cast<Tokens>(tokens));
}

std::vector<std::uint64_t> PrefixBlockHashes(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kBytesPerToken * kTokensPerPiece;
  constexpr std::uint64_t kChainPrime = 0x9e3779b97f4a7c15ULL;
  std::vector<std::uint64_t> blocks;
  std::uint64_t chain = 0;
  while (prompt.size() >= kBlockBytes) {
    chain = (chain * kChainPrime) ^ StableHash(prompt.substr(0, kBlockBytes));
    blocks.push_back(chain);
    prompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

}  // namespace limpethaven
