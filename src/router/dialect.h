/// @file
/// Interfaces between the router and the protocols of callers and endpoints.
/// There is one implementation for the product's own protocol, and one for each
/// other platform.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/caller_request.h"
#include "limpethaven/cell_scheduler.h"
#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/error.h"
#include "limpethaven/role_planner.h"
#include "net/http_message.h"
#include "router/stream_translator.h"

namespace limpethaven {

/// Protocol between callers and the router.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;
  /// Parses a caller's request.
  [[nodiscard]] virtual Result<CallerRequest> Read(
      const RequestHead& head, const std::string& body) const = 0;
  /// Finds the route of a request. @returns null when no route matches.
  [[nodiscard]] virtual const RouteSpec* FindRoute(
      const Configuration& config, const CallerRequest& request) const = 0;
  /// Head of the response to a request that was refused or failed.
  [[nodiscard]] virtual ResponseHead ErrorHead(const Error& error) const = 0;
  /// Body of the response to a request that was refused or failed.
  [[nodiscard]] virtual std::string ErrorBody(const Error& error) const = 0;
  /// Head of the response to the caller, derived from the head of the
  /// endpoint's response.
  [[nodiscard]] virtual ResponseHead AnswerHead(
      const ResponseHead& endpoint_head,
      const CallerRequest& request) const = 0;
  /// Event that ends a stream which has begun and cannot be completed. Empty
  /// where the protocol reports this by breaking the connection.
  [[nodiscard]] virtual std::optional<std::string> StreamErrorEvent(
      const Error& error) const = 0;
};

/// Refers to the KV cache of a prompt that an engine has prefilled.
struct KvHandle {
  std::string engine_address;
  std::string handle;
  friend auto operator<=>(const KvHandle&, const KvHandle&) = default;
};

/// One send of a caller's request to an endpoint.
struct Dispatch {
  const RequestHead& caller_head;
  const std::string& caller_body;
  const CallerRequest& request;
  const EndpointRecord& endpoint;
  std::string team;             ///< Empty on routes that need no key.
  DurationMs remaining_ms = 0;  ///< Time until the request's deadline.
  std::int64_t priority = 0;    ///< 0 is the highest.
  /// KV cache of the prompt that the engine is to fetch; empty when there is
  /// none to fetch.
  std::optional<KvHandle> kv_handle;
  /// Id of the reservation under which the request runs. The product's engine
  /// protocol sends it as `attempt`.
  std::string attempt;
  Tokens reserved_tokens = 0;  ///< KV cache reserved at the endpoint.
  /// State of the caller's stream; null for plain calls.
  const StreamTranslator* stream = nullptr;
  /// Whether this only reconnects to a run that the endpoint already has.
  bool reattach = false;
};

/// A call to an endpoint, ready to be sent.
struct OutgoingCall {
  RequestHead head;
  std::string body;
  friend bool operator==(const OutgoingCall&, const OutgoingCall&) = default;
};

/// Order to an engine to change between prefill and decode.
struct RoleChange {
  std::string engine;  ///< Id of the engine.
  PoolRole role = PoolRole::kPrefill;
  std::string holder;  ///< Name of the process that gives the order.
  /// Fencing token, at most 53 bits. The engine refuses an order whose token is
  /// lower than the highest one that it has acted on.
  std::uint64_t fence = 0;
  friend auto operator<=>(const RoleChange&, const RoleChange&) = default;
};

/// Classification of an endpoint's response.
struct AnswerClass {
  /// Whether the response is to this request and not to another one; always
  /// true where the heads of responses carry no request id.
  bool matches_request = false;
  /// Whether the endpoint reports that it has not run the request and never
  /// will.
  bool not_run = false;
  bool success = false;  ///< Whether the status is 2xx.
  /// Whether the caller has resumed the request over another connection.
  bool superseded = false;
  /// Whether a failure may be forwarded to a caller that expects a stream;
  /// otherwise the call counts as broken.
  bool final_failure = false;
  /// Whether the address now belongs to another endpoint.
  bool address_reassigned = false;
  /// Requests a second that the endpoint takes from all entry processes
  /// together; empty when it names no limit.
  std::optional<double> max_requests_per_s;
  /// Whether the head names this request. If it does not, a repetition of the
  /// response on the same connection cannot be told from the response to a
  /// later request.
  bool identified = true;
  /// Whether the endpoint reports that it failed by a fault of its own.
  bool server_error = false;
  /// Whether the endpoint reports that it is leaving.
  bool leaving = false;
  /// Time for which the endpoint wants no request from this process; empty when
  /// it names none.
  std::optional<DurationMs> pause_ms;
  /// Whether the endpoint refused the request for its load, and not because a
  /// KV cache could not be fetched.
  bool overloaded = false;
  /// Header whose value cannot be used, with that value; empty without one.
  std::string unusable_header;
  friend auto operator<=>(const AnswerClass&, const AnswerClass&) = default;
};

/// Protocol between the router and endpoints: builds calls and parses
/// responses.
class EndpointDialect {
 public:
  virtual ~EndpointDialect() = default;
  /// Builds the call that runs the request. For a generation, it may name a KV
  /// cache to fetch, or continue a stream.
  [[nodiscard]] virtual OutgoingCall Run(const Dispatch& dispatch) const = 0;
  /// Builds a call that only prefills the prompt of the request.
  [[nodiscard]] virtual OutgoingCall Prefill(
      const Dispatch& dispatch) const = 0;
  /// Builds a call that frees a KV cache which will not be fetched. Empty where
  /// the engine frees it after its TTL.
  [[nodiscard]] virtual std::optional<OutgoingCall> ReleaseKv(
      const KvHandle& kv_handle) const = 0;
  /// Builds a call that cancels a run whose answer is no longer wanted. Empty
  /// where closing the connection cancels it.
  [[nodiscard]] virtual std::optional<OutgoingCall> CancelAbandonedRun(
      const Dispatch& dispatch) const = 0;
  /// Builds a call that fetches a load report.
  [[nodiscard]] virtual OutgoingCall FetchLoad() const = 0;
  /// Classifies a response.
  /// @param body Body of the response; empty where only the head is classified.
  [[nodiscard]] virtual AnswerClass Classify(
      const ResponseHead& head, std::string_view body,
      const CallerRequest& request) const = 0;
  /// Builds a call that cancels a run on behalf of the owner of its cell. Empty
  /// where closing the connection cancels it.
  [[nodiscard]] virtual std::optional<OutgoingCall> CancelRun(
      const CancelCommand& command) const = 0;
  /// Builds a call that orders an engine to change its role. Empty where the
  /// protocol has no such order.
  [[nodiscard]] virtual std::optional<OutgoingCall> ChangeRole(
      const RoleChange& change) const = 0;
  /// Classifies the response to `ChangeRole`.
  [[nodiscard]] virtual RoleOrderOutcome ClassifyRoleChange(
      const ResponseHead& head) const = 0;
  /// Builds a call that fetches cache events.
  /// @param after Number of the last event that was read.
  /// @returns empty where the protocol has no cache events.
  [[nodiscard]] virtual std::optional<OutgoingCall> FetchCacheEvents(
      std::int64_t after) const = 0;
  /// Parses the response to `FetchCacheEvents`.
  [[nodiscard]] virtual Result<std::vector<CacheEvent>> ParseCacheEvents(
      std::string_view body) const = 0;
  /// Parses the KV handle in the response to `Prefill`.
  [[nodiscard]] virtual Result<std::string> ParseHandle(
      std::string_view body) const = 0;
  /// Parses the response to `FetchLoad`.
  [[nodiscard]] virtual Result<EngineLoad> ParseLoad(
      std::string_view body) const = 0;
  /// Creates the translator from an endpoint's stream to the caller's.
  /// @param pool Pool that serves the request; may be null.
  [[nodiscard]] virtual std::unique_ptr<StreamTranslator> NewStream(
      const CallerRequest& request, const PoolSpec* pool) const = 0;
  /// How often a broken stream is reconnected to its run at the same endpoint
  /// before the request is sent to another one.
  [[nodiscard]] virtual std::int64_t MaxReattaches() const noexcept = 0;
};

}  // namespace limpethaven
