#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

/// Longest idle time of a connection that is reused for a prefill.
constexpr DurationMs kMaxIdleMs = 3000;
/// Time for which a rejected prefill tells that others will be rejected too.
constexpr DurationMs kPrefillRejectionMs = 1000;
/// Largest body of a prefill engine's answer.
constexpr std::size_t kMaxPrefillAnswerBytes = 65'536;

}  // namespace

void GenerationSession::KeepKv(const std::optional<KvHandle>& kv_handle) {
  const PoolSpec& pool = *this->admitted.pool;
  if (!kv_handle || !pool.engine || pool.engine->prefill_kept_ms <= 0) return;
  this->unused_kv = kv_handle;
}

std::optional<KvHandle> GenerationSession::TakeUnusedKv(
    const Placement& placement) {
  std::optional<KvHandle> kept = std::exchange(this->unused_kv, std::nullopt);
  const bool usable = placement.prefill.empty() && this->KvIsFresh();
  if (!usable) kept.reset();
  return kept;
}

bool GenerationSession::KvIsFresh() const {
  return this->admitted.pool->engine &&
         LoopNow() - this->prefilled_at <
             this->admitted.pool->engine->prefill_kept_ms;
}

bool GenerationSession::TryPrefillRetry() {
  if (!this->prefill_called) return true;
  // Where a prefill counts as a send, the retry of the send covers its prefill.
  if (!this->core.settings.allow_local_prefill && this->record.NextIsRetry()) {
    return true;
  }
  return this->core.BudgetOf(this->admitted.pool->name).TryRetry(LoopNow());
}

bool GenerationSession::PrefillIsRisky() const {
  if (!this->core.settings.allow_local_prefill || this->prefill_called) {
    return false;
  }
  const std::string& pool = this->admitted.pool->name;
  const auto rejected = this->core.prefill_rejected_at.find(pool);
  const TimeMs now = LoopNow();
  return rejected != this->core.prefill_rejected_at.end() &&
         now - rejected->second < kPrefillRejectionMs &&
         this->core.BudgetOf(pool).RetriesLeft(now) < 1.0;
}

Task<GenerationSession::PrefillResult> GenerationSession::RunPrefill(
    const EndpointRecord& engine, const CellPlacement& placed) {
  PrefillResult result;
  this->record.OnPrefillSent();
  const TimeMs started = LoopNow();
  HttpCall call(this->core.parts.loop, this->core.parts.pool, engine.address);
  const CancelScope scope(this->cancel, [&call] { call.Cancel(); });
  Dispatch dispatch = this->MakeRunDispatch(placed, engine);
  dispatch.stream = this->stream.get();
  const OutgoingCall outgoing = this->core.parts.endpoints.Prefill(dispatch);
  CallFault fault =
      co_await this->Start(call, engine.address, outgoing, kMaxIdleMs);
  const TimeMs deadline = this->admitted.deadline;
  if (fault == CallFault::kNone) fault = co_await call.ReadHead(deadline);
  AnswerClass answer;
  if (fault == CallFault::kNone) answer = this->ClassifyHead(call);
  std::string body;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string chunk;
    fault = co_await call.ReadBody(chunk, deadline);
    body += chunk;
    ended = call.Done() && chunk.empty();
    if (body.size() <= kMaxPrefillAnswerBytes) continue;
    call.Cancel();
    fault = CallFault::kTooLarge;
  }
  result.elapsed_ms = LoopNow() - started;
  result.sent = call.Sent();
  const bool first_call = !this->prefill_called;
  this->prefill_called = this->prefill_called || result.sent;
  // Only a prefill call that an engine accepts is not a send of its own.
  result.counts_as_send =
      first_call && result.sent && this->core.settings.allow_local_prefill;
  const bool answered = fault == CallFault::kNone;
  const int status = answered ? call.Head().status : 0;
  LogEvent(EventId::kPrefillFinished,
           {{"request", this->admitted.request.attempt_id},
            {"engine", engine.id},
            {"fault", std::string(NameOf(fault))},
            LogField::Of("status", status),
            LogField::Of("tokens", this->admitted.request.prompt_tokens),
            LogField::Of("elapsed_ms", result.elapsed_ms)});
  if (!answered) co_return result;
  if (answer.matches_request) {
    const bool was_limited = this->IsLimited(engine.id);
    this->core.NoteAnswer(engine, answer);
    this->NotifyLimit(placed, engine.id, was_limited);
  }
  if (!answer.success || !answer.matches_request) {
    result.refused =
        answer.matches_request && answer.not_run && !answer.address_reassigned;
    if (result.counts_as_send) {
      this->core.prefill_rejected_at.insert_or_assign(this->admitted.pool->name,
                                                      LoopNow());
    }
    co_return result;
  }
  result.counts_as_send = false;
  const Result<std::string> handle =
      this->core.parts.endpoints.ParseHandle(body);
  if (!handle) co_return result;
  this->record.OnPrefillDone();
  this->prefilled_at = LoopNow();
  result.kv_handle = KvHandle{engine.address, handle.value()};
  co_return result;
}

}  // namespace limpethaven
