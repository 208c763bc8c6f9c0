/// @file
/// The edges of the system: everything outside the decision core is met through
/// these.
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

/// Asks a prefill engine to read a prompt.
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
  Tokens cached_tokens = 0;  ///< Tokens that the prefix cache saved.
  DurationMs elapsed_ms = 0;
  friend auto operator<=>(const PrefillAnswer&, const PrefillAnswer&) = default;
};

/// Asks a decode engine to generate, or to go on with a stream at an offset.
struct GenerateCall {
  std::string address;
  std::string request_id;
  std::string attempt;
  std::string
      kv_source;  ///< Address of the prefill engine; empty when resuming.
  std::string kv_handle;
  Tokens prompt_tokens = 0;
  Tokens max_tokens = 0;
  std::int64_t pieces = 0;
  std::int64_t priority = 0;
  std::int64_t offset = 0;  ///< First token wanted.
  bool resume =
      false;  ///< True: attach to the running attempt, never start it.
  /// When resuming: the attachment that is continued; a newer one refuses. 0
  /// takes over from any.
  std::int64_t expected_attachment = 0;
  DurationMs idle_timeout_ms = 0;  ///< Longest time without an event.
};

/// One event of an engine's stream.
struct StreamEvent {
  std::string request_id;
  std::string attempt;
  std::int64_t offset = 0;  ///< Index of the first token in `text`.
  std::int64_t count = 0;   ///< Tokens in `text`.
  std::string text;
  bool last = false;  ///< The engine's explicit end of the answer.
  bool superseded =
      false;  ///< Another connection took over; no more events come here.
  std::int64_t attachment =
      0;  ///< Number of this connection to the attempt, growing.
  friend auto operator<=>(const StreamEvent&, const StreamEvent&) = default;
};

/// One request that an engine says it holds.
struct HeldRequest {
  std::string request_id;
  std::string attempt;
  std::int64_t pieces = 0;
  DurationMs age_ms = 0;
  DurationMs detached_ms =
      0;  ///< Time since the last stream closed; 0 while one is open.
  friend auto operator<=>(const HeldRequest&, const HeldRequest&) = default;
};

/// An engine's report, already old when it is read.
struct EngineLoad {
  std::int64_t pieces_used = 0;
  std::int64_t pieces_total = 0;
  std::vector<HeldRequest> held;
  /// Of engines that count tokens and do not name what they hold.
  Tokens tokens_used = 0;
  Tokens tokens_total = 0;
  std::int64_t queued = 0;
  std::int64_t running = 0;
  friend auto operator<=>(const EngineLoad&, const EngineLoad&) = default;
};

/// A cache event of a prefill engine. Numbers may have gaps.
struct CacheEvent {
  std::int64_t number = 0;
  std::uint64_t block =
      0;  ///< Hash of the prefix up to and including this block.
  bool added = false;
  friend auto operator<=>(const CacheEvent&, const CacheEvent&) = default;
};

/// An order to an engine, safe to repeat.
struct EngineOrder {
  std::string model;
  std::string model_version;
  std::string role;
  std::uint64_t fence = 0;
  friend auto operator<=>(const EngineOrder&, const EngineOrder&) = default;
};

/// What an engine says it serves.
struct EngineState {
  std::string model;
  std::string model_version;
  std::string role;
  std::uint64_t fence =
      0;  ///< Highest fencing number it acted on; 0 when it keeps none.
  friend auto operator<=>(const EngineState&, const EngineState&) = default;
};

/// Receives a stream. Either call returns false to stop reading.
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  [[nodiscard]] virtual bool OnEvent(const StreamEvent& event) = 0;
  /// The connection is alive but brought no event.
  [[nodiscard]] virtual bool OnIdle() = 0;
};

/// Prefill and decode engines.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  [[nodiscard]] virtual Result<PrefillAnswer> Prefill(
      const PrefillCall& call) = 0;
  /// Reads a stream until its last event, an error, or the observer's refusal.
  /// Success means that the connection ended in order, not that the answer is
  /// whole.
  [[nodiscard]] virtual Result<void> Generate(const GenerateCall& call,
                                              StreamObserver& observer) = 0;
  /// Frees a request's memory. Cancels from an attachment older than the
  /// engine's present one are ignored; `attachment` 0 cancels whichever is
  /// open.
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

/// One header that is passed through.
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
  std::string path;  ///< With query.
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

/// Plain services.
class ServiceClient {
 public:
  virtual ~ServiceClient() = default;
  /// Sends the call at most once. An error whose `ran` is `kNo` promises that
  /// no byte left.
  [[nodiscard]] virtual Result<ServiceAnswer> Call(const ServiceCall& call) = 0;
};

/// The platform's configuration service: read and watched, never written.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;
  /// The head once its version exceeds `known_version`; empty when `wait_ms`
  /// passes first.
  [[nodiscard]] virtual Result<std::optional<ConfigHead>> WatchHead(
      std::uint64_t known_version, DurationMs wait_ms) = 0;
  /// Ends a `WatchHead` that waits in another thread.
  virtual void CancelWatch() = 0;
  /// Entities of the chunk with this digest.
  [[nodiscard]] virtual Result<std::vector<Entity>> ReadChunk(
      std::string_view digest) = 0;
};

/// One VM of the platform's list.
struct ListedVm {
  std::string address;
  std::string data_centre;
  bool leaving = false;
  friend auto operator<=>(const ListedVm&, const ListedVm&) = default;
};

/// The platform's lagging list of VMs.
class VmList {
 public:
  virtual ~VmList() = default;
  [[nodiscard]] virtual Result<std::vector<ListedVm>> Read() = 0;
};

/// Messages between the system's own processes. Implementations authenticate
/// both ways.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// Sends one datagram; it may be lost, late or doubled.
  virtual void SendDatagram(std::string_view address,
                            std::string_view bytes) = 0;
  /// A request with an answer. An error whose `ran` is `kNo` promises that no
  /// byte left.
  [[nodiscard]] virtual Result<std::string> Call(std::string_view address,
                                                 std::string_view path,
                                                 std::string_view body,
                                                 DurationMs timeout_ms) = 0;
};

}  // namespace limpethaven
