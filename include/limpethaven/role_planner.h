/// @file
/// Decides how many engines of a cell do prefill and how many do decode, and
/// which engine is ordered to change its role next.
///
/// The split follows the mix of the demand and not its level: a load spike of a
/// few seconds is over before an engine has changed its role.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"

namespace limpethaven {

/// Settings of role planning.
struct RolePlannerSettings {
  /// Target utilization of the prefill engines; above it a prompt queues too
  /// long to meet its first-token target.
  double max_prefill_utilization = 0.70;
  /// Target utilization of the decode engines' memory.
  double max_decode_utilization = 0.95;
  /// Smallest deviation from the best split, in engines, that is corrected.
  std::int64_t min_deviation = 2;
  /// Time for which the deviation must have lasted.
  DurationMs deviation_ms = 3000;
  /// Fewest generations in the demand's window on which a split is based.
  std::int64_t min_generations = 50;
  /// Most engines that change their roles at once.
  std::int64_t max_changing = 3;
  /// Fewest engines in a role.
  std::int64_t min_engines = 2;
  /// The prefill engines are never fewer than this part of their initial
  /// number.
  double min_prefill_ratio = 0.5;
  /// An engine that was ordered to change is not ordered again for this time.
  DurationMs repeat_ms = 30'000;
  /// An engine that is new to this planner gets no order for this time, or for
  /// `role_change_ms` if that is longer: another process may have ordered it.
  DurationMs settle_ms = 5000;
  /// Time in which an engine changes its role. An accepted order is in force
  /// for twice this time unless the new role is announced.
  DurationMs role_change_ms = 0;
};

/// State of an engine for role planning.
struct RoleEngine {
  std::string id;
  PoolRole role = PoolRole::kMixed;  ///< As announced by the source.
  std::int64_t running_prefills = 0;
  std::int64_t running_generations = 0;
  bool usable = false;
  friend auto operator<=>(const RoleEngine&, const RoleEngine&) = default;
};

/// Demand on the engines of a cell, refused requests included.
struct RoleDemand {
  /// Engines that the prefills would occupy, in engine-seconds per second.
  double prefill = 0;
  /// Engines whose memory the generations would fill, in engine-seconds per
  /// second.
  double decode = 0;
  std::int64_t generations = 0;  ///< Generations in the window.
  friend auto operator<=>(const RoleDemand&, const RoleDemand&) = default;
};

/// Demand of the requests of a sliding window.
class RoleDemandWindow {
 public:
  static constexpr DurationMs kWindowMs = 5000;

  /// @param initial_ms_per_token Initial estimate of the prefill time per token
  /// of a prompt; corrected by measurements.
  explicit RoleDemandWindow(double initial_ms_per_token);

  /// Updates the estimate from a prompt that did not queue. Tokens found in a
  /// prefix cache are included, since they need no engine time in later prompts
  /// either.
  void LearnPrefill(Tokens prompt, DurationMs measured_ms);
  /// Expected time for which the prefill of a prompt occupies an engine.
  [[nodiscard]] double PrefillMs(Tokens prompt) const noexcept;
  /// Adds a request.
  /// @param prefill_ms Time for which its prefill occupies an engine.
  /// @param decode_ms Time for which it would fill a decode engine alone.
  void Add(double prefill_ms, double decode_ms, TimeMs now);
  [[nodiscard]] RoleDemand Sum(TimeMs now);

 private:
  struct Slice {
    TimeMs start = 0;
    RoleDemand sum;
  };
  double prefill_ms_per_token;
  /// Requests are summed in slices of 100 ms, oldest first.
  std::deque<Slice> slices;
};

/// An order to an engine to change its role.
struct RoleOrder {
  std::string engine;
  PoolRole role = PoolRole::kMixed;
  std::string reason;  ///< Why it is sent, for the log.
  friend auto operator<=>(const RoleOrder&, const RoleOrder&) = default;
};

std::ostream& operator<<(std::ostream& out, const RoleOrder& order);

/// What became of an order.
enum class RoleOrderOutcome {
  kAccepted,       ///< The engine is changing its role.
  kAlreadyInRole,  ///< The engine was in the role already.
  kBusy,           ///< The engine is carrying out another order.
  kOutdated,       ///< The engine has seen a higher fencing token.
  kRefused,        ///< The engine refused the order for another reason.
  kUnknown,        ///< No answer, or one that does not tell.
};

/// Name of an outcome, e.g. `already_in_role`.
[[nodiscard]] std::string_view NameOf(RoleOrderOutcome outcome) noexcept;

/// The split of a cell's engines, for logs and metrics.
struct RoleSplit {
  std::int64_t prefill = 0;  ///< Engines in this role, or changing to it.
  std::int64_t decode = 0;
  std::int64_t wanted_prefill = 0;
  std::int64_t changing = 0;
  friend auto operator<=>(const RoleSplit&, const RoleSplit&) = default;
};

/// End of a change that an engine had accepted.
struct RoleChangeEnd {
  std::string engine;
  PoolRole role = PoolRole::kMixed;  ///< As ordered.
  /// Whether the source announced the new role; otherwise the engine is taken
  /// to have its announced role.
  bool announced = false;
  DurationMs elapsed_ms = 0;  ///< Since the engine accepted the order.
  friend auto operator<=>(const RoleChangeEnd&, const RoleChangeEnd&) = default;
};

/// Plans the role changes of one cell. Does no I/O and reads no clock. Not
/// thread safe.
class RolePlanner {
 public:
  explicit RolePlanner(RolePlannerSettings initial);

  void Configure(const RolePlannerSettings& next);
  /// Forgets how long the engines and the deviation have been observed, because
  /// this process was not the first owner of the cell or was paused. Orders of
  /// the last `RolePlannerSettings::repeat_ms` are kept.
  void Restart();
  /// Updates the engines and the demand. Engines in roles other than prefill
  /// and decode are ignored.
  void Update(const std::vector<RoleEngine>& engines, const RoleDemand& demand,
              TimeMs now);
  /// Returns the next order as of the last `Update`, and records it as sent.
  /// Until `OnOutcome` is called for it there is no other one.
  [[nodiscard]] std::optional<RoleOrder> NextOrder(TimeMs now);
  void OnOutcome(const std::string& engine, RoleOrderOutcome outcome,
                 TimeMs now);
  /// Returns the accepted changes that ended since the last call.
  [[nodiscard]] std::vector<RoleChangeEnd> TakeEnded();
  /// Whether the split deviates so far that an order may follow.
  [[nodiscard]] bool Deviates() const noexcept;
  [[nodiscard]] RoleSplit Split() const noexcept;
  /// Initial share of prefill engines in thousandths; 0 when none was seen.
  [[nodiscard]] std::int64_t InitialPrefillPermille() const noexcept;
  /// Sets the initial share that an earlier owner of the cell has seen, in
  /// place of the share that was found here.
  void SetInitialPrefillPermille(std::int64_t permille) noexcept;

 private:
  enum class Change {
    kNone,
    kSent,     ///< Ordered, without an outcome so far.
    kRunning,  ///< The order was accepted.
    kUnknown,  ///< It may be changing its role.
  };
  struct EngineState {
    RoleEngine latest;
    bool present = false;
    std::optional<TimeMs> observed_since;
    Change change = Change::kNone;
    PoolRole ordered_role = PoolRole::kMixed;
    std::optional<TimeMs> ordered_at;
  };

  /// Role that an engine has, or is taken to get.
  [[nodiscard]] static PoolRole ExpectedRole(const EngineState& engine);
  /// Ends a change that is announced or has timed out.
  void UpdateChange(EngineState& engine, TimeMs now);
  /// Number of prefill engines at which both phases are equally close to their
  /// targets, within the limits.
  [[nodiscard]] std::int64_t WantedPrefill(const RoleDemand& demand,
                                           std::int64_t engines) const;
  [[nodiscard]] std::int64_t MinPrefill(std::int64_t engines) const;
  /// Whether an engine may be ordered to change from a role now.
  [[nodiscard]] bool MayOrder(const EngineState& engine, PoolRole from,
                              TimeMs now) const;

  RolePlannerSettings settings;
  std::map<std::string, EngineState, std::less<>> engines;  ///< Keyed by id.
  RoleDemand demand;
  RoleSplit split;
  /// Since when the split has deviated in the present direction.
  std::optional<TimeMs> deviates_since;
  std::int64_t deviation = 0;  ///< Prefill engines above the wanted number.
  std::int64_t initial_permille = 0;
  bool initial_known = false;
  std::vector<RoleChangeEnd> ended;
};

}  // namespace limpethaven
