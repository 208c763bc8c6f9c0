/// @file
/// Scheduler of one cell: the queue, and the ledger of engine memory, of at
/// most ~64 engines.
///
/// Decode memory is reserved before prefill is started, so that no prefill is
/// wasted for want of memory. A reservation is a lease that the entry renews;
/// when it lapses, the engine is told to cancel. The ledger corrects itself
/// from the engines' lagging reports.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_health.h"
#include "limpethaven/error.h"
#include "limpethaven/fair_queue.h"
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
      40;  ///< Prefill is started only behind less queued work.
  double prefill_ms_per_token =
      0.02;  ///< First estimate; learned from then on.
  double kv_mbytes_per_token =
      0.1;  ///< Size of the KV cache that is moved to the decoder.
  std::size_t cache_blocks =
      512;  ///< Prefix blocks assumed to fit one prefill engine.
  std::size_t max_queue = 4096;  ///< Requests waiting; more are refused.
};

/// An engine of the cell.
struct CellEngine {
  std::string address;
  std::string data_centre;
  PoolRole role = PoolRole::kMixed;
  std::int64_t pieces = 0;
  bool leaving = false;
  friend auto operator<=>(const CellEngine&, const CellEngine&) = default;
};

/// A request for a prefill engine, a decode engine and memory.
struct PlacementRequest {
  std::string request_id;
  std::string team;
  std::int64_t weight = 1;
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;
  std::vector<std::uint64_t>
      prefix;                ///< Chained hashes of the prompt's leading blocks.
  DurationMs budget_ms = 0;  ///< Time left to the first token.
  bool serve_late = false;
  std::vector<std::string>
      excluded;  ///< Engines that failed this request before.
  friend auto operator<=>(const PlacementRequest&,
                          const PlacementRequest&) = default;
};

/// A decision: where a request goes.
struct Placement {
  std::string
      reservation;  ///< Unique; also the attempt's nonce on the engines.
  std::string prefill;
  std::string decode;
  std::string
      runner_up;  ///< Second-best prefill engine; empty when there was none.
  std::int64_t pieces = 0;
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
  std::string address;
  PoolRole role = PoolRole::kMixed;
  std::int64_t pieces = 0;
  std::int64_t reserved = 0;
  DurationMs backlog_ms = 0;
  bool usable = false;
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
  struct Renewal {
    std::string reservation;
    std::string request_id;
    std::string engine;
    std::int64_t pieces = 0;
    friend auto operator<=>(const Renewal&, const Renewal&) = default;
  };
  void Renew(const std::vector<Renewal>& renewals, TimeMs now);
  /// Prefill has ended. @param measured_ms Time the engine took.
  void PrefillDone(std::string_view reservation, DurationMs measured_ms,
                   TimeMs now);
  /// The answer is complete, or the attempt failed: memory on the engine is
  /// free already.
  void Finish(std::string_view reservation, TimeMs now);
  /// An engine failed a request.
  void EngineFailed(std::string_view address, TimeMs now);
  /// An engine served a request.
  void EngineServed(std::string_view address, TimeMs now);
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
  [[nodiscard]] std::size_t QueueLength() const noexcept;
  [[nodiscard]] std::size_t Reservations() const noexcept;
  [[nodiscard]] const std::string& Name() const noexcept;

 private:
  struct Tables;
  std::unique_ptr<Tables> tables;
};

}  // namespace limpethaven
