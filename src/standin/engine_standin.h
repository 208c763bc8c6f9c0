/// @file
/// Stand-in for a prefill or decode engine: continuous batching, limited
/// memory, a prefix cache, lagging reports, and faults on command.
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

/// Settings of an engine stand-in.
struct EngineStandinSettings {
  std::string address = "127.0.0.1";
  int port = 0;
  std::string role = "mixed";
  std::int64_t pieces = 16;
  DurationMs step_ms = 5;  ///< One token for each running request.
  double prefill_ms_per_token = 0.02;
  double kv_mbytes_per_token = 0.1;
  double link_mbytes_per_s = 10'000;  ///< Import rate, shared by all imports.
  DurationMs kv_lifetime_ms =
      900;  ///< How long a prefill result can be fetched.
  std::size_t cache_blocks = 64;
  DurationMs report_lag_ms = 200;
  std::int64_t event_gap =
      10;  ///< Every n-th cache event is lost; 0 loses none.
  bool checks_fencing = true;
};

/// Faults that can be switched on.
enum class EngineFault {
  kNone,
  kStall,
  kSilent,
  kLate,
  kCrossed,
  kSlow,
  kRefuse
};

/// Text of one token of a request's answer: the same on every engine, so that
/// histories can be checked for whole and own answers.
[[nodiscard]] std::string TokenText(std::string_view request_id,
                                    std::int64_t index);
/// Tokens of a request's answer: `max_tokens`, or fewer where the answer ends
/// by itself.
[[nodiscard]] std::int64_t AnswerLength(std::string_view request_id,
                                        std::int64_t max_tokens);
/// The whole answer.
[[nodiscard]] std::string AnswerText(std::string_view request_id,
                                     std::int64_t max_tokens);

/// One engine.
class EngineStandin {
 public:
  explicit EngineStandin(EngineStandinSettings settings);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  [[nodiscard]] Result<void> Start();
  void Stop();
  [[nodiscard]] std::string Address() const;

  void SetFault(EngineFault fault);
  /// Closes every open stream, as when the machines at the other end are gone.
  void DropStreams();
  /// Pieces of memory held now.
  [[nodiscard]] std::int64_t PiecesUsed() const;
  /// Attempts started under a request id.
  [[nodiscard]] std::int64_t AttemptsOf(std::string_view request_id) const;
  [[nodiscard]] std::int64_t OrdersRefused() const;
  [[nodiscard]] const SeenLog& Seen() const noexcept;

 private:
  struct Running {
    std::string request_id;
    std::string attempt;
    std::int64_t pieces = 0;
    std::int64_t first = 0;     ///< Index of the first token generated here.
    std::int64_t produced = 0;  ///< Index behind the last token generated.
    std::int64_t length = 0;    ///< Index behind the answer's last token.
    std::int64_t attachment = 0;
    bool attached = false;
    bool cancelled = false;
    TimeMs started_at = 0;
    TimeMs detached_at = 0;
    TimeMs finished_at = 0;
    [[nodiscard]] bool Done() const { return this->produced >= this->length; }
  };
  using RunningPtr =
      std::shared_ptr<Running>;  // Shared by the table and open streams.

  struct KvEntry {
    Tokens tokens = 0;
    TimeMs expires_at = 0;
  };

  void AddRoutes();
  [[nodiscard]] Result<PrefillAnswer> Prefill(const std::string& body);
  [[nodiscard]] Result<RunningPtr> Begin(const std::string& body,
                                         std::int64_t& offset);
  [[nodiscard]] Result<void> ImportKv(const std::string& source,
                                      const std::string& handle);
  [[nodiscard]] Result<void> Cancel(const std::string& body);
  [[nodiscard]] Result<void> Order(const std::string& body);
  void Stream(const RunningPtr& running, std::int64_t offset,
              httplib::Response& response);
  [[nodiscard]] bool Write(const RunningPtr& running, std::int64_t attachment,
                           std::int64_t& offset, httplib::DataSink& sink);
  [[nodiscard]] std::string FaultyPrefix(const Running& running,
                                         std::int64_t offset) const;
  void Step();
  void RecordCacheEvent(std::uint64_t block, bool added);
  [[nodiscard]] EngineLoad LoadNow() const;
  [[nodiscard]] std::int64_t PiecesUsedLocked() const;

  EngineStandinSettings settings;
  SystemClock clock;
  ThreadedHttpServer server;
  HttpPool pool;
  PeriodicThread stepper;
  SeenLog seen;

  mutable std::mutex mutex;
  std::condition_variable progress;
  bool stopping = false;
  EngineFault fault = EngineFault::kNone;
  std::map<std::string, RunningPtr, std::less<>> running;  ///< By attempt.
  std::map<std::string, TimeMs, std::less<>>
      cancelled;  ///< Attempts that must not start.
  std::map<std::string, std::int64_t, std::less<>> attempts;
  std::map<std::string, KvEntry, std::less<>> kv;
  std::deque<std::uint64_t> cache;  ///< Most recently used last.
  std::deque<CacheEvent> events;
  std::int64_t next_event = 1;
  std::int64_t dropped_before =
      0;  ///< Streams opened before this number are closed.
  std::int64_t silent_before =
      0;  ///< Streams opened before this number stay silent.
  std::int64_t next_stream = 1;
  std::deque<std::pair<TimeMs, EngineLoad>> reports;
  EngineState state;
  std::int64_t orders_refused = 0;

  std::mutex compute;  ///< One prefill at a time.
  std::mutex link;     ///< One import at a time.
};

}  // namespace limpethaven
