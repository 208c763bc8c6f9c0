/// @file
/// Serves one completion: placement, prefill, and a stream that survives broken
/// connections and engines.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry/active_requests.h"
#include "entry/cell_service.h"
#include "entry/completion_request.h"
#include "entry/departures.h"
#include "entry/metrics.h"
#include "entry/share_service.h"
#include "limpethaven/interfaces.h"
#include "limpethaven/resume_token.h"
#include "limpethaven/retry_budget.h"
#include "limpethaven/stream_guard.h"

namespace limpethaven {

/// What sessions need from the process.
struct SessionContext {
  CellService& cells;
  EngineClient& engines;
  ShareService& shares;
  ActiveRequests& active;
  Departures& departures;
  EntryMetrics& metrics;
  const Clock& clock;
  std::string fleet_secret;
  std::mutex& retry_mutex;
  RetryBudget& retry_budget;
};

/// Receives the answer as it grows. Either call returns false once the caller
/// is gone.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// @param resume_id Names the point behind `text`.
  [[nodiscard]] virtual bool OnText(std::string_view text,
                                    std::string_view resume_id) = 0;
  [[nodiscard]] virtual bool OnKeepAlive() = 0;
};

/// What a session serves.
struct SessionRequest {
  ActiveRequests::Ptr active;
  CompletionRequest completion;
  std::int64_t weight = 1;
  DurationMs first_token_ms = 0;
  bool serve_late = false;
  Tokens charged = 0;
};

/// One completion. Used by one thread at a time.
class CompletionSession final : private StreamObserver {
 public:
  CompletionSession(SessionContext& context, SessionRequest request);
  ~CompletionSession() override;
  CompletionSession(const CompletionSession&) = delete;
  CompletionSession& operator=(const CompletionSession&) = delete;

  /// Finds engines and reads the prompt. An error with `ran` `kNo` left nothing
  /// behind.
  [[nodiscard]] Result<void> Prepare();
  /// Goes on with an answer that another process, or an earlier connection,
  /// began.
  [[nodiscard]] Result<void> Attach(const ResumeToken& token);
  /// Delivers the answer. Success means it was delivered whole.
  [[nodiscard]] Result<void> Deliver(AnswerSink& answer_sink);
  /// Tokens delivered so far, counted from the start of the answer.
  [[nodiscard]] std::int64_t Delivered() const noexcept;
  [[nodiscard]] Tokens PromptTokens() const noexcept;
  [[nodiscard]] const std::string& Id() const noexcept;
  [[nodiscard]] const std::string& Model() const noexcept;

 private:
  /// Why the observer stopped the stream.
  enum class Stop { kNone, kCut, kCallerGone, kGap, kStalled, kSuperseded };

  [[nodiscard]] bool OnEvent(const StreamEvent& event) override;
  [[nodiscard]] bool OnIdle() override;

  [[nodiscard]] Result<void> PlaceAndPrefill();
  [[nodiscard]] Result<void> Prefill(const std::string& prompt);
  void Adopt(const PlacedRequest& placed);
  [[nodiscard]] GenerateCall NextCall() const;
  /// Prepares the next connection after one that did not end the answer.
  [[nodiscard]] Result<void> Recover(const Result<void>& outcome);
  [[nodiscard]] Result<void> Move(std::string_view why);
  [[nodiscard]] bool TakeRetry();
  void Abandon();
  void EndWhole();
  [[nodiscard]] Error EndCut();
  [[nodiscard]] Error EndGone();
  [[nodiscard]] Error EndBroken(Error error);
  void Notify(NoticeKind kind, const std::string& engine,
              DurationMs measured_ms = 0);
  [[nodiscard]] DurationMs Elapsed() const;

  SessionContext& context;
  SessionRequest request;
  Tokens prompt_tokens = 0;
  TimeMs started_at = 0;
  std::string generated;  ///< Text so far, for going on with another engine.
  std::vector<std::string> excluded;
  std::int64_t placements = 0;
  std::string placement_key;
  std::optional<ActivePlace> place;
  std::string prefill_engine;
  std::string kv_handle;
  std::optional<StreamGuard> guard;
  std::string resume_base;
  AnswerSink* sink = nullptr;  ///< The caller's, during `Deliver`.
  Stop stop = Stop::kNone;
  bool reached_endpoint = false;  ///< An engine may have received the prompt.
  bool attached = false;  ///< The attempt is known to run on the engine.
  std::int64_t attachment = 0;
  std::int64_t reconnects = 0;
  TimeMs last_progress = 0;
  bool ended = false;
};

}  // namespace limpethaven
