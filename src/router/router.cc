#include "router/router.h"

#include <algorithm>
#include <limits>
#include <map>

#include "limpethaven/crypto.h"
#include "limpethaven/request_fingerprint.h"
#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

/// Extra cost of an endpoint in another data centre, in calls in flight. It is
/// less than one call, so it decides only between endpoints with equally many
/// calls.
constexpr double kRemoteCostCalls = 0.01;
/// Largest random extra cost, in calls in flight. It spreads requests over
/// endpoints that are equal otherwise.
constexpr double kMaxJitterCalls = 0.001;
constexpr std::size_t kChargeIdBytes = 8;
/// Time for which an endpoint is expected to go on refusing requests.
constexpr DurationMs kAnonymousRefusalMs = 5000;

}  // namespace

RouterCore::RouterCore(RouterParts router_parts,
                       const RouterSettings& router_settings)
    : parts(std::move(router_parts)),
      settings(router_settings),
      config(std::make_shared<const Configuration>()),
      active(router_settings.max_requests),
      limits(RandomBits()),
      plain(PlainBalanceSettings{router_settings.balance_plain_pools,
                                 router_settings.balance_min_processes},
            this->parts.data_centre),
      random(RandomBits()),
      started_at(LoopNow()) {
  if (this->settings.balance_plain_pools) {
    this->parts.gossip.ShareLoad(this->plain);
  }
}

bool RouterCore::SpreadsEvenly(const PoolSpec& pool) const {
  std::map<std::string, std::int64_t> slots;  // Keyed by data centre.
  std::ranges::for_each(this->parts.gossip.Members().ServingMembers(),
                        [&slots](const MemberUpdate& member) {
                          slots.try_emplace(member.data_centre, 0);
                        });
  std::ranges::for_each(this->parts.table.Usable(pool.name),
                        [&slots](const EndpointRecord* endpoint) {
                          slots[endpoint->data_centre] += endpoint->slots;
                        });
  return std::ranges::all_of(slots, [&slots](const auto& row) {
    return row.second == slots.begin()->second;
  });
}

const EndpointRecord* RouterCore::ChooseByShares(
    const PoolSpec& pool, const std::vector<std::string>& tried,
    const std::string& request, TimeMs now) {
  if (!this->plain.InForce()) return nullptr;
  if (this->settings.balance_uneven_only && this->SpreadsEvenly(pool)) {
    return nullptr;
  }
  std::vector<const EndpointRecord*> endpoints =
      this->parts.table.Usable(pool.name);
  std::erase_if(endpoints, [&](const EndpointRecord* endpoint) {
    return this->limits.WaitMs(endpoint->id, now) > 0 ||
           this->pauses.WaitMs(endpoint->id, now) > 0 ||
           !this->health.Usable(endpoint->id, now);
  });
  if (endpoints.size() < 2) return nullptr;
  return this->plain.Choose(
      pool.name, endpoints, tried, request,
      [this](const std::string& endpoint) {
        const auto calls = this->in_flight.find(endpoint);
        return calls == this->in_flight.end() ? 0 : calls->second;
      },
      now);
}

const EndpointRecord* RouterCore::ChooseEndpoint(
    const PoolSpec& pool, const std::vector<std::string>& tried,
    const std::string& request) {
  double best_cost = 0;
  bool best_healthy = false;
  const TimeMs now = LoopNow();
  std::uniform_real_distribution<double> jitter(0, kMaxJitterCalls);
  this->limits.SetProcessCount(
      static_cast<std::int64_t>(
          this->parts.gossip.Members().ServingMembers().size()),
      now);
  const EndpointRecord* best = this->ChooseByShares(pool, tried, request, now);
  const bool by_shares = best != nullptr;
  for (const EndpointRecord* endpoint : this->parts.table.Usable(pool.name)) {
    if (by_shares) break;
    if (std::ranges::find(tried, endpoint->id) != tried.end()) continue;
    if (this->limits.WaitMs(endpoint->id, now) > 0) continue;
    if (this->pauses.WaitMs(endpoint->id, now) > 0) continue;
    const auto calls = this->in_flight.find(endpoint->id);
    const double load =
        calls == this->in_flight.end() ? 0 : static_cast<double>(calls->second);
    const bool local = endpoint->data_centre == this->parts.data_centre;
    const bool healthy = this->health.Usable(endpoint->id, now);
    const double cost =
        load + (local ? 0 : kRemoteCostCalls) + jitter(this->random);
    // An ejected endpoint is chosen only when no healthy one is left.
    const bool better = best == nullptr || (healthy && !best_healthy) ||
                        (healthy == best_healthy && cost < best_cost);
    if (!better) continue;
    best = endpoint;
    best_cost = cost;
    best_healthy = healthy;
  }
  if (best != nullptr) {
    this->health.OnChosen(best->id, now);
    this->limits.OnSend(best->id, now);
  }
  return best;
}

DurationMs RouterCore::PoolWaitMs(const PoolSpec& pool, bool decodes) const {
  const TimeMs now = LoopNow();
  std::optional<DurationMs> shortest;
  std::ranges::for_each(
      this->parts.table.Usable(pool.name), [&](const EndpointRecord* endpoint) {
        if (decodes && endpoint->role == PoolRole::kPrefill) return;
        // The owner of the cell keeps the limits of engines.
        const DurationMs limit_ms =
            decodes ? 0 : this->limits.WaitMs(endpoint->id, now);
        const DurationMs wait_ms =
            std::max(limit_ms, this->pauses.WaitMs(endpoint->id, now));
        shortest = std::min(shortest.value_or(wait_ms), wait_ms);
      });
  return shortest.value_or(0);
}

const PoolSpec* RouterCore::DrawPool(const RouteSpec& route) {
  std::string name = route.pool.empty() ? route.decode_pool : route.pool;
  if (!route.targets.empty()) {
    std::vector<double> weights;
    std::ranges::transform(route.targets, std::back_inserter(weights),
                           [](const WeightedPool& target) {
                             return static_cast<double>(target.weight);
                           });
    std::discrete_distribution<std::size_t> draw(weights.begin(),
                                                 weights.end());
    name = route.targets[draw(this->random)].pool;
  }
  const auto row = this->config->pools.find(name);
  return row == this->config->pools.end() ? nullptr : &row->second;
}

RetryBudget& RouterCore::BudgetOf(const std::string& pool) {
  const auto row = this->budgets
                       .try_emplace(pool, RetryBudget(this->settings.retries,
                                                      this->started_at))
                       .first;
  const auto members = this->parts.gossip.Members().Members().size();
  row->second.SetProcessCount(static_cast<std::int64_t>(members) + 1);
  return row->second;
}

void RouterCore::AddInFlight(const std::string& endpoint, std::int64_t calls) {
  const auto row = this->in_flight.try_emplace(endpoint, 0).first;
  row->second += calls;
  if (calls > 0) this->plain.OnCall(endpoint, LoopNow());
  if (calls < 0) this->plain.OnCallEnd(endpoint, LoopNow());
  if (row->second <= 0) this->in_flight.erase(row);
}

void RouterCore::NoteOutcome(const std::string& endpoint, SendOutcome outcome) {
  const TimeMs now = LoopNow();
  const bool served =
      outcome == SendOutcome::kAnswered || outcome == SendOutcome::kFailed;
  const bool unanswered =
      outcome == SendOutcome::kBroken || outcome == SendOutcome::kSilent;
  if (unanswered && this->plain.OnFailure(endpoint, now)) {
    this->parts.gossip.AnnounceLoad();
  }
  if (served) {
    if (this->health.OnSuccess(endpoint, now)) {
      LogEvent(EventId::kEndpointReturned, {{"endpoint", endpoint}});
    }
  } else if (this->health.OnFailure(endpoint, now)) {
    LogEvent(EventId::kEndpointEjected,
             {{"endpoint", endpoint},
              {"why", "too many recent failures, or a failed probe"}});
  }
}

void RouterCore::CountPeerFailures(TimeMs now) {
  const std::vector<WeightedFailures> failures = this->plain.TakePeerFailures();
  if (failures.empty()) return;
  const std::vector<EndpointRecord> endpoints = this->parts.table.All();
  std::ranges::for_each(endpoints, [&](const EndpointRecord& endpoint) {
    if (endpoint.role != PoolRole::kService) return;
    const std::uint32_t key = ReportKeyOf(endpoint.id);
    std::ranges::for_each(failures, [&](const WeightedFailures& entry) {
      if (entry.endpoint != key) return;
      if (!this->health.OnPeerFailures(endpoint.id, now, entry.failures)) {
        return;
      }
      LogEvent(EventId::kEndpointEjected,
               {{"endpoint", endpoint.id},
                {"why",
                 "too many recent failures, most of them reported by "
                 "peers"}});
    });
  });
}

void RouterCore::NoteLimit(const std::string& endpoint,
                           const AnswerClass& answer) {
  switch (
      this->limits.OnAnswer(endpoint, answer.max_requests_per_s, LoopNow())) {
    case LimitChange::kNone:
      break;
    case LimitChange::kNamed:
      LogEvent(EventId::kEndpointLimitNamed,
               {{"endpoint", endpoint},
                {"per_s", std::to_string(*answer.max_requests_per_s)}});
      break;
    case LimitChange::kEnded:
      LogEvent(EventId::kEndpointLimitEnded, {{"endpoint", endpoint}});
      break;
  }
}

void RouterCore::NoteAnswer(const EndpointRecord& endpoint,
                            const AnswerClass& answer) {
  const auto budget = this->budgets.find(endpoint.pool);
  if (budget != this->budgets.end()) {
    budget->second.OnAnswer(endpoint.id, LoopNow());
  }
  this->NoteLimit(endpoint.id, answer);
  if (answer.leaving) {
    this->parts.endpoint_listener.OnEndpointLeaving(
        LeavingEndpoint{endpoint.id, endpoint.born});
  }
  if (!answer.unusable_header.empty()) {
    LogEvent(EventId::kEndpointRejected,
             {{"what", endpoint.id}, {"why", answer.unusable_header}});
  }
  if (!answer.pause_ms) return;
  if (this->pauses.Pause(endpoint.id, *answer.pause_ms, LoopNow())) {
    LogEvent(EventId::kEndpointPaused,
             {{"endpoint", endpoint.id},
              LogField::Of("pause_ms", *answer.pause_ms)});
  }
}

void RouterCore::NoteAnonymousRefusal(const std::string& endpoint) {
  this->anonymous_refusals.insert_or_assign(endpoint, LoopNow());
}

bool RouterCore::RefusesAnonymously(const std::string& endpoint) const {
  return this->anonymous_refusals.contains(endpoint);
}

void RouterCore::Expire(TimeMs now) {
  if (this->settings.balance_plain_pools) {
    this->plain.SetServing(this->parts.gossip.Members().ServingMembers(), now);
    this->plain.Expire(now);
    this->CountPeerFailures(now);
  }
  std::erase_if(this->anonymous_refusals, [now](const auto& row) {
    return now - row.second >= kAnonymousRefusalMs;
  });
  std::ranges::for_each(
      this->limits.Expire(now), [](const std::string& endpoint) {
        LogEvent(EventId::kEndpointLimitEnded, {{"endpoint", endpoint}});
      });
  std::ranges::for_each(
      this->pauses.Expire(now), [](const std::string& endpoint) {
        LogEvent(EventId::kEndpointPauseEnded, {{"endpoint", endpoint}});
      });
  std::ranges::for_each(this->budgets, [&](auto& row) {
    row.second.EndSilence(
        [this](const std::string& endpoint) {
          return this->parts.table.Find(endpoint) == nullptr;
        },
        now);
  });
}

std::optional<Error> RouterCore::CheckQuarantine(
    const std::vector<std::string>& request_parts) const {
  const std::optional<QuarantinedPart> found =
      this->parts.quarantine.Find(request_parts, LoopNow());
  if (!found) return std::nullopt;
  const bool request = found->part.starts_with(kFingerprintPrefix);
  Error error = Error::Of(
      ErrorKind::kPromptQuarantined,
      (request ? "this request" : "part " + found->part + " of the prompt") +
          " is quarantined: " + std::to_string(found->crashes) +
          (request ? " endpoints crashed when they ran it"
                   : " engines crashed when they began to answer a prompt "
                     "with it"));
  error.retry_after_ms = found->remaining_ms;
  return error;
}

void RouterCore::NoteCrash(const EndpointRecord& endpoint,
                           const std::string& request,
                           const std::vector<std::string>& request_parts) {
  this->parts.quarantine.OnCrash(
      request_parts, endpoint.id + "#" + std::to_string(endpoint.born),
      LoopNow());
  LogEvent(EventId::kPromptCrashRecorded,
           {{"request", request},
            {"endpoint", endpoint.id},
            {"content", request_parts.back()},
            LogField::Of("parts", request_parts.size())});
  this->parts.gossip.AnnounceEvidence();
}

double RouterCore::RetriesLeft() {
  const TimeMs now = LoopNow();
  double least = std::numeric_limits<double>::max();
  std::ranges::for_each(this->budgets, [&](auto& row) {
    least = std::min(least, row.second.RetriesLeft(now));
  });
  return this->budgets.empty() ? 0 : least;
}

std::size_t RouterCore::Ejected() const {
  const TimeMs now = LoopNow();
  return static_cast<std::size_t>(std::ranges::count_if(
      this->parts.table.All(), [&](const EndpointRecord& endpoint) {
        return !this->health.Usable(endpoint.id, now);
      }));
}

Router::Router(RouterParts router_parts, const RouterSettings& router_settings)
    : core(std::move(router_parts), router_settings) {}

Router::~Router() = default;

void Router::SetConfig(std::shared_ptr<const Configuration> next) {
  this->core.config = std::move(next);
}

Task<> Router::Serve(Exchange& exchange) {
  Result<AdmittedRequest> admitted = Admit(this->core, exchange);
  if (!admitted) {
    co_await this->Refuse(exchange, "", admitted.error());
    co_return;
  }
  // Checked here too, so that a request that is refused charges no tokens.
  if (!this->core.stop_admission.Admits(admitted.value().deadline)) {
    co_await this->Refuse(exchange, admitted.value().request.attempt_id,
                          MakeStopError());
    co_return;
  }
  if (this->core.parts.quarantine.HasEvidence()) {
    const auto quarantined =
        this->core.CheckQuarantine(SuspectParts(admitted.value(), exchange));
    if (quarantined) {
      co_await this->Refuse(exchange, admitted.value().request.attempt_id,
                            *quarantined);
      co_return;
    }
  }
  Charge charge;
  const std::string team = admitted.value().team;
  const Tokens tokens = ChargeOf(admitted.value());
  if (!team.empty() && tokens > 0) {
    const std::string charge_id = RandomHex(kChargeIdBytes);
    const Result<void> charged =
        co_await this->core.parts.shares.Charge(team, charge_id, tokens);
    if (!charged) {
      co_await this->Refuse(exchange, admitted.value().request.attempt_id,
                            charged.error());
      co_return;
    }
    charge = Charge(this->core.parts.shares, charge_id, tokens);
    this->core.parts.metrics.OnCharge(team, tokens);
  }
  std::unique_ptr<Session> session;
  if (IsGeneration(admitted.value())) {
    session = std::make_unique<GenerationSession>(
        this->core, exchange, std::move(admitted.value()), std::move(charge));
  } else {
    session = std::make_unique<PlainSession>(
        this->core, exchange, std::move(admitted.value()), std::move(charge));
  }
  co_await session->Serve();
}

Task<> Router::Refuse(Exchange& exchange, const std::string& id,
                      const Error& error) {
  this->core.parts.metrics.OnEnd("refused", std::string(RowOf(error.kind).name),
                                 LoopNow() - exchange.ReceivedAt());
  LogEvent(RowOf(error.kind).event,
           {{"request", id},
            {"kind", std::string(RowOf(error.kind).name)},
            {"why", error.message},
            LogField::Of("version", this->core.config->version)});
  co_await exchange.Answer(this->core.parts.callers.ErrorHead(error),
                           this->core.parts.callers.ErrorBody(error));
}

RouterCore& Router::Core() noexcept { return this->core; }

}  // namespace limpethaven
