/// @file
/// Following the product's own platform over a slow link. Guards against a
/// configuration that is never adopted because it takes long to arrive.
#include "entry/native_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/config_codec.h"
#include "net/http_server.h"
#include "slow_relay.h"

namespace limpethaven {
namespace {

using testing::SlowRelay;

constexpr std::string_view kPlatformAddress = "127.95.0.1:18194";
constexpr std::string_view kRelayAddress = "127.95.0.1:18195";
constexpr std::int64_t kBytesPerS = 100'000;
constexpr std::size_t kChunkBytes = 500'000;
constexpr std::size_t kMaxConnections = 20;
/// Twice the time that the link needs for the chunk.
constexpr DurationMs kBoundMs =
    2 * static_cast<DurationMs>(kChunkBytes) * 1000 / kBytesPerS;

/// Keeps the version that the source reports.
class VersionListener final : public SourceListener {
 public:
  void OnConfiguration(const Configuration& config) override {
    this->version = config.version;
  }
  void OnEndpoint(const EndpointRecord&, const SourceRevision&) override {}
  void OnEndpointGone(const std::string&, const SourceRevision&) override {}
  void OnAllEndpoints(const std::vector<EndpointRecord>&, const SourceRevision&,
                      std::optional<TimeMs>) override {}
  void OnVms(const std::vector<ListedVm>&) override {}
  void OnSourceReachable(bool) override {}
  void OnUnreadable(const std::string&, const Error&) override {}

  std::uint64_t version = 0;
};

/// A platform that publishes one configuration.
class PublishedPlatform {
 public:
  PublishedPlatform(Loop& event_loop, const std::vector<Entity>& entities)
      : server(
            event_loop,
            [this](Exchange& exchange) { return this->Answer(exchange); },
            kMaxConnections) {
    this->table.Apply(entities, {});
    REQUIRE(this->server.Listen(std::string(kPlatformAddress)));
  }
  void Stop() { this->server.StopAccepting(); }

 private:
  Task<> Answer(Exchange& exchange) {
    constexpr std::string_view kChunkPath = "/v1/values/chunk-";
    const std::string& target = exchange.Head().target;
    std::string body = "[]";
    if (target.starts_with("/v1/watch/head")) {
      body = EncodeHead(
          ConfigHead{1, this->table.Digest(), this->table.ChunkDigests(), {}});
    } else if (target.starts_with(kChunkPath)) {
      const std::vector<std::string>& digests = this->table.ChunkDigests();
      const auto found =
          std::ranges::find(digests, target.substr(kChunkPath.size()));
      REQUIRE(found != digests.end());
      body = this->table.ChunkText(
          static_cast<std::size_t>(found - digests.begin()));
    }
    co_await exchange.Answer(ResponseHead{200, {}}, std::move(body));
  }

  EntityTable table;
  HttpServer server;
};

TEST_CASE(
    "native source: a chunk that the link needs longer for than a call may "
    "take is never adopted") {
  Loop loop(1);
  std::vector<Entity> entities = EncodeEntities(Configuration{});
  // Kinds that the process does not know are ignored.
  entities.push_back(
      Entity{"unknown/large", '"' + std::string(kChunkBytes, 'x') + '"'});
  PublishedPlatform platform(loop, entities);
  SlowRelay relay(loop, std::string(kRelayAddress),
                  std::string(kPlatformAddress), kBytesPerS);
  VersionListener listener;
  NativeSource source(loop, std::string(kRelayAddress));
  source.Start(listener);
  const TimeMs end = LoopNow() + kBoundMs;
  while (listener.version == 0 && LoopNow() < end) {
    loop.run_for(std::chrono::milliseconds(5));
  }
  CHECK(listener.version == 1);
  relay.Stop();
  platform.Stop();
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
}

}  // namespace
}  // namespace limpethaven
