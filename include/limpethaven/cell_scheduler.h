/// @file
/// Scheduler of one cell, a group of at most about 64 engines: keeps the queue
/// of requests and the ledger of memory reserved on the engines.
///
/// Decode memory is reserved before prefill starts, so that no prefill is
/// wasted because no decode engine can take its result. The memory that an
/// engine will need is forecast from the progress and the expected length of
/// its generations. A reservation is a lease that the entry process renews;
/// when it expires, the request is cancelled on the engine. Engine reports
/// arrive late; they add to the ledger the memory that engines hold without a
/// reservation.
///
/// Under overload, when for some seconds the generations need more memory than
/// the engines have, requests that can still meet their first-token target are
/// served first: by priority, then with a fair share for each team, and short
/// requests first within a team. Requests that missed the target are served
/// after them until their callers time out. A new request is placed at the next
/// `Tick` if engines are available; otherwise it is refused there if its
/// expected wait is longer than it may wait.
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
#include "limpethaven/role_planner.h"

namespace limpethaven {

/// Settings of a cell scheduler.
struct CellSettings {
  /// Lease of a reservation; it expires unless it is renewed within this time.
  DurationMs lease_ms = 3000;
  /// A request that the engine holds without an open stream, and that this
  /// scheduler did not place, is cancelled after this time.
  DurationMs orphan_grace_ms = 3000;
  /// An engine that is new to the cell gets no generations for this time.
  /// Another cell, or an earlier owner of this one, may have filled it; the
  /// entry processes renew what they run there within it.
  DurationMs settle_ms = 0;
  /// Interval at which a cancel is repeated until the engine confirms it, for
  /// at most 60 s.
  DurationMs cancel_retry_ms = 300;
  /// A prefill engine gets no further prompt while its queued work takes longer
  /// than this.
  DurationMs max_prefill_backlog_ms = 60;
  /// Initial estimate of the prefill time per token; corrected by measurements.
  double prefill_ms_per_token = 0.036;
  /// Initial estimate of the fixed part of the prefill time, which does not
  /// depend on the number of tokens; corrected by measurements.
  DurationMs prefill_latency_ms = 100;
  /// Prefill time at a decode engine as a multiple of the time at a prefill
  /// engine.
  double local_prefill_slowdown = 3.0;
  /// Whether decode engines prefill prompts themselves when the prefill engines
  /// are overloaded or unavailable.
  bool allow_local_prefill = false;
  /// Whether memory is reserved for the maximum output of a generation, for
  /// engines that cannot preempt it. Otherwise it is reserved for the expected
  /// output.
  bool reserve_maximum = true;
  /// Initial estimate of the decode rate of one generation; corrected by
  /// measurements.
  double decode_tokens_per_ms = 0.1;
  /// Ratio of an engine's memory that placements may use; the rest is headroom
  /// for generations that exceed their forecast. An engine without generations
  /// may be filled completely.
  double planned_memory_ratio = 1.0;
  /// Engines allocate generation memory in blocks of this many tokens.
  Tokens block_tokens = kTokensPerPiece;
  /// Penalty on a decode engine in another data centre: it is chosen as if this
  /// ratio of its memory were used in addition.
  double cross_data_centre_penalty_ratio = 0.05;
  /// Assumed capacity of a prefill engine's prefix cache, in prefix blocks of
  /// `kTokensPerPiece` tokens.
  std::size_t cache_blocks = 512;
  /// Most requests that may wait; further ones are refused.
  std::size_t max_queue = 4096;
  /// Cool-down of an engine that refused a request for lack of memory or for
  /// its load; it gets no new requests until it ends. Each further refusal
  /// without a success between doubles it.
  DurationMs refusal_cooldown_ms = 150;
  DurationMs max_refusal_cooldown_ms = 4800;
  /// Whether a request that missed its first-token target, or would miss it at
  /// any engine, starts only while none that can meet its target waits for the
  /// same engines. Each less urgent priority then gets at least 5% of the
  /// starts while it has requests that can meet their targets.
  bool late_after_on_time = false;
  /// Whether new requests are refused by the rate at which memory was freed in
  /// the last seconds, instead of an estimate from the engines' memory.
  bool refuse_by_drain_rate = false;
  friend auto operator<=>(const CellSettings&, const CellSettings&) = default;
};

/// An engine of the cell.
struct CellEngine {
  std::string id;  ///< Unique in the cell; the address if it has no name.
  std::string data_centre;
  PoolRole role = PoolRole::kMixed;
  Tokens memory = 0;          ///< Capacity of its KV memory in tokens.
  std::int64_t slots = 1024;  ///< Most generations that it runs at once.
  bool leaving = false;       ///< It takes no new work.
  friend auto operator<=>(const CellEngine&, const CellEngine&) = default;
};

/// A request for a decode engine, memory on it, and a prefill engine.
struct PlacementRequest {
  std::string request_id;
  std::string team;
  std::int64_t weight = 1;    ///< Weight of the team in the fair queue.
  std::int64_t priority = 0;  ///< Lower values are served first.
  std::string data_centre;    ///< Data centre of the caller's entry process.
  /// Tokens of the prompt and of the output that earlier attempts produced.
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;       ///< Most tokens that it may still produce.
  std::optional<Tokens> hint;  ///< The caller's estimate of the output length.
  /// Chained hashes of the prompt's leading blocks, from `PrefixBlockHashes`.
  std::vector<std::uint64_t> prefix;
  DurationMs budget_ms = 0;  ///< Time left until the first token is due.
  /// Time left until the caller times out. A request that missed its
  /// first-token target is served until then. With 0 it is refused as soon as
  /// it can no longer meet the target; other values below `budget_ms` count as
  /// `budget_ms`.
  DurationMs patience_ms = 0;
  /// The decode engine prefills the prompt itself, also where
  /// `CellSettings::allow_local_prefill` is off.
  bool force_local_prefill = false;
  /// Whether a prefill engine still holds the KV cache of the prompt, so that
  /// only a decode engine is needed.
  bool prefilled = false;
  /// Engines that failed this request in earlier attempts, or that want no
  /// request from its entry process.
  std::vector<std::string> excluded;
  friend auto operator<=>(const PlacementRequest&,
                          const PlacementRequest&) = default;
};

/// The engines and the memory that a request was given.
struct Placement {
  /// Unique id; also identifies the attempt on the engines.
  std::string reservation;
  std::string prefill;  ///< Empty if the decode engine prefills the prompt.
  std::string decode;
  /// Second-best prefill engine, for the event log; empty if there was none.
  std::string runner_up;
  Tokens tokens = 0;  ///< Memory reserved on the decode engine.
  /// Prompt tokens expected in the prefix cache of the prefill engine.
  Tokens cached_tokens = 0;
  DurationMs queued_ms = 0;
  DurationMs lease_ms = 0;  ///< Time within which it must be renewed.
  std::string reason;       ///< Explanation of the choice for the event log.
  /// Whether the first token is expected before it is due. This and the members
  /// below are for the event log and are not sent to the entry process.
  bool on_time = true;
  /// Time since an answer, a report or a notice last told something about the
  /// engine that prefills the prompt; -1 if nothing has been heard of it.
  DurationMs report_age_ms = -1;
  /// Prompts placed on that engine before and not reported done.
  std::int64_t outstanding = 0;
  friend auto operator<=>(const Placement&, const Placement&) = default;
};

std::ostream& operator<<(std::ostream& out, const Placement& placement);

/// Sends the placement to the entry process that waits for it.
struct PlaceCommand {
  std::string request_id;
  Placement placement;
};
/// Refuses the request of a waiting entry process.
struct RefuseCommand {
  std::string request_id;
  Error error;
  DurationMs estimate_ms = 0;  ///< Expected wait for an engine.
  DurationMs allowed_ms = 0;   ///< Time that the request could wait at most.
  /// Rate of freed memory that the estimate follows from; 0 if it follows from
  /// the memory of the engines.
  double drain_tokens_per_ms = 0;
};
/// Cancels a request on an engine, which frees its memory.
struct CancelCommand {
  std::string engine;
  std::string request_id;
  std::string reservation;  ///< Also identifies the attempt on the engine.
  /// Whether the engine reported the request and this scheduler knows no
  /// reservation for it; otherwise a reservation expired or was withdrawn.
  bool orphan = false;
};
using CellCommand = std::variant<PlaceCommand, RefuseCommand, CancelCommand>;

/// Snapshot of the scheduler's state of one engine.
struct EngineView {
  std::string id;
  PoolRole role = PoolRole::kMixed;
  Tokens memory = 0;
  Tokens peak = 0;  ///< Forecast of its peak memory usage.
  std::int64_t generations = 0;
  DurationMs backlog_ms = 0;  ///< Duration of its queued prefill work.
  bool usable = false;
  bool changing_role = false;  ///< See `CellScheduler::BeginRoleChange`.
};

/// Load of a cell, exchanged so that requests can move to a less loaded cell.
struct CellLoad {
  std::int64_t waiting = 0;  ///< Requests in its queue.
  /// Expected time to serve the queued work; also 0 if no decode engine is
  /// usable.
  DurationMs wait_ms = 0;
  /// Decode memory that the forecast leaves free.
  Tokens headroom_tokens = 0;
  friend auto operator<=>(const CellLoad&, const CellLoad&) = default;
};

/// Renewal of a reservation's lease, with enough state to adopt the reservation
/// if the scheduler does not have it.
struct Renewal {
  std::string reservation;
  std::string request_id;
  std::string engine;  ///< The decode engine.
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;
  Tokens expected = 0;  ///< Output tokens expected at placement.
  Tokens produced = 0;  ///< Output tokens so far; 0 during prefill.
  friend auto operator<=>(const Renewal&, const Renewal&) = default;
};

/// Scheduler of one cell. Not thread safe; does no I/O and reads no clock.
class CellScheduler {
 public:
  /// @param owner Prefix of reservation ids, unique to this start of the
  /// process.
  CellScheduler(std::string cell_name, std::string owner,
                CellSettings settings = {});
  ~CellScheduler();
  CellScheduler(CellScheduler&&) noexcept;
  CellScheduler& operator=(CellScheduler&&) noexcept;
  CellScheduler(const CellScheduler&) = delete;
  CellScheduler& operator=(const CellScheduler&) = delete;

  /// Sets the cell's engines. An engine that is no longer listed gets no new
  /// work. It is removed by this call, or by the first later one at which it
  /// has neither reservations nor running prefills.
  void Configure(const std::vector<CellEngine>& engines, TimeMs now);
  /// Changes `CellSettings::late_after_on_time` and
  /// `CellSettings::refuse_by_drain_rate`. Requests that wait keep their
  /// places.
  void SetRules(bool late_after_on_time, bool refuse_by_drain_rate);
  /// Queues a request. A later `Tick` returns a `PlaceCommand` or
  /// `RefuseCommand` for it, unless it is withdrawn first.
  void Submit(PlacementRequest request, TimeMs now);
  /// Withdraws a request whose caller disconnected: removes it from the queue,
  /// or ends its reservation and cancels it on the engine.
  void Withdraw(std::string_view request_id, TimeMs now);
  /// Extends leases. An unknown reservation is adopted from its renewal, so
  /// that a new owner of the cell accounts for what the previous owner placed.
  /// A reservation that ended within the last 10 s is not adopted again.
  void Renew(const std::vector<Renewal>& renewals, TimeMs now);
  /// Records that the prefill of a reservation has succeeded, which also counts
  /// for the health of its engine.
  /// @param measured_ms Time from sending the prompt to the engine's answer,
  /// queueing at the engine included.
  void PrefillDone(std::string_view reservation, DurationMs measured_ms,
                   TimeMs now);
  /// Ends a reservation whose memory the engine has freed already, because the
  /// answer is complete or the attempt failed.
  /// @param produced Output tokens of a complete answer; 0 otherwise.
  void Finish(std::string_view reservation, Tokens produced, TimeMs now);
  /// Removes a reservation that another cell accounts for from now on. Unlike
  /// an ended one it can be adopted again.
  void Forget(std::string_view reservation, TimeMs now);
  /// Counts a failed request against the engine's health.
  void EngineFailed(std::string_view engine, TimeMs now);
  /// Counts a failed connection against the engine's health, for more than a
  /// failed request: the engine is down, unless the entry process is cut off.
  void EngineUnreachable(std::string_view engine, TimeMs now);
  /// Counts a served request for the engine's health.
  void EngineServed(std::string_view engine, TimeMs now);
  /// Starts the cool-down of an engine that refused a request which was placed
  /// there, for lack of memory or for its load.
  void EngineFull(std::string_view engine, TimeMs now);
  /// Counts a failed fetch of KV memory from the prefill engine that holds it.
  /// Repeated failures exclude the engine from prefill for a while.
  void KvFetchFailed(std::string_view engine, TimeMs now);
  /// Counts a successful fetch of KV memory from the prefill engine that held
  /// it.
  void KvFetchSucceeded(std::string_view engine, TimeMs now);
  /// Sets the requests a second that an engine takes, prefills and generations
  /// together; empty when it names no limit any more.
  /// @param age_ms Time since the engine named it. A limit older than the one
  /// that is known changes nothing.
  void LimitEngine(std::string_view engine, std::optional<double> max_per_s,
                   TimeMs now, DurationMs age_ms = 0);
  /// Sets the part of the engines' limits that this scheduler uses, as one
  /// `divisor`-th of each. Schedulers of the same cell that may run at the same
  /// time must together not use more than a limit.
  void SetLimitDivisor(std::int64_t divisor, TimeMs now);
  /// Gives an engine no new prefills and generations until another role of it
  /// is configured, but at most until `until`. What it runs ends normally.
  void BeginRoleChange(std::string_view engine, TimeMs until);
  /// Stops repeating a cancel, because the engine confirmed it or no longer has
  /// the request.
  void CancelDone(std::string_view reservation);
  /// Corrects the ledger by an engine's report of the requests that it holds,
  /// and cancels orphans among them.
  void Report(std::string_view engine, const EngineLoad& load, TimeMs now);
  /// Updates the view of a prefill engine's prefix cache.
  void OnCacheEvents(std::string_view engine,
                     const std::vector<CacheEvent>& events);

  /// Expires leases, places and refuses queued requests, and returns the
  /// commands that the caller of this function must carry out.
  [[nodiscard]] std::vector<CellCommand> Tick(TimeMs now);

  [[nodiscard]] std::vector<EngineView> Engines(TimeMs now) const;
  [[nodiscard]] CellLoad Load(TimeMs now) const;
  /// State of the configured engines for role planning.
  [[nodiscard]] std::vector<RoleEngine> RoleEngines(TimeMs now) const;
  /// Demand of all requests that were submitted in the window, whether they
  /// were placed or refused.
  [[nodiscard]] RoleDemand Demand(TimeMs now);
  [[nodiscard]] std::size_t QueueLength() const noexcept;
  [[nodiscard]] std::size_t Reservations() const noexcept;
  [[nodiscard]] const std::string& Name() const noexcept;

 private:
  struct Tables;
  std::unique_ptr<Tables> tables;
};

}  // namespace limpethaven
