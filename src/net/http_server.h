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

/// One request on a caller's connection, and the way to answer it.
class Exchange {
 public:
  Exchange(ConnectionPtr caller_connection, RequestHead request_head,
           std::string request_body, TimeMs received);

  [[nodiscard]] const RequestHead& Head() const noexcept;
  [[nodiscard]] const std::string& Body() const noexcept;
  /// When the request had been read whole.
  [[nodiscard]] TimeMs ReceivedAt() const noexcept;

  /// Sends a whole answer.
  Task<bool> Answer(ResponseHead head, std::string body);
  /// Sends the head of an answer whose body follows piece by piece.
  Task<bool> Begin(ResponseHead head);
  /// Sends a piece of the body. @returns false when the caller is gone.
  Task<bool> Send(std::string bytes);
  /// Sends the end of the body.
  Task<bool> End();
  /// Breaks the connection, so that what was sent cannot look complete.
  void Abort();
  /// Ends the connection after the answer.
  void CloseAfter();

  [[nodiscard]] bool CallerGone() const noexcept;
  /// Called once if the caller leaves before the answer has ended.
  void OnGone(std::function<void()> callback);
  [[nodiscard]] bool Begun() const noexcept;
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
class HttpServer2 {
 public:
  HttpServer2(Loop& event_loop, ExchangeHandler on_request,
              std::size_t max_connections);
  ~HttpServer2();
  HttpServer2(const HttpServer2&) = delete;
  HttpServer2& operator=(const HttpServer2&) = delete;

  /// @returns false when the address cannot be had.
  [[nodiscard]] bool Listen(const std::string& address);
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
  ServerLimits limits;
  std::unordered_set<ServedPtr> connections;
  std::size_t open_requests = 0;
  bool draining = false;
};

}  // namespace limpethaven
