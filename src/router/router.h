/// @file
/// Serves callers' requests: from a head and body to the end of an answer.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/retry_budget.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/share_exchange.h"
#include "router/dialect.h"

namespace limpethaven {

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
  RetrySettings retries;
  std::string data_centre;
};

/// What sessions share. Single threaded.
class RouterCore {
 public:
  explicit RouterCore(RouterParts router_parts);

  /// Endpoint of a pool with this role and the least work from here, nearest
  /// first; null when there is none. Those in `tried` are left out.
  [[nodiscard]] const EndpointRecord* Choose(
      const PoolSpec& pool, PoolRole role,
      const std::vector<std::string>& tried);
  /// Pool that a request of this route goes to; null when it is not there.
  [[nodiscard]] const PoolSpec* DrawPool(const RouteSpec& route);
  /// Repeats that the endpoints of a pool may get.
  [[nodiscard]] RetryBudget& BudgetOf(const std::string& pool);
  void AddWork(const std::string& endpoint, Tokens work);

  RouterParts parts;
  std::shared_ptr<const Configuration> config;

 private:
  std::unordered_map<std::string, Tokens> work;  ///< By endpoint id.
  std::unordered_map<std::string, RetryBudget> budgets;
  std::mt19937_64 random;
};

/// Routes requests to endpoints.
class Router {
 public:
  explicit Router(RouterParts router_parts);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void SetConfig(std::shared_ptr<const Configuration> next);
  /// Answers one request.
  Task<> Serve(Exchange& exchange);

 private:
  Task<> Refuse(Exchange& exchange, const std::string& id, const Error& error);

  RouterCore core;
};

}  // namespace limpethaven
