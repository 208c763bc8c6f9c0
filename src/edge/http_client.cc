#include "edge/http_client.h"

#include <charconv>
#include <chrono>

namespace limpethaven {
namespace {

constexpr DurationMs kConnectTimeoutMs = 500;
constexpr std::size_t kMaxIdleClientsPerAddress = 64;
// Shorter than the servers' keep-alive timeout, so that a server does not close
// a connection while a request is sent on it.
constexpr DurationMs kMaxIdleMs = 1000;

void SetTimeouts(httplib::Client& client, DurationMs timeout_ms) {
  const std::chrono::milliseconds timeout(timeout_ms);
  client.set_connection_timeout(
      std::chrono::milliseconds(std::min(timeout_ms, kConnectTimeoutMs)));
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
}

}  // namespace

std::unique_ptr<httplib::Client> NewHttpClient(std::string_view address,
                                               DurationMs timeout_ms) {
  const auto colon = address.rfind(':');
  int port = 0;
  if (colon != std::string_view::npos) {
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
  }
  auto client = std::make_unique<httplib::Client>(
      std::string(address.substr(0, colon)), port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(false);
  client->set_follow_location(false);
  SetTimeouts(*client, timeout_ms);
  return client;
}

Error HttpFailure(std::string_view address, httplib::Error error) {
  const bool connected = error != httplib::Error::Connection &&
                         error != httplib::Error::ConnectionTimeout &&
                         error != httplib::Error::BindIPAddress;
  return Error::Of(ErrorKind::kEndpointFailed,
                   std::string(address) +
                       ": HTTP call failed: " + httplib::to_string(error))
      .WithRan(connected ? Ran::kUnknown : Ran::kNo);
}

Result<httplib::Response> HttpPool::Send(std::string_view address,
                                         httplib::Request request,
                                         DurationMs timeout_ms) {
  const std::string key(address);
  ClientPtr client = this->Take(key);
  SetTimeouts(*client, timeout_ms);
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client->send(request, response, error)) {
    return HttpFailure(address, error);
  }
  this->Return(key, std::move(client));
  return response;
}

HttpPool::ClientPtr HttpPool::Take(const std::string& address) {
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->idle_clients.find(address);
    if (found != this->idle_clients.end() && !found->second.empty()) {
      IdleClient newest = std::move(found->second.back());
      found->second.pop_back();
      if (this->clock.Now() - newest.idle_since < kMaxIdleMs) {
        return std::move(newest.client);
      }
      // The newest client is too old, and the remaining ones are older.
      found->second.clear();
    }
  }
  ClientPtr client = NewHttpClient(address, kConnectTimeoutMs);
  client->set_keep_alive(true);
  return client;
}

void HttpPool::Return(const std::string& address, ClientPtr client) {
  const std::lock_guard lock(this->mutex);
  auto& clients = this->idle_clients[address];
  if (clients.size() >= kMaxIdleClientsPerAddress) return;
  clients.push_back(IdleClient{std::move(client), this->clock.Now()});
}

httplib::Request GetRequest(std::string path) {
  httplib::Request request;
  request.method = "GET";
  request.path = std::move(path);
  return request;
}

httplib::Request PostRequest(std::string path, std::string body) {
  httplib::Request request;
  request.method = "POST";
  request.path = std::move(path);
  request.body = std::move(body);
  request.set_header("Content-Type", "application/json");
  return request;
}

}  // namespace limpethaven
