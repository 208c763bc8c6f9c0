/// @file
/// Plays a day of a deployment on a cell scheduler alone: callers, engines and
/// the delays of notices, without processes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpethaven/cell_scheduler.h"

namespace limpethaven::testing {

/// Callers of one kind.
struct CallerKind {
  std::int64_t priority = 0;
  double share = 1;  ///< Part of all generations.
  DurationMs due_ms = 900;
  DurationMs patience_ms = 3600;
};

/// A deployment and its load.
struct Deployment {
  int prefill_engines = 20;
  int decode_engines = 36;
  Tokens kv_tokens = 29'588;
  double per_s = 46;
  Tokens output_tokens = 860;
  double decode_tokens_per_ms = 860.0 / 3400;
  std::vector<CallerKind> kinds = {{}};
  /// Part of the engines that is 2.5 times slower for 600 ms every 4 s.
  double slow_ratio = 0.15;
  double spike = 2.3;  ///< Load in the three spikes, of 4 s each.
  /// Part of the refused callers that return at the time they were told.
  double returning = 0.8;
  DurationMs day_ms = 48'000;
};

Deployment FirstDeployment();
Deployment SecondDeployment();

/// What the callers of one group got.
struct Served {
  int on_time = 0;
  int late = 0;     ///< The first event came after it was due.
  int refused = 0;  ///< Not counting those that returned and were served.
  int gave_up = 0;  ///< The caller timed out while it waited.
  [[nodiscard]] int All() const;
};

/// What the callers of a day got.
struct DayOutcome {
  Served all;
  std::map<std::int64_t, Served> by_priority;
  std::map<std::string, Served> by_team;
  std::map<int, Served> by_size;  ///< Thirds of the prompt sizes, from 0.
  /// Time that refused requests had waited, ascending.
  std::vector<DurationMs> refused_after_ms;
  /// Refusals that name a time to come back.
  int told = 0;
  int returned = 0;
  int returned_placed = 0;   ///< Of those, placed.
  int returned_on_time = 0;  ///< Of those, served on time.
  /// Callers that were told an earlier time to come back than one of their team
  /// and priority that was refused before them.
  int overtaken = 0;
  int shortest_retry_ms = 1'000'000;
};

/// Plays a day. Teams `a` to `d` have equal weight; `a` sends half of all.
[[nodiscard]] DayOutcome PlayDay(const Deployment& deployment,
                                 CellSettings settings, unsigned seed);
/// The settings that the platform's adapter gives to its cells.
[[nodiscard]] CellSettings PlatformCells();
[[nodiscard]] std::string Text(const std::string& name,
                               const DayOutcome& outcome);

}  // namespace limpethaven::testing
