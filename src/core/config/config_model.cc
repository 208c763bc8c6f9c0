#include "limpethaven/config_model.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace limpethaven {
namespace {

constexpr std::array<std::string_view, 4> kRoleNames = {"prefill", "decode",
                                                        "mixed", "service"};

/// Whether `path` is `prefix` or lies below it. A prefix matches whole path
/// segments only: `/s/a` is a prefix of `/s/a/b` but not of `/s/ab`.
bool IsPathPrefix(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return false;
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

}  // namespace

const TeamSpec* Configuration::FindTeamByKeyDigest(
    std::string_view sha256) const {
  const auto key = this->keys.find(sha256);
  if (key == this->keys.end()) return nullptr;
  const auto team = this->teams.find(key->second.team);
  return team == this->teams.end() ? nullptr : &team->second;
}

const RouteSpec* Configuration::FindModelRoute(std::string_view model) const {
  const auto route = this->routes.find("/v1/completions#" + std::string(model));
  return route == this->routes.end() ? nullptr : &route->second;
}

const RouteSpec* Configuration::FindServiceRoute(std::string_view path) const {
  // Tries the longest prefix first and drops one segment at a time. A prefix is
  // tried with its final slash, then without.
  std::string_view prefix = path;
  while (!prefix.empty()) {
    const auto route = this->routes.find(prefix);
    if (route != this->routes.end() && !route->second.pool.empty() &&
        IsPathPrefix(route->first, path)) {
      return &route->second;
    }
    const auto slash = prefix.rfind('/');
    if (slash == std::string_view::npos) break;
    prefix = slash + 1 == prefix.size() ? prefix.substr(0, slash)
                                        : prefix.substr(0, slash + 1);
  }
  return nullptr;
}

const RouteSpec* Configuration::FindHostRoute(std::string_view host,
                                              std::string_view path) const {
  // Tries the longest prefix that ends with a slash first.
  std::string key = std::string(host).append(path);
  while (key.size() > host.size()) {
    const auto slash = key.rfind('/');
    if (slash == std::string::npos || slash < host.size()) break;
    key.resize(slash + 1);
    const auto route = this->routes.find(key);
    if (route != this->routes.end() && route->second.host == host) {
      return &route->second;
    }
    key.resize(slash);
  }
  return nullptr;
}

std::int64_t Configuration::LinkRate(std::string_view from,
                                     std::string_view to) const {
  const auto link = this->links.find(std::string(from) + ">" + std::string(to));
  return link == this->links.end() ? 0 : link->second.mbytes_per_s;
}

std::string_view NameOf(PoolRole role) noexcept {
  return kRoleNames[static_cast<std::size_t>(role)];
}

std::optional<PoolRole> PoolRoleFromName(std::string_view name) noexcept {
  const auto found = std::ranges::find(kRoleNames, name);
  if (found == kRoleNames.end()) return std::nullopt;
  return static_cast<PoolRole>(found - kRoleNames.begin());
}

std::ostream& operator<<(std::ostream& out, const TeamSpec& team) {
  return out << team.name << " rate=" << team.rate_tokens_per_s
             << "tokens/s burst=" << team.burst_tokens
             << "tokens weight=" << team.weight;
}

std::ostream& operator<<(std::ostream& out, const EndpointSpec& endpoint) {
  return out << endpoint.address << (endpoint.leaving ? " leaving" : "");
}

std::ostream& operator<<(std::ostream& out, const RouteSpec& route) {
  return out << route.path << (route.model.empty() ? "" : " model=")
             << route.model;
}

}  // namespace limpethaven
