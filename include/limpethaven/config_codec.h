/// @file
/// Published form of the configuration: a small head that lists chunks of
/// entities.
///
/// An entity is a key such as `team/north` with a value in canonical JSON.
/// Entities are assigned to chunks by a hash of their key, so that changing an
/// entity changes a single chunk. The digest of a version covers the digests of
/// its chunks; a follower that applies a change recomputes only the digests of
/// the changed chunks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Number of chunks that a published configuration is divided into.
inline constexpr std::size_t kChunkCount = 64;
/// Largest value that the configuration service stores, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;
/// Most changes that the head includes. A follower that is at most this many
/// versions behind can apply them instead of reading the chunks.
inline constexpr std::size_t kMaxHeadChangeCount = 16;

/// One item of the configuration. Its key is `fleet`, `team/NAME`,
/// `key/DIGEST`, `pool/NAME`, `route/KEY`, `link/FROM>TO` or `goal/POOL`, where
/// the part after the slash is the key in the table of `Configuration`.
struct Entity {
  std::string key;
  std::string value;  ///< Canonical JSON: keys sorted, no spaces.
  friend auto operator<=>(const Entity&, const Entity&) = default;
};

/// Difference between one published version and the version before it.
struct ConfigChange {
  std::uint64_t version = 0;  ///< Version that the change leads to.
  std::string digest;  ///< Digest of the whole configuration after the change.
  std::vector<Entity> upserts;        ///< Entities added or replaced.
  std::vector<std::string> removals;  ///< Keys of the entities removed.
  friend auto operator<=>(const ConfigChange&, const ConfigChange&) = default;
};

/// The head of a published configuration, which a reader fetches first.
struct ConfigHead {
  std::uint64_t version = 0;
  std::string digest;
  /// Digest of each chunk, which is also part of the name under which the
  /// chunk is stored.
  std::vector<std::string> chunks;
  std::vector<ConfigChange> changes;  ///< The latest changes, oldest first.
  friend auto operator<=>(const ConfigHead&, const ConfigHead&) = default;
};

/// The entities of one version, stored by chunk with the digest of each chunk.
class EntityTable {
 public:
  EntityTable();

  /// Adds or replaces the `upserts`, then removes the keys in `removals`.
  /// Recomputes the digests of the changed chunks only.
  void Apply(const std::vector<Entity>& upserts,
             const std::vector<std::string>& removals);
  /// SHA-256 of all chunk digests joined in order, as hexadecimal digits.
  [[nodiscard]] std::string Digest() const;
  /// Digest of each chunk, in chunk order.
  [[nodiscard]] const std::vector<std::string>& ChunkDigests() const noexcept;
  /// Text of one chunk as published: a JSON array of `[key, value]`, sorted by
  /// key.
  [[nodiscard]] std::string ChunkText(std::size_t index) const;
  /// Every entity in chunk order, sorted by key within a chunk.
  [[nodiscard]] std::vector<Entity> All() const;
  /// Change that turns this table into `next`. Its version is left at 0, for
  /// the caller to set.
  [[nodiscard]] ConfigChange ChangeTo(const EntityTable& next) const;

 private:
  using Chunk = std::map<std::string, std::string, std::less<>>;
  /// Recomputes the digest of the chunk at `index`.
  void UpdateDigest(std::size_t index);

  std::vector<Chunk> chunks;
  std::vector<std::string> digests;
};

/// Encodes a configuration as entities. Its version and digest are left out.
[[nodiscard]] std::vector<Entity> EncodeEntities(const Configuration& config);
/// Change that turns `before` into `after`, with the version and the digest of
/// `after`. Only entities that differ are encoded.
[[nodiscard]] ConfigChange ChangeBetween(const Configuration& before,
                                         const Configuration& after);
/// Adds the entity to `config`, or replaces the one with this key. An entity of
/// an unknown kind is ignored, so that processes of an older release can read
/// the configurations of a newer one.
/// @returns `kConfigInvalid` when the value is not JSON of the expected form.
[[nodiscard]] Result<void> ApplyEntity(Configuration& config,
                                       const Entity& entity);
/// Removes the entity with this key from `config`. A key that is not present
/// is ignored; `fleet` cannot be removed.
void RemoveEntity(Configuration& config, std::string_view key);

/// JSON text of a head.
[[nodiscard]] std::string EncodeHead(const ConfigHead& head);
/// Inverse of `EncodeHead`.
/// @returns `kConfigInvalid` when `text` is not a valid head.
[[nodiscard]] Result<ConfigHead> DecodeHead(std::string_view text);
/// JSON text of a change.
[[nodiscard]] std::string EncodeChange(const ConfigChange& change);
/// Inverse of `EncodeChange`.
/// @returns `kConfigInvalid` when `text` is not a valid change.
[[nodiscard]] Result<ConfigChange> DecodeChange(std::string_view text);
/// JSON text of entities: an array of `[key, value]`.
[[nodiscard]] std::string EncodeEntityList(const std::vector<Entity>& entities);
/// Inverse of `EncodeEntityList`.
/// @returns `kConfigInvalid` when `text` is not a valid list of entities.
[[nodiscard]] Result<std::vector<Entity>> DecodeEntityList(
    std::string_view text);

}  // namespace limpethaven
