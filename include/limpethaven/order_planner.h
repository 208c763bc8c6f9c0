/// @file
/// Plans the orders that bring engines to the published goals. A goal is the
/// model and version that the engines of a pool are to serve. Each order
/// carries a fencing token.
///
/// An order states a published goal, so it is idempotent. The configuration
/// version is the most significant part of the fencing token: an order for an
/// older version has a lower token than one for a later version, whichever
/// process sends it and however long that process was paused. This holds for
/// versions below 2^26.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Settings of order planning.
struct OrderSettings {
  /// A new owner waits this long before its first order to an engine, so that
  /// the previous owner has stopped sending orders.
  DurationMs lease_ms = 5000;
  /// Minimum time between two orders to one engine.
  DurationMs repeat_interval_ms = 2000;
  /// Number of engines owned by this process that may load a model at once.
  /// Limits the load on the store of model weights.
  std::int64_t max_loading_count = 2;
  /// An engine that reports its state this long after its last order no longer
  /// counts as loading, even if it does not serve its goal.
  DurationMs loading_timeout_ms = 120'000;
};

/// An order to send to an engine.
struct PlannedOrder {
  std::string engine;  ///< Address of the engine.
  EngineOrder order;
  std::string reason;  ///< Why it is sent, for the log.
  friend auto operator<=>(const PlannedOrder&, const PlannedOrder&) = default;
};

std::ostream& operator<<(std::ostream& out, const PlannedOrder& planned);

/// Makes a fencing token. Tokens are ordered by configuration version, then by
/// the start time of the owner in minutes, then by its order counter.
/// @param config_version Only the low 26 bits are used.
/// @param incarnation Incarnation of the owner, from `MakeIncarnation`.
/// @param counter Number of the order. Orders beyond 4,095 count into the next
/// minutes, so that a later order of one start always has a higher token.
[[nodiscard]] std::uint64_t MakeFencingToken(std::uint64_t config_version,
                                             std::uint64_t incarnation,
                                             std::uint64_t counter) noexcept;

/// Plans the orders of one process. Does no I/O and reads no clock. Not thread
/// safe.
class OrderPlanner {
 public:
  explicit OrderPlanner(std::uint64_t process_incarnation,
                        OrderSettings initial = {});

  /// Sets the addresses of the engines that this process owns. A newly owned
  /// engine gets no order until a lease has passed.
  void SetOwned(const std::vector<std::string>& engines, TimeMs now);
  /// Gives up the ownership of all engines, for example after a pause of this
  /// process, during which others may have taken them over. An engine that it
  /// owns again later gets no order until a new lease has passed.
  void ReleaseAll() noexcept;
  /// Records what an engine reports that it serves. This also corrects engines
  /// that do not check fencing tokens: if such an engine acted on an outdated
  /// order, its state differs from the goal and it gets a new order.
  void Observe(const std::string& engine, const EngineState& state, TimeMs now);
  /// Returns the orders to send at `now`, and records them as sent. Their
  /// fencing tokens are higher than those of processes that sent their last
  /// order in an earlier minute, also of processes that started later.
  [[nodiscard]] std::vector<PlannedOrder> Plan(const Configuration& config,
                                               TimeMs now);

 private:
  struct OwnedEngine {
    TimeMs owned_since = 0;
    TimeMs ordered_at = 0;
    bool ordered = false;
    bool loading = false;
    bool observed = false;  ///< Whether `state` has been reported.
    EngineState state;
  };

  std::uint64_t incarnation;
  OrderSettings settings;
  std::uint64_t counter = 0;
  /// Time of the first call of `Plan`.
  std::optional<TimeMs> first_plan_at;
  /// Owned engines, keyed by address.
  std::map<std::string, OwnedEngine, std::less<>> rows;
};

}  // namespace limpethaven
