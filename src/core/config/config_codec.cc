#include "limpethaven/config_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "limpethaven/crypto.h"
#include "limpethaven/rendezvous.h"

NLOHMANN_JSON_NAMESPACE_BEGIN

/// Reads and writes an optional value, with null for an empty one.
template <typename T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& out, const std::optional<T>& value) {
    out = value ? json(*value) : json(nullptr);
  }
  static void from_json(const json& in, std::optional<T>& value) {
    if (in.is_null()) {
      value.reset();
    } else {
      value = in.get<T>();
    }
  }
};

NLOHMANN_JSON_NAMESPACE_END

namespace limpethaven {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TeamSpec, name,
                                                rate_tokens_per_s, burst_tokens,
                                                weight, plain_tokens, priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeySpec, sha256, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndpointSpec, address, data_centre, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WeightedPool, pool, weight)
NLOHMANN_JSON_SERIALIZE_ENUM(RepeatRule,
                             {{RepeatRule::kOnce, "once"},
                              {RepeatRule::kRepeatable, "repeatable"},
                              {RepeatRule::kResumable, "resumable"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    RouteSpec, path, model, prefill_pool, decode_pool, pool, open,
    first_token_ms, token_gap_ms, serve_late, name, host, targets, repeat,
    streams, shares_prefixes, max_sends, timeout_ms, priority, patience_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LinkSpec, from, to, mbytes_per_s)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerLimits, max_header_bytes,
                                                max_body_bytes,
                                                header_timeout_ms,
                                                idle_timeout_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FleetSpec, share_slots, limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GoalSpec, pool, model, model_version)

NLOHMANN_JSON_SERIALIZE_ENUM(PoolRole, {{PoolRole::kService, "service"},
                                        {PoolRole::kPrefill, "prefill"},
                                        {PoolRole::kDecode, "decode"},
                                        {PoolRole::kMixed, "mixed"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EngineSpec, slots, kv_tokens,
                                                kv_bytes_per_token, link_mbps,
                                                prefill_kept_ms,
                                                tokens_per_event,
                                                role_change_ms, balance_roles)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PoolSpec, name, role, model,
                                                memory_pieces, checks_fencing,
                                                endpoints, max_connections,
                                                engine)

namespace {

using nlohmann::json;

void to_json(json& out, const Entity& entity) {
  out = json::array({entity.key, entity.value});
}

void from_json(const json& in, Entity& entity) {
  entity.key = in.at(0).get<std::string>();
  entity.value = in.at(1).get<std::string>();
}

json ToJson(const std::vector<Entity>& entities) {
  json list = json::array();
  std::ranges::for_each(entities, [&list](const Entity& entity) {
    json row;
    to_json(row, entity);
    list.push_back(std::move(row));
  });
  return list;
}

std::vector<Entity> EntitiesFromJson(const json& list) {
  std::vector<Entity> entities;
  std::ranges::transform(list, std::back_inserter(entities),
                         [](const json& row) {
                           Entity entity;
                           from_json(row, entity);
                           return entity;
                         });
  return entities;
}

json ToJson(const ConfigChange& change) {
  return {{"version", change.version},
          {"digest", change.digest},
          {"upserts", ToJson(change.upserts)},
          {"removals", change.removals}};
}

ConfigChange ChangeFromJson(const json& in) {
  return ConfigChange{in.at("version").get<std::uint64_t>(),
                      in.at("digest").get<std::string>(),
                      EntitiesFromJson(in.at("upserts")),
                      in.at("removals").get<std::vector<std::string>>()};
}

/// Parses `text` as JSON and returns what `read` makes of it. Returns
/// `kConfigInvalid` when the text is not JSON or `read` rejects it; the message
/// is then `what` followed by the reason.
template <typename Read>
auto DecodeJson(std::string_view text, std::string_view what, Read read)
    -> Result<decltype(read(json()))> {
  try {
    return read(json::parse(text));
  } catch (const json::exception& fault) {
    return Error::Of(ErrorKind::kConfigInvalid,
                     std::string(what) + ": " + fault.what());
  }
}

/// Appends one entity for each row of `table`, with `prefix` before its key.
template <typename T>
void EncodeTable(std::string_view prefix, const NamedTable<T>& table,
                 std::vector<Entity>& entities) {
  std::ranges::transform(
      table, std::back_inserter(entities), [prefix](const auto& row) {
        return Entity{std::string(prefix) + row.first, json(row.second).dump()};
      });
}

/// Adds what turns one table into another to `change`.
template <typename T>
void CompareTables(std::string_view prefix, const NamedTable<T>& before,
                   const NamedTable<T>& after, ConfigChange& change) {
  std::ranges::for_each(after, [&](const auto& row) {
    const auto old = before.find(row.first);
    if (old != before.end() && old->second == row.second) return;
    change.upserts.push_back(
        Entity{std::string(prefix) + row.first, json(row.second).dump()});
  });
  std::ranges::for_each(before, [&](const auto& row) {
    if (after.contains(row.first)) return;
    change.removals.push_back(std::string(prefix) + row.first);
  });
}

/// Calls `visit(table, name)` with the table of `config` that holds the entity
/// `key` and with the entity's name in it. Makes no call for an unknown kind of
/// entity. Returns false when `key` has no slash.
template <typename Visit>
bool VisitTable(Configuration& config, std::string_view key, Visit visit) {
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) return false;
  const std::string_view kind = key.substr(0, slash);
  const std::string name(key.substr(slash + 1));
  if (kind == "team") visit(config.teams, name);
  if (kind == "key") visit(config.keys, name);
  if (kind == "pool") visit(config.pools, name);
  if (kind == "route") visit(config.routes, name);
  if (kind == "link") visit(config.links, name);
  if (kind == "goal") visit(config.goals, name);
  return true;
}

std::size_t ChunkOf(std::string_view key) {
  return StableHash(key) % kChunkCount;
}

/// Why the role settings of a pool are invalid; empty when they are valid.
std::string DescribeInvalidRoles(const PoolSpec& pool) {
  if (!pool.engine) return {};
  const EngineSpec& engine = *pool.engine;
  if (engine.role_change_ms < 0) {
    return "role_change_ms: expected 0 or more, got " +
           std::to_string(engine.role_change_ms);
  }
  if (engine.balance_roles && engine.role_change_ms == 0) {
    return "balance_roles: expected a role_change_ms above 0";
  }
  return {};
}

}  // namespace

EntityTable::EntityTable() : chunks(kChunkCount), digests(kChunkCount) {
  for (std::size_t index = 0; index < kChunkCount; ++index) {
    this->UpdateDigest(index);
  }
}

void EntityTable::Apply(const std::vector<Entity>& upserts,
                        const std::vector<std::string>& removals) {
  std::set<std::size_t> changed_chunks;
  std::ranges::for_each(upserts, [this, &changed_chunks](const Entity& entity) {
    const std::size_t index = ChunkOf(entity.key);
    this->chunks[index].insert_or_assign(entity.key, entity.value);
    changed_chunks.insert(index);
  });
  std::ranges::for_each(removals,
                        [this, &changed_chunks](const std::string& key) {
                          const std::size_t index = ChunkOf(key);
                          this->chunks[index].erase(key);
                          changed_chunks.insert(index);
                        });
  std::ranges::for_each(
      changed_chunks, [this](std::size_t index) { this->UpdateDigest(index); });
}

std::string EntityTable::Digest() const {
  std::string all;
  std::ranges::for_each(this->digests,
                        [&all](const std::string& digest) { all += digest; });
  return Sha256Hex(all);
}

const std::vector<std::string>& EntityTable::ChunkDigests() const noexcept {
  return this->digests;
}

std::string EntityTable::ChunkText(std::size_t index) const {
  json list = json::array();
  std::ranges::for_each(this->chunks[index], [&list](const auto& row) {
    list.push_back(json::array({row.first, row.second}));
  });
  return list.dump();
}

std::vector<Entity> EntityTable::All() const {
  std::vector<Entity> entities;
  std::ranges::for_each(this->chunks, [&entities](const Chunk& chunk) {
    std::ranges::transform(chunk, std::back_inserter(entities),
                           [](const auto& row) {
                             return Entity{row.first, row.second};
                           });
  });
  return entities;
}

ConfigChange EntityTable::ChangeTo(const EntityTable& next) const {
  ConfigChange change;
  change.digest = next.Digest();
  for (std::size_t index = 0; index < kChunkCount; ++index) {
    const Chunk& before = this->chunks[index];
    const Chunk& after = next.chunks[index];
    std::ranges::for_each(after, [&](const auto& row) {
      const auto old = before.find(row.first);
      if (old != before.end() && old->second == row.second) return;
      change.upserts.push_back(Entity{row.first, row.second});
    });
    std::ranges::for_each(before, [&](const auto& row) {
      if (!after.contains(row.first)) change.removals.push_back(row.first);
    });
  }
  return change;
}

void EntityTable::UpdateDigest(std::size_t index) {
  this->digests[index] = Sha256Hex(this->ChunkText(index));
}

std::vector<Entity> EncodeEntities(const Configuration& config) {
  std::vector<Entity> entities;
  entities.push_back(Entity{"fleet", json(config.fleet).dump()});
  EncodeTable("team/", config.teams, entities);
  EncodeTable("key/", config.keys, entities);
  EncodeTable("pool/", config.pools, entities);
  EncodeTable("route/", config.routes, entities);
  EncodeTable("link/", config.links, entities);
  EncodeTable("goal/", config.goals, entities);
  return entities;
}

ConfigChange ChangeBetween(const Configuration& before,
                           const Configuration& after) {
  ConfigChange change{after.version, after.digest, {}, {}};
  if (before.fleet != after.fleet) {
    change.upserts.push_back(Entity{"fleet", json(after.fleet).dump()});
  }
  CompareTables("team/", before.teams, after.teams, change);
  CompareTables("key/", before.keys, after.keys, change);
  CompareTables("pool/", before.pools, after.pools, change);
  CompareTables("route/", before.routes, after.routes, change);
  CompareTables("link/", before.links, after.links, change);
  CompareTables("goal/", before.goals, after.goals, change);
  return change;
}

Result<void> ApplyEntity(Configuration& config, const Entity& entity) {
  const auto value = json::parse(entity.value, nullptr, false);
  std::string invalid;
  try {
    if (entity.key == "fleet") {
      config.fleet = value.get<FleetSpec>();
      return Success();
    }
    VisitTable(config, entity.key, [&](auto& table, const std::string& name) {
      using Spec = typename std::decay_t<decltype(table)>::mapped_type;
      auto spec = value.template get<Spec>();
      if constexpr (std::is_same_v<Spec, PoolSpec>) {
        invalid = DescribeInvalidRoles(spec);
      }
      if (invalid.empty()) table.insert_or_assign(name, std::move(spec));
    });
  } catch (const json::exception& fault) {
    return Error::Of(ErrorKind::kConfigInvalid,
                     "invalid value of configuration entity " + entity.key +
                         ": " + fault.what());
  }
  if (invalid.empty()) return Success();
  return Error::Of(
      ErrorKind::kConfigInvalid,
      "invalid value of configuration entity " + entity.key + ": " + invalid);
}

void RemoveEntity(Configuration& config, std::string_view key) {
  VisitTable(config, key,
             [](auto& table, const std::string& name) { table.erase(name); });
}

std::string EncodeHead(const ConfigHead& head) {
  json changes = json::array();
  std::ranges::for_each(head.changes, [&](const ConfigChange& change) {
    changes.push_back(ToJson(change));
  });
  return json{{"version", head.version},
              {"digest", head.digest},
              {"chunks", head.chunks},
              {"changes", changes}}
      .dump();
}

Result<ConfigHead> DecodeHead(std::string_view text) {
  return DecodeJson(text, "invalid configuration head", [](const json& in) {
    ConfigHead head{in.at("version").get<std::uint64_t>(),
                    in.at("digest").get<std::string>(),
                    in.at("chunks").get<std::vector<std::string>>(),
                    {}};
    std::ranges::transform(in.at("changes"), std::back_inserter(head.changes),
                           ChangeFromJson);
    return head;
  });
}

std::string EncodeChange(const ConfigChange& change) {
  return ToJson(change).dump();
}

Result<ConfigChange> DecodeChange(std::string_view text) {
  return DecodeJson(text, "invalid configuration change", ChangeFromJson);
}

std::string EncodeEntityList(const std::vector<Entity>& entities) {
  return ToJson(entities).dump();
}

Result<std::vector<Entity>> DecodeEntityList(std::string_view text) {
  return DecodeJson(text, "invalid configuration entities", EntitiesFromJson);
}

}  // namespace limpethaven
