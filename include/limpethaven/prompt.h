/// @file
/// Counts the tokens of prompts and hashes their cacheable blocks.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Number of bytes of prompt text that count as one token.
inline constexpr std::size_t kBytesPerToken = 4;

/// Returns the tokens of a prompt, rounded up; at least 1.
[[nodiscard]] Tokens CountTokens(std::string_view prompt) noexcept;

/// Returns one chained hash for each complete block of `kTokensPerPiece`
/// tokens, from the start of the prompt. Each hash covers all text up to the
/// end of its block, so prompts have the same hash for a block only if they
/// agree up to its end, apart from collisions. A rest shorter than a block has
/// no hash.
[[nodiscard]] std::vector<std::uint64_t> PrefixBlockHashes(
    std::string_view prompt);

}  // namespace limpethaven
