/// @file
/// Adopts published configurations: the newest wins and nothing goes back.
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

/// What a follower does with an offered version.
enum class OfferOutcome { kAlreadyHave, kOlder, kNeedPull, kConflict };

/// Keeps one configuration and the changes that led to it.
///
/// Not thread safe. Snapshots are shared so that a request keeps the version it
/// began with.
class ConfigFollower {
 public:
  ConfigFollower();

  /// Judges a version that a peer or the source speaks of.
  [[nodiscard]] OfferOutcome Judge(std::uint64_t version,
                                   std::string_view digest) const;
  /// Applies changes on top of the present version. Changes at or below it are
  /// skipped; a gap or a digest that does not fit leaves everything as it was
  /// and is an error.
  [[nodiscard]] Result<void> ApplyChanges(
      const std::vector<ConfigChange>& changes);
  /// Replaces everything by a whole version, if it is newer and its digest
  /// fits.
  [[nodiscard]] Result<void> ApplySnapshot(std::uint64_t version,
                                           std::string_view digest,
                                           const std::vector<Entity>& entities);
  /// Changes after `version`, or empty when this follower no longer has them
  /// all.
  [[nodiscard]] std::vector<ConfigChange> ChangesAfter(
      std::uint64_t version) const;
  /// Every entity of the present version.
  [[nodiscard]] std::vector<Entity> Entities() const;
  /// Digest of each chunk of the present version.
  [[nodiscard]] const std::vector<std::string>& ChunkDigests() const noexcept;
  /// The present version; version 0 before the first adoption.
  [[nodiscard]] std::shared_ptr<const Configuration> Snapshot() const noexcept;

 private:
  [[nodiscard]] Result<void> Adopt(EntityTable next, Configuration config,
                                   std::uint64_t version,
                                   std::string_view digest);
  void Remember(const ConfigChange& change);

  EntityTable table;
  std::shared_ptr<const Configuration> current;
  std::deque<ConfigChange> recent;
};

}  // namespace limpethaven
