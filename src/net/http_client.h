/// @file
/// HTTP/1.1 calls to endpoints, peers and the platform, over kept connections.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/connection.h"
#include "net/http_message.h"
#include "net/http_parser.h"

namespace limpethaven {

/// Why a call brought no whole answer.
enum class CallFault {
  kNone,
  kConnect,    ///< No connection; nothing was sent.
  kReset,      ///< The connection broke.
  kTruncated,  ///< The answer ended early.
  kMalformed,  ///< What came is no answer.
  kTimeout,
  kCancelled,
};

/// Name of a fault, for logs.
[[nodiscard]] std::string_view NameOf(CallFault fault) noexcept;

/// Kept connections by address.
class ConnectionPool {
 public:
  ConnectionPool(Loop& event_loop, std::size_t max_idle);

  /// A connection to use alone. Idle ones are taken before a new one is made,
  /// unless they have been idle for longer than `max_idle_ms`.
  /// @returns null when none can be had before `deadline`.
  Task<ConnectionPtr> Acquire(std::string address, DurationMs max_idle_ms,
                              TimeMs deadline);
  /// Gives back a connection whose answer was read to its end.
  /// @param keep_ms How long the peer keeps it, at most.
  void Release(ConnectionPtr connection, DurationMs keep_ms);
  /// Closes every idle connection to an address.
  void CloseIdle(const std::string& address);
  /// Closes idle connections that are past their time.
  void CloseExpired(TimeMs now);
  /// Connections made since the start.
  [[nodiscard]] std::uint64_t DialCount() const noexcept;

 private:
  struct Idle {
    ConnectionPtr connection;
    TimeMs since = 0;
    TimeMs until = 0;
  };

  Loop& loop;
  std::size_t idle_limit;
  std::unordered_map<std::string, std::deque<Idle>> idle;
  std::uint64_t dialled = 0;
};

/// One call: a request sent and its answer read, piece by piece.
class HttpCall {
 public:
  HttpCall(Loop& event_loop, ConnectionPool& connections,
           std::string peer_address);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Connects and sends a request. The rest of a long body is sent while the
  /// answer is read.
  /// @param max_idle_ms Longest time that a connection used for this may have
  /// been idle; 0 takes a new one.
  Task<CallFault> Send(std::string bytes, DurationMs max_idle_ms,
                       TimeMs connect_deadline, TimeMs deadline);
  /// Reads the head; answers of the 100 class are passed over.
  Task<CallFault> ReadHead(TimeMs deadline);
  /// Reads more of the body; none when it has ended.
  Task<CallFault> ReadBody(std::string& piece, TimeMs deadline);
  /// Ends the call at once; the connection is closed.
  void Cancel();

  [[nodiscard]] const ResponseHead& Head() const noexcept;
  [[nodiscard]] bool Done() const noexcept;
  /// Whether any byte of the request may have left.
  [[nodiscard]] bool Sent() const noexcept;
  /// Whether the connection had served another call before.
  [[nodiscard]] bool Reused() const noexcept;

 private:
  struct Sending {
    bool done = true;
    bool failed = false;
  };

  [[nodiscard]] CallFault FaultNow(TimeMs deadline) const;
  void Finish();

  Loop& loop;
  ConnectionPool& pool;
  std::string address;
  ConnectionPtr connection;
  std::unique_ptr<HttpParser> parser;
  std::shared_ptr<Sending> sending;
  bool sent = false;
  bool reused = false;
  bool cancelled = false;
  bool finished = false;
};

/// A whole answer.
struct HttpResponse {
  CallFault fault = CallFault::kNone;
  ResponseHead head;
  std::string body;
};

/// Sends a request and reads its whole answer.
Task<HttpResponse> FetchResponse(Loop& loop, ConnectionPool& pool,
                                 std::string address, std::string bytes,
                                 TimeMs deadline);

}  // namespace limpethaven
