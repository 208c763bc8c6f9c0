#include "router/router.h"

#include <algorithm>

#include "limpethaven/crypto.h"
#include "log/event_log.h"
#include "router/session.h"

namespace limpethaven {
namespace {

/// Cost of an endpoint in another data centre, in units of work: it only
/// decides between endpoints with the same work.
constexpr double kFarCost = 0.01;
/// Spreads requests over endpoints that are equal otherwise.
constexpr double kJitter = 0.001;

}  // namespace

RouterCore::RouterCore(RouterParts router_parts)
    : parts(std::move(router_parts)),
      config(std::make_shared<const Configuration>()),
      random(RandomBits()) {}

const EndpointRecord* RouterCore::Choose(
    const PoolSpec& pool, PoolRole role,
    const std::vector<std::string>& tried) {
  const EndpointRecord* best = nullptr;
  double best_cost = 0;
  std::uniform_real_distribution<double> jitter(0, kJitter);
  for (const EndpointRecord* endpoint : this->parts.table.Usable(pool.name)) {
    const bool passed_over =
        endpoint->role != role ||
        std::ranges::find(tried, endpoint->id) != tried.end();
    if (passed_over) continue;
    const auto known = this->work.find(endpoint->id);
    const double load =
        known == this->work.end() ? 0 : static_cast<double>(known->second);
    const bool near = endpoint->data_centre == this->parts.data_centre;
    const double cost = load + (near ? 0 : kFarCost) + jitter(this->random);
    if (best != nullptr && cost >= best_cost) continue;
    best = endpoint;
    best_cost = cost;
  }
  return best;
}

const PoolSpec* RouterCore::DrawPool(const RouteSpec& route) {
  std::string name = route.pool;
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
  const auto row =
      this->budgets.try_emplace(pool, RetryBudget(this->parts.retries)).first;
  const auto members = this->parts.gossip.Members().Members().size();
  row->second.SetProcesses(static_cast<std::int64_t>(members) + 1);
  return row->second;
}

void RouterCore::AddWork(const std::string& endpoint, Tokens amount) {
  const auto row = this->work.try_emplace(endpoint, 0).first;
  row->second += amount;
  if (row->second <= 0) this->work.erase(row);
}

Router::Router(RouterParts router_parts) : core(std::move(router_parts)) {}

Router::~Router() = default;

void Router::SetConfig(std::shared_ptr<const Configuration> next) {
  this->core.config = std::move(next);
}

Task<> Router::Serve(Exchange& exchange) {
  Result<Admitted> admitted = Admit(this->core, exchange);
  if (!admitted) {
    co_await this->Refuse(exchange, "", admitted.error());
    co_return;
  }
  const std::string charge_id = RandomHex(8);
  const std::string id = admitted.value().request.attempt_id;
  const Tokens tokens = ChargeOf(admitted.value());
  const bool limited = !admitted.value().team.empty();
  if (limited) {
    const Result<void> charged = co_await this->core.parts.shares.Charge(
        admitted.value().team, charge_id, tokens);
    if (!charged) {
      co_await this->Refuse(exchange, id, charged.error());
      co_return;
    }
  }
  std::unique_ptr<Session> session;
  if (admitted.value().pool->engine) {
    session = std::make_unique<GenerationSession>(this->core, exchange,
                                                  std::move(admitted.value()));
  } else {
    session = std::make_unique<PlainSession>(this->core, exchange,
                                             std::move(admitted.value()));
  }
  const Ran ran = co_await session->Serve();
  if (limited) {
    this->core.parts.shares.Settle(charge_id, ran == Ran::kNo ? 0 : tokens);
  }
}

Task<> Router::Refuse(Exchange& exchange, const std::string& id,
                      const Error& error) {
  LogEvent(EventId::kRequestRefused,
           {{"request", id},
            {"kind", std::string(RowOf(error.kind).name)},
            {"why", error.message},
            LogField::Of("version", this->core.config->version)});
  co_await exchange.Answer(this->core.parts.callers.RefusalHead(error),
                           this->core.parts.callers.RefusalBody(error));
}

}  // namespace limpethaven
