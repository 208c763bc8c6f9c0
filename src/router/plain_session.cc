#include "router/session.h"

namespace limpethaven {

Task<std::optional<Error>> PlainSession::Run() {
  SendOutcome last = SendOutcome::kNotSent;
  while (this->record.MaySend() && !this->Gone()) {
    const EndpointRecord* chosen =
        this->core.Choose(*this->admitted.pool, this->tried);
    if (chosen == nullptr) break;
    const EndpointRecord endpoint = *chosen;
    this->tried.push_back(endpoint.id);
    this->core.AddWork(endpoint.id, 1);
    this->record.OnSend();
    last = co_await this->Send(this->DispatchTo(endpoint));
    this->core.AddWork(endpoint.id, -1);
    if (this->Gone()) break;
    this->core.NoteOutcome(endpoint.id, last == SendOutcome::kAnswered ||
                                            last == SendOutcome::kFailed);
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

void PlainSession::SettleCharge() {
  const bool ran = this->record.MayHaveRun() != Ran::kNo;
  this->charge.Settle(ran ? this->charge.Charged() : 0);
}

}  // namespace limpethaven
