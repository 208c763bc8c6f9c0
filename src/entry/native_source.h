/// @file
/// Follows the product's own platform: published configurations and the list
/// of VMs.
#pragma once

#include <string>
#include <vector>

#include "limpethaven/config_follower.h"
#include "net/http_client.h"
#include "node/source.h"

namespace limpethaven {

/// The configuration service and VM list, read and watched.
class NativeSource final : public Source {
 public:
  NativeSource(Loop& event_loop, std::string platform_address);

  void Start(SourceListener& source_listener) override;

 private:
  Task<> FollowHead();
  Task<> FollowVms();
  Task<Result<std::string>> Get(std::string target, DurationMs timeout_ms,
                                int& status);
  /// Takes in a head: the changes that it carries, or all chunks.
  Task<Result<void>> Adopt(ConfigHead head);
  Task<Result<std::vector<Entity>>> ReadChunks(const ConfigHead& head);
  void Tell();

  Loop& loop;
  std::string address;
  SourceListener* listener = nullptr;  ///< Set by `Start`.
  ConnectionPool pool;
  ConfigFollower follower;
};

/// Endpoints that a configuration names, as records of the endpoint table.
[[nodiscard]] std::vector<EndpointRecord> EndpointsOf(
    const Configuration& config);

}  // namespace limpethaven
