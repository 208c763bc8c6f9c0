#include <algorithm>

#include "router/session.h"

namespace limpethaven {
namespace {

/// Largest body of an answer that is not a stream.
constexpr std::size_t kMaxBodyBytes = 4'194'304;
/// Most bytes of such bodies that the process holds at once.
constexpr std::size_t kMaxBufferedBytes = 25'165'824;

/// Body of an answer that is read completely before it is forwarded.
class BufferedBody {
 public:
  /// @param process_bytes Bytes that all such bodies of the process hold.
  explicit BufferedBody(std::size_t& process_bytes) : held(process_bytes) {}
  ~BufferedBody() { this->held -= this->counted; }
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;

  /// @returns false when the body or all bodies together exceed their limit.
  [[nodiscard]] bool Append(std::string_view bytes) {
    this->text += bytes;
    this->held += bytes.size();
    this->counted += bytes.size();
    return this->counted <= kMaxBodyBytes && this->held <= kMaxBufferedBytes;
  }
  [[nodiscard]] const std::string& Text() const noexcept { return this->text; }
  [[nodiscard]] std::string Take() { return std::move(this->text); }

 private:
  std::size_t& held;
  std::size_t counted = 0;
  std::string text;
};

}  // namespace

Task<SendOutcome> Session::ForwardStream(HttpCall& call, CallFault& fault) {
  const bool buffered = this->admitted.request.buffered;
  if (!this->exchange.ResponseStarted() && !buffered) {
    ResponseHead head = this->core.parts.callers.AnswerHead(
        call.Head(), this->admitted.request);
    this->record.OnAnswerBegun();
    const bool begun = co_await this->exchange.Begin(std::move(head));
    if (!begun) this->cancel.Request();
  }
  bool ended = false;
  // Whether the stream has stalled while nothing else could go on with it.
  bool waits_on = false;
  StallRule stall(this->admitted.route->patience_ms);
  stall.OnProgress(LoopNow());
  while (fault == CallFault::kNone && !this->Cancelled() && !ended &&
         this->stream->State() == StreamState::kOpen) {
    std::string chunk;
    const TimeMs deadline =
        waits_on ? this->admitted.deadline : this->EventDeadline(stall);
    fault = co_await call.ReadBody(chunk, deadline);
    if (fault == CallFault::kTimeout && deadline < this->admitted.deadline &&
        !this->MaySendAgain()) {
      waits_on = true;
      fault = CallFault::kNone;
    }
    ended = fault == CallFault::kNone && call.Done() && chunk.empty();
    const std::optional<std::int64_t> last_event = this->stream->LastEvent();
    std::string events = this->stream->Feed(chunk);
    if (events.empty()) continue;
    // Keep-alives are not progress: a stalled engine may still send them.
    const bool progress = this->stream->LastEvent() != last_event;
    if (progress) {
      stall.OnProgress(LoopNow());
      waits_on = false;
    }
    if (progress && !this->first_event_seen) {
      this->first_event_seen = true;
      this->core.parts.metrics.OnFirstEvent(LoopNow() -
                                            this->exchange.ReceivedAt());
    }
    this->progressed = this->progressed || progress;
    if (progress && this->on_progress) this->on_progress();
    if (buffered) continue;
    const bool sent = co_await this->exchange.Send(std::move(events));
    if (!sent) this->cancel.Request();
  }
  this->stream->OnEnd(ended);
  if (this->stream->State() == StreamState::kInvalid) {
    fault = CallFault::kMalformed;
  }
  if (this->stream->State() == StreamState::kSuperseded) {
    this->abort_reason = ErrorKind::kSuperseded;
    this->cancel.Request();
  }
  if (!this->stream->Complete() || this->Cancelled()) {
    call.Cancel();
    co_return OutcomeOf(call, fault);
  }
  std::string ending = this->stream->FinalBytes();
  if (buffered) {
    co_await this->exchange.Answer(this->core.parts.callers.AnswerHead(
                                       call.Head(), this->admitted.request),
                                   std::move(ending));
  } else {
    co_await this->exchange.Send(std::move(ending));
    co_await this->exchange.End();
  }
  co_return SendOutcome::kAnswered;
}

Task<SendOutcome> Session::ForwardBody(HttpCall& call, CallFault& fault) {
  BufferedBody body(this->core.buffered_bytes);
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string chunk;
    fault = co_await call.ReadBody(chunk, this->admitted.deadline);
    ended = call.Done() && chunk.empty();
    if (body.Append(chunk)) continue;
    call.Cancel();
    fault = CallFault::kTooLarge;
  }
  const AnswerClass answer = this->core.parts.endpoints.Classify(
      call.Head(), body.Text(), this->admitted.request);
  if (answer.not_run || answer.address_reassigned) {
    co_return SendOutcome::kNotRun;
  }
  if (fault != CallFault::kNone) co_return OutcomeOf(call, fault);
  if (answer.superseded) {
    this->abort_reason = ErrorKind::kSuperseded;
    this->cancel.Request();
    co_return SendOutcome::kBroken;
  }
  // A caller that expects a stream gets no other response, except a final
  // failure before the stream has begun.
  if (this->exchange.ResponseStarted() ||
      (this->stream && !answer.final_failure)) {
    co_return SendOutcome::kBroken;
  }
  if (!answer.success && this->MaySendAgain()) co_return SendOutcome::kFailed;
  co_await this->exchange.Answer(
      this->core.parts.callers.AnswerHead(call.Head(), this->admitted.request),
      body.Take());
  co_return SendOutcome::kAnswered;
}

Task<> Session::AnswerError(const Error& error) {
  if (!this->exchange.ResponseStarted()) {
    co_await this->exchange.Answer(this->core.parts.callers.ErrorHead(error),
                                   this->core.parts.callers.ErrorBody(error));
    co_return;
  }
  std::optional<std::string> ending =
      this->core.parts.callers.StreamErrorEvent(error);
  if (!ending) {
    this->exchange.Abort();
    co_return;
  }
  co_await this->exchange.Send(std::move(*ending));
  co_await this->exchange.End();
}

}  // namespace limpethaven
