/// @file
/// Interfaces between the decision core and the outside: engines, plain
/// services, the platform's configuration and VM list, and peer processes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_codec.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Call to a prefill engine to process a prompt.
struct PrefillCall {
  std::string address;
  std::string request_id;
  std::string attempt;  ///< Nonce of this attempt; echoed in every event of it.
  std::string prompt;
  Tokens prompt_tokens = 0;
  DurationMs timeout_ms = 0;
};

/// Where the KV cache of a prompt can be fetched.
struct PrefillAnswer {
  std::string kv_handle;
  Tokens cached_tokens = 0;  ///< Prompt tokens found in the prefix cache.
  DurationMs elapsed_ms = 0;
  friend auto operator<=>(const PrefillAnswer&, const PrefillAnswer&) = default;
};

/// Call to a decode engine to generate, or to resume a stream at an offset.
struct GenerateCall {
  std::string address;
  std::string request_id;
  std::string attempt;
  /// Address of the prefill engine; empty when resuming.
  std::string kv_source;
  std::string kv_handle;
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;
  std::int64_t pieces = 0;
  std::int64_t priority = 0;
  std::int64_t offset = 0;  ///< Index of the first token to send.
  /// Whether to attach to the running attempt; the call never starts one then.
  bool resume = false;
  /// When resuming: number of the attachment to take over from. The engine
  /// refuses when a newer one exists; 0 takes over from any.
  std::int64_t expected_attachment = 0;
  DurationMs idle_timeout_ms = 0;  ///< Longest time to wait for an event.
};

/// One event of an engine's answer stream.
struct StreamEvent {
  std::string request_id;
  std::string attempt;
  std::int64_t offset = 0;  ///< Index of the first token in `text`.
  std::int64_t count = 0;   ///< Tokens in `text`.
  std::string text;
  bool last = false;  ///< Whether the engine marked it as the answer's end.
  /// Whether another connection took the stream over. It is the last event of
  /// this connection then.
  bool superseded = false;
  /// Number of this connection to the attempt; each new connection has a higher
  /// one.
  std::int64_t attachment = 0;
  friend auto operator<=>(const StreamEvent&, const StreamEvent&) = default;
};

/// One request in an engine's load report.
struct HeldRequest {
  std::string request_id;
  std::string attempt;
  std::int64_t pieces = 0;
  DurationMs age_ms = 0;
  /// Time since the last stream closed; 0 while one is open.
  DurationMs detached_ms = 0;
  friend auto operator<=>(const HeldRequest&, const HeldRequest&) = default;
};

/// An engine's load report. It describes the moment when the engine wrote it,
/// not the moment when it is read.
struct EngineLoad {
  std::int64_t pieces_used = 0;
  std::int64_t pieces_total = 0;
  std::vector<HeldRequest> held;
  /// Used and total KV cache, for engines that report tokens instead of pieces
  /// and do not list the requests in `held`.
  Tokens tokens_used = 0;
  Tokens tokens_total = 0;
  std::int64_t queued = 0;
  std::int64_t running = 0;
  friend auto operator<=>(const EngineLoad&, const EngineLoad&) = default;
};

/// A change of a prefill engine's prefix cache.
struct CacheEvent {
  std::int64_t number = 0;  ///< Ascending; there may be gaps.
  /// Hash of the prefix up to and including the block.
  std::uint64_t block = 0;
  bool added = false;  ///< False when the block was evicted.
  friend auto operator<=>(const CacheEvent&, const CacheEvent&) = default;
};

/// Order to an engine to serve a model in a role. Idempotent.
struct EngineOrder {
  std::string model;
  std::string model_version;
  std::string role;
  /// Fencing token. An engine that checks it refuses an order with a lower one
  /// than that of the last order.
  std::uint64_t fence = 0;
  friend auto operator<=>(const EngineOrder&, const EngineOrder&) = default;
};

/// What an engine reports that it serves.
struct EngineState {
  std::string model;
  std::string model_version;
  std::string role;
  /// Highest fencing token that it has acted on; 0 when it stores none.
  std::uint64_t fence = 0;
  friend auto operator<=>(const EngineState&, const EngineState&) = default;
};

/// Receives a stream. Each call returns false to stop reading.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  [[nodiscard]] virtual bool OnEvent(const StreamEvent& event) = 0;
  /// Called while the connection is open and brings no event.
  [[nodiscard]] virtual bool OnIdle() = 0;
};

/// Calls to prefill and decode engines.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  [[nodiscard]] virtual Result<PrefillAnswer> Prefill(
      const PrefillCall& call) = 0;
  /// Reads a stream until its last event, an error, or until the observer
  /// returns false. Success means that the connection was closed in order, not
  /// that the answer is complete.
  [[nodiscard]] virtual Result<void> Generate(const GenerateCall& call,
                                              StreamObserver& observer) = 0;
  /// Stops an attempt and frees its memory. The engine ignores a cancel from an
  /// attachment older than the current one; `attachment` 0 cancels any.
  [[nodiscard]] virtual Result<void> Cancel(std::string_view address,
                                            std::string_view request_id,
                                            std::string_view attempt,
                                            std::int64_t attachment) = 0;
  [[nodiscard]] virtual Result<EngineLoad> Load(std::string_view address) = 0;
  [[nodiscard]] virtual Result<std::vector<CacheEvent>> CacheEvents(
      std::string_view address, std::int64_t after) = 0;
  [[nodiscard]] virtual Result<EngineState> ReadState(
      std::string_view address) = 0;
  [[nodiscard]] virtual Result<void> Order(std::string_view address,
                                           const EngineOrder& order) = 0;
};

/// One forwarded HTTP header.
struct HttpHeader {
  std::string name;
  std::string value;
  friend auto operator<=>(const HttpHeader&, const HttpHeader&) = default;
};

/// A call to a plain service.
struct ServiceCall {
  std::string address;
  std::string request_id;
  std::string method;
  std::string path;  ///< Path with the query.
  std::string body;
  std::vector<HttpHeader> headers;
  DurationMs timeout_ms = 0;
};

/// A plain service's answer.
struct ServiceAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  friend auto operator<=>(const ServiceAnswer&, const ServiceAnswer&) = default;
};

/// Calls to plain services.
class ServiceClient {
 public:
  virtual ~ServiceClient() = default;
  /// Sends the call at most once. An error whose `ran` is `kNo` guarantees that
  /// no byte was sent.
  [[nodiscard]] virtual Result<ServiceAnswer> Call(const ServiceCall& call) = 0;
};

/// The platform's configuration service. It is read and watched, never written.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;
  /// Waits until the head's version exceeds `known_version` and returns the
  /// head; empty after `wait_ms` without one.
  [[nodiscard]] virtual Result<std::optional<ConfigHead>> WatchHead(
      std::uint64_t known_version, DurationMs wait_ms) = 0;
  /// Ends a `WatchHead` that is waiting in another thread.
  virtual void CancelWatch() = 0;
  /// Reads the entities of the chunk with this digest.
  [[nodiscard]] virtual Result<std::vector<Entity>> ReadChunk(
      std::string_view digest) = 0;
};

/// One entry of the platform's list of VMs.
struct ListedVm {
  std::string address;
  std::string data_centre;
  bool leaving = false;
  friend auto operator<=>(const ListedVm&, const ListedVm&) = default;
};

/// The platform's list of VMs, which may lag behind the VMs that run.
class VmList {
 public:
  virtual ~VmList() = default;
  [[nodiscard]] virtual Result<std::vector<ListedVm>> Read() = 0;
};

/// Messages between the processes of the fleet. Implementations authenticate
/// both sides.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// Sends one datagram, which may be lost, delayed or duplicated.
  virtual void SendDatagram(std::string_view address,
                            std::string_view bytes) = 0;
  /// Sends a request and waits for its answer. An error whose `ran` is `kNo`
  /// guarantees that no byte was sent.
  [[nodiscard]] virtual Result<std::string> Call(std::string_view address,
                                                 std::string_view path,
                                                 std::string_view body,
                                                 DurationMs timeout_ms) = 0;
};

}  // namespace limpethaven
