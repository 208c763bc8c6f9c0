/// @file
/// What a cell remembers of reservations that ended: cancels that their engines
/// have not confirmed, and ids that must not be adopted again.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "limpethaven/cell_scheduler.h"

namespace limpethaven {

/// Cancels that are repeated until the engine confirms them. Not thread safe.
class CancelList {
 public:
  /// @param period_ms Time between two cancels of one attempt.
  explicit CancelList(DurationMs period_ms);

  /// Starts to send cancels of an attempt to the engine, also for an attempt
  /// without a reservation here.
  /// @param id Id of the reservation, which identifies the attempt.
  void Add(std::string_view id, const std::string& engine,
           const std::string& request_id, bool orphan, TimeMs now);
  /// Stops repeating a cancel.
  void Done(std::string_view id);
  /// The cancels that are due. A cancel is given up after 60 s.
  [[nodiscard]] std::vector<CancelCommand> Due(TimeMs now);

 private:
  struct Row {
    std::string engine;
    std::string request_id;
    bool orphan = false;
    TimeMs first_at = 0;
    TimeMs next_at = 0;
  };

  DurationMs retry_ms;
  std::map<std::string, Row, std::less<>> rows;  ///< Keyed by reservation id.
};

/// Ids of reservations that ended within the last 10 s, so that late renewals
/// do not revive them. Not thread safe.
class EndedReservations {
 public:
  void Add(const std::string& id, TimeMs now);
  void Remove(std::string_view id);
  [[nodiscard]] bool Contains(std::string_view id) const;
  void Evict(TimeMs now);

 private:
  std::unordered_set<std::string> ids;
  /// The same ids with the times at which the reservations ended.
  std::deque<std::pair<TimeMs, std::string>> by_time;
};

}  // namespace limpethaven
