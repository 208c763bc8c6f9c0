#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

constexpr DurationMs kReuseIdleMs = 3000;

}  // namespace

Task<std::optional<Error>> GenerationSession::Run() {
  SendOutcome last = SendOutcome::kNotSent;
  const CallerRequest& request = this->admitted.request;
  const Tokens tokens = request.prompt_tokens + request.max_output_tokens;
  while (this->record.MaySend() && !this->gone) {
    const EndpointRecord* chosen = this->core.Choose(
        *this->admitted.pool, PoolRole::kDecode, this->tried);
    if (chosen == nullptr) break;
    const EndpointRecord endpoint = *chosen;
    this->tried.push_back(endpoint.id);
    this->core.AddWork(endpoint.id, tokens);
    std::optional<KvHandle> memory;
    if (!this->splitter.LastId()) memory = co_await this->ReadPrompt();
    if (!this->gone) last = co_await this->Send(endpoint, memory);
    this->core.AddWork(endpoint.id, -tokens);
    if (this->gone) break;
    const NextStep step = this->Judge(last);
    if (step == NextStep::kForward) co_return std::nullopt;
    if (step != NextStep::kSendAgain) break;
  }
  if (this->tried.empty()) {
    co_return Error::Of(ErrorKind::kNoEndpoint,
                        "no engine of " + this->admitted.pool->name);
  }
  co_return this->Failure(last);
}

Task<std::optional<KvHandle>> GenerationSession::ReadPrompt() {
  const EndpointRecord* chosen =
      this->core.Choose(*this->admitted.pool, PoolRole::kPrefill, {});
  if (chosen == nullptr) co_return std::nullopt;
  const EndpointRecord engine = *chosen;
  const Tokens tokens = this->admitted.request.prompt_tokens;
  this->core.AddWork(engine.id, tokens);
  this->record.OnPrefillSent();
  const TimeMs started = LoopNow();
  HttpCall prefill(this->core.parts.loop, this->core.parts.pool,
                   engine.address);
  CallFault fault = co_await this->Start(
      prefill,
      WriteRequest(
          this->core.parts.endpoints.Prefill(this->DispatchTo(engine)),
          this->exchange.Body()),
      kReuseIdleMs);
  const TimeMs deadline = this->admitted.deadline;
  if (fault == CallFault::kNone) fault = co_await prefill.ReadHead(deadline);
  std::string body;
  bool ended = false;
  while (fault == CallFault::kNone && !ended) {
    std::string piece;
    fault = co_await prefill.ReadBody(piece, deadline);
    body += piece;
    ended = prefill.Done() && piece.empty();
  }
  this->call = nullptr;
  this->core.AddWork(engine.id, -tokens);
  const bool answered = fault == CallFault::kNone;
  const int status = answered ? prefill.Head().status : 0;
  LogEvent(EventId::kPrefillFinished,
           {{"request", this->admitted.request.attempt_id},
            {"engine", engine.id},
            {"fault", std::string(NameOf(fault))},
            LogField::Of("status", status),
            LogField::Of("tokens", tokens),
            LogField::Of("elapsed_ms", LoopNow() - started)});
  if (!answered) co_return std::nullopt;
  const AnswerClass kind = this->core.parts.endpoints.Classify(
      prefill.Head(), this->admitted.request);
  if (!kind.success || !kind.own) co_return std::nullopt;
  const auto handle = this->core.parts.endpoints.ReadHandle(body);
  if (!handle) co_return std::nullopt;
  this->record.OnPrefillDone();
  co_return KvHandle{engine.address, handle.value()};
}

}  // namespace limpethaven
