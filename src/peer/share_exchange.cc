#include "peer/share_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <random>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "net/notifier.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// A request does not wait longer than this for the answers of lenders.
constexpr DurationMs kLendTimeoutMs = 40;
/// A loan that arrives within this time, too late for its request, is returned.
/// The rest of the transfer's lifetime is left for that call.
constexpr DurationMs kLateLoanMs = 150;
/// Most lenders that are called at the same time. In a large fleet a share is a
/// small part of what a request needs.
constexpr std::size_t kLendersPerRound = 24;
/// Lenders are called in at most this many rounds for one request.
constexpr int kMaxBorrowRounds = 2;
/// Lenders are called until their estimated balances exceed what is missing by
/// this factor.
constexpr double kEstimateMargin = 1.2;
/// Weight of the balance of a lender in the same data centre, whose answer
/// arrives sooner and costs less.
constexpr double kSameDataCentreWeight = 2.0;
/// Retention of a lender's balance.
constexpr DurationMs kBalanceTtlMs = 10'000;
/// Cool-down after lenders could not cover a charge; nothing is borrowed for
/// the team until it ends.
constexpr DurationMs kBorrowCooldownMs = 150;
/// Lifetime of a transfer; several times the time-out of a lender.
constexpr DurationMs kTransferTtlMs = 250;
/// Part of the slack tokens, 0 to 1, that the ledger's burst does not use. Most
/// of it is for processes that warm up, the rest for members that divide by too
/// few slots because they have not heard of a process that joins the fleet.
constexpr double kReservedSlackRatio = 0.25;
constexpr double kWarmUpSlackRatio = 0.15;
/// A request that waits until its process knows the fleet is refused this long
/// after the time that discovery takes.
constexpr DurationMs kDiscoveryMarginMs = 150;
/// Interval at which a waiting request tries again to get tokens.
constexpr DurationMs kChargeRetryPeriodMs = 20;
/// A process accrues faster for this time after its start, since the tokens of
/// the process before it are lost: at most by `kMaxWarmUpRatio` of the rate.
/// The slack tokens allow for it in each window, so that it does not matter how
/// often processes start.
constexpr DurationMs kWarmUpMs = 4000;
constexpr double kMaxWarmUpRatio = 0.5;
constexpr std::string_view kLendPath = "/peer/v1/lend";
constexpr std::string_view kConfirmPath = "/peer/v1/confirm";
constexpr std::string_view kReturnPath = "/peer/v1/return";
constexpr double kMsPerS = 1000.0;

Tokens TokensField(const std::string& body, const char* field) {
  const json answer = json::parse(body, nullptr, false);
  const bool valid = answer.is_object() && answer.contains(field) &&
                     answer[field].is_number_integer();
  return valid ? answer[field].get<Tokens>() : 0;
}

}  // namespace

Tokens LedgerBurst(const TeamSpec& team, const LimitTolerance& tolerance) {
  if (tolerance.window_ms == 0) return team.burst_tokens;
  const auto rate = static_cast<double>(team.rate_tokens_per_s);
  const auto burst = static_cast<double>(team.burst_tokens);
  const double window_s = static_cast<double>(tolerance.window_ms) / kMsPerS;
  const double slack =
      static_cast<double>(tolerance.slack_tokens) * (1.0 - kReservedSlackRatio);
  const double bound =
      (rate * window_s + burst) * (1.0 + tolerance.excess_ratio) + slack;
  // Apart from the warm-up, the ledger charges at most its burst and what
  // accrues in a window, so the burst may be the bound less what accrues. The
  // bound counts requests that are both sent and run in the window. Each is
  // charged in between, so requests that were sent earlier and still wait do
  // not add to the window's spending.
  const auto headroom = static_cast<Tokens>(bound - rate * window_s);
  return std::max(team.burst_tokens, headroom);
}

TeamSpec WarmUpSpec(TeamSpec team, const LimitTolerance& tolerance) {
  team.burst_tokens = LedgerBurst(team, tolerance);
  if (tolerance.window_ms == 0) return team;
  const double window_s = static_cast<double>(tolerance.window_ms) / kMsPerS;
  const double slack_per_s = static_cast<double>(tolerance.slack_tokens) *
                             kWarmUpSlackRatio / window_s;
  const double most_per_s =
      static_cast<double>(team.rate_tokens_per_s) * kMaxWarmUpRatio;
  team.rate_tokens_per_s +=
      static_cast<std::int64_t>(std::min(slack_per_s, most_per_s));
  return team;
}

ShareExchange::ShareExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                             std::string local_data_centre,
                             LimitTolerance limit_tolerance, DurationMs wait_ms)
    : link(peer_link),
      gossip(peer_gossip),
      data_centre(std::move(local_data_centre)),
      tolerance(limit_tolerance),
      max_wait_ms(wait_ms),
      discovers_until(LoopNow() +
                      peer_gossip.Members().Settings().discovery_ms),
      warms_up_until(LoopNow() + kWarmUpMs),
      ledger(ShareSettings{kTransferTtlMs}) {
  this->link.Handle(std::string(kLendPath),
                    [this](PeerCall& call) { return this->AnswerLend(call); });
  this->link.Handle(std::string(kConfirmPath), [this](PeerCall& call) {
    return this->AnswerTransferEnd(call, &ShareLedger::Confirm);
  });
  this->link.Handle(std::string(kReturnPath), [this](PeerCall& call) {
    return this->AnswerTransferEnd(call, &ShareLedger::Return);
  });
}

void ShareExchange::Configure(const Configuration& config) {
  this->teams = config.teams;
  this->warm_up_teams = config.teams;
  std::ranges::for_each(this->teams, [this](auto& row) {
    row.second.burst_tokens = LedgerBurst(row.second, this->tolerance);
  });
  std::ranges::for_each(this->warm_up_teams, [this](auto& row) {
    row.second = WarmUpSpec(row.second, this->tolerance);
  });
  this->configured_slots = config.fleet.share_slots;
  this->UpdateSlots();
  this->ConfigureLedger();
}

void ShareExchange::ConfigureLedger() {
  this->warms_up = LoopNow() < this->warms_up_until;
  this->ledger.Configure(this->warms_up ? this->warm_up_teams : this->teams,
                         this->slots, LoopNow());
}

std::int64_t ShareExchange::SlotCount() const {
  if (this->configured_slots > 0) return this->configured_slots;
  // A process that does not answer may still spend tokens, so it keeps its slot
  // as long as it may be alive.
  return static_cast<std::int64_t>(this->gossip.Members().KnownFleetSize());
}

bool ShareExchange::UpdateSlots() {
  const std::int64_t next_slots = this->SlotCount();
  if (next_slots <= this->slots) return false;
  LogEvent(
      EventId::kShareSlotsChanged,
      {LogField::Of("slots", next_slots), LogField::Of("before", this->slots),
       LogField::Of("members", this->gossip.Members().Members().size())});
  this->slots = next_slots;
  return true;
}

void ShareExchange::Tick() {
  if (this->teams.empty()) return;
  const bool warmed_up = this->warms_up && LoopNow() >= this->warms_up_until;
  if (this->UpdateSlots() || warmed_up) this->ConfigureLedger();
}

Task<Result<void>> ShareExchange::Charge(std::string team,
                                         std::string request_id,
                                         Tokens tokens) {
  const auto spec = this->teams.find(team);
  if (spec == this->teams.end() || spec->second.rate_tokens_per_s == 0) {
    co_return Success();
  }
  const auto rate = static_cast<double>(spec->second.rate_tokens_per_s);
  const Tokens burst = spec->second.burst_tokens;
  if (tokens > burst) {
    co_return Error::Of(ErrorKind::kRequestOverBurst,
                        "request needs " + std::to_string(tokens) +
                            " tokens, but team " + team +
                            " can be charged at most " + std::to_string(burst) +
                            " tokens at once");
  }
  // What accrues until this process knows the fleet is worth a short wait. If
  // it then does not, tokens may be long in coming.
  const DurationMs wait_ms = this->slots == 0 ? 0 : this->max_wait_ms;
  TimeMs deadline = LoopNow() + wait_ms;
  if (this->slots == 0) {
    deadline = std::max(deadline, this->discovers_until + kDiscoveryMarginMs);
  }
  ChargeOutcome outcome =
      this->ledger.TryCharge(team, request_id, tokens, {}, LoopNow());
  while (!outcome.charged) {
    outcome = co_await this->ChargeWithLoans(team, request_id, tokens,
                                             outcome.missing);
    if (outcome.charged || LoopNow() >= deadline) break;
    co_await SleepFor(this->link.GetLoop(), kChargeRetryPeriodMs);
  }
  if (outcome.charged) co_return Success();
  Error error =
      Error::Of(ErrorKind::kTeamLimit, "team " + team + " lacks " +
                                           std::to_string(outcome.missing) +
                                           " of the " + std::to_string(tokens) +
                                           " tokens that the request needs");
  error.retry_after_ms =
      std::max(error.retry_after_ms,
               static_cast<DurationMs>(static_cast<double>(outcome.missing) *
                                       kMsPerS / std::max(1.0, rate)));
  co_return error;
}

Task<ChargeOutcome> ShareExchange::ChargeWithLoans(std::string team,
                                                   std::string request_id,
                                                   Tokens tokens,
                                                   Tokens missing) {
  const auto cooldown = this->borrow_cooldowns.find(team);
  const bool cooling = cooldown != this->borrow_cooldowns.end() &&
                       LoopNow() < cooldown->second.until &&
                       missing >= cooldown->second.missing;
  if (cooling) co_return ChargeOutcome{false, missing};
  std::vector<Loan> loans = co_await this->Borrow(team, missing);
  const auto sum = [&loans] {
    return std::accumulate(loans.begin(), loans.end(), Tokens{0},
                           [](Tokens total, const Loan& loan) {
                             return total + loan.transfer.tokens;
                           });
  };
  // Other requests may have spent tokens of this process meanwhile.
  const Tokens needed = tokens - this->View(team).available;
  if (sum() < needed) {
    this->EndTransfers(loans, kReturnPath);
    this->borrow_cooldowns.insert_or_assign(
        team, BorrowCooldown{LoopNow() + kBorrowCooldownMs, missing});
    co_return ChargeOutcome{false, std::max<Tokens>(1, needed - sum())};
  }
  this->EndTransfers(TakeSurplus(loans, sum() - needed), kReturnPath);
  std::vector<Transfer> transfers;
  std::ranges::transform(loans, std::back_inserter(transfers), &Loan::transfer);
  const ChargeOutcome outcome =
      this->ledger.TryCharge(team, request_id, tokens, transfers, LoopNow());
  this->borrowed += sum();
  this->EndTransfers(loans, kConfirmPath);
  co_return outcome;
}

std::vector<ShareExchange::Loan> ShareExchange::TakeSurplus(
    std::vector<Loan>& loans, Tokens surplus) {
  // The smallest loans are given back, so that as many lenders as possible keep
  // some tokens.
  std::ranges::sort(loans, {},
                    [](const Loan& loan) { return loan.transfer.tokens; });
  std::vector<Loan> unneeded;
  std::erase_if(loans, [&](const Loan& loan) {
    if (loan.transfer.tokens > surplus) return false;
    surplus -= loan.transfer.tokens;
    unneeded.push_back(loan);
    return true;
  });
  return unneeded;
}

void ShareExchange::Settle(std::string_view request_id, Tokens used) {
  static_cast<void>(this->ledger.Settle(request_id, used, LoopNow()));
}

ShareView ShareExchange::View(std::string_view team) {
  return this->ledger.View(team, LoopNow());
}

Tokens ShareExchange::Borrowed() const noexcept { return this->borrowed; }

Task<Result<std::string>> ShareExchange::AnswerLend(PeerCall& call) {
  const json request = json::parse(call.body, nullptr, false);
  const bool valid =
      request.is_object() && request.contains("team") &&
      request["team"].is_string() && request.contains("transfer") &&
      request["transfer"].is_string() && request.contains("wanted") &&
      request["wanted"].is_number_integer();
  if (!valid) {
    co_return Error::Of(ErrorKind::kBadRequest,
                        "malformed request to lend tokens: expected strings "
                        "team and transfer and integer wanted");
  }
  const std::string team = request["team"].get<std::string>();
  const Tokens tokens =
      this->ledger.Lend(team, request["transfer"].get<std::string>(),
                        request["wanted"].get<Tokens>(), LoopNow());
  if (tokens > 0) {
    LogEvent(EventId::kTokensLent, {{"team", team},
                                    LogField::Of("to", call.from),
                                    LogField::Of("tokens", tokens)});
  }
  const json answer = {{"tokens", tokens},
                       {"left", this->ledger.View(team, LoopNow()).available}};
  co_return answer.dump();
}

Task<Result<std::string>> ShareExchange::AnswerTransferEnd(
    PeerCall& call,
    void (ShareLedger::*end)(std::string_view transfer_id, TimeMs now)) {
  const json transfers = json::parse(call.body, nullptr, false);
  if (transfers.is_array()) {
    std::ranges::for_each(transfers, [&](const json& id) {
      if (id.is_string()) {
        (this->ledger.*end)(id.get<std::string>(), LoopNow());
      }
    });
  }
  co_return std::string("{}");
}

Task<std::vector<ShareExchange::Loan>> ShareExchange::Borrow(std::string team,
                                                             Tokens missing) {
  const std::vector<Lender> lenders = this->RankLenders(team);
  auto next = lenders.begin();
  std::vector<Loan> loans;
  for (int round = 0; round < kMaxBorrowRounds; ++round) {
    std::vector<Lender> called;
    double estimate = 0;
    while (next != lenders.end() && called.size() < kLendersPerRound &&
           estimate < kEstimateMargin * static_cast<double>(missing)) {
      estimate += next->estimate;
      called.push_back(*next++);
    }
    if (called.empty()) break;
    for (Loan& loan : co_await this->CallLenders(team, missing, called)) {
      missing -= loan.transfer.tokens;
      loans.push_back(std::move(loan));
    }
    if (missing <= 0) break;
  }
  co_return loans;
}

Task<std::vector<ShareExchange::Loan>> ShareExchange::CallLenders(
    std::string team, Tokens missing, std::vector<Lender> called) {
  struct Round {
    explicit Round(Loop& loop) : answered(loop) {}
    Notifier answered;
    std::size_t pending = 0;
    bool ended = false;
    std::vector<Loan> loans;
  };
  Loop& loop = this->link.GetLoop();
  const auto round = std::make_shared<Round>(loop);
  round->pending = called.size();
  const auto fair_part = (missing + static_cast<Tokens>(called.size()) - 1) /
                         static_cast<Tokens>(called.size());
  std::ranges::for_each(called, [&](const Lender& lender) {
    const Tokens wanted = std::min(
        missing, std::max(fair_part, static_cast<Tokens>(lender.estimate)));
    Spawn(loop,
          [this, round, team, wanted, address = lender.address]() -> Task<> {
            Loan loan = co_await this->BorrowFrom(address, team, wanted);
            if (loan.transfer.tokens > 0 && round->ended) {
              this->EndTransfers({loan}, kReturnPath);
            } else if (loan.transfer.tokens > 0) {
              round->loans.push_back(loan);
            }
            --round->pending;
            round->answered.Notify();
          });
  });
  const TimeMs deadline = LoopNow() + kLendTimeoutMs;
  while (round->pending > 0 && LoopNow() < deadline) {
    co_await round->answered.WaitUntil(deadline);
  }
  round->ended = true;
  co_return std::exchange(round->loans, {});
}

Task<ShareExchange::Loan> ShareExchange::BorrowFrom(std::string lender,
                                                    std::string team,
                                                    Tokens wanted) {
  const TimeMs requested_at = LoopNow();
  const VmId& self = this->gossip.Members().Self();
  Loan loan{Transfer{self.address + "-" + std::to_string(self.incarnation) +
                         "-" + std::to_string(this->next_transfer_number++),
                     team, 0, requested_at},
            lender};
  const json request = {
      {"team", team}, {"transfer", loan.transfer.id}, {"wanted", wanted}};
  const Result<std::string> answer =
      co_await this->link.Call(lender, std::string(kLendPath), request.dump(),
                               requested_at + kLateLoanMs);
  if (!answer) co_return loan;
  loan.transfer.tokens = TokensField(answer.value(), "tokens");
  this->lender_balances[team].insert_or_assign(
      lender, LenderBalance{TokensField(answer.value(), "left"), LoopNow()});
  if (loan.transfer.tokens > 0) {
    LogEvent(EventId::kTokensBorrowed,
             {{"team", team},
              {"from", lender},
              LogField::Of("tokens", loan.transfer.tokens)});
  }
  co_return loan;
}

void ShareExchange::EndTransfers(const std::vector<Loan>& loans,
                                 std::string_view path) {
  std::ranges::for_each(loans, [&](const Loan& loan) {
    if (path == kReturnPath) {
      this->lender_balances[loan.transfer.team][loan.lender].available +=
          loan.transfer.tokens;
    }
    const json ids = json::array({loan.transfer.id});
    // A lost call only delays the lender's accrual until the transfer expires;
    // tokens that were to be returned are then lost.
    Spawn(this->link.GetLoop(),
          [this, lender = loan.lender, to = std::string(path),
           body = ids.dump()]() -> Task<> {
            const Result<std::string> ignored = co_await this->link.Call(
                lender, to, body, LoopNow() + kTransferTtlMs);
            static_cast<void>(ignored);
          });
  });
}

std::vector<ShareExchange::Lender> ShareExchange::RankLenders(
    const std::string& team) {
  const TimeMs now = LoopNow();
  auto& balances = this->lender_balances[team];
  std::erase_if(balances, [now](const auto& row) {
    return now - row.second.received_at > kBalanceTtlMs;
  });
  const auto spec = this->teams.find(team);
  if (spec == this->teams.end()) return {};
  // Lenders have known the number of slots for longer than this process.
  const auto lender_slots = static_cast<double>(
      this->slots > 0
          ? this->slots
          : static_cast<std::int64_t>(this->gossip.Members().FleetSize()));
  const double accrued_per_ms =
      static_cast<double>(spec->second.rate_tokens_per_s) / kMsPerS /
      lender_slots;
  const double cap =
      static_cast<double>(spec->second.burst_tokens) / lender_slots;
  std::vector<Lender> lenders;
  std::ranges::for_each(
      this->gossip.Members().ServingMembers(), [&](const MemberUpdate& member) {
        if (member.address == this->gossip.Members().Self().address) return;
        const auto row = balances.find(member.address);
        // The balance of a peer that has not answered lately is unknown; half
        // of the cap is assumed.
        double estimate = cap / 2;
        if (row != balances.end()) {
          estimate = std::min(
              cap, static_cast<double>(row->second.available) +
                       accrued_per_ms *
                           static_cast<double>(now - row->second.received_at));
        }
        const bool same_data_centre = member.data_centre == this->data_centre;
        lenders.push_back(Lender{
            member.address, estimate,
            estimate * (same_data_centre ? kSameDataCentreWeight : 1.0)});
      });
  std::mt19937_64 random(RandomBits());
  std::ranges::shuffle(lenders, random);
  std::ranges::stable_sort(lenders, std::greater<>(), &Lender::score);
  return lenders;
}

}  // namespace limpethaven
