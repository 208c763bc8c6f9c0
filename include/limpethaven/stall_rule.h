/// @file
/// Tells a stalled stream from a slow one.
#pragma once

#include <compare>

#include "limpethaven/clock.h"

namespace limpethaven {

/// Settings of the rule.
struct StallSettings {
  /// A stream is given up after this long without an event, or later if its
  /// engine is slow.
  DurationMs min_timeout_ms = 1500;
  /// A stream has stalled when it has brought no event for this many times the
  /// longest pause before, between two of its events.
  double pace_factor = 4;
  /// Part of the time that the caller waits for an event after which a stream
  /// is given up in any case, so that another engine can continue in time.
  double max_patience_ratio = 0.66;
  friend auto operator<=>(const StallSettings&, const StallSettings&) = default;
};

/// Progress of one run of a stream. Only events are progress: a stalled engine
/// may still send bytes. Not thread safe; reads no clock.
class StallRule {
 public:
  /// @param patience_ms Time for which the caller waits for an event; 0: no
  /// limit is known.
  explicit StallRule(DurationMs patience_ms, StallSettings initial = {});

  /// Records that the run has started, or has brought an event.
  void OnProgress(TimeMs now);
  /// Time at which the run has stalled unless it brings an event before.
  [[nodiscard]] TimeMs Deadline() const noexcept;

 private:
  StallSettings settings;
  DurationMs patience;
  TimeMs progress_at = 0;
  bool has_event = false;  ///< The start alone is no pace.
  bool started = false;
  DurationMs longest_pause_ms = 0;
};

}  // namespace limpethaven
