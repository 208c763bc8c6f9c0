/// @file
/// What differs between the product's own interface and others: how callers
/// ask, how endpoints are asked, and how their answers read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "limpethaven/caller_request.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/error.h"
#include "net/http_message.h"

namespace limpethaven {

/// How callers speak.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;
  /// Reads what a caller asks.
  [[nodiscard]] virtual Result<CallerRequest> Read(
      const RequestHead& head) const = 0;
  /// Head of the answer to a request that was refused or failed.
  [[nodiscard]] virtual ResponseHead RefusalHead(const Error& error) const = 0;
  /// Its body.
  [[nodiscard]] virtual std::string RefusalBody(const Error& error) const = 0;
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
  const CallerRequest& request;
  const EndpointRecord& endpoint;
  std::string team;                ///< Empty on routes open to all.
  DurationMs left_ms = 0;          ///< Time until the caller stops waiting.
  std::int64_t priority = 0;       ///< Rank, 0 first.
  std::optional<KvHandle> memory;  ///< Where its prompt was read.
  std::optional<std::int64_t> resume_after;  ///< Last event that was passed on.
};

/// What the head of an endpoint's answer says.
struct AnswerClass {
  bool own = false;      ///< It answers this attempt.
  bool not_run = false;  ///< The endpoint has not run it and never will.
  bool success = false;
  /// The address now belongs to another endpoint.
  bool other_endpoint = false;
  friend auto operator<=>(const AnswerClass&, const AnswerClass&) = default;
};

/// What an engine reports of itself, already old when it is read.
struct EngineReport {
  std::int64_t queued = 0;
  std::int64_t running = 0;
  Tokens kv_used = 0;
  Tokens kv_total = 0;
  friend auto operator<=>(const EngineReport&, const EngineReport&) = default;
};

/// How endpoints are asked.
class EndpointDialect {
 public:
  virtual ~EndpointDialect() = default;
  /// A plain call, or a generation; with memory to fetch, or an event to go on
  /// after.
  [[nodiscard]] virtual RequestHead Run(const Dispatch& dispatch) const = 0;
  /// The same request, to have its prompt read only.
  [[nodiscard]] virtual RequestHead Prefill(const Dispatch& dispatch) const = 0;
  /// Frees memory that will not be fetched.
  [[nodiscard]] virtual RequestHead FreeMemory(
      const KvHandle& memory) const = 0;
  /// Asks for a load report.
  [[nodiscard]] virtual RequestHead ReadReport(
      const EndpointRecord& endpoint) const = 0;
  [[nodiscard]] virtual AnswerClass Classify(
      const ResponseHead& head, const CallerRequest& request) const = 0;
  /// Headers of an endpoint's answer that the caller gets.
  [[nodiscard]] virtual Headers Passed(const Headers& headers) const = 0;
  /// Handle in the answer to `Prefill`.
  [[nodiscard]] virtual Result<std::string> ReadHandle(
      std::string_view body) const = 0;
  [[nodiscard]] virtual Result<EngineReport> ReadReportBody(
      std::string_view body) const = 0;
};

}  // namespace limpethaven
