/// @file
/// What differs between the product's own interface and others: how callers
/// ask, how endpoints are asked, and how their answers read.
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
#include "net/http_message.h"
#include "router/stream_translator.h"

namespace limpethaven {

/// How callers speak.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;
  /// Reads what a caller asks.
  [[nodiscard]] virtual Result<CallerRequest> Read(
      const RequestHead& head, const std::string& body) const = 0;
  /// Route of a request, or null.
  [[nodiscard]] virtual const RouteSpec* FindRoute(
      const Configuration& config, const CallerRequest& request) const = 0;
  /// Head of the answer to a request that was refused or failed.
  [[nodiscard]] virtual ResponseHead ErrorHead(const Error& error) const = 0;
  /// Its body.
  [[nodiscard]] virtual std::string ErrorBody(const Error& error) const = 0;
  /// Head of a caller's answer, made from the endpoint's.
  [[nodiscard]] virtual ResponseHead AnswerHead(
      const ResponseHead& endpoint_head,
      const CallerRequest& request) const = 0;
  /// What ends a stream that has begun and cannot be finished; empty where only
  /// a broken connection says so.
  [[nodiscard]] virtual std::optional<std::string> StreamErrorEvent(
      const Error& error) const = 0;
};

/// Memory of a prompt that was prefilled at an engine.
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
  std::string team;                   ///< Empty on routes open to all.
  DurationMs remaining_ms = 0;        ///< Time until the caller stops waiting.
  std::int64_t priority = 0;          ///< Rank, 0 first.
  std::optional<KvHandle> kv_handle;  ///< Where its prompt was read.
  std::string attempt;         ///< Name of the placement that it runs under.
  Tokens reserved_tokens = 0;  ///< Memory set aside at the endpoint.
  /// What has been passed on of its stream; null for plain calls.
  const StreamTranslator* stream = nullptr;
  bool reattach = false;  ///< Only goes on with a run that the endpoint has.
};

/// A call to an endpoint, ready to be sent.
struct OutgoingCall {
  RequestHead head;
  std::string body;
  friend bool operator==(const OutgoingCall&, const OutgoingCall&) = default;
};

/// What the head of an endpoint's answer says.
struct AnswerClass {
  bool matches_request = false;  ///< It answers this attempt.
  bool not_run = false;  ///< The endpoint has not run it and never will.
  bool success = false;
  bool superseded = false;     ///< The caller went on over another connection.
  bool final_failure = false;  ///< A failure that the caller is to see.
  /// The address now belongs to another endpoint.
  bool address_reassigned = false;
  friend auto operator<=>(const AnswerClass&, const AnswerClass&) = default;
};

/// How endpoints are asked.
class EndpointDialect {
 public:
  virtual ~EndpointDialect() = default;
  /// A plain call, or a generation; with memory to fetch, or a stream to go on
  /// with.
  [[nodiscard]] virtual OutgoingCall Run(const Dispatch& dispatch) const = 0;
  /// The same request, to have its prompt read only.
  [[nodiscard]] virtual OutgoingCall Prefill(
      const Dispatch& dispatch) const = 0;
  /// Frees memory that will not be fetched; empty where it lapses by itself.
  [[nodiscard]] virtual std::optional<OutgoingCall> ReleaseKv(
      const KvHandle& memory) const = 0;
  /// Ends a run whose caller is gone; empty where the closed connection does.
  [[nodiscard]] virtual std::optional<OutgoingCall> CancelAbandonedRun(
      const Dispatch& dispatch) const = 0;
  /// Asks for a load report.
  [[nodiscard]] virtual OutgoingCall FetchLoad() const = 0;
  /// @param body Of an answer that is no success; empty otherwise.
  [[nodiscard]] virtual AnswerClass Classify(
      const ResponseHead& head, std::string_view body,
      const CallerRequest& request) const = 0;
  /// Ends a run for the owner of its cell; empty where connections do.
  [[nodiscard]] virtual std::optional<OutgoingCall> CancelRun(
      const CancelCommand& command) const = 0;
  /// Asks for cache events; empty where they are not read.
  [[nodiscard]] virtual std::optional<OutgoingCall> FetchCacheEvents(
      std::int64_t after) const = 0;
  [[nodiscard]] virtual Result<std::vector<CacheEvent>> ParseCacheEvents(
      std::string_view body) const = 0;
  /// Handle in the answer to `Prefill`.
  [[nodiscard]] virtual Result<std::string> ParseHandle(
      std::string_view body) const = 0;
  [[nodiscard]] virtual Result<EngineLoad> ParseLoad(
      std::string_view body) const = 0;
  /// What turns an endpoint's stream into what the caller gets.
  [[nodiscard]] virtual std::unique_ptr<StreamTranslator> NewStream(
      const CallerRequest& request, const PoolSpec* pool) const = 0;
  /// Times that a broken stream is taken up again at the same endpoint, where
  /// its run goes on, before another is asked.
  [[nodiscard]] virtual std::int64_t MaxReattaches() const noexcept = 0;
};

}  // namespace limpethaven
