/// @file
/// Rendezvous hashing: every process that sees the same candidates picks the
/// same one.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace limpethaven {

/// 64-bit FNV-1a hash with a final mix. Stable across processes and builds.
[[nodiscard]] std::uint64_t StableHash(std::string_view text) noexcept;

/// Candidates ordered by preference for `key`, best first.
/// Example: `RendezvousOrder("cell/scribe/0", vms).front()` is the owner.
[[nodiscard]] std::vector<std::string> RendezvousOrder(
    std::string_view key, std::span<const std::string> candidates);

/// The first `count` of `RendezvousOrder`, without ordering or copying the
/// rest.
[[nodiscard]] std::vector<std::string> RendezvousTop(
    std::string_view key, std::span<const std::string> candidates,
    std::size_t count);

}  // namespace limpethaven
