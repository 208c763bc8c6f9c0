/// @file
/// HTTP/1.1 server connections on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "net/connection.h"
#include "net/http_message.h"
#include "net/http_parser.h"

namespace limpethaven {

/// Bounds of what callers may send, and how long they may take.
struct ServerLimits {
  MessageLimits message;
  DurationMs header_timeout_ms = 5000;  ///< From a request's first byte to the
                                        ///< end of its head; between pieces of
                                        ///< its body.
  DurationMs idle_timeout_ms = 30'000;  ///< Of a kept connection.
  friend auto operator<=>(const ServerLimits&, const ServerLimits&) = default;
};

/// One request, and the way to answer it.
class Exchange {
 public:
  virtual ~Exchange() = default;

  [[nodiscard]] virtual const RequestHead& Head() const noexcept = 0;
  [[nodiscard]] virtual const std::string& Body() const noexcept = 0;
  /// When the request had been read whole.
  [[nodiscard]] virtual TimeMs ReceivedAt() const noexcept = 0;

  /// Sends a whole answer.
  virtual Task<bool> Answer(ResponseHead head, std::string body) = 0;
  /// Sends the head of an answer whose body follows piece by piece.
  virtual Task<bool> Begin(ResponseHead head) = 0;
  /// Sends a piece of the body. @returns false when the caller is gone.
  virtual Task<bool> Send(std::string bytes) = 0;
  /// Sends the end of the body.
  virtual Task<bool> End() = 0;
  /// Breaks the connection, so that what was sent cannot look complete.
  virtual void Abort() = 0;

  [[nodiscard]] virtual bool CallerDisconnected() const noexcept = 0;
  /// Called once if the caller leaves before the answer has ended.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  /// Whether the caller has the head of an answer.
  [[nodiscard]] virtual bool ResponseStarted() const noexcept = 0;
};

/// One request on a caller's connection.
class ServerExchange final : public Exchange {
 public:
  ServerExchange(ConnectionPtr caller_connection, RequestHead request_head,
                 std::string request_body, TimeMs received);

  [[nodiscard]] const RequestHead& Head() const noexcept override;
  [[nodiscard]] const std::string& Body() const noexcept override;
  [[nodiscard]] TimeMs ReceivedAt() const noexcept override;
  Task<bool> Answer(ResponseHead answer, std::string text) override;
  Task<bool> Begin(ResponseHead answer) override;
  Task<bool> Send(std::string bytes) override;
  Task<bool> End() override;
  void Abort() override;
  [[nodiscard]] bool CallerDisconnected() const noexcept override;
  void OnDisconnect(std::function<void()> callback) override;
  [[nodiscard]] bool ResponseStarted() const noexcept override;

  /// Ends the connection after the answer.
  void CloseAfter();
  [[nodiscard]] bool Ended() const noexcept;
  [[nodiscard]] bool KeepAlive() const noexcept;

 private:
  Task<bool> Write(std::string bytes);

  ConnectionPtr connection;
  RequestHead head;
  std::string body;
  TimeMs received_at;
  bool begun = false;
  bool ended = false;
  bool keep_alive = true;
};

/// Answers one request. Every path must answer or abort.
using ExchangeHandler = std::function<Task<>(Exchange&)>;
/// Answer to a request that could not be read.
using FaultAnswer = std::function<ResponseHead(ParseFault, bool timed_out)>;

/// Accepts connections on one address and serves them.
class HttpServer {
 public:
  HttpServer(Loop& event_loop, ExchangeHandler on_request,
             std::size_t max_connections);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @returns false when the address cannot be had.
  [[nodiscard]] bool Listen(const std::string& address);
  /// Serves TLS; call it before `Listen`.
  void UseTls(std::unique_ptr<TlsFiles> tls_files);
  void SetLimits(const ServerLimits& next);
  /// From now on every answer ends its connection, and kept connections that
  /// are idle are closed when `close_idle` is set.
  void Drain(bool close_idle);
  /// Stops to accept.
  void StopAccepting();
  [[nodiscard]] std::size_t OpenConnections() const noexcept;
  /// Requests read and not yet answered to the end.
  [[nodiscard]] std::size_t OpenRequests() const noexcept;

 private:
  struct Served {
    ConnectionPtr connection;
    bool busy = false;
  };
  using ServedPtr = std::shared_ptr<Served>;

  Task<> Accept();
  Task<> Serve(ServedPtr served);
  /// @returns false when the connection must end.
  Task<bool> ServeOne(Served& served);
  Task<> Refuse(Connection& connection, ParseFault fault, bool timed_out);

  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  ExchangeHandler handler;
  std::size_t connection_limit;
  std::unique_ptr<TlsFiles> tls;
  ServerLimits limits;
  std::unordered_set<ServedPtr> connections;
  std::size_t open_requests = 0;
  bool draining = false;
};

}  // namespace limpethaven
