/// @file
/// Replica of the published configuration, whose version only ever increases.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// How an offered version compares with a follower's current one.
enum class VersionComparison {
  /// Version and digest are the current ones, or both versions are 0.
  kCurrent,
  kOlder,    ///< The offered version is lower.
  kNewer,    ///< The offered version is higher and has to be fetched.
  kConflict  ///< The version is the current one, but the digest differs.
};

/// Holds one configuration and the latest changes that led to it.
///
/// Not thread safe. Snapshots are immutable and shared, so that a request uses
/// the version it started with until it ends.
class ConfigFollower {
 public:
  ConfigFollower();

  /// Compares a version that a peer or the source offers with the current one.
  [[nodiscard]] VersionComparison Compare(std::uint64_t version,
                                          std::string_view digest) const;
  /// Applies changes to the current version. Changes up to the current version
  /// are skipped.
  /// @returns `kConfigInvalid`, with nothing applied, when a version is missing
  /// in the sequence, an entity is malformed or the resulting digest differs
  /// from that of the last change.
  [[nodiscard]] Result<void> ApplyChanges(
      const std::vector<ConfigChange>& changes);
  /// Replaces the current version by a complete one and drops the retained
  /// changes.
  /// @returns `kConfigInvalid`, with nothing replaced, when the version is not
  /// newer, an entity is malformed or the digest of the entities differs from
  /// `digest`.
  [[nodiscard]] Result<void> ApplySnapshot(std::uint64_t version,
                                           std::string_view digest,
                                           const std::vector<Entity>& entities);
  /// Changes after `version`, oldest first. Empty when there are none or when
  /// some of them are no longer retained.
  [[nodiscard]] std::vector<ConfigChange> ChangesAfter(
      std::uint64_t version) const;
  /// Every entity of the current version.
  [[nodiscard]] std::vector<Entity> Entities() const;
  /// Digest of each chunk of the current version.
  [[nodiscard]] const std::vector<std::string>& ChunkDigests() const noexcept;
  /// The current configuration; its version is 0 before the first one is
  /// adopted.
  [[nodiscard]] std::shared_ptr<const Configuration> Snapshot() const noexcept;

 private:
  /// Makes `next` and `config` current if the digest of `next` is `digest`;
  /// returns `kConfigInvalid` and changes nothing otherwise.
  [[nodiscard]] Result<void> Adopt(EntityTable next, Configuration config,
                                   std::uint64_t version,
                                   std::string_view digest);
  /// Retains a change for `ChangesAfter` and drops the oldest one when the
  /// limit is exceeded.
  void RetainChange(const ConfigChange& change);

  EntityTable table;
  std::shared_ptr<const Configuration> current;
  std::deque<ConfigChange> recent_changes;  ///< Oldest first, without gaps.
};

}  // namespace limpethaven
