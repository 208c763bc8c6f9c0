#include "peer/share_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "net/notifier.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// A peer that has not answered by then is passed over.
constexpr DurationMs kAskTimeoutMs = 25;
/// Peers asked for one request, one after the other: a share of many processes
/// is smaller than one request.
constexpr std::size_t kMaxLenders = 8;
/// A peer in the same data centre counts for this many times what it has: its
/// answer comes sooner and costs less.
constexpr double kNearFactor = 2.0;
/// What a peer said of its share is forgotten after this long.
constexpr DurationMs kHeardMs = 10'000;
/// After peers had nothing, they are not asked again for this long.
constexpr DurationMs kPoorMs = 150;
/// How long a transfer may be spent; several times the longest answer.
constexpr DurationMs kTransferTtlMs = 250;
/// Part of the slack that processes start with.
constexpr double kStartPart = 0.25;
/// Between two looks for tokens while a request waits for them.
constexpr DurationMs kRetryPauseMs = 20;
constexpr std::string_view kLendPath = "/peer/v1/lend";
constexpr std::string_view kConfirmPath = "/peer/v1/confirm";
constexpr double kMsPerS = 1000.0;

Tokens TokensIn(const std::string& body, const char* field) {
  const json answer = json::parse(body, nullptr, false);
  const bool fits = answer.is_object() && answer.contains(field) &&
                    answer[field].is_number_integer();
  return fits ? answer[field].get<Tokens>() : 0;
}

}  // namespace

Tokens LedgerBurst(const TeamSpec& team, const LimitTolerance& tolerance) {
  if (tolerance.window_ms == 0) return team.burst_tokens;
  const auto rate = static_cast<double>(team.rate_tokens_per_s);
  const auto burst = static_cast<double>(team.burst_tokens);
  const double window_s = static_cast<double>(tolerance.window_ms) / kMsPerS;
  const double slack =
      static_cast<double>(tolerance.slack) * (1.0 - kStartPart);
  const double bound =
      (rate * window_s + burst) * (1.0 + tolerance.excess) + slack;
  // The bound counts requests that are sent and run in the same window, and
  // each is charged in between: what waits from before does not add to it.
  const auto room = static_cast<Tokens>(bound - rate * window_s);
  return std::max(team.burst_tokens, room);
}

ShareExchange::ShareExchange(PeerLink& peer_link, const Gossip& peer_gossip,
                             std::string own_data_centre,
                             LimitTolerance limit_tolerance, DurationMs wait_ms)
    : link(peer_link),
      gossip(peer_gossip),
      data_centre(std::move(own_data_centre)),
      tolerance(limit_tolerance),
      max_wait_ms(wait_ms),
      ledger(ShareSettings{
          kTransferTtlMs,
          static_cast<Tokens>(static_cast<double>(limit_tolerance.slack) *
                              kStartPart)}) {
  this->link.Handle(std::string(kLendPath),
                    [this](PeerCall& call) { return this->AnswerLend(call); });
  this->link.Handle(std::string(kConfirmPath), [this](PeerCall& call) {
    return this->AnswerConfirm(call);
  });
}

void ShareExchange::Configure(const Configuration& config) {
  this->teams = config.teams;
  std::ranges::for_each(this->teams, [this](auto& row) {
    row.second.burst_tokens = LedgerBurst(row.second, this->tolerance);
  });
  this->published_slots = config.fleet.share_slots;
  this->slots = std::max(this->slots, this->Slots());
  this->ledger.Configure(this->teams, this->slots, LoopNow());
}

std::int64_t ShareExchange::Slots() const {
  if (this->published_slots > 0) return this->published_slots;
  // A process that is only silent still spends: a slot is never given up while
  // its process may be alive.
  return static_cast<std::int64_t>(this->gossip.Members().Members().size()) + 1;
}

void ShareExchange::Tick() {
  const std::int64_t wanted = this->Slots();
  if (wanted <= this->slots || this->teams.empty()) return;
  this->slots = wanted;
  this->ledger.Configure(this->teams, this->slots, LoopNow());
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
                        "the request needs " + std::to_string(tokens) +
                            " tokens, the burst of " + team + " is " +
                            std::to_string(burst));
  }
  const TimeMs give_up_at = LoopNow() + this->max_wait_ms;
  ChargeOutcome outcome =
      this->ledger.TryCharge(team, request_id, tokens, {}, LoopNow());
  while (!outcome.charged) {
    outcome = co_await this->ChargeWithLoans(team, request_id, tokens,
                                             outcome.missing);
    if (outcome.charged || LoopNow() >= give_up_at) break;
    co_await SleepFor(this->link.GetLoop(), kRetryPauseMs);
  }
  if (outcome.charged) co_return Success();
  Error error =
      Error::Of(ErrorKind::kTeamLimit,
                "team " + team + " is " + std::to_string(outcome.missing) +
                    " of " + std::to_string(tokens) + " tokens short");
  // Until the shares that this request draws on have earned it.
  const double drawn =
      static_cast<double>(std::min<std::int64_t>(this->slots, kMaxLenders + 1));
  const double earned_per_s =
      std::max(1.0, rate * drawn / static_cast<double>(this->slots));
  error.retry_after_ms =
      std::max(error.retry_after_ms,
               static_cast<DurationMs>(static_cast<double>(outcome.missing) *
                                       kMsPerS / earned_per_s));
  co_return error;
}

Task<ChargeOutcome> ShareExchange::ChargeWithLoans(std::string team,
                                                   std::string request_id,
                                                   Tokens tokens,
                                                   Tokens missing) {
  std::vector<Loan> loans;
  const bool ask = LoopNow() >= this->poor_until[team];
  if (ask) loans = co_await this->Borrow(team, missing);
  std::vector<Transfer> transfers;
  std::ranges::transform(loans, std::back_inserter(transfers), &Loan::transfer);
  const ChargeOutcome outcome =
      this->ledger.TryCharge(team, request_id, tokens, transfers, LoopNow());
  this->Confirm(loans);
  if (ask && !outcome.charged) this->poor_until[team] = LoopNow() + kPoorMs;
  co_return outcome;
}

void ShareExchange::Settle(std::string_view request_id, Tokens used) {
  static_cast<void>(this->ledger.Settle(request_id, used, LoopNow()));
}

ShareView ShareExchange::View(std::string_view team) {
  return this->ledger.View(team, LoopNow());
}

Tokens ShareExchange::Borrowed() const noexcept { return this->borrowed; }

Task<Result<std::string>> ShareExchange::AnswerLend(PeerCall& call) {
  const json ask = json::parse(call.body, nullptr, false);
  const bool fits = ask.is_object() && ask.contains("team") &&
                    ask["team"].is_string() && ask.contains("transfer") &&
                    ask["transfer"].is_string() && ask.contains("wanted") &&
                    ask["wanted"].is_number_integer();
  if (!fits) {
    co_return Error::Of(ErrorKind::kBadRequest, "not a request for tokens");
  }
  const std::string team = ask["team"].get<std::string>();
  const Tokens tokens =
      this->ledger.Lend(team, ask["transfer"].get<std::string>(),
                        ask["wanted"].get<Tokens>(), LoopNow());
  if (tokens > 0) {
    LogEvent(EventId::kTokensLent, {{"team", team},
                                    LogField::Of("to", call.from),
                                    LogField::Of("tokens", tokens)});
  }
  const json answer = {{"tokens", tokens},
                       {"left", this->ledger.View(team, LoopNow()).available}};
  co_return answer.dump();
}

Task<Result<std::string>> ShareExchange::AnswerConfirm(PeerCall& call) {
  const json confirmed = json::parse(call.body, nullptr, false);
  if (confirmed.is_array()) {
    std::ranges::for_each(confirmed, [this](const json& id) {
      if (id.is_string()) {
        this->ledger.Confirm(id.get<std::string>(), LoopNow());
      }
    });
  }
  co_return std::string("{}");
}

Task<std::vector<ShareExchange::Loan>> ShareExchange::Borrow(std::string team,
                                                             Tokens missing) {
  std::vector<Loan> loans;
  for (const std::string& lender : this->Lenders(team)) {
    if (missing <= 0) break;
    const TimeMs asked_at = LoopNow();
    const VmId& self = this->gossip.Members().Self();
    Transfer transfer{self.address + "-" + std::to_string(self.incarnation) +
                          "-" + std::to_string(this->next_transfer++),
                      team, 0, asked_at};
    const json ask = {
        {"team", team}, {"transfer", transfer.id}, {"wanted", missing}};
    const Result<std::string> answer = co_await this->link.Call(
        lender, std::string(kLendPath), ask.dump(), asked_at + kAskTimeoutMs);
    if (!answer) continue;
    transfer.tokens = TokensIn(answer.value(), "tokens");
    this->lenders[team].insert_or_assign(
        lender, LenderRow{TokensIn(answer.value(), "left"), LoopNow()});
    if (transfer.tokens <= 0) continue;
    missing -= transfer.tokens;
    this->borrowed += transfer.tokens;
    LogEvent(EventId::kTokensBorrowed,
             {{"team", team},
              {"from", lender},
              LogField::Of("tokens", transfer.tokens)});
    loans.push_back(Loan{std::move(transfer), lender});
  }
  co_return loans;
}

void ShareExchange::Confirm(const std::vector<Loan>& loans) {
  std::ranges::for_each(loans, [this](const Loan& loan) {
    const json ids = json::array({loan.transfer.id});
    // Lost confirmations only delay the lender's accrual until the transfer
    // expires there.
    Spawn(this->link.GetLoop(),
          [this, lender = loan.lender, body = ids.dump()]() -> Task<> {
            const Result<std::string> ignored =
                co_await this->link.Call(lender, std::string(kConfirmPath),
                                         body, LoopNow() + kTransferTtlMs);
            static_cast<void>(ignored);
          });
  });
}

std::vector<std::string> ShareExchange::Lenders(const std::string& team) {
  struct Candidate {
    std::string address;
    double worth = 0;
  };
  const TimeMs now = LoopNow();
  auto& heard = this->lenders[team];
  std::erase_if(heard, [now](const auto& row) {
    return now - row.second.heard_at > kHeardMs;
  });
  const ShareView own = this->ledger.View(team, now);
  const auto spec = this->teams.find(team);
  const double earned_per_ms =
      spec == this->teams.end()
          ? 0
          : static_cast<double>(spec->second.rate_tokens_per_s) / kMsPerS /
                static_cast<double>(this->slots);
  const auto cap = static_cast<double>(own.cap);
  std::vector<Candidate> candidates;
  std::ranges::for_each(
      this->gossip.Members().ServingMembers(), [&](const MemberUpdate& member) {
        if (member.address == this->gossip.Members().Self().address) return;
        const auto row = heard.find(member.address);
        // Of one that was not asked lately nothing is known.
        double level = cap / 2;
        if (row != heard.end()) {
          level = std::min(
              cap, static_cast<double>(row->second.left) +
                       earned_per_ms *
                           static_cast<double>(now - row->second.heard_at));
        }
        const bool near = member.data_centre == this->data_centre;
        candidates.push_back(
            Candidate{member.address, level * (near ? kNearFactor : 1.0)});
      });
  std::mt19937_64 random(RandomBits());
  std::ranges::shuffle(candidates, random);
  std::ranges::stable_sort(candidates, std::greater<>(), &Candidate::worth);
  if (candidates.size() > kMaxLenders) candidates.resize(kMaxLenders);
  std::vector<std::string> peers;
  std::ranges::transform(candidates, std::back_inserter(peers),
                         &Candidate::address);
  return peers;
}

}  // namespace limpethaven
