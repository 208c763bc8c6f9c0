#include "limpethaven/rendezvous.h"

#include <algorithm>
#include <compare>
#include <numeric>

namespace limpethaven {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t Mix(std::uint64_t value) noexcept {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

struct Scored {
  std::uint64_t score;
  std::string candidate;
  friend auto operator<=>(const Scored&, const Scored&) = default;
};

}  // namespace

std::uint64_t StableHash(std::string_view text) noexcept {
  const std::uint64_t hash = std::accumulate(
      text.begin(), text.end(), kFnvOffset, [](std::uint64_t state, char character) {
        return (state ^ static_cast<unsigned char>(character)) * kFnvPrime;
      });
  return Mix(hash);
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::span<const std::string> candidates) {
  const std::uint64_t key_hash = StableHash(key);
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  std::ranges::transform(candidates, std::back_inserter(scored),
                         [key_hash](const std::string& candidate) {
                           return Scored{Mix(key_hash ^ StableHash(candidate)), candidate};
                         });
  std::ranges::sort(scored, std::greater<>());
  std::vector<std::string> order;
  order.reserve(scored.size());
  std::ranges::transform(scored, std::back_inserter(order), &Scored::candidate);
  return order;
}

}  // namespace limpethaven
