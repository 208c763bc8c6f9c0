#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {

Task<std::optional<Error>> PlainSession::Run() {
  SendOutcome last = SendOutcome::kNotSent;
  while (this->record.MaySend() && !this->Gone()) {
    const EndpointRecord* chosen = this->core.Choose(
        *this->admitted.pool, PoolRole::kService, this->tried);
    if (chosen == nullptr) break;
    const EndpointRecord endpoint = *chosen;
    this->tried.push_back(endpoint.id);
    this->core.AddWork(endpoint.id, 1);
    last = co_await this->Send(endpoint, std::nullopt);
    this->core.AddWork(endpoint.id, -1);
    const NextStep step = this->Judge(last);
    if (step == NextStep::kForward) co_return std::nullopt;
    if (step != NextStep::kSendAgain) break;
  }
  if (this->tried.empty()) {
    co_return Error::Of(ErrorKind::kNoEndpoint,
                        "no endpoint of " + this->admitted.pool->name);
  }
  co_return this->Failure(last);
}

}  // namespace limpethaven
