/// @file
/// Serves callers' requests, from the parsed HTTP request to the end of the
/// response.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_health.h"
#include "limpethaven/endpoint_limits.h"
#include "limpethaven/endpoint_pauses.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/prompt_quarantine.h"
#include "limpethaven/request_record.h"
#include "limpethaven/retry_budget.h"
#include "limpethaven/stop_admission.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer/cell_exchange.h"
#include "peer/gossip.h"
#include "peer/share_exchange.h"
#include "router/active_requests.h"
#include "router/dialect.h"
#include "router/metrics.h"
#include "router/plain_balance.h"

namespace limpethaven {

/// Settings of a router.
struct RouterSettings {
  RetrySettings retries;
  /// Whether a team gets back tokens that it was charged and that were not
  /// produced.
  bool refund_unused_tokens = false;
  /// Whether a generation may be sent to a decode engine without a KV cache to
  /// fetch; that engine then prefills the prompt itself.
  bool allow_local_prefill = false;
  /// Most requests that are served at once; further ones are refused.
  std::size_t max_requests = 3000;
  /// Whether calls to plain services are divided among their endpoints by
  /// shares that all processes compute from their reports to each other.
  bool balance_plain_pools = false;
  /// Number of serving processes from which that is in force, at least 1. Few
  /// processes balance well enough by their own calls in flight.
  std::int64_t balance_min_processes = 1;
  /// Whether `balance_plain_pools` is in force only for pools whose slots are
  /// not the same in all data centres that have processes.
  bool balance_uneven_only = false;
};

/// Receives what endpoints say about themselves in their answers.
class EndpointListener {
 public:
  virtual ~EndpointListener() = default;
  /// Called for each answer of an endpoint that is leaving.
  virtual void OnEndpointLeaving(const LeavingEndpoint& endpoint) = 0;
};

/// Components that a router uses. All of them must outlive the router.
struct RouterParts {
  Loop& loop;
  const CallerDialect& callers;
  const EndpointDialect& endpoints;
  ConnectionPool& pool;  ///< Connections to endpoints.
  EndpointTable& table;
  ShareExchange& shares;
  CellExchange& cells;
  Gossip& gossip;
  PromptQuarantine& quarantine;
  Metrics& metrics;
  EndpointListener& endpoint_listener;
  std::string data_centre;  ///< Data centre of this process.
};

/// State that all sessions share. Not thread safe.
class RouterCore {
 public:
  RouterCore(RouterParts router_parts, const RouterSettings& router_settings);

  /// Chooses the endpoint of a pool with the fewest calls in flight from this
  /// process; among equals, one in this data centre. An ejected endpoint is
  /// chosen only when no other is left, and none whose limit on requests is
  /// used up or that is paused. The choice is recorded in the endpoints'
  /// health, since a request to an ejected endpoint is a probe, and in the
  /// limits. With `balance_plain_pools` in force, endpoints that are not
  /// ejected are chosen by `EndpointBalancer` instead.
  /// @param tried Ids of endpoints that are left out.
  /// @param request Id of the request, for the log.
  /// @returns null when there is none.
  [[nodiscard]] const EndpointRecord* ChooseEndpoint(
      const PoolSpec& pool, const std::vector<std::string>& tried,
      const std::string& request);
  /// Time until the first endpoint of a pool may be sent a request, if all of
  /// them are paused or have used up their limit on requests; 0 when one may be
  /// sent a request now, or there is none.
  /// @param decodes Whether only endpoints that can run a generation count.
  [[nodiscard]] DurationMs PoolWaitMs(const PoolSpec& pool, bool decodes) const;
  /// Draws the pool for a request of this route, by the weights of the route's
  /// targets. @returns null when the pool is not configured.
  [[nodiscard]] const PoolSpec* DrawPool(const RouteSpec& route);
  /// Retry budget of a pool; created at first use.
  [[nodiscard]] RetryBudget& BudgetOf(const std::string& pool);
  /// Adds `calls` to the number of calls in flight from this process to an
  /// endpoint; negative when calls have ended.
  void AddInFlight(const std::string& endpoint, std::int64_t calls);
  /// Records the outcome of a call to an endpoint of a plain service, and logs
  /// when the endpoint is ejected or returns. Peers are told of a call that
  /// brought no answer, but not of one that the endpoint has refused or that
  /// could not be sent.
  void NoteOutcome(const std::string& endpoint, SendOutcome outcome);
  /// Refusal of a request with a quarantined part; empty for other requests.
  /// @param request_parts Result of `SuspectParts`.
  [[nodiscard]] std::optional<Error> CheckQuarantine(
      const std::vector<std::string>& request_parts) const;
  /// Records that an endpoint has crashed under a request, and tells the peers.
  /// @param request Id of the request, for the log.
  /// @param request_parts Result of `SuspectParts`.
  void NoteCrash(const EndpointRecord& endpoint, const std::string& request,
                 const std::vector<std::string>& request_parts);
  /// Records an answer of an endpoint: that it is not silent, its limit on
  /// requests, a pause, that it is leaving.
  void NoteAnswer(const EndpointRecord& endpoint, const AnswerClass& answer);
  /// Records that an endpoint has refused a request without naming it.
  void NoteAnonymousRefusal(const std::string& endpoint);
  /// Whether an endpoint has refused a request lately without naming it.
  [[nodiscard]] bool RefusesAnonymously(const std::string& endpoint) const;
  /// Removes the limits of endpoints that no longer answer, the pauses that are
  /// over, and the silence of endpoints that are gone. Counts the failures that
  /// peers have reported.
  void Expire(TimeMs now);
  /// Smallest number of retries left in any pool's budget; 0 when there is no
  /// budget yet.
  [[nodiscard]] double RetriesLeft();
  /// Number of endpoints that are ejected now.
  [[nodiscard]] std::size_t Ejected() const;

  RouterParts parts;
  RouterSettings settings;
  /// Configuration for requests that are admitted from now on; never null.
  std::shared_ptr<const Configuration> config;
  ActiveRequests active;
  EndpointLimits limits;
  EndpointPauses pauses;
  StopAdmission stop_admission;
  /// Time of the last prefill call that an engine rejected, keyed by pool.
  std::unordered_map<std::string, TimeMs> prefill_rejected_at;
  PlainBalance plain;
  /// Bytes of endpoints' answers that are held until they are complete.
  std::size_t buffered_bytes = 0;

 private:
  /// Whether the usable endpoints of a pool have the same number of slots in
  /// each data centre that has a process.
  [[nodiscard]] bool SpreadsEvenly(const PoolSpec& pool) const;
  /// Chooses among the endpoints that are not ejected, by shares.
  /// @returns null when balancing is not in force or none is left.
  [[nodiscard]] const EndpointRecord* ChooseByShares(
      const PoolSpec& pool, const std::vector<std::string>& tried,
      const std::string& request, TimeMs now);
  void CountPeerFailures(TimeMs now);
  void NoteLimit(const std::string& endpoint, const AnswerClass& answer);

  /// Calls in flight from this process, keyed by endpoint id.
  std::unordered_map<std::string, std::int64_t> in_flight;
  /// Retry budgets, keyed by pool name.
  std::unordered_map<std::string, RetryBudget> budgets;
  EndpointHealth health;
  /// Times of the last refusals without a request id, keyed by endpoint id.
  std::unordered_map<std::string, TimeMs> anonymous_refusals;
  std::mt19937_64 random;
  TimeMs started_at;
};

/// Routes requests to endpoints.
class Router {
 public:
  Router(RouterParts router_parts, const RouterSettings& router_settings);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Sets the configuration for requests that are admitted from now on.
  void SetConfig(std::shared_ptr<const Configuration> next);
  /// Admits, charges and serves one request.
  Task<> Serve(Exchange& exchange);
  /// Counts and logs a refusal, and answers with the error.
  /// @param id Request id; empty when the request was not admitted.
  Task<> Refuse(Exchange& exchange, const std::string& id, const Error& error);
  [[nodiscard]] RouterCore& Core() noexcept;

 private:
  RouterCore core;
};

}  // namespace limpethaven
