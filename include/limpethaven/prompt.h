/// @file
/// How prompts are counted in tokens and cut into cacheable blocks.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Bytes of prompt text that are counted as one token.
inline constexpr std::size_t kBytesPerToken = 4;

/// Tokens of a prompt, rounded up; at least 1.
[[nodiscard]] Tokens CountTokens(std::string_view prompt) noexcept;

/// Chained hashes of the whole leading blocks of `kTokensPerPiece` tokens: two
/// prompts share a hash exactly when they share everything up to the end of
/// that block.
[[nodiscard]] std::vector<std::uint64_t> PrefixBlockHashes(
    std::string_view prompt);

}  // namespace limpethaven
