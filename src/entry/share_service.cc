#include "entry/share_service.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <random>
#include <thread>

#include "edge/log.h"
#include "entry/peer_messages.h"
#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

constexpr DurationMs kAskTimeoutMs = 150;
constexpr DurationMs kRetryPauseMs = 20;

}  // namespace

ShareService::ShareService(VmId own, PeerTransport& peer_transport,
                           const Clock& system_clock, PeerLister lister,
                           DurationMs wait_ms)
    : self(std::move(own)),
      peers(peer_transport),
      clock(system_clock),
      list_peers(std::move(lister)),
      max_wait_ms(wait_ms) {}

void ShareService::Configure(const Configuration& config) {
  const std::lock_guard lock(this->mutex);
  this->ledger.Configure(config, this->clock.Now());
}

Result<void> ShareService::Charge(std::string_view team,
                                  std::string_view request_id, Tokens tokens) {
  {
    const std::lock_guard lock(this->mutex);
    const Tokens burst = this->ledger.Burst(team);
    if (tokens > burst) {
      return Error::Of(ErrorKind::kRequestOverBurst,
                       "the request needs " + std::to_string(tokens) +
                           " tokens, the burst of " + std::string(team) +
                           " is " + std::to_string(burst));
    }
  }
  const TimeMs give_up_at = this->clock.Now() + this->max_wait_ms;
  ChargeOutcome outcome = this->TryCharge(team, request_id, tokens, {});
  while (!outcome.charged) {
    const std::vector<Loan> loans = this->Borrow(team, outcome.missing);
    outcome = this->TryCharge(team, request_id, tokens, loans);
    this->Confirm(loans);
    if (outcome.charged) break;
    if (this->clock.Now() >= give_up_at) {
      return Error::Of(ErrorKind::kTeamLimit,
                       "team " + std::string(team) + " is " +
                           std::to_string(outcome.missing) +
                           " tokens short of the " + std::to_string(tokens) +
                           " needed");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kRetryPauseMs));
    outcome = this->TryCharge(team, request_id, tokens, {});
  }
  return Success();
}

void ShareService::Settle(std::string_view request_id, Tokens used) {
  const std::lock_guard lock(this->mutex);
  this->ledger.Settle(request_id, used, this->clock.Now());
}

Result<std::string> ShareService::AnswerLend(const VmId& from,
                                             const std::string& body) {
  BOOST_OUTCOME_TRY(ask, ReadJson<LendBody>(body, "request for tokens"));
  LendAnswer answer;
  {
    const std::lock_guard lock(this->mutex);
    answer.tokens = this->ledger.Lend(ask.team, ask.transfer_id, ask.wanted,
                                      this->clock.Now());
  }
  if (answer.tokens > 0) {
    LogEvent(EventId::kTokensLent, {{"team", ask.team},
                                    {"to", from.address},
                                    LogField::Of("tokens", answer.tokens),
                                    {"transfer", ask.transfer_id}});
  }
  return WriteJson(answer);
}

Result<std::string> ShareService::AnswerConfirm(const std::string& body) {
  BOOST_OUTCOME_TRY(confirm, ReadJson<ConfirmBody>(body, "confirmation"));
  const std::lock_guard lock(this->mutex);
  this->ledger.Confirm(confirm.transfer_id, this->clock.Now());
  return std::string("{}");
}

ShareView ShareService::View(std::string_view team) {
  const std::lock_guard lock(this->mutex);
  return this->ledger.View(team, this->clock.Now());
}

std::int64_t ShareService::Borrowed() const noexcept { return this->borrowed; }

std::vector<ShareService::Loan> ShareService::Borrow(std::string_view team,
                                                     Tokens missing) {
  std::vector<std::string> lenders = this->list_peers();
  std::erase(lenders, this->self.address);
  std::ranges::shuffle(lenders, std::mt19937_64(RandomBits()));
  // No more than is missing: tokens held in store leave less room for unused
  // ones to come back.
  std::vector<Loan> loans;
  for (const std::string& lender : lenders) {
    if (missing <= 0) break;
    const std::string id = std::to_string(this->self.incarnation) + "-" +
                           std::to_string(this->next_transfer++);
    const TimeMs asked_at = this->clock.Now();
    const auto text = this->peers.Call(
        lender, "/peer/v1/lend",
        WriteJson(LendBody{std::string(team), id, missing}), kAskTimeoutMs);
    if (!text) continue;
    const auto answer = ReadJson<LendAnswer>(text.value(), "loan");
    if (!answer || answer.value().tokens <= 0) continue;
    const Tokens tokens = std::min(answer.value().tokens, missing);
    loans.push_back(
        Loan{Transfer{id, std::string(team), tokens, asked_at}, lender});
    missing -= tokens;
    this->borrowed += tokens;
  }
  if (!loans.empty()) {
    const Tokens sum = std::accumulate(loans.begin(), loans.end(), Tokens{0},
                                       [](Tokens total, const Loan& loan) {
                                         return total + loan.transfer.tokens;
                                       });
    LogEvent(EventId::kTokensBorrowed, {{"team", std::string(team)},
                                        LogField::Of("tokens", sum),
                                        LogField::Of("lenders", loans.size())});
  }
  return loans;
}

void ShareService::Confirm(const std::vector<Loan>& loans) {
  std::ranges::for_each(loans, [this](const Loan& loan) {
    // Lost confirmations only delay the lender's accrual until the transfer
    // expires there.
    static_cast<void>(this->peers.Call(loan.lender, "/peer/v1/confirm",
                                       WriteJson(ConfirmBody{loan.transfer.id}),
                                       kAskTimeoutMs));
  });
}

ChargeOutcome ShareService::TryCharge(std::string_view team,
                                      std::string_view request_id,
                                      Tokens tokens,
                                      const std::vector<Loan>& loans) {
  std::vector<Transfer> transfers;
  std::ranges::transform(loans, std::back_inserter(transfers), &Loan::transfer);
  const std::lock_guard lock(this->mutex);
  return this->ledger.TryCharge(team, request_id, tokens, transfers,
                                this->clock.Now());
}

}  // namespace limpethaven
