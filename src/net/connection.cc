#include "net/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <unordered_set>
#include <vector>

namespace limpethaven {
namespace {

/// Longest time to send TLS handshake messages and alerts.
constexpr DurationMs kHandshakeWriteTimeoutMs = 5000;
/// Most bytes read with one call.
constexpr std::size_t kMaxReadBytes = 8192;

void SetOption(int socket, int level, int name, int value) {
  // Errors are ignored: a kernel without the option still closes connections
  // whose peer does not respond, only later.
  static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

void SetSocketOptions(int socket, const DeadPeerSettings& settings) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(settings.user_timeout_ms));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(settings.keepalive_idle_s));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(settings.keepalive_interval_s));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, settings.keepalive_probes);
}

using Socket = asio::ip::tcp::socket;

/// Connects a socket to `IP:port`. @returns the reason if this failed, which is
/// `operation_aborted` when `deadline` has passed.
Task<error_code> Connect(std::shared_ptr<Socket> socket, std::string address,
                         TimeMs deadline) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) co_return error_code(asio::error::invalid_argument);
  error_code fault;
  socket->open(asio::ip::tcp::v4(), fault);
  if (fault) co_return fault;
  asio::steady_timer timer(socket->get_executor());
  timer.expires_at(TimePointOf(deadline));
  timer.async_wait([socket](const error_code& cancelled) {
    error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
  co_await socket->async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, fault));
  timer.cancel();
  // The deadline may have passed right after the connection was made.
  if (!fault && !socket->is_open()) fault = asio::error::operation_aborted;
  co_return fault;
}

/// Registry of the connections of one loop.
class ConnectionRegistry final : public asio::execution_context::service {
 public:
  using key_type = ConnectionRegistry;
  static asio::execution_context::id id;

  explicit ConnectionRegistry(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void Add(Connection* connection) { this->connections.insert(connection); }
  void Remove(Connection* connection) { this->connections.erase(connection); }
  [[nodiscard]] const std::unordered_set<Connection*>& All() const noexcept {
    return this->connections;
  }

 private:
  void shutdown() override {}

  std::unordered_set<Connection*> connections;
};

asio::execution_context::id ConnectionRegistry::id;

}  // namespace

void CloseAllConnections(Loop& loop) {
  std::vector<ConnectionPtr> connections;
  std::ranges::transform(
      asio::use_service<ConnectionRegistry>(loop).All(),
      std::back_inserter(connections),
      [](Connection* connection) { return connection->shared_from_this(); });
  std::ranges::for_each(connections, [](const ConnectionPtr& connection) {
    connection->Close();
  });
}

std::size_t OpenConnections(Loop& loop) {
  const auto& connections = asio::use_service<ConnectionRegistry>(loop).All();
  return static_cast<std::size_t>(std::ranges::count_if(
      connections,
      [](const Connection* connection) { return !connection->Closed(); }));
}

std::optional<asio::ip::tcp::endpoint> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  error_code fault;
  const auto ip =
      asio::ip::make_address_v4(std::string(text.substr(0, colon)), fault);
  if (fault) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, parse_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (parse_error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

Task<ConnectionPtr> Connection::Dial(Loop& loop, std::string address,
                                     TimeMs deadline) {
  auto socket = std::make_shared<Socket>(loop);
  if (co_await Connect(socket, address, deadline)) co_return nullptr;
  auto connection = std::make_shared<Connection>(loop, std::move(*socket),
                                                 std::move(address));
  connection->Start();
  co_return connection;
}

Task<bool> Connection::IsRefused(Loop& loop, std::string address,
                                 TimeMs deadline) {
  const auto socket = std::make_shared<Socket>(loop);
  const error_code fault = co_await Connect(socket, address, deadline);
  co_return fault == asio::error::connection_refused;
}

Connection::Connection(Loop& event_loop, asio::ip::tcp::socket tcp_socket,
                       std::string peer_address)
    : loop(event_loop),
      socket(std::move(tcp_socket)),
      peer(std::move(peer_address)),
      readable(event_loop),
      input_consumed(event_loop),
      write_timer(event_loop) {
  SetSocketOptions(this->socket.native_handle(), DeadPeerSettings{});
  asio::use_service<ConnectionRegistry>(this->loop).Add(this);
}

Connection::~Connection() {
  asio::use_service<ConnectionRegistry>(this->loop).Remove(this);
}

void Connection::UseTls(std::unique_ptr<TlsCodec> tls_codec) {
  this->tls = std::move(tls_codec);
}

void Connection::Start() {
  Spawn(this->loop, [self = this->shared_from_this()]() -> Task<> {
    co_await self->ReadAhead();
  });
}

std::string_view Connection::Input() const noexcept { return this->input; }

void Connection::Consume(std::size_t bytes) {
  const bool was_full = this->input.size() >= kMaxBufferedInputBytes;
  this->input.erase(0, bytes);
  if (this->input.empty()) std::string().swap(this->input);
  if (was_full) this->input_consumed.Notify();
}

InputState Connection::State() const noexcept { return this->state; }

Task<> Connection::WaitInput(std::size_t buffered_bytes, TimeMs deadline) {
  while (this->input.size() <= buffered_bytes &&
         this->state == InputState::kOpen && LoopNow() < deadline) {
    co_await this->readable.WaitUntil(deadline);
  }
}

Task<bool> Connection::Write(std::string bytes, TimeMs deadline) {
  if (this->tls) {
    if (!this->tls->Encrypt(bytes)) co_return false;
    bytes = this->tls->TakeOutput();
  }
  co_return co_await this->WriteRaw(std::move(bytes), deadline);
}

Task<bool> Connection::WriteRaw(std::string bytes, TimeMs deadline) {
  const auto self = this->shared_from_this();
  if (this->closed) co_return false;
  error_code fault;
  // Most messages fit into the socket's send buffer and need no wait.
  this->socket.non_blocking(true, fault);
  const std::size_t sent_at_once =
      this->socket.write_some(asio::buffer(bytes), fault);
  this->written_bytes += sent_at_once;
  if (!fault && sent_at_once == bytes.size()) co_return true;
  if (fault && fault != asio::error::would_block &&
      fault != asio::error::try_again) {
    co_return false;
  }
  fault.clear();
  this->write_timer.expires_at(TimePointOf(deadline));
  this->write_timer.async_wait([self](const error_code& cancelled) {
    if (!cancelled) self->Reset();
  });
  const std::size_t sent_later = co_await asio::async_write(
      this->socket,
      asio::buffer(bytes.data() + sent_at_once, bytes.size() - sent_at_once),
      asio::redirect_error(asio::use_awaitable, fault));
  this->write_timer.cancel();
  this->written_bytes += sent_later;
  co_return !fault && !this->closed;
}

void Connection::OnInputEnd(std::function<void()> callback) {
  this->on_input_end = std::move(callback);
}

void Connection::Close() {
  if (this->closed) return;
  this->closed = true;
  if (this->state == InputState::kOpen) this->state = InputState::kReset;
  error_code ignored;
  this->socket.close(ignored);
  this->readable.Notify();
  this->input_consumed.Notify();
}

void Connection::Reset() {
  if (this->closed) return;
  error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

bool Connection::Closed() const noexcept { return this->closed; }

const std::string& Connection::Peer() const noexcept { return this->peer; }

std::uint64_t Connection::BytesWritten() const noexcept {
  return this->written_bytes;
}

Task<> Connection::ReadAhead() {
  while (!this->closed) {
    if (this->input.size() >= kMaxBufferedInputBytes) {
      co_await this->input_consumed.WaitUntil(LoopNow() + 1000);
      continue;
    }
    error_code fault;
    // The wait itself needs no buffer, so idle connections hold no read buffer.
    co_await this->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, fault));
    if (this->closed || !this->ReadAvailable()) co_return;
  }
}

bool Connection::ReadAvailable() {
  std::array<char, kMaxReadBytes> buffer;
  error_code fault;
  this->socket.non_blocking(true, fault);
  const std::size_t count = this->socket.read_some(asio::buffer(buffer), fault);
  if (fault == asio::error::would_block) return true;
  if (fault) {
    const bool closed_by_fin = fault == asio::error::eof;
    this->EndInput(closed_by_fin ? InputState::kEnded : InputState::kReset);
    return false;
  }
  if (!this->AppendInput(std::string_view(buffer.data(), count))) {
    this->EndInput(InputState::kReset);
    return false;
  }
  this->readable.Notify();
  return true;
}

bool Connection::AppendInput(std::string_view bytes) {
  if (!this->tls) {
    this->input.append(bytes);
    return true;
  }
  const bool valid = this->tls->Receive(bytes, this->input);
  // Received handshake messages and alerts may require a reply, which is sent
  // even if no coroutine writes application data.
  std::string reply = this->tls->TakeOutput();
  if (!reply.empty()) {
    Spawn(this->loop,
          [self = this->shared_from_this(),
           reply_bytes = std::move(reply)]() mutable -> Task<> {
            co_await self->WriteRaw(std::move(reply_bytes),
                                    LoopNow() + kHandshakeWriteTimeoutMs);
          });
  }
  return valid;
}

void Connection::EndInput(InputState final_state) {
  this->state = final_state;
  this->readable.Notify();
  const auto callback = std::exchange(this->on_input_end, nullptr);
  if (callback) callback();
}

}  // namespace limpethaven
