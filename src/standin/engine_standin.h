/// @file
/// Stand-in for a prefill or decode engine, for tests and demos. It simulates
/// continuous batching, limited memory, a prefix cache and delayed load
/// reports, and injects faults on request.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/periodic.h"
#include "limpethaven/clock.h"
#include "limpethaven/interfaces.h"
#include "standin/seen_log.h"

namespace limpethaven {

/// Settings of an engine stand-in. Memory is counted in pieces of 1,000 tokens.
struct EngineStandinSettings {
  std::string address = "127.0.0.1";
  int port = 0;  ///< 0 takes any free port.
  /// `prefill`, `decode` or `mixed`.
  std::string role = "mixed";
  std::int64_t pieces = 16;  ///< Memory for running requests.
  /// Period of decode steps. Each step generates one token for each running
  /// request.
  DurationMs step_ms = 5;
  /// Time to process a prompt token that is not in the prefix cache.
  double prefill_ms_per_token = 0.02;
  double kv_mbytes_per_token = 0.1;
  /// Rate at which KV caches are imported, one after another.
  double link_mbytes_per_s = 10'000;
  /// Time after prefill for which the KV cache can be fetched.
  DurationMs kv_ttl_ms = 900;
  /// Capacity of the prefix cache, in blocks of 1,000 tokens.
  std::size_t cache_blocks = 64;
  /// Minimum age of the load reports that are served.
  DurationMs report_lag_ms = 200;
  /// Every n-th cache event is lost; 0: none is lost.
  std::int64_t event_loss_interval = 10;
  /// Whether orders with a lower fencing token than the last are refused.
  bool checks_fencing = true;
};

/// Faults that can be injected, one at a time.
enum class EngineFault {
  kNone,
  /// Generates no tokens; open streams carry keep-alives only.
  kStall,
  /// Streams that are open when the fault is set stay open and send nothing.
  kSilent,
  /// Sends the previous token again, with its old offset, before each event but
  /// the first.
  kLate,
  /// Sends an event of another request before each event.
  kCrossed,
  /// Adds ten step periods to each decode step.
  kSlow,
  /// Refuses prefill and generate calls for lack of capacity.
  kRefuse
};

/// Text of the token at `index` of a request's answer. It depends on the
/// request id and the index alone, so that checks can tell whether an answer is
/// complete and belongs to its request, whichever engine generated it.
[[nodiscard]] std::string TokenText(std::string_view request_id,
                                    std::int64_t index);
/// Length of a request's answer in tokens. Answers to requests for more than 8
/// tokens may end before `max_tokens`, but not below half of it.
[[nodiscard]] std::int64_t AnswerLength(std::string_view request_id,
                                        std::int64_t max_tokens);
/// Text of the complete answer to a request.
[[nodiscard]] std::string AnswerText(std::string_view request_id,
                                     std::int64_t max_tokens);

/// An engine behind an HTTP server. Safe for use by several threads.
class EngineStandin {
 public:
  explicit EngineStandin(EngineStandinSettings settings);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  /// Listens and starts the decode steps. Fails when the port is taken.
  [[nodiscard]] Result<void> Start();
  void Stop();
  /// Address as `IP:port`.
  [[nodiscard]] std::string Address() const;

  /// Injects a fault in place of the current one.
  void SetFault(EngineFault fault);
  /// Closes all open streams before their last event. The attempts go on
  /// running.
  void DropStreams();
  /// Memory pieces held by attempts that have not finished.
  [[nodiscard]] std::int64_t PiecesUsed() const;
  /// Attempts started for a request so far.
  [[nodiscard]] std::int64_t AttemptCount(std::string_view request_id) const;
  /// Orders refused so far because of an old fencing token.
  [[nodiscard]] std::int64_t OrdersRefused() const;
  /// Prefill, generate and cancel requests received.
  [[nodiscard]] const SeenLog& Seen() const noexcept;

 private:
  /// A generation that runs, or finished within the retention period. Offsets
  /// are token indices in the answer.
  struct Attempt {
    std::string request_id;
    std::string attempt_id;
    std::int64_t pieces = 0;
    std::int64_t first_offset = 0;  ///< First token generated here.
    std::int64_t next_offset = 0;   ///< Next token to generate.
    std::int64_t end_offset = 0;    ///< One past the answer's last token.
    /// Number of the newest stream attached to the attempt.
    std::int64_t attachment = 0;
    bool attached = false;  ///< Whether the newest stream is open.
    bool cancelled = false;
    TimeMs started_at = 0;
    TimeMs detached_at = 0;  ///< Start, or end of the newest stream.
    TimeMs finished_at = 0;  ///< 0 until the last token is generated.
    [[nodiscard]] bool Done() const {
      return this->next_offset >= this->end_offset;
    }
  };
  // The attempt table and the open streams share ownership.
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// The KV cache of a prompt, held until it is fetched or expires.
  struct KvEntry {
    Tokens tokens = 0;
    TimeMs expires_at = 0;
  };

  void AddRoutes();
  /// Handles `POST /prefill`. Here and below, `body` is a JSON request body.
  [[nodiscard]] Result<PrefillAnswer> Prefill(const std::string& body);
  /// Starts an attempt, or finds the one to resume. Sets `offset` to the first
  /// token to send.
  [[nodiscard]] Result<AttemptPtr> StartOrResume(const std::string& body,
                                                 std::int64_t& offset);
  /// Fetches a KV cache from the prefill engine at `source`, and takes as long
  /// as the transfer would.
  [[nodiscard]] Result<void> ImportKv(const std::string& source,
                                      const std::string& handle);
  [[nodiscard]] Result<void> Cancel(const std::string& body);
  [[nodiscard]] Result<void> ApplyOrder(const std::string& body);
  /// Attaches `response` to an attempt as its newest stream.
  void Stream(const AttemptPtr& attempt, std::int64_t offset,
              httplib::Response& response);
  /// Writes the tokens from `offset` on as one event, or a keep-alive when
  /// there are none, and advances `offset`. @returns false when the stream must
  /// end.
  [[nodiscard]] bool WriteEvent(const AttemptPtr& attempt,
                                std::int64_t attachment, std::int64_t& offset,
                                httplib::DataSink& sink);
  /// The event that `kLate` or `kCrossed` sends before the one at `offset`;
  /// empty without such a fault.
  [[nodiscard]] std::string FaultyEvent(const Attempt& attempt,
                                        std::int64_t offset) const;
  /// Runs one decode step, removes expired state and writes a load report.
  void RunStep();
  void RecordCacheEvent(std::uint64_t block, bool added);
  [[nodiscard]] EngineLoad CurrentLoad() const;
  /// As `PiecesUsed`, for callers that hold `mutex`.
  [[nodiscard]] std::int64_t PiecesUsedLocked() const;

  EngineStandinSettings settings;
  SystemClock clock;
  ThreadedHttpServer server;
  HttpPool pool;
  PeriodicThread stepper;
  SeenLog seen;

  mutable std::mutex mutex;
  /// Notified when an open stream may have something to send or must end.
  std::condition_variable stream_changed;
  bool stopping = false;
  EngineFault fault = EngineFault::kNone;
  /// Attempts that run or are retained, keyed by attempt id.
  std::map<std::string, AttemptPtr, std::less<>> attempts;
  /// Times of cancels, keyed by attempt id. These attempts must not start.
  std::map<std::string, TimeMs, std::less<>> cancelled_at;
  /// Numbers of attempts started, keyed by request id.
  std::map<std::string, std::int64_t, std::less<>> attempt_counts;
  std::map<std::string, KvEntry, std::less<>> kv_entries;  ///< Keyed by handle.
  /// Block hashes of the prefix cache, most recently used last.
  std::deque<std::uint64_t> prefix_cache;
  std::deque<CacheEvent> cache_events;
  std::int64_t next_event_number = 1;
  /// Streams with lower numbers are closed.
  std::int64_t dropped_before = 0;
  /// Streams with lower numbers send nothing.
  std::int64_t silent_before = 0;
  std::int64_t next_stream_number = 1;
  /// Load reports with the times they were written, oldest first.
  std::deque<std::pair<TimeMs, EngineLoad>> load_reports;
  EngineState state;
  std::int64_t orders_refused = 0;

  std::mutex prefill_mutex;  ///< Held by the only prefill that may run.
  std::mutex import_mutex;   ///< Held by the only KV import that may run.
};

}  // namespace limpethaven
