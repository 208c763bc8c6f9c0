/// @file
/// Plans orders that move engines towards the published goals, with fencing
/// numbers.
///
/// An order repeats a published goal, so doing it twice is harmless. Its
/// fencing number grows with the configuration's version first: an order for an
/// older version is never newer than one for a later version, whoever sends it
/// and however long it slept.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Settings of order planning.
struct OrderSettings {
  DurationMs lease_ms =
      5000;  ///< A new owner waits this long before its first order.
  DurationMs repeat_ms = 2000;  ///< Time between two orders to one engine.
  std::int64_t max_loading =
      2;  ///< Engines that load at once: the weight store's budget.
  DurationMs loading_ms =
      120'000;  ///< After this an engine no longer counts as loading.
};

/// An order to send.
struct PlannedOrder {
  std::string engine;
  EngineOrder order;
  std::string reason;
  friend auto operator<=>(const PlannedOrder&, const PlannedOrder&) = default;
};

std::ostream& operator<<(std::ostream& out, const PlannedOrder& planned);

/// Fencing number: configuration version, then the owner's start, then a
/// counter.
/// @param incarnation As made by `MakeIncarnation`.
[[nodiscard]] std::uint64_t MakeFence(std::uint64_t config_version,
                                      std::uint64_t incarnation,
                                      std::uint64_t counter) noexcept;

/// Planner of one process. Not thread safe; no I/O, no clock.
class OrderPlanner {
 public:
  explicit OrderPlanner(std::uint64_t own_incarnation,
                        OrderSettings initial = {});

  /// Engines this process owns now. Each newly owned one is left alone for a
  /// lease.
  void SetOwned(const std::vector<std::string>& engines, TimeMs now);
  /// Forgets all ownership, as after a pause of this process: the leases begin
  /// anew.
  void ReleaseAll() noexcept;
  /// Takes in what an engine says it serves. An engine that ignores fencing
  /// numbers is corrected this way: what an old owner told it is seen and
  /// overruled.
  void Observe(const std::string& engine, const EngineState& state, TimeMs now);
  /// Orders that are due.
  [[nodiscard]] std::vector<PlannedOrder> Plan(const Configuration& config,
                                               TimeMs now);

 private:
  struct Row {
    TimeMs owned_since = 0;
    TimeMs ordered_at = 0;
    bool ordered = false;
    bool loading = false;
    bool observed = false;
    EngineState state;
  };

  std::uint64_t incarnation;
  OrderSettings settings;
  std::uint64_t counter = 0;
  std::map<std::string, Row, std::less<>> rows;
};

}  // namespace limpethaven
