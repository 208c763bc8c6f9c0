/// @file
/// Identity of one process on one VM.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace limpethaven {

/// Address of a VM and the incarnation of the process that runs there.
/// Incarnations of one address grow with start time; 0 means not known yet.
struct VmId {
  std::string address;  ///< IP number, e.g. `127.0.0.1`.
  std::uint64_t incarnation =
      0;  ///< Start time in the high bits, random low bits.

  friend auto operator<=>(const VmId&, const VmId&) = default;
};

std::ostream& operator<<(std::ostream& out, const VmId& vm);

/// Makes the incarnation of a process.
/// @param wall_ms Milliseconds since the Unix epoch at start.
/// @param random Random bits; the low 16 are used.
[[nodiscard]] constexpr std::uint64_t MakeIncarnation(
    std::int64_t wall_ms, std::uint64_t random) noexcept {
  return (static_cast<std::uint64_t>(wall_ms) << 16U) | (random & 0xFFFFU);
}

}  // namespace limpethaven
