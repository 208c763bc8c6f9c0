/// @file
/// Rendezvous hashing: all processes that have the same list of candidates
/// choose the same one for a key.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace limpethaven {

/// Returns the 64-bit FNV-1a hash of a text, with a final mix. The value is the
/// same in all processes and builds.
[[nodiscard]] std::uint64_t StableHash(std::string_view text) noexcept;

/// Returns the candidates by falling score for `key`.
/// Example: `RendezvousOrder("cell/scribe/0", vms).front()` is the owner.
[[nodiscard]] std::vector<std::string> RendezvousOrder(
    std::string_view key, std::span<const std::string> candidates);

/// Returns the first `count` candidates of `RendezvousOrder`, or all if there
/// are fewer. Does not sort or copy the rest.
[[nodiscard]] std::vector<std::string> RendezvousTop(
    std::string_view key, std::span<const std::string> candidates,
    std::size_t count);

}  // namespace limpethaven
