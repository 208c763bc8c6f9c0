/// @file
/// A TCP connection whose receiving side is always watched.
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

/// Timeouts of the kernel for a peer that has fallen silent.
struct SilenceSettings {
  DurationMs user_timeout_ms = 4000;  ///< Unacknowledged bytes.
  DurationMs keepalive_idle_s = 2;    ///< First probe of an idle connection.
  DurationMs keepalive_interval_s = 1;
  int keepalive_probes = 3;
};

/// How the receiving side of a connection stands.
enum class InputState {
  kOpen,   ///< More may come.
  kEnded,  ///< The peer has ended it in order.
  kReset,  ///< It broke, or was closed here.
};

/// One connection. A coroutine of its own reads ahead into a bounded buffer, so
/// that the end of the connection is noticed while nobody waits for bytes.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Connects to `IP:port`. @returns null when that fails or `deadline` passes.
  static Task<std::shared_ptr<Connection>> Dial(Loop& loop, std::string address,
                                                TimeMs deadline);

  Connection(Loop& event_loop, asio::ip::tcp::socket tcp_socket,
             std::string peer);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Speaks TLS from the first byte on. Call it before `Start`.
  void UseTls(std::unique_ptr<TlsCodec> tls_codec);
  /// Starts to read ahead. Call it once, right after construction.
  void Start();
  /// Bytes received and not yet consumed.
  [[nodiscard]] std::string_view Input() const noexcept;
  void Consume(std::size_t bytes);
  [[nodiscard]] InputState State() const noexcept;
  /// Waits until more input than `known` bytes is there, the input ends, or
  /// `deadline` passes.
  Task<> WaitInput(std::size_t known, TimeMs deadline);
  /// Sends everything. @returns false when that failed; past `deadline` the
  /// connection is reset. What the peer sent can still be read.
  Task<bool> Write(std::string bytes, TimeMs deadline);
  /// Called once when the peer ends or breaks the connection; not by `Close`.
  void OnEnd(std::function<void()> callback);
  /// Ends it in order.
  void Close();
  /// Ends it with a reset, so that what was sent cannot look complete.
  void Reset();
  [[nodiscard]] bool Closed() const noexcept;
  [[nodiscard]] const std::string& Peer() const noexcept;
  /// Bytes handed to the kernel so far.
  [[nodiscard]] std::uint64_t BytesWritten() const noexcept;

 private:
  Task<> ReadAhead();
  Task<bool> WriteWire(std::string bytes, TimeMs deadline);
  /// Adds received bytes to the input. @returns false when they are no TLS.
  [[nodiscard]] bool Take(std::string_view bytes);
  /// Takes what the kernel has. @returns false when the input has ended.
  [[nodiscard]] bool ReadAvailable();
  void NoteEnd(InputState final_state);

  Loop& loop;
  asio::ip::tcp::socket socket;
  std::string peer;
  std::string input;
  std::unique_ptr<TlsCodec> tls;  ///< Null for plain connections.
  InputState state = InputState::kOpen;
  bool closed = false;
  Notifier readable;
  Notifier drained;
  asio::steady_timer write_timer;
  std::function<void()> on_end;
  std::uint64_t written = 0;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// Closes every connection of a loop at once, as the end of its process would.
void CloseAllConnections(Loop& loop);
/// Connections of a loop that are open.
[[nodiscard]] std::size_t OpenConnections(Loop& loop);

/// Address of `IP:port`; empty when it is none.
[[nodiscard]] std::optional<asio::ip::tcp::endpoint> ParseAddress(
    std::string_view text);

}  // namespace limpethaven
