#include "limpethaven/rendezvous.h"

#include <algorithm>
#include <numeric>

namespace limpethaven {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

/// Finalizer of MurmurHash3, which spreads each input bit over the result.
std::uint64_t Mix(std::uint64_t value) noexcept {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

struct ScoredCandidate {
  std::uint64_t score = 0;
  std::size_t index = 0;
};

}  // namespace

std::uint64_t StableHash(std::string_view text) noexcept {
  const std::uint64_t hash = std::accumulate(
      text.begin(), text.end(), kFnvOffsetBasis,
      [](std::uint64_t state, char character) {
        return (state ^ static_cast<unsigned char>(character)) * kFnvPrime;
      });
  return Mix(hash);
}

std::vector<std::string> RendezvousOrder(
    std::string_view key, std::span<const std::string> candidates) {
  return RendezvousTop(key, candidates, candidates.size());
}

std::vector<std::string> RendezvousTop(std::string_view key,
                                       std::span<const std::string> candidates,
                                       std::size_t count) {
  const std::uint64_t key_hash = StableHash(key);
  std::vector<ScoredCandidate> scored(candidates.size());
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    scored[index] =
        ScoredCandidate{Mix(key_hash ^ StableHash(candidates[index])), index};
  }
  const auto last = scored.begin() +
                    static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
  std::ranges::partial_sort(
      scored, last,
      [&](const ScoredCandidate& left, const ScoredCandidate& right) {
        if (left.score != right.score) return left.score > right.score;
        return candidates[left.index] > candidates[right.index];
      });
  std::vector<std::string> order;
  std::transform(scored.begin(), last, std::back_inserter(order),
                 [&](const ScoredCandidate& candidate) {
                   return candidates[candidate.index];
                 });
  return order;
}

}  // namespace limpethaven
