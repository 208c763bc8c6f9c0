/// @file
/// Follows the product's own platform: watches the published configuration and
/// polls the list of VMs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/config_follower.h"
#include "net/http_client.h"
#include "net/notifier.h"
#include "node/source.h"

namespace limpethaven {

/// Reads the configuration service and the VM list over HTTP.
class NativeSource final : public Source {
 public:
  /// @param platform_address `IP:port` of the platform.
  NativeSource(Loop& event_loop, std::string platform_address);

  void Start(SourceListener& source_listener) override;
  /// The list of VMs is still polled: readers do not pass it on.
  void Pause() override;
  void Resume() override;
  void SetReader(bool reader) override;
  [[nodiscard]] SourceProgress Progress() const override;

 private:
  /// Watches the head of the configuration by long polls and applies each new
  /// version. Never returns.
  Task<> WatchHead();
  /// Polls the list of VMs. Never returns.
  Task<> PollVmList();
  /// Sends a GET request to the platform. The answer to a long poll that found
  /// no newer version has status 204 and no body.
  /// @param timeout_ms Time for the head of the response; its body may take
  /// longer while it makes progress, see `FetchResponse`.
  /// @param status Receives the status of the response.
  Task<Result<std::string>> Get(std::string target, DurationMs timeout_ms,
                                int& status);
  /// Brings the follower to the version of a head: by the changes in the head
  /// if they continue the current version, else by reading all chunks.
  Task<Result<void>> Adopt(ConfigHead head);
  Task<Result<std::vector<Entity>>> ReadChunks(const ConfigHead& head);
  /// Passes the current configuration and its endpoints to the listener.
  void NotifyListener();

  Loop& loop;
  std::string address;
  SourceListener* listener = nullptr;  ///< Set by `Start`.
  ConnectionPool pool;
  ConfigFollower follower;
  Notifier resumed;  ///< Notified by `Resume`.
  bool paused = false;
  bool is_reader = false;
  ReaderWatchSettings reader_settings;
  std::optional<TimeMs> complete_at;  ///< See `SourceProgress`.
  std::uint64_t calls = 0;            ///< For the configuration.
};

/// Builds a record of the endpoint table for each endpoint that a configuration
/// lists.
[[nodiscard]] std::vector<EndpointRecord> EndpointsOf(
    const Configuration& config);

}  // namespace limpethaven
