/// @file
/// Estimates the token counts of prompts and hashes their cacheable blocks.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Bytes of prompt text that are taken as one token.
inline constexpr std::size_t kBytesPerToken = 4;

/// Estimates the tokens of a prompt from its length in bytes, rounded up; at
/// least 1.
[[nodiscard]] Tokens EstimateTokens(std::string_view prompt) noexcept;

/// Returns one chained hash for each complete block of `kTokensPerPiece`
/// tokens, from the start of the prompt. Each hash covers all text up to the
/// end of its block, so prompts have the same hash for a block only if they
/// agree up to its end, apart from collisions. An incomplete block at the end
/// has no hash.
[[nodiscard]] std::vector<std::uint64_t> PrefixBlockHashes(
    std::string_view prompt);

}  // namespace limpethaven
