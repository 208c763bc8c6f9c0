/// @file
/// The platform's configuration service and VM list over HTTP.
#pragma once

#include "edge/http_client.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Client for the platform. Safe to use from many threads.
class HttpPlatform final : public ConfigSource, public VmList {
 public:
  /// @param platform_address `IP:port`.
  explicit HttpPlatform(std::string platform_address);

  [[nodiscard]] Result<std::optional<ConfigHead>> WatchHead(
      std::uint64_t known_version, DurationMs wait_ms) override;
  void CancelWatch() override;
  [[nodiscard]] Result<std::vector<Entity>> ReadChunk(
      std::string_view digest) override;
  [[nodiscard]] Result<std::vector<ListedVm>> Read() override;

 private:
  [[nodiscard]] Result<httplib::Response> Get(std::string path,
                                              DurationMs timeout_ms);

  std::string address;
  HttpPool pool;
  std::unique_ptr<httplib::Client>
      watch_client;  ///< Kept apart, so that a watch can be ended.
};

}  // namespace limpethaven
