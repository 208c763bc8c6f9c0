/// @file
/// HTTP/1.1 server on the event loop.
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

/// Size limits of requests, and time limits for sending them.
struct ServerLimits {
  MessageLimits message;
  /// Longest time from the first byte of a request to the end of its head, and
  /// then between two parts of its body.
  DurationMs header_timeout_ms = 5000;
  /// Time after which an idle keep-alive connection is closed.
  DurationMs idle_timeout_ms = 30'000;
  /// Most bytes of request bodies that the server holds at once, each from its
  /// announcement to the end of the response; 0: no limit. A request beyond it
  /// is refused with 503.
  std::size_t total_body_bytes = 0;
  friend auto operator<=>(const ServerLimits&, const ServerLimits&) = default;
};

/// One request and its response. `Answer` sends a complete response; `Begin`,
/// `Send` and `End` send one whose body is streamed. All of them return false
/// if the response could not be sent.
class Exchange {
 public:
  virtual ~Exchange() = default;

  [[nodiscard]] virtual const RequestHead& Head() const noexcept = 0;
  [[nodiscard]] virtual const std::string& Body() const noexcept = 0;
  /// Monotonic time at which the whole request had been read.
  [[nodiscard]] virtual TimeMs ReceivedAt() const noexcept = 0;

  /// Sends a complete response.
  virtual Task<bool> Answer(ResponseHead head, std::string body) = 0;
  /// Sends the head of a response whose body is streamed.
  virtual Task<bool> Begin(ResponseHead head) = 0;
  /// Sends the next part of a streamed body; an empty part sends nothing.
  virtual Task<bool> Send(std::string bytes) = 0;
  /// Sends the end of a streamed body.
  virtual Task<bool> End() = 0;
  /// Resets the connection, so that the caller cannot take a partial response
  /// for a complete one.
  virtual void Abort() = 0;

  /// Whether the caller has closed or reset its connection.
  [[nodiscard]] virtual bool CallerDisconnected() const noexcept = 0;
  /// Sets the callback that is called once if the caller disconnects before the
  /// response has ended; null removes it.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  /// Whether the head of a response has been passed on for sending.
  [[nodiscard]] virtual bool ResponseStarted() const noexcept = 0;
};

/// A request that was read from a connection and is answered on it.
class ServerExchange final : public Exchange {
 public:
  ServerExchange(ConnectionPtr caller_connection, RequestHead request_head,
                 std::string request_body, TimeMs received);

  [[nodiscard]] const RequestHead& Head() const noexcept override;
  [[nodiscard]] const std::string& Body() const noexcept override;
  [[nodiscard]] TimeMs ReceivedAt() const noexcept override;
  Task<bool> Answer(ResponseHead response_head,
                    std::string response_body) override;
  Task<bool> Begin(ResponseHead response_head) override;
  Task<bool> Send(std::string bytes) override;
  Task<bool> End() override;
  void Abort() override;
  [[nodiscard]] bool CallerDisconnected() const noexcept override;
  void OnDisconnect(std::function<void()> callback) override;
  [[nodiscard]] bool ResponseStarted() const noexcept override;

  /// Announces in the response that the connection closes after it. Does
  /// nothing once the head of the response has been sent.
  void CloseAfterResponse();
  /// Whether the whole response has been passed on for sending or `Abort` was
  /// called.
  [[nodiscard]] bool Ended() const noexcept;
  /// Whether the connection may serve another request after this one.
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

/// Answers one request. Each path must end the response or abort it; the server
/// aborts a response that is left open.
using ExchangeHandler = std::function<Task<>(Exchange&)>;
/// Builds the head of the response to a request that could not be read.
using ErrorResponseBuilder =
    std::function<ResponseHead(ParseFault, bool timed_out)>;

/// Accepts connections on one address and passes their requests to a handler.
class HttpServer {
 public:
  /// @param max_connections Connections beyond this number are closed at once.
  HttpServer(Loop& event_loop, ExchangeHandler on_request,
             std::size_t max_connections);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to accept connections on `IP:port`. @returns false if the address
  /// is invalid or cannot be bound.
  [[nodiscard]] bool Listen(const std::string& address);
  /// Serves TLS instead of plain TCP. Call it before `Listen`.
  void UseTls(std::unique_ptr<TlsFiles> tls_files);
  /// Replaces the limits. A connection that already waits for a request may
  /// apply the old ones to it.
  void SetLimits(const ServerLimits& next);
  /// From now on, every response whose head has not been sent announces that
  /// its connection closes after it.
  void Drain();
  /// Closes the connections that have been idle for at least `min_idle_ms`. A
  /// caller may send the next request right after a response, and could not
  /// tell whether it was read if its connection closed at that moment.
  void CloseIdle(DurationMs min_idle_ms);
  /// Stops accepting connections; open ones go on.
  void StopAccepting();
  [[nodiscard]] std::size_t OpenConnections() const noexcept;
  /// Number of requests that have been read and not yet answered completely.
  [[nodiscard]] std::size_t OpenRequests() const noexcept;

 private:
  /// An accepted connection; `busy` while it has a request.
  struct ServerConnection {
    ConnectionPtr connection;
    bool busy = false;
    TimeMs idle_since = 0;
    /// The request that is being answered; null while there is none.
    ServerExchange* exchange = nullptr;
  };
  using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

  Task<> Accept();
  /// Serves the requests of one connection until it must be closed.
  Task<> Serve(ServerConnectionPtr accepted);
  /// Reads and answers one request. @returns false if the connection must be
  /// closed.
  Task<bool> ServeOne(ServerConnection& accepted);
  /// Sends an error response to a request that could not be read.
  Task<> RejectRequest(Connection& connection, ParseFault fault,
                       bool timed_out);
  /// Refuses a request whose body exceeds what the server may hold.
  Task<> RefuseBody(Connection& connection);

  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  ExchangeHandler handler;
  std::size_t connection_limit;
  std::unique_ptr<TlsFiles> tls;
  ServerLimits limits;
  std::unordered_set<ServerConnectionPtr> connections;
  std::size_t open_requests = 0;
  std::size_t held_body_bytes = 0;  ///< Of `ServerLimits::total_body_bytes`.
  bool draining = false;
};

}  // namespace limpethaven
