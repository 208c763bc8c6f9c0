/// @file
/// A TCP connection that reads ahead, so that its end is detected at any time.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/asio.h"
#include "net/notifier.h"
#include "net/tls.h"

namespace limpethaven {

/// TCP settings by which the kernel closes a connection whose peer does not
/// respond.
struct DeadPeerSettings {
  /// Longest time that sent bytes may stay unacknowledged.
  DurationMs user_timeout_ms = 4000;
  /// Idle time before the first keep-alive probe, in seconds.
  DurationMs keepalive_idle_s = 2;
  /// Time between keep-alive probes, in seconds.
  DurationMs keepalive_interval_s = 1;
  /// Unanswered probes after which the connection is closed.
  int keepalive_probes = 3;
};

/// Most bytes that are read ahead and not yet consumed. Reading pauses at this
/// size, so that TCP flow control slows the peer down.
inline constexpr std::size_t kMaxBufferedInputBytes = 65'536;

/// State of the receiving side of a connection.
enum class InputState {
  kOpen,   ///< More bytes may arrive.
  kEnded,  ///< The peer closed its sending side with a TCP FIN.
  kReset,  ///< The connection failed, or this process closed it first.
};

/// A TCP connection. Its own coroutine reads ahead into a bounded buffer, so
/// that the end of the connection is detected while no coroutine waits for
/// input.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Connects to `IP:port`. @returns null if the address is invalid, the
  /// connection fails or `deadline` passes.
  static Task<std::shared_ptr<Connection>> Dial(Loop& loop, std::string address,
                                                TimeMs deadline);
  /// Whether the host of `IP:port` refuses connections, so that no process
  /// listens there. A host that is down or cut off does not refuse them.
  static Task<bool> IsRefused(Loop& loop, std::string address, TimeMs deadline);

  Connection(Loop& event_loop, asio::ip::tcp::socket tcp_socket,
             std::string peer);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Uses TLS from the first byte on. Call it before `Start`.
  void UseTls(std::unique_ptr<TlsCodec> tls_codec);
  /// Starts reading ahead. Call it once, right after construction.
  void Start();
  /// Bytes received and not yet consumed.
  [[nodiscard]] std::string_view Input() const noexcept;
  /// Removes the first `bytes` bytes from `Input`.
  void Consume(std::size_t bytes);
  [[nodiscard]] InputState State() const noexcept;
  /// Waits until `Input` holds more than `buffered_bytes`, the input ends or
  /// `deadline` passes.
  Task<> WaitInput(std::size_t buffered_bytes, TimeMs deadline);
  /// Sends all bytes. If `deadline` passes first, the connection is reset.
  /// @returns false on failure. Bytes received before the failure can still be
  /// read.
  Task<bool> Write(std::string bytes, TimeMs deadline);
  /// Sets the callback for the end of the input. It is called once, when the
  /// peer closes the connection, the connection fails or the input is not valid
  /// TLS. It is not called after `Close` or `Reset`.
  void OnInputEnd(std::function<void()> callback);
  /// Closes the connection with a TCP FIN, after the bytes already written.
  void Close();
  /// Closes the connection with a TCP reset, so that the peer cannot take a
  /// partial message for a complete one.
  void Reset();
  [[nodiscard]] bool Closed() const noexcept;
  /// Address of the peer as `IP:port`; empty for accepted connections.
  [[nodiscard]] const std::string& Peer() const noexcept;
  /// Bytes handed to the kernel so far.
  [[nodiscard]] std::uint64_t BytesWritten() const noexcept;

 private:
  Task<> ReadAhead();
  /// Writes bytes to the socket without encrypting them.
  Task<bool> WriteRaw(std::string bytes, TimeMs deadline);
  /// Decrypts received bytes if TLS is in use and appends them to the input.
  /// @returns false if they are not valid TLS.
  [[nodiscard]] bool AppendInput(std::string_view bytes);
  /// Reads once from the socket without blocking. @returns false if the input
  /// has ended.
  [[nodiscard]] bool ReadAvailable();
  void EndInput(InputState final_state);

  Loop& loop;
  asio::ip::tcp::socket socket;
  std::string peer;
  std::string input;
  std::unique_ptr<TlsCodec> tls;  ///< Null for connections without TLS.
  InputState state = InputState::kOpen;
  bool closed = false;
  Notifier readable;
  /// Notified when `Consume` makes room in a full input buffer.
  Notifier input_consumed;
  asio::steady_timer write_timer;
  std::function<void()> on_input_end;
  std::uint64_t written_bytes = 0;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Closes every connection of a loop at once, as if its process had ended.
void CloseAllConnections(Loop& loop);
/// Number of open connections of a loop.
[[nodiscard]] std::size_t OpenConnections(Loop& loop);

/// Parses `IPv4:port`; empty if `text` is not such an address.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text);

}  // namespace limpethaven
