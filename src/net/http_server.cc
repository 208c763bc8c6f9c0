#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/socket_base.hpp>

namespace limpethaven {
namespace {

/// Connections that the kernel queues before they are accepted.
constexpr int kListenBacklog = 1024;
/// A caller that takes nothing for this long is gone.
constexpr DurationMs kWriteStallMs = 15'000;
/// Pause after a failed accept (out of descriptors), before the next.
constexpr DurationMs kAcceptPauseMs = 20;
constexpr DurationMs kRefusalWriteMs = 1000;

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

Task<bool> ServerExchange::Answer(ResponseHead answer, std::string text) {
  answer.keep_alive = this->keep_alive;
  this->begun = true;
  this->ended = true;
  const std::string_view content =
      EqualsNoCase(this->head.method, "HEAD") ? std::string_view() : text;
  co_return co_await this->Write(WriteResponse(answer, content));
}

Task<bool> ServerExchange::Begin(ResponseHead answer) {
  answer.keep_alive = this->keep_alive;
  this->begun = true;
  co_return co_await this->Write(WriteChunkedHead(answer));
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

void ServerExchange::CloseAfter() { this->keep_alive = false; }

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
                                             LoopNow() + kWriteStallMs);
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
  Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  return true;
}

void HttpServer::UseTls(std::unique_ptr<TlsFiles> tls_files) {
  this->tls = std::move(tls_files);
}

void HttpServer::SetLimits(const ServerLimits& next) { this->limits = next; }

void HttpServer::Drain(bool close_idle) {
  this->draining = true;
  if (!close_idle) return;
  const auto open = this->connections;
  std::ranges::for_each(open, [](const ServedPtr& served) {
    const bool idle = !served->busy && served->connection->Input().empty();
    if (idle) served->connection->Close();
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
      co_await SleepFor(this->loop, kAcceptPauseMs);
      continue;
    }
    if (this->connections.size() >= this->connection_limit) continue;
    auto served = std::make_shared<Served>();
    served->connection =
        std::make_shared<Connection>(this->loop, std::move(socket), "");
    if (this->tls) {
      ssl_ctx_st* const context = this->tls->Current();
      if (context == nullptr) continue;
      served->connection->UseTls(std::make_unique<TlsCodec>(context));
    }
    served->connection->Start();
    this->connections.insert(served);
    Spawn(this->loop,
          [this, served]() -> Task<> { co_await this->Serve(served); });
  }
}

Task<> HttpServer::Serve(ServedPtr served) {
  bool more = true;
  while (more) more = co_await this->ServeOne(*served);
  served->connection->Close();
  this->connections.erase(served);
}

Task<bool> HttpServer::ServeOne(Served& served) {
  Connection& connection = *served.connection;
  HttpParser parser(HttpParser::Kind::kRequest, this->limits.message);
  const DurationMs idle_ms = this->limits.idle_timeout_ms;
  co_await connection.WaitInput(0, LoopNow() + idle_ms);
  if (connection.Input().empty()) co_return false;
  served.busy = true;
  TimeMs deadline = LoopNow() + this->limits.header_timeout_ms;
  bool continued = false;
  while (!parser.Done()) {
    connection.Consume(parser.Put(connection.Input()));
    if (parser.Fault() != ParseFault::kNone) {
      co_await this->Refuse(connection, parser.Fault(), false);
      co_return false;
    }
    if (parser.Done()) break;
    if (parser.HeadDone()) {
      const Headers& headers = parser.Request().headers;
      if (!continued && headers.HasToken("Expect", "100-continue")) {
        continued = true;
        co_await connection.Write("HTTP/1.1 100 Continue\r\n\r\n", deadline);
      }
    }
    const std::size_t known = connection.Input().size();
    co_await connection.WaitInput(known, deadline);
    if (connection.Input().size() > known) {
      // Each piece of a body gives it more time; the head has one deadline.
      if (parser.HeadDone()) {
        deadline = LoopNow() + this->limits.header_timeout_ms;
      }
      continue;
    }
    if (connection.State() != InputState::kOpen) co_return false;
    if (LoopNow() >= deadline) {
      co_await this->Refuse(connection, ParseFault::kNone, true);
      co_return false;
    }
  }
  ++this->open_requests;
  ServerExchange exchange(served.connection, parser.Request(),
                          parser.TakeBody(), LoopNow());
  if (this->draining) exchange.CloseAfter();
  co_await this->handler(exchange);
  exchange.OnDisconnect(nullptr);
  if (!exchange.Ended()) exchange.Abort();
  --this->open_requests;
  served.busy = false;
  co_return exchange.KeepAlive() && !connection.Closed();
}

Task<> HttpServer::Refuse(Connection& connection, ParseFault fault,
                          bool timed_out) {
  if (fault == ParseFault::kTruncated) co_return;
  ResponseHead head{StatusOf(fault, timed_out), {}, false};
  co_await connection.Write(WriteResponse(head, {}),
                            LoopNow() + kRefusalWriteMs);
}

}  // namespace limpethaven
