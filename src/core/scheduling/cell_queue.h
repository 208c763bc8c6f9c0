/// @file
/// The requests that wait in a cell, and the rules of their order and refusal.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/scheduling/cell_engines.h"
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
  /// Expected time to serve the queued work, without `excluded_token_ms`. 0 if
  /// no decode engine is usable.
  [[nodiscard]] DurationMs ExpectedWaitMs(double excluded_token_ms = 0) const;
  [[nodiscard]] std::size_t Size() const noexcept;

 private:
  void Push(const std::string& id, const WaitingRow& row);
  /// Removes the row of a request that is in no queue any more.
  WaitingRow TakeRow(const std::string& id);
  [[nodiscard]] std::optional<ReadyRequest> PopFirst(FairQueue& queue,
                                                     TimeMs now);
  void RemoveFromQueues(const std::string& id);
  [[nodiscard]] RefuseCommand Refusal(const std::string& request_id,
                                      ErrorKind kind, std::string message,
                                      DurationMs retry_after_ms) const;

  CellSettings settings;
  CellEngines& engines;
  std::unordered_map<std::string, WaitingRow> waiting;
  std::map<std::int64_t, FairQueue> on_time_queues;  ///< Keyed by priority.
  FairQueue late_queue;  ///< Requests that can no longer meet their target.
  /// Sum of `WaitingRow::token_ms` over the waiting requests.
  double queued_token_ms = 0;
  std::vector<std::string> submitted_since_shed;  ///< Request ids.
};

}  // namespace limpethaven
