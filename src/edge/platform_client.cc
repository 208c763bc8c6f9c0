#include "edge/platform_client.h"

#include <chrono>

#include "edge/engine_messages.h"

namespace limpethaven {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListedVm, address, data_centre, leaving)

namespace {

constexpr DurationMs kReadTimeoutMs = 2000;
constexpr DurationMs kWatchSlackMs = 2000;

Result<void> CheckStatus(const httplib::Response& response) {
  if (response.status == 200) return Success();
  return Error::Of(
      ErrorKind::kEndpointFailed,
      "platform answered status " + std::to_string(response.status));
}

}  // namespace

HttpPlatform::HttpPlatform(std::string platform_address)
    : address(std::move(platform_address)),
      watch_client(NewHttpClient(this->address, kReadTimeoutMs)) {}

Result<std::optional<ConfigHead>> HttpPlatform::WatchHead(
    std::uint64_t known_version, DurationMs wait_ms) {
  const std::string path =
      "/v1/watch/head?after=" + std::to_string(known_version) +
      "&wait_ms=" + std::to_string(wait_ms);
  this->watch_client->set_read_timeout(
      std::chrono::milliseconds(wait_ms + kWatchSlackMs));
  const auto response = this->watch_client->Get(path);
  if (!response) return HttpFailure(this->address, response.error());
  if (response->status == 204) return std::optional<ConfigHead>();
  BOOST_OUTCOME_TRY(CheckStatus(*response));
  BOOST_OUTCOME_TRY(head, DecodeHead(response->body));
  return std::optional<ConfigHead>(std::move(head));
}

void HttpPlatform::CancelWatch() { this->watch_client->stop(); }

Result<std::vector<Entity>> HttpPlatform::ReadChunk(std::string_view digest) {
  BOOST_OUTCOME_TRY(
      response,
      this->Get("/v1/values/chunk-" + std::string(digest), kReadTimeoutMs));
  return DecodeEntityList(response.body);
}

Result<std::vector<ListedVm>> HttpPlatform::Read() {
  BOOST_OUTCOME_TRY(response, this->Get("/v1/vms", kReadTimeoutMs));
  return ReadJson<std::vector<ListedVm>>(response.body, "VM list");
}

Result<httplib::Response> HttpPlatform::Get(std::string path,
                                            DurationMs timeout_ms) {
  BOOST_OUTCOME_TRY(
      response,
      this->pool.Send(this->address, GetRequest(std::move(path)), timeout_ms));
  BOOST_OUTCOME_TRY(CheckStatus(response));
  return std::move(response);
}

}  // namespace limpethaven
