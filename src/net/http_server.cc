#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/socket_base.hpp>
#include <optional>

#include "net/tasks.h"

namespace limpethaven {
namespace {

/// Most connections that the kernel queues until they are accepted.
constexpr int kListenBacklog = 1024;
/// Longest time for one write; the connection of a caller that does not read is
/// reset after it.
constexpr DurationMs kWriteTimeoutMs = 15'000;
/// Delay after a failed accept (for example when the process has no file
/// descriptors left).
constexpr DurationMs kAcceptRetryDelayMs = 20;
/// Longest time to send an error response.
constexpr DurationMs kErrorWriteTimeoutMs = 1000;
/// Retry-After, in seconds, of a request whose body cannot be held now.
constexpr const char* kBodyRetryAfterS = "1";

int StatusOf(ParseFault fault, bool timed_out) {
  if (timed_out) return 408;
  switch (fault) {
    case ParseFault::kHeaderTooLarge:
      return 431;
    case ParseFault::kBodyTooLarge:
      return 413;
    case ParseFault::kNone:
    case ParseFault::kMalformed:
    case ParseFault::kTruncated:
      break;
  }
  return 400;
}

/// Bytes of one request's body, counted in the server's total until the request
/// ends.
class BodyReservation {
 public:
  explicit BodyReservation(std::size_t& total_bytes) : total(total_bytes) {}
  ~BodyReservation() { this->total -= this->reserved; }
  BodyReservation(const BodyReservation&) = delete;
  BodyReservation& operator=(const BodyReservation&) = delete;

  /// Raises the reservation to `bytes`. @returns false when the total would
  /// exceed `limit`; nothing is reserved then. A limit of 0 is none.
  [[nodiscard]] bool Raise(std::size_t bytes, std::size_t limit) {
    if (bytes <= this->reserved) return true;
    const std::size_t more = bytes - this->reserved;
    if (limit > 0 && this->total + more > limit) return false;
    this->total += more;
    this->reserved = bytes;
    return true;
  }

 private:
  std::size_t& total;
  std::size_t reserved = 0;
};

}  // namespace

ServerExchange::ServerExchange(ConnectionPtr caller_connection,
                               RequestHead request_head,
                               std::string request_body, TimeMs received)
    : connection(std::move(caller_connection)),
      head(std::move(request_head)),
      body(std::move(request_body)),
      received_at(received),
      keep_alive(this->head.keep_alive) {}

const RequestHead& ServerExchange::Head() const noexcept { return this->head; }

const std::string& ServerExchange::Body() const noexcept { return this->body; }

TimeMs ServerExchange::ReceivedAt() const noexcept { return this->received_at; }

Task<bool> ServerExchange::Answer(ResponseHead response_head,
                                  std::string response_body) {
  response_head.keep_alive = this->keep_alive;
  this->begun = true;
  this->ended = true;
  const std::string_view content = EqualsNoCase(this->head.method, "HEAD")
                                       ? std::string_view()
                                       : response_body;
  co_return co_await this->Write(WriteResponse(response_head, content));
}

Task<bool> ServerExchange::Begin(ResponseHead response_head) {
  response_head.keep_alive = this->keep_alive;
  this->begun = true;
  co_return co_await this->Write(WriteChunkedHead(response_head));
}

Task<bool> ServerExchange::Send(std::string bytes) {
  if (bytes.empty()) co_return true;
  co_return co_await this->Write(WriteChunk(bytes));
}

Task<bool> ServerExchange::End() {
  this->ended = true;
  co_return co_await this->Write(WriteChunk({}));
}

void ServerExchange::Abort() {
  this->ended = true;
  this->keep_alive = false;
  this->connection->Reset();
}

void ServerExchange::CloseAfterResponse() {
  if (!this->begun) this->keep_alive = false;
}

bool ServerExchange::CallerDisconnected() const noexcept {
  return this->connection->State() != InputState::kOpen;
}

void ServerExchange::OnDisconnect(std::function<void()> callback) {
  this->connection->OnInputEnd(std::move(callback));
}

bool ServerExchange::ResponseStarted() const noexcept { return this->begun; }

bool ServerExchange::Ended() const noexcept { return this->ended; }

bool ServerExchange::KeepAlive() const noexcept { return this->keep_alive; }

Task<bool> ServerExchange::Write(std::string bytes) {
  co_return co_await this->connection->Write(std::move(bytes),
                                             LoopNow() + kWriteTimeoutMs);
}

HttpServer::HttpServer(Loop& event_loop, ExchangeHandler on_request,
                       std::size_t max_connections)
    : loop(event_loop),
      acceptor(event_loop),
      handler(std::move(on_request)),
      connection_limit(max_connections) {}

HttpServer::~HttpServer() = default;

bool HttpServer::Listen(const std::string& address) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return false;
  error_code fault;
  this->acceptor.open(asio::ip::tcp::v4(), fault);
  if (fault) return false;
  this->acceptor.set_option(asio::socket_base::reuse_address(true), fault);
  this->acceptor.bind(*endpoint, fault);
  if (fault) return false;
  this->acceptor.listen(kListenBacklog, fault);
  if (fault) return false;
  SpawnService(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  return true;
}

void HttpServer::UseTls(std::unique_ptr<TlsFiles> tls_files) {
  this->tls = std::move(tls_files);
}

void HttpServer::SetLimits(const ServerLimits& next) { this->limits = next; }

void HttpServer::Drain() {
  this->draining = true;
  std::ranges::for_each(this->connections,
                        [](const ServerConnectionPtr& accepted) {
                          ServerExchange* const open = accepted->exchange;
                          if (open != nullptr) open->CloseAfterResponse();
                        });
}

void HttpServer::CloseIdle(DurationMs min_idle_ms) {
  const TimeMs now = LoopNow();
  const auto open_connections = this->connections;
  std::ranges::for_each(
      open_connections, [&](const ServerConnectionPtr& accepted) {
        const bool idle = !accepted->busy &&
                          accepted->connection->Input().empty() &&
                          now - accepted->idle_since >= min_idle_ms;
        if (idle) accepted->connection->Close();
      });
}

void HttpServer::StopAccepting() {
  error_code ignored;
  this->acceptor.close(ignored);
}

std::size_t HttpServer::OpenConnections() const noexcept {
  return this->connections.size();
}

std::size_t HttpServer::OpenRequests() const noexcept {
  return this->open_requests;
}

Task<> HttpServer::Accept() {
  while (this->acceptor.is_open()) {
    error_code fault;
    asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, fault));
    if (!this->acceptor.is_open()) co_return;
    if (fault) {
      co_await SleepFor(this->loop, kAcceptRetryDelayMs);
      continue;
    }
    if (this->connections.size() >= this->connection_limit) continue;
    auto accepted = std::make_shared<ServerConnection>();
    accepted->connection =
        std::make_shared<Connection>(this->loop, std::move(socket), "");
    if (this->tls) {
      ssl_ctx_st* const context = this->tls->Current();
      if (context == nullptr) continue;
      accepted->connection->UseTls(std::make_unique<TlsCodec>(context));
    }
    accepted->connection->Start();
    this->connections.insert(accepted);
    Spawn(this->loop,
          [this, accepted]() -> Task<> { co_await this->Serve(accepted); });
  }
}

Task<> HttpServer::Serve(ServerConnectionPtr accepted) {
  bool more = true;
  while (more) more = co_await this->ServeOne(*accepted);
  accepted->connection->Close();
  this->connections.erase(accepted);
}

Task<bool> HttpServer::ServeOne(ServerConnection& accepted) {
  Connection& connection = *accepted.connection;
  HttpParser parser(HttpParser::Kind::kRequest, this->limits.message);
  const DurationMs idle_ms = this->limits.idle_timeout_ms;
  accepted.idle_since = LoopNow();
  co_await connection.WaitInput(0, LoopNow() + idle_ms);
  if (connection.Input().empty()) co_return false;
  accepted.busy = true;
  TimeMs deadline = LoopNow() + this->limits.header_timeout_ms;
  bool continue_sent = false;
  BodyReservation reservation(this->held_body_bytes);
  std::size_t body_bytes = 0;  // Received so far, of a chunked body.
  while (!parser.Done()) {
    const std::size_t consumed = parser.Put(connection.Input());
    connection.Consume(consumed);
    if (parser.Fault() != ParseFault::kNone) {
      co_await this->RejectRequest(connection, parser.Fault(), false);
      co_return false;
    }
    if (parser.HeadDone()) {
      const std::optional<std::int64_t> announced =
          parser.Request().headers.GetInt("Content-Length");
      // Of a chunked body, the head that came with its first bytes counts too.
      if (parser.Request().headers.HasToken("Transfer-Encoding", "chunked")) {
        body_bytes += consumed;
      }
      const bool fits = reservation.Raise(
          announced ? static_cast<std::size_t>(*announced) : body_bytes,
          this->limits.total_body_bytes);
      if (!fits) {
        co_await this->RefuseBody(connection);
        co_return false;
      }
    }
    if (parser.Done()) break;
    if (parser.HeadDone()) {
      const Headers& headers = parser.Request().headers;
      if (!continue_sent && headers.HasToken("Expect", "100-continue")) {
        continue_sent = true;
        co_await connection.Write("HTTP/1.1 100 Continue\r\n\r\n", deadline);
      }
    }
    const std::size_t buffered_bytes = connection.Input().size();
    co_await connection.WaitInput(buffered_bytes, deadline);
    if (connection.Input().size() > buffered_bytes) {
      // Each part of the body extends the deadline; the whole head has a single
      // deadline.
      if (parser.HeadDone()) {
        deadline = LoopNow() + this->limits.header_timeout_ms;
      }
      continue;
    }
    if (connection.State() != InputState::kOpen) co_return false;
    if (LoopNow() >= deadline) {
      co_await this->RejectRequest(connection, ParseFault::kNone, true);
      co_return false;
    }
  }
  ++this->open_requests;
  ServerExchange exchange(accepted.connection, parser.Request(),
                          parser.TakeBody(), LoopNow());
  if (this->draining) exchange.CloseAfterResponse();
  accepted.exchange = &exchange;
  std::exception_ptr handler_fault;
  try {
    co_await this->handler(exchange);
  } catch (...) {
    handler_fault = std::current_exception();
  }
  LogTaskFault(handler_fault);
  exchange.OnDisconnect(nullptr);
  if (!exchange.Ended()) exchange.Abort();
  accepted.exchange = nullptr;
  --this->open_requests;
  accepted.busy = false;
  co_return exchange.KeepAlive() && !connection.Closed();
}

Task<> HttpServer::RefuseBody(Connection& connection) {
  ResponseHead head{503, {}, false};
  head.headers.Add("Retry-After", kBodyRetryAfterS);
  co_await connection.Write(WriteResponse(head, {}),
                            LoopNow() + kErrorWriteTimeoutMs);
}

Task<> HttpServer::RejectRequest(Connection& connection, ParseFault fault,
                                 bool timed_out) {
  if (fault == ParseFault::kTruncated) co_return;
  ResponseHead head{StatusOf(fault, timed_out), {}, false};
  co_await connection.Write(WriteResponse(head, {}),
                            LoopNow() + kErrorWriteTimeoutMs);
}

}  // namespace limpethaven
