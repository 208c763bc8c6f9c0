/// @file
/// The configuration as it is published: entities in chunks below a small head.
///
/// An entity is a key such as `team/north` with canonical JSON. Entities fall
/// into chunks by a hash of their key, so that a change touches one chunk. The
/// digest of a version covers the digests of its chunks; a follower that
/// applies a change recomputes only the touched chunks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Chunks of a published configuration.
inline constexpr std::size_t kChunkCount = 64;
/// Largest value the configuration service holds, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;
/// Changes that the head carries for followers that are a little behind.
inline constexpr std::size_t kMaxHeadChangeCount = 16;

/// One entity: `team/NAME`, `key/DIGEST`, `pool/NAME`, `route/PATH`,
/// `link/A>B`, `fleet`.
struct Entity {
  std::string key;
  std::string value;  ///< Canonical JSON: keys sorted, no spaces.
  friend auto operator<=>(const Entity&, const Entity&) = default;
};

/// What one published version changed.
struct ConfigChange {
  std::uint64_t version = 0;
  std::string digest;  ///< Digest of the whole configuration after the change.
  std::vector<Entity> upserts;
  std::vector<std::string> removals;
  friend auto operator<=>(const ConfigChange&, const ConfigChange&) = default;
};

/// The head: the first value a reader asks for.
struct ConfigHead {
  std::uint64_t version = 0;
  std::string digest;
  std::vector<std::string>
      chunks;  ///< Digest of each chunk; its value is named after it.
  std::vector<ConfigChange> changes;  ///< The latest changes, oldest first.
  friend auto operator<=>(const ConfigHead&, const ConfigHead&) = default;
};

/// The entities of one version, kept in chunks with their digests.
class EntityTable {
 public:
  EntityTable();

  /// Adds or replaces entities and removes keys; recomputes the touched chunk
  /// digests.
  void Apply(const std::vector<Entity>& upserts,
             const std::vector<std::string>& removals);
  /// Digest over all chunk digests.
  [[nodiscard]] std::string Digest() const;
  /// Digest of each chunk.
  [[nodiscard]] const std::vector<std::string>& ChunkDigests() const noexcept;
  /// Text of one chunk as published.
  [[nodiscard]] std::string ChunkText(std::size_t index) const;
  /// Every entity, chunk by chunk, sorted within a chunk.
  [[nodiscard]] std::vector<Entity> All() const;
  /// What must change to get from this table to `next`.
  [[nodiscard]] ConfigChange ChangeTo(const EntityTable& next) const;

 private:
  using Chunk = std::map<std::string, std::string, std::less<>>;
  void Rehash(std::size_t index);

  std::vector<Chunk> chunks;
  std::vector<std::string> digests;
};

/// Entities of a configuration.
[[nodiscard]] std::vector<Entity> EncodeEntities(const Configuration& config);
/// Applies one entity to `config`. An unknown kind of entity is ignored, so
/// that older daemons read newer configurations.
[[nodiscard]] Result<void> ApplyEntity(Configuration& config,
                                       const Entity& entity);
/// Removes the entity with this key from `config`.
void RemoveEntity(Configuration& config, std::string_view key);

[[nodiscard]] std::string EncodeHead(const ConfigHead& head);
[[nodiscard]] Result<ConfigHead> DecodeHead(std::string_view text);
[[nodiscard]] std::string EncodeChange(const ConfigChange& change);
[[nodiscard]] Result<ConfigChange> DecodeChange(std::string_view text);
/// Text of entities: a JSON array of `[key, value]`.
[[nodiscard]] std::string EncodeEntityList(const std::vector<Entity>& entities);
[[nodiscard]] Result<std::vector<Entity>> DecodeEntityList(
    std::string_view text);

}  // namespace limpethaven
