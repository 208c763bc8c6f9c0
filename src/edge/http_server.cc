#include "edge/http_server.h"

#include <sys/socket.h>

#include "edge/log.h"
#include "edge/task_pool.h"

namespace limpethaven {
namespace {

constexpr int kListenBacklog = 1024;
constexpr std::size_t kMaxRequestsPerConnection = 1'000'000;
// `Stop` waits until idle connections time out, so the timeout is short. It
// must exceed the 1 s for which `HttpPool` keeps an idle connection.
constexpr int kKeepAliveTimeoutS = 2;
constexpr std::int64_t kMsPerS = 1000;

/// Replaces the library's default option SO_REUSEPORT, with which two processes
/// could listen on the same port.
void SetSocketOptions(int socket) {
  const int enable = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
}

}  // namespace

ThreadedHttpServer::ThreadedHttpServer(ThreadedHttpServerSettings initial)
    : settings(std::move(initial)) {
  this->server = std::make_unique<httplib::Server>();
  httplib::Server& http = *this->server;
  const std::size_t max_connections = this->settings.max_connections;
  http.new_task_queue = [max_connections] {
    return new TaskPool(max_connections);
  };
  http.set_socket_options([this](int socket) {
    SetSocketOptions(socket);
    this->listen_socket = socket;
  });
  http.set_tcp_nodelay(true);
  http.set_keep_alive_max_count(kMaxRequestsPerConnection);
  http.set_keep_alive_timeout(kKeepAliveTimeoutS);
  http.set_read_timeout(this->settings.read_timeout_s);
  http.set_write_timeout(this->settings.write_timeout_s);
  http.set_payload_max_length(this->settings.max_body_bytes);
  http.set_exception_handler([](const httplib::Request&,
                                httplib::Response& response,
                                const std::exception_ptr& thrown) {
    std::string what = "unknown exception";
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& exception) {
      what = exception.what();
    } catch (...) {
      what = "exception of an unknown type";
    }
    LogWarning(EventId::kInternalError, {{"what", what}});
    WriteRefusal(response,
                 Error::Of(ErrorKind::kInternal,
                           "internal error while handling the request"));
  });
  http.set_error_handler([](const httplib::Request&,
                            httplib::Response& response) {
    if (!response.body.empty()) return;
    const bool too_large = response.status == 413;
    const bool not_found = response.status == 404;
    const ErrorKind kind = too_large   ? ErrorKind::kBodyTooLarge
                           : not_found ? ErrorKind::kUnknownRoute
                                       : ErrorKind::kBadRequest;
    WriteRefusal(
        response,
        Error::Of(kind,
                  "request rejected: malformed, too large or unknown path"));
  });
}

ThreadedHttpServer::~ThreadedHttpServer() { this->Stop(); }

httplib::Server& ThreadedHttpServer::Routes() noexcept { return *this->server; }

Result<void> ThreadedHttpServer::Start() {
  const std::string listen_address =
      this->settings.address + ":" + std::to_string(this->settings.port);
  if (!this->server->is_valid()) {
    return Error::Of(ErrorKind::kInternal,
                     "cannot create an HTTP server for " + listen_address);
  }
  if (this->settings.port == 0) {
    this->bound_port = this->server->bind_to_any_port(this->settings.address);
  } else if (this->server->bind_to_port(this->settings.address,
                                        this->settings.port)) {
    this->bound_port = this->settings.port;
  }
  if (this->bound_port <= 0) {
    this->bound_port = 0;
    return Error::Of(ErrorKind::kInternal,
                     "cannot listen on " + listen_address +
                         ": port in use or address not local");
  }
  // The library listens with a backlog of 5; a second call of `listen` raises
  // it.
  ::listen(this->listen_socket, kListenBacklog);
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  while (!this->server->is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Success();
}

int ThreadedHttpServer::Port() const noexcept { return this->bound_port; }

void ThreadedHttpServer::Stop() {
  if (!this->thread.joinable()) return;
  this->server->stop();
  this->thread.join();
}

void WriteRefusal(httplib::Response& response, const Error& error) {
  response.status = RowOf(error.kind).http_status;
  if (error.retry_after_ms > 0) {
    const std::int64_t seconds = (error.retry_after_ms + kMsPerS - 1) / kMsPerS;
    response.set_header("Retry-After", std::to_string(seconds));
  }
  response.set_content(ToJsonBody(error), "application/json");
}

}  // namespace limpethaven
