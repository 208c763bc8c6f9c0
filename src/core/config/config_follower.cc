#include "limpethaven/config_follower.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// Most changes that are retained for followers that are behind. One that is
/// further behind has to fetch the complete configuration.
constexpr std::size_t kMaxRetainedChangeCount = 256;

Error ConfigInvalid(std::string message) {
  return Error::Of(ErrorKind::kConfigInvalid, std::move(message));
}

}  // namespace

ConfigFollower::ConfigFollower()
    : current(std::make_shared<const Configuration>()) {}

VersionComparison ConfigFollower::Compare(std::uint64_t version,
                                          std::string_view digest) const {
  if (version > this->current->version) return VersionComparison::kNewer;
  if (version < this->current->version) return VersionComparison::kOlder;
  if (version == 0 || digest == this->current->digest) {
    return VersionComparison::kCurrent;
  }
  return VersionComparison::kConflict;
}

Result<void> ConfigFollower::ApplyChanges(
    const std::vector<ConfigChange>& changes) {
  EntityTable next = this->table;
  Configuration config = *this->current;
  std::uint64_t version = this->current->version;
  std::string digest = this->current->digest;
  std::vector<ConfigChange> applied;
  for (const ConfigChange& change : changes) {
    if (change.version <= version) continue;
    if (change.version != version + 1) {
      return ConfigInvalid(
          "configuration change " + std::to_string(change.version) +
          " does not follow version " + std::to_string(version));
    }
    next.Apply(change.upserts, change.removals);
    for (const Entity& entity : change.upserts) {
      auto outcome = ApplyEntity(config, entity);
      if (!outcome) return outcome;
    }
    std::ranges::for_each(change.removals, [&config](const std::string& key) {
      RemoveEntity(config, key);
    });
    version = change.version;
    digest = change.digest;
    applied.push_back(change);
  }
  if (applied.empty()) return Success();
  auto outcome =
      this->Adopt(std::move(next), std::move(config), version, digest);
  if (!outcome) return outcome;
  std::ranges::for_each(applied, [this](const ConfigChange& change) {
    this->RetainChange(change);
  });
  return Success();
}

Result<void> ConfigFollower::ApplySnapshot(
    std::uint64_t version, std::string_view digest,
    const std::vector<Entity>& entities) {
  if (version <= this->current->version) {
    return ConfigInvalid("configuration version " + std::to_string(version) +
                         " is not newer than the current version " +
                         std::to_string(this->current->version));
  }
  EntityTable next;
  next.Apply(entities, {});
  Configuration config;
  for (const Entity& entity : entities) {
    auto outcome = ApplyEntity(config, entity);
    if (!outcome) return outcome;
  }
  auto outcome =
      this->Adopt(std::move(next), std::move(config), version, digest);
  if (outcome) this->recent_changes.clear();
  return outcome;
}

std::vector<ConfigChange> ConfigFollower::ChangesAfter(
    std::uint64_t version) const {
  const auto first = std::ranges::find(this->recent_changes, version + 1,
                                       &ConfigChange::version);
  return std::vector<ConfigChange>(first, this->recent_changes.end());
}

std::vector<Entity> ConfigFollower::Entities() const {
  return this->table.All();
}

const std::vector<std::string>& ConfigFollower::ChunkDigests() const noexcept {
  return this->table.ChunkDigests();
}

std::shared_ptr<const Configuration> ConfigFollower::Snapshot() const noexcept {
  return this->current;
}

Result<void> ConfigFollower::Adopt(EntityTable next, Configuration config,
                                   std::uint64_t version,
                                   std::string_view digest) {
  const std::string actual = next.Digest();
  if (actual != digest) {
    return ConfigInvalid("configuration version " + std::to_string(version) +
                         " has digest " + actual + ", expected " +
                         std::string(digest));
  }
  config.version = version;
  config.digest = actual;
  this->table = std::move(next);
  this->current = std::make_shared<const Configuration>(std::move(config));
  return Success();
}

void ConfigFollower::RetainChange(const ConfigChange& change) {
  this->recent_changes.push_back(change);
  if (this->recent_changes.size() > kMaxRetainedChangeCount) {
    this->recent_changes.pop_front();
  }
}

}  // namespace limpethaven
