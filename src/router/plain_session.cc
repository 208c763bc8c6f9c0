#include <algorithm>

#include "net/connection.h"
#include "net/scope_exit.h"
#include "net/tasks.h"
#include "router/session.h"

namespace limpethaven {
namespace {

constexpr DurationMs kCrashProbeTimeoutMs = 300;

}  // namespace

Task<std::optional<Error>> PlainSession::Run() {
  SendOutcome last = SendOutcome::kNotSent;
  while (this->record.MaySend() && !this->Cancelled()) {
    if (auto refused = this->CheckStop()) co_return refused;
    if (auto refused = this->CheckQuarantine()) {
      refused->ran = this->record.MayHaveRun();
      co_return refused;
    }
    const EndpointRecord* chosen =
        this->core.ChooseEndpoint(*this->admitted.pool, this->tried_endpoints,
                                  this->admitted.request.attempt_id);
    if (chosen == nullptr) break;
    const EndpointRecord endpoint = *chosen;
    this->tried_endpoints.push_back(endpoint.id);
    {
      this->core.AddInFlight(endpoint.id, 1);
      const ScopeExit ended([&] { this->core.AddInFlight(endpoint.id, -1); });
      this->record.OnSend();
      last = co_await this->Send(this->MakeDispatch(endpoint));
    }
    if (this->Cancelled()) break;
    if (last == SendOutcome::kBroken) this->SuspectCrash(endpoint);
    this->core.NoteOutcome(endpoint.id, last);
    if (last == SendOutcome::kAnswered || last == SendOutcome::kFailed) {
      this->NoteServed();
    }
    const NextStep step = this->DecideNextStep(last);
    if (step == NextStep::kForward) co_return std::nullopt;
    if (step != NextStep::kSendAgain) break;
  }
  const DurationMs wait_ms = this->core.PoolWaitMs(*this->admitted.pool, false);
  if (this->tried_endpoints.empty() && wait_ms > 0) {
    Error error =
        Error::Of(ErrorKind::kCapacity,
                  "the endpoints of pool " + this->admitted.pool->name +
                      " want no requests now: their limits are used "
                      "up, or they have asked for a pause");
    error.retry_after_ms = wait_ms;
    co_return error;
  }
  if (this->tried_endpoints.empty()) {
    co_return Error::Of(ErrorKind::kNoEndpoint, "no usable endpoint in pool " +
                                                    this->admitted.pool->name);
  }
  Error error = this->MakeError(last);
  error.retry_after_ms = std::max(error.retry_after_ms, wait_ms);
  co_return error;
}

void PlainSession::SuspectCrash(const EndpointRecord& endpoint) const {
  Spawn(this->core.parts.loop,
        [&router = this->core, endpoint, parts = this->Suspects(),
         id = this->admitted.request.attempt_id]() -> Task<> {
          const bool refused = co_await Connection::IsRefused(
              router.parts.loop, endpoint.address,
              LoopNow() + kCrashProbeTimeoutMs);
          if (refused) router.NoteCrash(endpoint, id, parts);
        });
}

void PlainSession::SettleCharge() {
  const bool ran = this->record.MayHaveRun() != Ran::kNo;
  this->charge.Settle(ran ? this->charge.Charged() : 0);
}

}  // namespace limpethaven
