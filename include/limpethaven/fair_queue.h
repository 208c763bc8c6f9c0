/// @file
/// A queue that is fair across teams by weighted tokens and
/// earliest-deadline-first within one.
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

/// One waiting request.
struct QueueItem {
  std::string id;
  std::string team;
  std::int64_t weight = 1;
  Tokens cost = 0;          ///< Tokens charged against the team's turn.
  std::int64_t order = 0;   ///< Lowest first within the team.
  TimeMs latest_start = 0;  ///< After this it cannot meet its deadline.
  friend auto operator<=>(const QueueItem&, const QueueItem&) = default;
};

/// Start-time fair queue. Not thread safe.
class FairQueue {
 public:
  /// @param max_bypass Times a head may be passed over before it blocks the
  /// queue.
  explicit FairQueue(std::int64_t max_bypass = 64);

  void Push(QueueItem item);
  /// Pops the first team head, in fair order, that `fits` accepts. A head that
  /// was passed over too often ends the search, so that large requests are not
  /// starved.
  [[nodiscard]] std::optional<QueueItem> PopFirst(
      const std::function<bool(const QueueItem&)>& fits);
  /// Removes and returns the items whose latest start lies before `now`.
  [[nodiscard]] std::vector<QueueItem> PopLate(TimeMs now);
  /// Removes one item. @returns whether it was there.
  bool Remove(std::string_view id);
  [[nodiscard]] std::size_t Size() const noexcept;
  /// Sum of the waiting items' costs.
  [[nodiscard]] Tokens QueuedTokens() const noexcept;

 private:
  struct Waiting {
    std::int64_t order = 0;
    std::uint64_t sequence = 0;
    std::string id;
    friend auto operator<=>(const Waiting&, const Waiting&) = default;
  };
  struct Entry {
    QueueItem item;
    std::uint64_t sequence = 0;
    std::int64_t bypassed = 0;
  };
  struct TeamRow {
    double start_tag = 0;
    std::set<Waiting> waiting;
  };
  struct Turn {
    double start_tag = 0;
    std::string team;
    friend auto operator<=>(const Turn&, const Turn&) = default;
  };
  struct Late {
    TimeMs latest_start = 0;
    std::string id;
    friend auto operator<=>(const Late&, const Late&) = default;
  };

  [[nodiscard]] QueueItem Take(const std::string& id);

  std::int64_t max_bypass;
  double virtual_time = 0;
  std::uint64_t next_sequence = 0;
  Tokens queued_tokens = 0;
  std::unordered_map<std::string, Entry> entries;
  std::unordered_map<std::string, TeamRow> teams;
  std::set<Turn> turns;  ///< Teams with waiting items.
  std::set<Late> late;
};

}  // namespace limpethaven
