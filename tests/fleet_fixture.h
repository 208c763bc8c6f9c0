/// @file
/// A whole fleet in one process on loopback: platform, engines, a service and
/// entry nodes.
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

/// One entry process's parts, on a thread instead of a process of their own.
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
  std::size_t entries = 2;
  std::size_t decoders = 2;
  std::int64_t pieces = 32;
  DurationMs step_ms = 5;
  Tokens burst = 1'000'000;
  std::int64_t rate = 1'000'000;
  bool wait_for_shares = true;
  RetrySettings retries{};
};

/// An answer read by a test caller.
struct CallerAnswer {
  int status = 0;
  std::string text;
  std::string last_id;
  std::string body;  ///< Of a refusal.
  std::string error_kind;
  std::string ran;
  bool done = false;
};

/// Starts everything on free ports; stops and removes everything when it goes.
class FleetFixture {
 public:
  explicit FleetFixture(FleetSettings fleet_settings);
  ~FleetFixture();
  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;

  /// Publishes a configuration of the fixture's own with these changes applied
  /// to it.
  void Publish(const std::function<void(Configuration&)>& change);
  /// Waits until every entry has the published version.
  [[nodiscard]] bool WaitForVersion(DurationMs limit_ms);
  /// Waits until a condition holds.
  [[nodiscard]] static bool WaitFor(const std::function<bool()>& condition,
                                    DurationMs limit_ms);

  [[nodiscard]] std::string AddressOf(std::size_t entry) const;
  /// Sends a streamed completion and reads up to `stop_after` tokens, then
  /// hangs up.
  /// @param last_id Resumes when it is not empty.
  [[nodiscard]] CallerAnswer Complete(std::size_t entry, const std::string& key,
                                      const std::string& request_id,
                                      Tokens max_tokens,
                                      std::int64_t stop_after = -1,
                                      const std::string& last_id = {}) const;
  [[nodiscard]] std::string MintTicket(std::size_t entry,
                                       const std::string& key) const;
  [[nodiscard]] CallerAnswer CallService(std::size_t entry,
                                         const std::string& key,
                                         const std::string& path,
                                         const std::string& body,
                                         const std::string& ticket = {}) const;
  /// Ends an entry at once, as a crash would.
  void KillEntry(std::size_t entry);
  /// Asks an entry on its own thread.
  template <typename T>
  [[nodiscard]] T Ask(std::size_t entry,
                      const std::function<T(EntryNode&)>& question) const {
    std::promise<T> answer;
    EntryUnderTest& asked = *this->entries[entry];
    asio::post(asked.loop, [&] { answer.set_value(question(*asked.node)); });
    return answer.get_future().get();
  }
  [[nodiscard]] std::uint64_t VersionOf(std::size_t entry) const;
  /// Tokens that a team has at an entry.
  [[nodiscard]] Tokens TokensOf(std::size_t entry, std::string_view team) const;
  /// Hands the last publication to one entry, as its source would.
  void OfferTo(std::size_t entry);
  /// Asks an entry for a graceful stop.
  void DrainEntry(std::size_t entry);
  /// Whether an entry's loop has ended.
  [[nodiscard]] bool EntryEnded(std::size_t entry) const;
  [[nodiscard]] std::int64_t PiecesHeld() const;
  [[nodiscard]] bool AnyEndpointSaw(std::string_view text) const;

  FleetSettings settings;
  std::filesystem::path directory;
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
