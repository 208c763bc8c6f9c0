/// @file
/// A fleet of entry nodes on the users' platform, with scripted engines and
/// callers, all on one event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection.h"
#include "net/http_client.h"
#include "node/entry_node.h"
#include "node/source.h"

namespace limpethaven::testing {

/// Answer of a scripted engine.
struct EngineAnswer {
  std::string bytes;  ///< Sent as they are.
  /// Sent after `bytes`, again and again, until the peer closes; empty: nothing
  /// is sent.
  std::string endless;
  /// Whether the connection is closed after the bytes.
  bool close = false;
  /// Whether the engine ends: it resets all connections and refuses others for
  /// `ScriptedEngine::down_ms`.
  bool crash = false;
  /// Sent `late_ms` after `bytes`, whatever the connection serves then; empty:
  /// nothing is sent.
  std::string late;
  DurationMs late_ms = 0;
  /// Whether `late` is sent again and again at that interval.
  bool late_repeats = false;
};

/// An engine of the platform that answers by a function. It records the calls
/// that it received.
class ScriptedEngine {
 public:
  using Answer = std::function<EngineAnswer(const RequestHead&)>;

  ScriptedEngine(Loop& event_loop, std::string listen_address, Answer script);

  void Listen();
  void Stop();
  /// Bytes of endless answers that were handed to the kernel.
  [[nodiscard]] std::uint64_t EndlessBytes() const noexcept;

  std::string address;  ///< `IP:port`.
  DurationMs down_ms = 300;
  /// Whether an engine that ends is cut off: connections are neither accepted
  /// nor refused.
  bool cut_off_when_down = false;
  /// Called when the engine is back after it ended; may be null.
  std::function<void()> on_restart;
  std::vector<RequestHead> calls;
  std::vector<std::string> bodies;  ///< Of the calls, in the same order.
  std::vector<TimeMs> call_times;

 private:
  Task<> Accept(std::shared_ptr<asio::ip::tcp::acceptor> listener);
  Task<> Serve(ConnectionPtr connection);
  Task<> Restart();

  Loop& loop;
  Answer answer;
  std::shared_ptr<asio::ip::tcp::acceptor> acceptor;
  std::vector<std::weak_ptr<Connection>> connections;
  std::uint64_t endless_bytes = 0;
};

/// Complete stream of the platform with `events` events, framed in chunks.
[[nodiscard]] std::string WholeStream(const RequestHead& call, int events);
/// Answer of a prefill engine that keeps the KV cache of the prompt.
[[nodiscard]] std::string PrefillAnswer(const RequestHead& call);
/// Head of an answer to a call, without a length, which ends with its
/// connection.
[[nodiscard]] std::string StreamHeadUntilClose(const RequestHead& call);

/// Parameters of a fleet.
struct PlatformFleetSettings {
  std::size_t entries = 3;
  std::size_t engines = 8;            ///< Decode engines.
  std::size_t prefill_engines = 0;    ///< Listed after the decode engines.
  std::size_t service_endpoints = 1;  ///< Listed last.
  RepeatRule repeat = RepeatRule::kOnce;
  RepeatRule plain_repeat = RepeatRule::kOnce;  ///< Of the plain service.
  std::int64_t max_sends = RouteSpec{}.max_sends;
  /// Time for which callers use an address answer.
  DurationMs address_ttl_ms = NodeSettings{}.address_ttl_ms;
  DurationMs shutdown_timeout_ms = NodeSettings{}.shutdown_timeout_ms;
  RetrySettings retries{0.2, 50, 10'000};
  std::int64_t slots = 16;  ///< Requests that an engine runs at once.
  /// Maximum output of a generation that names its prefix.
  Tokens output_tokens = 30;
  /// Engines in one cell, and the time for which a cell sends nothing to an
  /// engine that is new to it.
  std::size_t cell_size = 64;
  DurationMs settle_ms = 0;
  /// Time in which an engine changes its role; 0: roles are fixed.
  DurationMs role_change_ms = 0;
  /// Time limit of each request of a caller.
  DurationMs timeout_ms = 10'000;
  /// See `RouterSettings`.
  bool balance_plain_pools = false;
  std::int64_t balance_min_processes = 1;
};

class FixedSource;

/// Starts the fleet when constructed and stops it when destroyed.
class PlatformFleet {
 public:
  PlatformFleet(PlatformFleetSettings fleet_settings,
                const ScriptedEngine::Answer& script);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /// Sends a generation to an entry and reads the whole response.
  /// @param prefix Value of the prompt's parts header.
  [[nodiscard]] HttpResponse Call(std::size_t entry, std::string_view prefix);
  /// Starts a generation whose response is added to `responses`.
  void Start(std::size_t entry, std::string_view prefix);
  /// Starts a call of the plain service whose response is added to `responses`.
  void StartService(std::size_t entry, std::string_view path = "/plain/1");
  /// Calls the plain service and reads the whole response.
  [[nodiscard]] HttpResponse CallService(std::size_t entry,
                                         std::string_view path = "/plain/1");
  /// Opens a connection to an entry; null when it is refused.
  [[nodiscard]] ConnectionPtr Connect(std::size_t entry);
  /// Writes a generation to such a connection.
  void Write(Connection& connection, std::string_view prefix);
  /// Ends an entry without a drain and starts a new one at its address.
  void RestartEntry(std::size_t entry);
  /// Runs the loop until the condition holds. @returns false when it does not
  /// within `limit_ms`.
  bool RunUntil(const std::function<bool()>& condition, DurationMs limit_ms);
  void RunFor(DurationMs duration_ms);
  /// Announces to all entries that the first `count` engines are gone.
  void RemoveEngines(std::size_t count);
  /// Publishes a change that concerns no engine, as a new revision.
  void PublishChange();
  /// Announces the role of an engine to all entries.
  void AnnounceRole(std::size_t engine, PoolRole role);
  /// Makes the source silent, or lets it answer again. The entries keep what
  /// they know.
  void SilenceSource(bool silent);
  /// Ends an entry without a drain.
  void KillEntry(std::size_t entry);
  /// Starts an entry that was killed, at its address.
  void StartEntry(std::size_t entry);
  /// Index of the entry with this IP number.
  [[nodiscard]] std::size_t EntryAt(std::string_view ip) const;
  /// Starts the graceful stop of an entry.
  void DrainEntry(std::size_t entry);
  /// Calls that reached any engine with `text` among the prompt's parts.
  [[nodiscard]] std::size_t CallsWith(std::string_view text) const;
  /// Calls of a path that reached any engine.
  [[nodiscard]] std::size_t CallsTo(std::string_view path) const;

  PlatformFleetSettings settings;
  Loop loop{1};
  std::vector<std::unique_ptr<ScriptedEngine>> engines;
  std::vector<std::unique_ptr<EntryNode>> entries;  ///< Null once killed.
  std::vector<HttpResponse> responses;      ///< Responses to calls of `Start`.
  std::vector<std::string> response_paths;  ///< Paths of their calls.
  /// Times at which `responses` came, after the start of their calls.
  std::vector<DurationMs> response_times;

 private:
  void Fetch(std::size_t entry, std::string_view path, std::string_view prefix);
  /// Waits for all responses. @returns the one that came last.
  [[nodiscard]] HttpResponse AwaitResponse();
  [[nodiscard]] std::string RequestBytes(std::string_view path,
                                         std::string_view prefix);

  std::unique_ptr<FixedSource> source;
  bool source_silent = false;
  /// Ended entries, kept because pending tasks refer to them.
  std::vector<std::unique_ptr<EntryNode>> ended;
  ConnectionPool pool;
  std::vector<std::string> addresses;  ///< IP numbers of the entries.
  int next_request = 0;
  std::size_t started_calls = 0;
};

}  // namespace limpethaven::testing
