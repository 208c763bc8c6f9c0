/// @file
/// Identity of one run of a process on a VM.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <string>

namespace limpethaven {

/// Address of a VM and incarnation of the process that runs there. Every start
/// of a process has another incarnation; 0 means that it is not known yet.
/// Incarnations grow with the start time only where `MakeIncarnation` makes
/// them; elsewhere they are random, as a wall clock may jump between two
/// starts.
struct VmId {
  std::string address;  ///< IP address, e.g. `127.0.0.1`.
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const VmId&, const VmId&) = default;
};

std::ostream& operator<<(std::ostream& out, const VmId& vm);

/// Makes an incarnation that is higher than that of an earlier start: the start
/// time in the high 48 bits, random bits in the low 16.
/// @param wall_ms Start time in milliseconds since the Unix epoch.
/// @param random Random bits, of which the low 16 are used.
[[nodiscard]] constexpr std::uint64_t MakeIncarnation(
    std::int64_t wall_ms, std::uint64_t random) noexcept {
  return (static_cast<std::uint64_t>(wall_ms) << 16U) | (random & 0xFFFFU);
}

}  // namespace limpethaven
