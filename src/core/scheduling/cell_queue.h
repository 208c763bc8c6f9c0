/// @file
/// The requests that wait in a cell, and the rules of their order and refusal.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/scheduling/cell_engines.h"
#include "core/scheduling/drain_rate.h"
#include "limpethaven/cell_scheduler.h"
#include "limpethaven/fair_queue.h"

namespace limpethaven {

/// A queued request.
struct WaitingRow {
  PlacementRequest request;
  Tokens expected = 0;  ///< Output tokens to reserve memory for.
  /// Memory that it is expected to hold, summed over time, in tokens x
  /// milliseconds.
  double token_ms = 0;
  TimeMs submitted_at = 0;
  TimeMs first_token_due_at = 0;
  /// Latest start of its prefill that yields a first token before the caller
  /// times out; the time of submission if `patience_ms` is 0.
  TimeMs give_up_at = 0;
  bool late = false;  ///< It can no longer meet its first-token target.
  /// Whether engines were looked for and `ShedLoad` has let it wait.
  bool judged = false;
};

/// A request that left the queue, with the engines that can take it.
struct ReadyRequest {
  WaitingRow row;
  EngineChoice choice;
};

/// Queue of one cell. Not thread safe; does no I/O and reads no clock.
class CellQueue {
 public:
  /// @param cell_engines Must outlive this object.
  CellQueue(const CellSettings& cell_settings, CellEngines& cell_engines);

  /// Sets the rules, see `CellSettings`.
  void SetRules(bool late_after_on_time, bool refuse_by_drain_rate);
  /// Queues a request.
  /// @param expected Output tokens to reserve memory for.
  void Submit(PlacementRequest request, Tokens expected, TimeMs now);
  /// Removes a request, if it waits.
  void Remove(const std::string& request_id);
  /// Moves requests that can no longer meet their first-token target to the
  /// late queue, and removes those that cannot be answered before their callers
  /// time out. @returns the refusals of the latter.
  [[nodiscard]] std::vector<RefuseCommand> HandleLate(TimeMs now);
  /// Removes the requests for which engines are available, by priority, late
  /// ones last, and in fair order. `place` is called for each one before the
  /// next is chosen, and must account for it in the engines.
  void Admit(TimeMs now, const std::function<void(const ReadyRequest&)>& place);
  /// Removes requests submitted since the last call whose expected wait exceeds
  /// the time that they may wait. @returns their refusals; the callers can
  /// retry after the expected wait.
  [[nodiscard]] std::vector<RefuseCommand> ShedLoad(TimeMs now);
  /// Records that a generation has ended and its memory is free.
  void OnFreed(Tokens tokens, TimeMs now);
  /// Expected time to serve the queued work, without `excluded_token_ms`. 0 if
  /// no decode engine is usable.
  [[nodiscard]] DurationMs ExpectedWaitMs(double excluded_token_ms = 0) const;
  [[nodiscard]] std::size_t Size() const noexcept;

 private:
  /// The requests of one priority that can meet their first-token targets.
  struct OnTimeQueue {
    FairQueue queue;
    /// Starts of more urgent priorities since the last start of this one,
    /// times the part of the starts that is due to it.
    double credit = 0;
    /// Starts since the one that was due first went first.
    std::int64_t starts = 0;
    /// Searches that the request which was due first has held up.
    std::int64_t holds = 0;
  };
  /// A refused request whose caller was told when to come back.
  struct ExpectedReturn {
    TimeMs at = 0;
    std::int64_t priority = 0;
    std::string team;
    Tokens tokens = 0;
  };
  /// Demand of a team at one priority.
  struct Demand {
    DrainRate rate;
    std::int64_t weight = 1;
  };

  void Push(const std::string& id, const WaitingRow& row);
  /// Marks a request that is in no queue as late and queues it as such.
  void PushLate(const std::string& id);
  /// Removes the row of a request that is in no queue any more.
  WaitingRow TakeRow(const std::string& id);
  [[nodiscard]] std::optional<ReadyRequest> PopFirst(FairQueue& queue,
                                                     TimeMs now);
  /// Admits late requests only if none that can be on time waits.
  void AdmitOnTimeFirst(TimeMs now,
                        const std::function<void(const ReadyRequest&)>& place);
  /// As `PopFirst`, but moves requests that would be late at any engine to the
  /// late queue.
  [[nodiscard]] std::optional<ReadyRequest> PopOnTime(OnTimeQueue& on_time,
                                                      TimeMs now);
  void CountStart(std::int64_t priority);
  /// Whether the only request of its priority is the next to start, because its
  /// priority has had less than its part of the starts.
  [[nodiscard]] bool IsOwedStart(const PlacementRequest& request) const;
  /// Whether a request that can be on time waits for engines that late requests
  /// would use.
  [[nodiscard]] bool OnTimeWaits() const;
  /// Rate at which memory becomes free for a team at one priority: what more
  /// urgent priorities and other teams do not ask for, and at least its share.
  [[nodiscard]] double RateFor(const PlacementRequest& request, TimeMs now);
  /// Time until the memory is freed that the requests ahead of a new one of
  /// this priority and team need, and `tokens` more.
  [[nodiscard]] DurationMs WaitFor(const PlacementRequest& request,
                                   Tokens tokens, TimeMs now);
  /// Tokens of the requests that can be on time, of priorities below
  /// `priority`.
  [[nodiscard]] Tokens MoreUrgentWork(std::int64_t priority) const;
  /// Time until a late request would start, behind all that can be on time and
  /// all that are late already; nothing if new requests use all memory that is
  /// freed.
  [[nodiscard]] std::optional<DurationMs> LateWaitMs(Tokens tokens, TimeMs now);
  /// Whether a late request would start before its caller times out.
  [[nodiscard]] bool StartsLate(const WaitingRow& row, TimeMs now);
  /// Decides on a new request by the rate of freed memory: it waits, it waits
  /// as a late one, or it is refused.
  [[nodiscard]] std::optional<RefuseCommand> JudgeByDrainRate(
      const std::string& id, TimeMs now);
  /// Time after which the caller of a refused request can return: when the work
  /// ahead is done, and not before those of its team and priority that were
  /// refused earlier. Enters it among the expected returns.
  [[nodiscard]] DurationMs RetryAfterMs(const WaitingRow& row, TimeMs now);
  void RemoveFromQueues(const std::string& id);
  [[nodiscard]] RefuseCommand Refusal(const std::string& request_id,
                                      ErrorKind kind, std::string message,
                                      DurationMs retry_after_ms) const;

  CellSettings settings;
  CellEngines& engines;
  std::unordered_map<std::string, WaitingRow> waiting;
  std::map<std::int64_t, OnTimeQueue> on_time_queues;  ///< Keyed by priority.
  FairQueue late_queue;  ///< Requests that can no longer meet their target.
  /// Late requests that will hardly begin before their callers time out; used
  /// where `CellSettings::late_after_on_time` is set.
  FairQueue last_queue;
  DrainRate drain;
  /// Demand by priority and team.
  std::map<std::pair<std::int64_t, std::string>, Demand> demands;
  std::deque<ExpectedReturn> returns;
  /// Sum of `WaitingRow::token_ms` over the waiting requests.
  double queued_token_ms = 0;
  std::vector<std::string> submitted_since_shed;  ///< Request ids.
};

}  // namespace limpethaven
