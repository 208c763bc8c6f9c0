#include "edge/http_server.h"

#include <sys/socket.h>

#include "edge/log.h"
#include "edge/task_pool.h"

namespace limpethaven {
namespace {

constexpr int kListenBacklog = 1024;
constexpr std::size_t kKeepAliveRequests = 1'000'000;
// A stop waits for idle connections, so they are closed soon; clients drop
// theirs sooner still.
constexpr int kKeepAliveIdleS = 2;
constexpr std::int64_t kMsPerS = 1000;

/// Binds exclusively: unlike the library's default it never shares the port
/// with another process.
void SetSocketOptions(int socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

}  // namespace

ThreadedHttpServer::ThreadedHttpServer(ThreadedHttpServerSettings initial)
    : settings(std::move(initial)) {
  this->server = std::make_unique<httplib::Server>();
  httplib::Server& routes = *this->server;
  const std::size_t max_connections = this->settings.max_connections;
  routes.new_task_queue = [max_connections] {
    return new TaskPool(max_connections);
  };
  routes.set_socket_options([this](int socket) {
    SetSocketOptions(socket);
    this->listen_socket = socket;
  });
  routes.set_tcp_nodelay(true);
  routes.set_keep_alive_max_count(kKeepAliveRequests);
  routes.set_keep_alive_timeout(kKeepAliveIdleS);
  routes.set_read_timeout(this->settings.read_timeout_s);
  routes.set_write_timeout(this->settings.write_timeout_s);
  routes.set_payload_max_length(this->settings.max_body_bytes);
  routes.set_exception_handler([](const httplib::Request&,
                                  httplib::Response& response,
                                  const std::exception_ptr& thrown) {
    std::string what = "unknown exception";
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& fault) {
      what = fault.what();
    } catch (...) {
      what = "exception of an unknown type";
    }
    LogWarning(EventId::kInternalError, {{"what", what}});
    WriteRefusal(response, Error::Of(ErrorKind::kInternal, "internal error"));
  });
  routes.set_error_handler([](const httplib::Request&,
                              httplib::Response& response) {
    if (!response.body.empty()) return;
    const bool too_large = response.status == 413;
    const bool not_found = response.status == 404;
    const ErrorKind kind = too_large   ? ErrorKind::kBodyTooLarge
                           : not_found ? ErrorKind::kUnknownRoute
                                       : ErrorKind::kBadRequest;
    WriteRefusal(response, Error::Of(kind, "the request was not understood"));
  });
}

ThreadedHttpServer::~ThreadedHttpServer() { this->Stop(); }

httplib::Server& ThreadedHttpServer::Routes() noexcept { return *this->server; }

Result<void> ThreadedHttpServer::Start() {
  const std::string where =
      this->settings.address + ":" + std::to_string(this->settings.port);
  if (!this->server->is_valid()) {
    return Error::Of(ErrorKind::kInternal, "cannot serve on " + where);
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
                     "cannot listen on " + where + ": is the port taken?");
  }
  // The library listens with a backlog of 5; a second call raises it.
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
