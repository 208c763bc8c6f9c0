/// @file
/// Queue that shares tokens fairly between teams, by weight, and orders the
/// items of each team by a sort key.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/clock.h"

namespace limpethaven {

/// A queued request.
struct QueueItem {
  std::string id;
  std::string team;
  std::int64_t weight = 1;  ///< Share of the team; must be positive.
  Tokens cost = 0;          ///< Tokens charged against the team's share.
  /// Items with a lower key come first within the team.
  std::int64_t sort_key = 0;
  TimeMs latest_start = 0;  ///< An item not started by then is late.
  friend auto operator<=>(const QueueItem&, const QueueItem&) = default;
};

/// Start-time fair queue: each team has a virtual start tag that grows by cost
/// divided by weight with each item popped, and the team with the lowest tag is
/// served first. A team that was idle starts at the current virtual time, so
/// that idle time earns it no extra share. Not thread safe.
class FairQueue {
 public:
  /// @param max_bypass Number of searches that may bypass a team's head, its
  /// first item, when `PopFirst` finds that it does not fit.
  explicit FairQueue(std::int64_t max_bypass = 64);

  /// Adds an item. Its id must not be queued already.
  void Push(QueueItem item);
  /// Pops the first team head, in fair order, that `fits` accepts. Heads that
  /// it rejects are bypassed. A rejected head that has been bypassed
  /// `max_bypass` times ends the search, so that small requests cannot starve
  /// large ones. A search examines at most 64 heads.
  /// @returns nothing if no head was accepted before the search ended.
  [[nodiscard]] std::optional<QueueItem> PopFirst(
      const std::function<bool(const QueueItem&)>& fits);
  /// Pops the item with the earliest latest start, if `fits` accepts it. Its
  /// team is charged as by `PopFirst`.
  [[nodiscard]] std::optional<QueueItem> PopMostUrgent(
      const std::function<bool(const QueueItem&)>& fits);
  /// Removes and returns the items whose latest start lies before `now`.
  [[nodiscard]] std::vector<QueueItem> PopLate(TimeMs now);
  /// Removes one item. @returns whether it was queued.
  bool Remove(std::string_view id);
  [[nodiscard]] std::size_t Size() const noexcept;
  /// Sum of the queued items' costs.
  [[nodiscard]] Tokens QueuedTokens() const noexcept;
  /// Sum of the costs of a team's queued items.
  [[nodiscard]] Tokens QueuedTokens(const std::string& team) const;

 private:
  /// An item in the order of its team; the sequence number breaks ties.
  struct TeamItem {
    std::int64_t sort_key = 0;
    std::uint64_t sequence = 0;
    std::string id;
    friend auto operator<=>(const TeamItem&, const TeamItem&) = default;
  };
  struct Entry {
    QueueItem item;
    std::uint64_t sequence = 0;
    std::int64_t bypass_count = 0;
  };
  struct TeamRow {
    double start_tag = 0;
    Tokens queued_tokens = 0;
    std::set<TeamItem> items;
  };
  struct TeamTag {
    double start_tag = 0;
    std::string team;
    friend auto operator<=>(const TeamTag&, const TeamTag&) = default;
  };
  struct ItemExpiry {
    TimeMs latest_start = 0;
    std::string id;
    friend auto operator<=>(const ItemExpiry&, const ItemExpiry&) = default;
  };

  /// Charges the item against the share of its team, and removes it.
  [[nodiscard]] QueueItem Charge(const std::string& id);
  /// Removes the item from all indexes and returns it. It must be queued.
  [[nodiscard]] QueueItem Take(const std::string& id);

  std::int64_t max_bypass_count;
  double virtual_time = 0;
  std::uint64_t next_sequence = 0;
  Tokens queued_tokens = 0;
  std::unordered_map<std::string, Entry> entries;  ///< Keyed by item id.
  /// Keyed by team name. A team that runs out of items while its start tag lies
  /// ahead of the virtual time keeps its row: its next item must not start
  /// from a lower tag, which would give it more than its share.
  std::unordered_map<std::string, TeamRow> teams;
  std::set<TeamTag> team_tags;  ///< Teams with queued items.
  std::set<ItemExpiry> expiries;
};

}  // namespace limpethaven
