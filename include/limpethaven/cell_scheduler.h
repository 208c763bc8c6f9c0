/// @file
/// Scheduler of one cell: the queue, and the ledger of engine memory, of at
/// most ~64 engines.
///
/// Decode memory is reserved before prefill is started, so that no prefill is
/// wasted for want of memory. What an engine will hold is forecast from how far
/// its generations have come and how long they are expected to be. A
/// reservation is a lease that the entry renews; when it lapses, the engine is
/// told to cancel. The ledger corrects itself from the engines' lagging
/// reports.
///
/// Load it answers: more generations than memory holds for some seconds. Those
/// that can still meet their objective go first, short ones before long ones;
/// those that cannot are served behind them while their callers wait; those
/// that could not be served in time are refused when they come.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"
#include "limpethaven/error.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Settings of a cell scheduler.
struct CellSettings {
  DurationMs lease_ms = 3000;  ///< A reservation not renewed this long lapses.
  DurationMs orphan_grace_ms =
      3000;  ///< Unknown detached work older than this is cancelled.
  DurationMs cancel_retry_ms =
      300;  ///< Cancels are repeated until the engine agrees.
  DurationMs max_prefill_backlog_ms =
      60;  ///< Prefill is started only behind less queued work.
  double prefill_ms_per_token =
      0.036;  ///< First estimate; learned from then on.
  DurationMs prefill_latency_ms = 100;  ///< The same, apart from the tokens.
  /// A decode engine that reads a prompt itself takes this many times as long.
  double local_prefill_slowdown = 3.0;
  /// Whether decode engines read prompts themselves when prefill engines are
  /// too busy or gone.
  bool allow_local_prefill = false;
  /// Whether memory is reserved for the most that a generation may produce:
  /// for engines that cannot take it back. Otherwise for what is expected.
  bool reserve_maximum = true;
  double pace_tokens_per_ms = 0.1;  ///< First estimate of one generation's.
  /// Part of an engine's memory that is planned with; the rest covers
  /// generations that outrun their estimates.
  double planned_memory_ratio = 1.0;
  Tokens block_tokens = kTokensPerPiece;  ///< Memory goes by blocks of these.
  double far_cost = 0.05;  ///< Of a decode engine in another data centre, in
                           ///< parts of its memory.
  std::size_t cache_blocks =
      512;  ///< Prefix blocks assumed to fit one prefill engine.
  std::size_t max_queue = 4096;  ///< Requests waiting; more are refused.
  DurationMs full_ms = 150;  ///< An engine that refused for want of memory gets
                             ///< nothing for this long.
};

/// An engine of the cell.
struct CellEngine {
  std::string id;  ///< Unique in the cell; where it has no name, its address.
  std::string data_centre;
  PoolRole role = PoolRole::kMixed;
  Tokens memory = 0;          ///< Tokens that it holds.
  std::int64_t slots = 1024;  ///< Generations that it runs at once.
  bool leaving = false;
  friend auto operator<=>(const CellEngine&, const CellEngine&) = default;
};

/// A request for a prefill engine, a decode engine and memory.
struct PlacementRequest {
  std::string request_id;
  std::string team;
  std::int64_t weight = 1;
  std::int64_t priority = 0;   ///< Rank, 0 first.
  std::string data_centre;     ///< Where its answer goes.
  Tokens prompt_tokens = 0;    ///< With what was generated already.
  Tokens max_tokens = 0;       ///< Most that it may produce.
  std::optional<Tokens> hint;  ///< The caller's estimate of what it produces.
  std::vector<std::uint64_t>
      prefix;                ///< Chained hashes of the prompt's leading blocks.
  DurationMs budget_ms = 0;  ///< Time left to the first token.
  /// Time left until the caller gives up; requests that missed their objective
  /// are served until then. 0: they are refused.
  DurationMs patience_ms = 0;
  bool force_local_prefill =
      false;  ///< The decode engine reads the prompt in any case.
  std::vector<std::string>
      excluded;  ///< Engines that failed this request before.
  friend auto operator<=>(const PlacementRequest&,
                          const PlacementRequest&) = default;
};

/// A decision: where a request goes.
struct Placement {
  std::string
      reservation;      ///< Unique; also the attempt's nonce on the engines.
  std::string prefill;  ///< Empty: the decode engine reads the prompt.
  std::string decode;
  std::string
      runner_up;  ///< Second-best prefill engine; empty when there was none.
  Tokens tokens = 0;  ///< Memory reserved at the decode engine.
  Tokens cached_tokens = 0;
  DurationMs queued_ms = 0;
  DurationMs lease_ms = 0;
  std::string reason;
  friend auto operator<=>(const Placement&, const Placement&) = default;
};

std::ostream& operator<<(std::ostream& out, const Placement& placement);

/// Tells the waiting entry its placement.
struct PlaceCommand {
  std::string request_id;
  Placement placement;
};
/// Tells the waiting entry that the request is refused.
struct RefuseCommand {
  std::string request_id;
  Error error;
};
/// Tells an engine to free a request.
struct CancelCommand {
  std::string engine;
  std::string request_id;
  std::string reservation;  ///< Also the attempt's nonce on the engine.
  bool orphan =
      false;  ///< True: the engine held it, this scheduler never placed it.
};
using CellCommand = std::variant<PlaceCommand, RefuseCommand, CancelCommand>;

/// State of one engine as the scheduler sees it.
struct EngineView {
  std::string id;
  PoolRole role = PoolRole::kMixed;
  Tokens memory = 0;
  Tokens peak = 0;  ///< Forecast of the most that it will hold.
  std::int64_t generations = 0;
  DurationMs backlog_ms = 0;
  bool usable = false;
};

/// How much work a cell has, for requests that may go to another.
struct CellLoad {
  std::int64_t waiting = 0;    ///< Requests in its queue.
  DurationMs wait_ms = 0;      ///< Until queued work has had its turn.
  Tokens headroom_tokens = 0;  ///< Memory that nothing is forecast to need.
  friend auto operator<=>(const CellLoad&, const CellLoad&) = default;
};

/// What an entry says of a reservation that it uses.
struct Renewal {
  std::string reservation;
  std::string request_id;
  std::string engine;
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;
  Tokens expected = 0;  ///< Tokens that it was expected to produce.
  Tokens produced = 0;  ///< 0 while its prompt is read.
  friend auto operator<=>(const Renewal&, const Renewal&) = default;
};

/// Scheduler of one cell. Not thread safe; no I/O, no clock.
class CellScheduler {
 public:
  /// @param owner Text unique to this process start; reservation ids begin with
  /// it.
  CellScheduler(std::string cell_name, std::string owner,
                CellSettings settings = {});
  ~CellScheduler();
  CellScheduler(CellScheduler&&) noexcept;
  CellScheduler& operator=(CellScheduler&&) noexcept;
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  /// Sets the cell's engines. Those left out get no new work; their
  /// reservations run out.
  void Configure(const std::vector<CellEngine>& engines, TimeMs now);
  /// Queues a request. `Tick` answers it with a `PlaceCommand` or
  /// `RefuseCommand`.
  void Submit(PlacementRequest request, TimeMs now);
  /// The caller is gone: forgets the request, or frees its reservation.
  void Withdraw(std::string_view request_id, TimeMs now);
  /// Extends leases. An unknown reservation is adopted from what the entry
  /// says, so that a new owner of the cell learns what it did not place.
  void Renew(const std::vector<Renewal>& renewals, TimeMs now);
  /// Prefill has ended. @param measured_ms Time the engine took.
  void PrefillDone(std::string_view reservation, DurationMs measured_ms,
                   TimeMs now);
  /// The answer is complete, or the attempt failed: memory on the engine is
  /// free already. @param produced Tokens of a complete answer; 0 otherwise.
  void Finish(std::string_view reservation, Tokens produced, TimeMs now);
  /// An engine failed a request.
  void EngineFailed(std::string_view engine, TimeMs now);
  /// An engine served a request.
  void EngineServed(std::string_view engine, TimeMs now);
  /// An engine had no memory for a request that was placed there.
  void EngineFull(std::string_view engine, TimeMs now);
  /// Memory that an engine had prefilled could not be fetched.
  void KvFetchFailed(std::string_view engine, TimeMs now);
  /// Memory that an engine had prefilled was fetched.
  void KvFetchSucceeded(std::string_view engine, TimeMs now);
  /// An engine agreed to a cancel, or no longer knows the request.
  void CancelDone(std::string_view reservation);
  /// Takes in a lagging report.
  void Report(std::string_view engine, const EngineLoad& load, TimeMs now);
  /// Takes in cache events of a prefill engine.
  void OnCacheEvents(std::string_view engine,
                     const std::vector<CacheEvent>& events);

  /// Runs every system once and returns what must be done.
  [[nodiscard]] std::vector<CellCommand> Tick(TimeMs now);

  [[nodiscard]] std::vector<EngineView> Engines(TimeMs now) const;
  [[nodiscard]] CellLoad Load(TimeMs now) const;
  [[nodiscard]] std::size_t QueueLength() const noexcept;
  [[nodiscard]] std::size_t Reservations() const noexcept;
  [[nodiscard]] const std::string& Name() const noexcept;

 private:
  struct Tables;
  std::unique_ptr<Tables> tables;
};

}  // namespace limpethaven
