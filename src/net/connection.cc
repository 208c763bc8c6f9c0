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

/// Input read ahead and not yet consumed; the peer waits beyond it.
constexpr std::size_t kMaxInputBytes = 65'536;
/// Longest time to send what a handshake needs.
constexpr DurationMs kHandshakeWriteMs = 5000;
/// Bytes read with one call.
constexpr std::size_t kReadBytes = 8192;

void SetOption(int socket, int level, int name, int value) {
  // A kernel without the option still closes silent connections, only later.
  static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

void WatchForSilence(int socket, const SilenceSettings& silence) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(silence.user_timeout_ms));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(silence.keepalive_idle_s));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(silence.keepalive_interval_s));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, silence.keepalive_probes);
}

/// The connections of one loop.
class LiveConnections final : public asio::execution_context::service {
 public:
  using key_type = LiveConnections;
  static asio::execution_context::id id;

  explicit LiveConnections(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void Add(Connection* connection) { this->live.insert(connection); }
  void Remove(Connection* connection) { this->live.erase(connection); }
  [[nodiscard]] const std::unordered_set<Connection*>& All() const noexcept {
    return this->live;
  }

 private:
  void shutdown() override {}

  std::unordered_set<Connection*> live;
};

asio::execution_context::id LiveConnections::id;

}  // namespace

void CloseAllConnections(Loop& loop) {
  std::vector<ConnectionPtr> all;
  std::ranges::transform(
      asio::use_service<LiveConnections>(loop).All(), std::back_inserter(all),
      [](Connection* connection) { return connection->shared_from_this(); });
  std::ranges::for_each(
      all, [](const ConnectionPtr& connection) { connection->Close(); });
}

std::size_t OpenConnections(Loop& loop) {
  const auto& live = asio::use_service<LiveConnections>(loop).All();
  return static_cast<std::size_t>(std::ranges::count_if(
      live,
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
  const auto [end, wrong] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (wrong != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

Task<ConnectionPtr> Connection::Dial(Loop& loop, std::string address,
                                     TimeMs deadline) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) co_return nullptr;
  auto socket = std::make_shared<asio::ip::tcp::socket>(loop);
  error_code fault;
  socket->open(asio::ip::tcp::v4(), fault);
  if (fault) co_return nullptr;
  asio::steady_timer timer(loop);
  timer.expires_at(TimePointOf(deadline));
  timer.async_wait([socket](const error_code& cancelled) {
    error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
  co_await socket->async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, fault));
  timer.cancel();
  if (fault || !socket->is_open()) co_return nullptr;
  auto connection = std::make_shared<Connection>(loop, std::move(*socket),
                                                 std::move(address));
  connection->Start();
  co_return connection;
}

Connection::Connection(Loop& event_loop, asio::ip::tcp::socket tcp_socket,
                       std::string peer_address)
    : loop(event_loop),
      socket(std::move(tcp_socket)),
      peer(std::move(peer_address)),
      readable(event_loop),
      drained(event_loop),
      write_timer(event_loop) {
  WatchForSilence(this->socket.native_handle(), SilenceSettings{});
  asio::use_service<LiveConnections>(this->loop).Add(this);
}

Connection::~Connection() {
  asio::use_service<LiveConnections>(this->loop).Remove(this);
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
  const bool was_full = this->input.size() >= kMaxInputBytes;
  this->input.erase(0, bytes);
  if (this->input.empty()) std::string().swap(this->input);
  if (was_full) this->drained.Notify();
}

InputState Connection::State() const noexcept { return this->state; }

Task<> Connection::WaitInput(std::size_t known, TimeMs deadline) {
  while (this->input.size() <= known && this->state == InputState::kOpen &&
         LoopNow() < deadline) {
    co_await this->readable.WaitUntil(deadline);
  }
}

Task<bool> Connection::Write(std::string bytes, TimeMs deadline) {
  if (this->tls) {
    if (!this->tls->Encrypt(bytes)) co_return false;
    bytes = this->tls->TakeOutput();
  }
  co_return co_await this->WriteWire(std::move(bytes), deadline);
}

Task<bool> Connection::WriteWire(std::string bytes, TimeMs deadline) {
  const auto self = this->shared_from_this();
  if (this->closed) co_return false;
  error_code fault;
  // Most answers fit the socket's buffer at once.
  this->socket.non_blocking(true, fault);
  const std::size_t first = this->socket.write_some(asio::buffer(bytes), fault);
  this->written += first;
  if (!fault && first == bytes.size()) co_return true;
  if (fault && fault != asio::error::would_block &&
      fault != asio::error::try_again) {
    co_return false;
  }
  fault.clear();
  this->write_timer.expires_at(TimePointOf(deadline));
  this->write_timer.async_wait([self](const error_code& cancelled) {
    if (!cancelled) self->Reset();
  });
  const std::size_t rest = co_await asio::async_write(
      this->socket, asio::buffer(bytes.data() + first, bytes.size() - first),
      asio::redirect_error(asio::use_awaitable, fault));
  this->write_timer.cancel();
  this->written += rest;
  co_return !fault && !this->closed;
}

void Connection::OnEnd(std::function<void()> callback) {
  this->on_end = std::move(callback);
}

void Connection::Close() {
  if (this->closed) return;
  this->closed = true;
  if (this->state == InputState::kOpen) this->state = InputState::kReset;
  error_code ignored;
  this->socket.close(ignored);
  this->readable.Notify();
  this->drained.Notify();
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
  return this->written;
}

Task<> Connection::ReadAhead() {
  while (!this->closed) {
    if (this->input.size() >= kMaxInputBytes) {
      co_await this->drained.WaitUntil(LoopNow() + 1000);
      continue;
    }
    error_code fault;
    // Waits without a buffer of its own: idle connections hold no memory.
    co_await this->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, fault));
    if (this->closed || !this->ReadAvailable()) co_return;
  }
}

bool Connection::ReadAvailable() {
  std::array<char, kReadBytes> buffer;
  error_code fault;
  this->socket.non_blocking(true, fault);
  const std::size_t count = this->socket.read_some(asio::buffer(buffer), fault);
  if (fault == asio::error::would_block) return true;
  if (fault) {
    const bool ended = fault == asio::error::eof;
    this->NoteEnd(ended ? InputState::kEnded : InputState::kReset);
    return false;
  }
  if (!this->Take(std::string_view(buffer.data(), count))) {
    this->NoteEnd(InputState::kReset);
    return false;
  }
  this->readable.Notify();
  return true;
}

bool Connection::Take(std::string_view bytes) {
  if (!this->tls) {
    this->input.append(bytes);
    return true;
  }
  const bool fits = this->tls->Receive(bytes, this->input);
  // Handshakes and alerts answer what came, whether anybody writes or not.
  std::string answer = this->tls->TakeOutput();
  if (!answer.empty()) {
    Spawn(this->loop,
          [self = this->shared_from_this(),
           text = std::move(answer)]() mutable -> Task<> {
            co_await self->WriteWire(std::move(text),
                                     LoopNow() + kHandshakeWriteMs);
          });
  }
  return fits;
}

void Connection::NoteEnd(InputState final_state) {
  this->state = final_state;
  this->readable.Notify();
  const auto callback = std::exchange(this->on_end, nullptr);
  if (callback) callback();
}

}  // namespace limpethaven
