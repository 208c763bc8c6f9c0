#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "limpethaven/config_check.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::string_view kKeyPrefix = "key/";
/// Order in which the groups are shown.
constexpr std::array<std::string_view, 7> kGroups = {
    "route", "pool", "team", "key", "fleet", "link", "goal"};

std::size_t GroupIndex(std::string_view group) {
  return static_cast<std::size_t>(std::ranges::find(kGroups, group) -
                                  kGroups.begin());
}

/// Fields in which two JSON objects differ.
std::vector<std::string> ChangedFields(const std::string& before,
                                       const std::string& after) {
  const json old_value = json::parse(before, nullptr, false);
  const json new_value = json::parse(after, nullptr, false);
  if (!old_value.is_object() || !new_value.is_object()) {
    return {"value " + before + " -> " + after};
  }
  std::map<std::string, std::array<std::string, 2>> values;
  const auto add = [&values](const json& value, std::size_t side) {
    for (const auto& [name, field] : value.items()) {
      values[name][side] = field.dump();
    }
  };
  add(old_value, 0);
  add(new_value, 1);
  std::vector<std::string> fields;
  std::ranges::for_each(values, [&fields](const auto& row) {
    const auto& [old_text, new_text] = row.second;
    if (old_text == new_text) return;
    const auto shown = [](const std::string& text) {
      return text.empty() ? std::string("none") : text;
    };
    fields.push_back(row.first + " " + shown(old_text) + " -> " +
                     shown(new_text));
  });
  return fields;
}

EntityDifference DifferenceOf(EntityDifference::Kind kind,
                              const std::string& key,
                              std::vector<std::string> fields = {}) {
  const auto slash = key.find('/');
  EntityDifference difference;
  difference.kind = kind;
  difference.group = key.substr(0, slash);
  difference.name =
      slash == std::string::npos ? std::string() : key.substr(slash + 1);
  difference.fields = std::move(fields);
  return difference;
}

}  // namespace

std::vector<Entity> CutKeyDigests(std::vector<Entity> entities) {
  std::ranges::for_each(entities, [](Entity& entity) {
    if (!entity.key.starts_with(kKeyPrefix)) return;
    entity.key.resize(
        std::min(entity.key.size(), kKeyPrefix.size() + kShownDigestDigits));
    json value = json::parse(entity.value, nullptr, false);
    if (!value.is_object()) return;
    value["sha256"] = entity.key.substr(kKeyPrefix.size());
    entity.value = value.dump();
  });
  return entities;
}

std::vector<Entity> ShownEntities(const Configuration& config) {
  return CutKeyDigests(EncodeEntities(config));
}

std::vector<EntityDifference> CompareEntities(std::vector<Entity> before,
                                              std::vector<Entity> after) {
  using Kind = EntityDifference::Kind;
  const auto table_of = [](std::vector<Entity> entities) {
    std::map<std::string, std::string> table;
    std::ranges::for_each(
        CutKeyDigests(std::move(entities)),
        [&table](const Entity& entity) { table[entity.key] = entity.value; });
    return table;
  };
  const auto old_table = table_of(std::move(before));
  const auto new_table = table_of(std::move(after));
  std::vector<EntityDifference> differences;
  std::ranges::for_each(old_table, [&](const auto& row) {
    if (new_table.contains(row.first)) return;
    differences.push_back(DifferenceOf(Kind::kRemoved, row.first));
  });
  std::ranges::for_each(new_table, [&](const auto& row) {
    const auto old_row = old_table.find(row.first);
    if (old_row == old_table.end()) {
      differences.push_back(DifferenceOf(Kind::kAdded, row.first));
      return;
    }
    std::vector<std::string> fields =
        ChangedFields(old_row->second, row.second);
    if (fields.empty()) return;
    differences.push_back(
        DifferenceOf(Kind::kChanged, row.first, std::move(fields)));
  });
  std::ranges::sort(differences, {}, [](const EntityDifference& difference) {
    return std::pair(GroupIndex(difference.group), difference.name);
  });
  return differences;
}

std::ostream& operator<<(std::ostream& out,
                         const EntityDifference& difference) {
  using Kind = EntityDifference::Kind;
  out << (difference.kind == Kind::kAdded     ? '+'
          : difference.kind == Kind::kRemoved ? '-'
                                              : '~')
      << ' ' << (difference.name.empty() ? difference.group : difference.name);
  std::string_view separator = ": ";
  std::ranges::for_each(difference.fields, [&](const std::string& field) {
    out << separator << field;
    separator = ", ";
  });
  return out;
}

}  // namespace limpethaven
