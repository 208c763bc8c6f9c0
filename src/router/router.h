/// @file
/// Serves callers' requests: from a head and body to the end of an answer.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_health.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/retry_budget.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/share_exchange.h"
#include "router/active_requests.h"
#include "router/dialect.h"
#include "router/metrics.h"

namespace limpethaven {

/// How a router treats requests.
struct RouterSettings {
  RetrySettings retries;
  /// Whether tokens that were charged and not produced are given back.
  bool refund_unused_tokens = false;
  /// Whether a generation without memory read elsewhere may be sent to a decode
  /// engine, which then reads the prompt.
  bool allow_local_prefill = false;
  std::size_t max_requests = 3000;  ///< Served at once; more are refused.
};

/// What a router works with. All of it outlives the router.
struct RouterParts {
  Loop& loop;
  const CallerDialect& callers;
  const EndpointDialect& endpoints;
  ConnectionPool& pool;
  EndpointTable& table;
  ShareExchange& shares;
  CellExchange& cells;
  const Gossip& gossip;
  Metrics& metrics;
  std::string data_centre;
};

/// What sessions share. Single threaded.
class RouterCore {
 public:
  RouterCore(RouterParts router_parts, const RouterSettings& router_settings);

  /// Endpoint of a pool with the least work from here, nearest first; null when
  /// there is none. Those in `tried` are left out.
  [[nodiscard]] const EndpointRecord* Choose(
      const PoolSpec& pool, const std::vector<std::string>& tried);
  /// Pool that a request of this route goes to; null when it is not there.
  [[nodiscard]] const PoolSpec* DrawPool(const RouteSpec& route);
  /// Repeats that the endpoints of a pool may get.
  [[nodiscard]] RetryBudget& BudgetOf(const std::string& pool);
  void AddWork(const std::string& endpoint, std::int64_t work);
  /// What came of a call to a plain endpoint.
  void NoteOutcome(const std::string& endpoint, bool served);
  /// Least repeats left of all pools.
  [[nodiscard]] double RetriesLeft();
  /// Endpoints that get no work for a while.
  [[nodiscard]] std::size_t Ejected() const;

  RouterParts parts;
  RouterSettings settings;
  std::shared_ptr<const Configuration> config;
  ActiveRequests active;

 private:
  std::unordered_map<std::string, std::int64_t> work;  ///< By endpoint id.
  std::unordered_map<std::string, RetryBudget> budgets;
  EndpointHealth health;
  std::mt19937_64 random;
};

/// Routes requests to endpoints.
class Router {
 public:
  Router(RouterParts router_parts, const RouterSettings& router_settings);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void SetConfig(std::shared_ptr<const Configuration> next);
  /// Answers one request.
  Task<> Serve(Exchange& exchange);
  /// Answers with an error.
  Task<> Refuse(Exchange& exchange, const std::string& id, const Error& error);
  [[nodiscard]] RouterCore& Core() noexcept;

 private:
  RouterCore core;
};

}  // namespace limpethaven
