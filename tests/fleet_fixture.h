/// @file
/// A fleet in one process on loopback addresses: stand-ins for the platform,
/// engines and a service, and entry nodes.
#pragma once

#include <boost/asio/post.hpp>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "entry/caller_api.h"
#include "entry/entry_settings.h"
#include "entry/native_source.h"
#include "limpethaven/config_model.h"
#include "standin/engine_standin.h"
#include "standin/platform_standin.h"
#include "standin/service_standin.h"

namespace limpethaven::testing {

inline constexpr const char* kNorthKey = "test-key-north-0001";
inline constexpr const char* kSouthKey = "test-key-south-0001";
inline constexpr const char* kModel = "model-1";

/// The parts of an entry process, run on a thread of the test program.
struct EntryUnderTest {
  EntryUnderTest() = default;
  ~EntryUnderTest() { this->loop.EndTasks(); }
  EntryUnderTest(const EntryUnderTest&) = delete;
  EntryUnderTest& operator=(const EntryUnderTest&) = delete;

  EntrySettings settings;
  Loop loop{1};
  std::unique_ptr<NativeSource> source;
  std::unique_ptr<EntryNode> node;
  std::unique_ptr<CallerApi> api;
  std::thread thread;
};

/// Parameters of a fleet.
struct FleetSettings {
  std::size_t entries = 2;          ///< Number of entry nodes.
  std::size_t decode_engines = 2;   ///< Number of decode engines.
  std::int64_t pieces = 32;         ///< Memory pieces of each engine.
  DurationMs step_ms = 5;           ///< Period of the engines' decode steps.
  Tokens burst_tokens = 1'000'000;  ///< Burst of each team.
  std::int64_t rate_tokens_per_s = 1'000'000;  ///< Rate of each team.
  /// Whether construction waits until the entries have tokens of their quota
  /// shares and list each other as members.
  bool wait_for_shares = true;
  RetrySettings retries{};
};

/// An answer read by a test caller.
struct CallerAnswer {
  int status = 0;
  std::string text;
  std::string last_event_id;
  std::string error_body;  ///< Body of a refusal, or data of an error event.
  std::string error_kind;
  std::string ran;
  bool done = false;  ///< Whether the stream ended with `[DONE]`.
};

/// Starts the fleet when constructed; stops it and removes its files when
/// destroyed.
class FleetFixture {
 public:
  explicit FleetFixture(FleetSettings fleet_settings);
  ~FleetFixture();
  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;

  /// Applies a change to the fleet's configuration and publishes it.
  void Publish(const std::function<void(Configuration&)>& change);
  /// Waits until every entry that runs has the published version. @returns
  /// false when that takes longer than `limit_ms`.
  [[nodiscard]] bool WaitForVersion(DurationMs limit_ms);
  /// Waits until a condition holds. @returns false when that takes longer than
  /// `limit_ms`.
  [[nodiscard]] static bool WaitFor(const std::function<bool()>& condition,
                                    DurationMs limit_ms);

  /// Address for callers of an entry, as `IP:port`.
  [[nodiscard]] std::string AddressOf(std::size_t entry) const;
  /// Requests a streamed completion and reads its answer.
  /// @param stop_after Number of tokens after which the connection is closed;
  /// negative: the answer is read to its end.
  /// @param last_event_id Id of the event after which the stream is resumed;
  /// empty: a new stream.
  [[nodiscard]] CallerAnswer Complete(
      std::size_t entry, const std::string& key, const std::string& request_id,
      Tokens max_tokens, std::int64_t stop_after = -1,
      const std::string& last_event_id = {}) const;
  /// @returns a new ticket of the entry; empty when it refuses.
  [[nodiscard]] std::string MintTicket(std::size_t entry,
                                       const std::string& key) const;
  /// Sends a `POST` to a plain service.
  /// @param ticket Sent with the call unless it is empty.
  [[nodiscard]] CallerAnswer CallService(std::size_t entry,
                                         const std::string& key,
                                         const std::string& path,
                                         const std::string& body,
                                         const std::string& ticket = {}) const;
  /// Stops an entry without a drain, as a crash would.
  void KillEntry(std::size_t entry);
  /// Calls `function` with an entry's node on the entry's thread, and returns
  /// its result.
  template <typename T>
  [[nodiscard]] T CallOnLoop(
      std::size_t entry, const std::function<T(EntryNode&)>& function) const {
    std::promise<T> result;
    EntryUnderTest& target = *this->entries[entry];
    asio::post(target.loop, [&] { result.set_value(function(*target.node)); });
    return result.get_future().get();
  }
  /// Configuration version that an entry uses.
  [[nodiscard]] std::uint64_t ConfigVersionOf(std::size_t entry) const;
  /// Quota tokens that a team has left at an entry.
  [[nodiscard]] Tokens TokensOf(std::size_t entry, std::string_view team) const;
  /// Passes the published configuration to one entry, as its configuration
  /// source would.
  void OfferConfiguration(std::size_t entry);
  /// Starts the graceful stop of an entry.
  void DrainEntry(std::size_t entry);
  /// Whether an entry's event loop has ended.
  [[nodiscard]] bool EntryEnded(std::size_t entry) const;
  /// Memory pieces held on all decode engines.
  [[nodiscard]] std::int64_t PiecesHeld() const;
  /// Whether an engine or the service received a request that contains `text`.
  [[nodiscard]] bool AnyEndpointReceived(std::string_view text) const;

  FleetSettings settings;
  std::filesystem::path directory;  ///< Published values and `vms.json`.
  std::unique_ptr<PlatformStandin> platform;
  std::vector<std::unique_ptr<EngineStandin>> prefills;
  std::vector<std::unique_ptr<EngineStandin>> decodes;
  std::unique_ptr<ServiceStandin> service;
  std::vector<EntryUnderTest*> entries;  ///< Null once killed.

 private:
  void StartEntry(std::size_t index);
  [[nodiscard]] Configuration BaseConfiguration() const;

  Configuration config;
  ConfigHead head;
};

}  // namespace limpethaven::testing
