/// @file
/// HTTP/1.1 calls to endpoints, peers and the platform, over reused
/// connections.
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
#include "net/notifier.h"

namespace limpethaven {

/// Reason why a call did not return a complete response.
enum class CallFault {
  kNone,
  kConnect,    ///< The connection could not be made; nothing was sent.
  kReset,      ///< The connection failed, or ended before a response began.
  kTruncated,  ///< The connection ended within the response.
  kMalformed,  ///< The bytes received are not a valid response.
  kTooLarge,   ///< The head or the body exceeds its limit.
  kTimeout,
  kCancelled,
};

/// Name of a fault, for logs and error messages.
[[nodiscard]] std::string_view NameOf(CallFault fault) noexcept;

/// Largest body that `FetchResponse` reads unless it is told otherwise.
inline constexpr std::size_t kMaxFetchedBytes = 16'000'000;

/// Longest time for the body of a response whose call has a limit on pauses.
inline constexpr DurationMs kMaxTransferMs = 10'000;

/// Pool of idle connections, keyed by peer address.
class ConnectionPool {
 public:
  /// @param max_idle Most idle connections kept for each address.
  ConnectionPool(Loop& event_loop, std::size_t max_idle);

  /// Returns a connection for exclusive use: the most recently used idle one
  /// that has been idle for less than `max_idle_ms`, or else a new one. With 0,
  /// a new one; the idle ones are left to other calls.
  /// @returns null if no connection can be made before `deadline`.
  Task<ConnectionPtr> Acquire(std::string address, DurationMs max_idle_ms,
                              TimeMs deadline);
  /// Returns a connection to the pool. Its last response must have been read to
  /// the end.
  /// @param keep_alive_ms Time after which the peer closes it when idle.
  void Release(ConnectionPtr connection, DurationMs keep_alive_ms);
  /// Closes every idle connection to an address.
  void CloseIdle(const std::string& address);
  /// Closes the idle connections to an address that have been idle since
  /// `time`. Others have worked later.
  void CloseIdleSince(const std::string& address, TimeMs time);
  /// Closes the idle connections that have expired or that the peer has closed.
  void CloseExpired(TimeMs now);
  /// Number of connection attempts since the start.
  [[nodiscard]] std::uint64_t DialCount() const noexcept;

 private:
  struct IdleConnection {
    ConnectionPtr connection;
    TimeMs idle_since = 0;
    TimeMs expires_at = 0;
  };

  Loop& loop;
  std::size_t idle_limit;
  std::unordered_map<std::string, std::deque<IdleConnection>> idle;
  std::uint64_t dial_count = 0;
};

/// One call: sends a request and reads its response incrementally.
class HttpCall {
 public:
  HttpCall(Loop& event_loop, ConnectionPool& connections,
           std::string peer_address);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Takes a connection from the pool or makes one, and starts to send the
  /// request `bytes`. Sending goes on while the response is read, so a failure
  /// to send is not returned here but ends the connection.
  /// @returns `kNone`, `kConnect` or `kCancelled`.
  /// @param max_idle_ms Longest time that a reused connection may have been
  /// idle; 0 always makes a new connection.
  /// @param deadline Time at which the connection is reset if the request has
  /// not been sent.
  Task<CallFault> Send(std::string bytes, DurationMs max_idle_ms,
                       TimeMs connect_deadline, TimeMs deadline);
  /// Reads the head of the response; a few interim responses (1xx) are skipped.
  Task<CallFault> ReadHead(TimeMs deadline);
  /// Waits for the next part of the body and stores it in `part`, which is
  /// empty once the body has ended.
  Task<CallFault> ReadBody(std::string& part, TimeMs deadline);
  /// Closes the connection when the response has been read, instead of keeping
  /// it for another call. Call it before the body is read.
  void DoNotReuse() noexcept;
  /// Ends the call at once and closes the connection, unless the call has
  /// finished.
  void Cancel();

  [[nodiscard]] const ResponseHead& Head() const noexcept;
  /// Whether the response has been read to the end.
  [[nodiscard]] bool Done() const noexcept;
  /// Whether any byte of the request may have been sent.
  [[nodiscard]] bool Sent() const noexcept;
  /// Whether the connection was taken from the pool of idle ones.
  [[nodiscard]] bool Reused() const noexcept;

 private:
  /// State of the coroutine that sends the request.
  struct SendState {
    explicit SendState(Loop& loop) : ended(loop) {}
    bool done = false;
    bool failed = false;
    Notifier ended;  ///< Notified when `done` is set.
  };

  /// Parses the bytes that have been received.
  /// @returns `kMalformed` or `kTooLarge`, after closing the connection, when
  /// they cannot become a valid response within the limits.
  [[nodiscard]] CallFault ParseInput();
  /// Reason why a wait for input brought no more bytes; `kNone` if the caller
  /// may wait again.
  [[nodiscard]] CallFault WaitFault(TimeMs deadline) const;
  /// Decides whether the end of the connection is the end of the response.
  Task<CallFault> ReadEnd(TimeMs deadline);
  /// Returns the connection to the pool if it is safe to reuse, else closes it.
  void Finish();

  Loop& loop;
  ConnectionPool& pool;
  std::string address;
  ConnectionPtr connection;
  std::unique_ptr<HttpParser> parser;
  std::shared_ptr<SendState> send_state;
  TimeMs sent_at = 0;
  bool sent = false;
  bool reused = false;
  bool cancelled = false;
  bool finished = false;
  bool single_use = false;  ///< Set by `DoNotReuse`.
};

/// A complete response, or the reason why there is none.
struct HttpResponse {
  CallFault fault = CallFault::kNone;
  ResponseHead head;
  std::string body;
};

/// Sends a request and reads its complete response. For short calls that may be
/// repeated: the peer may close a reused connection while the request is sent,
/// and the call then fails with `kReset`.
/// @param max_body_bytes A longer body ends the call with `kTooLarge`.
/// @param stall_ms With 0, the whole response must arrive before `deadline`.
/// Otherwise only its head must, and the body may take up to
/// `kMaxTransferMs` longer while no pause in it lasts for `stall_ms`.
Task<HttpResponse> FetchResponse(Loop& loop, ConnectionPool& pool,
                                 std::string address, std::string bytes,
                                 TimeMs deadline,
                                 std::size_t max_body_bytes = kMaxFetchedBytes,
                                 DurationMs stall_ms = 0);

}  // namespace limpethaven
