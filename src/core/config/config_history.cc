#include "limpethaven/config_history.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <string>

namespace limpethaven {
namespace {

constexpr std::size_t kMaxRetainedBytes = 65'536;

std::size_t BytesOf(const ConfigChange& change) {
  const std::size_t upserted = std::accumulate(
      change.upserts.begin(), change.upserts.end(), std::size_t{0},
      [](std::size_t sum, const Entity& entity) {
        return sum + entity.key.size() + entity.value.size();
      });
  return std::accumulate(
      change.removals.begin(), change.removals.end(), upserted,
      [](std::size_t sum, const std::string& key) { return sum + key.size(); });
}

}  // namespace

void ConfigHistory::OnAdopted(const Configuration& before,
                              const Configuration& after) {
  Step step{before.version, ChangeBetween(before, after), 0};
  step.bytes = BytesOf(step.change);
  this->bytes += step.bytes;
  this->steps.push_back(std::move(step));
  while (!this->steps.empty() && this->bytes > kMaxRetainedBytes) {
    this->bytes -= this->steps.front().bytes;
    this->steps.pop_front();
  }
}

std::optional<ConfigChange> ConfigHistory::ChangeAfter(
    std::uint64_t version) const {
  const auto first = std::ranges::find(this->steps, version, &Step::from);
  if (first == this->steps.end()) return std::nullopt;
  // Value that each changed entity has in the end; empty when it was removed.
  std::map<std::string, std::optional<std::string>> values;
  std::for_each(first, this->steps.end(), [&values](const Step& step) {
    std::ranges::for_each(step.change.upserts, [&values](const Entity& entity) {
      values[entity.key] = entity.value;
    });
    std::ranges::for_each(
        step.change.removals,
        [&values](const std::string& key) { values[key] = std::nullopt; });
  });
  ConfigChange change{this->steps.back().change.version,
                      this->steps.back().change.digest,
                      {},
                      {}};
  std::ranges::for_each(values, [&change](const auto& row) {
    if (row.second) {
      change.upserts.push_back(Entity{row.first, *row.second});
    } else {
      change.removals.push_back(row.first);
    }
  });
  return change;
}

}  // namespace limpethaven
