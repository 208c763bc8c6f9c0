#include "net/datagrams.h"

#include <array>

#include "net/connection.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

/// Size of the receive buffer; the rest of a longer datagram is discarded.
constexpr std::size_t kMaxDatagramBytes = 16'384;
/// Most datagrams handled per wake-up, so that a burst does not starve the
/// other coroutines of the loop.
constexpr int kMaxDatagramsPerWakeup = 64;

std::optional<asio::ip::udp::endpoint> ParseUdpAddress(
    const std::string& text) {
  const auto address = ParseAddress(text);
  if (!address) return std::nullopt;
  return asio::ip::udp::endpoint(address->address(), address->port());
}

}  // namespace

DatagramSocket::DatagramSocket(Loop& event_loop, DatagramHandler on_datagram)
    : socket(event_loop), loop(event_loop), handler(std::move(on_datagram)) {}

DatagramSocket::~DatagramSocket() = default;

bool DatagramSocket::Open(const std::string& address) {
  const auto local = ParseUdpAddress(address);
  if (!local) return false;
  error_code fault;
  this->socket.open(asio::ip::udp::v4(), fault);
  if (fault) return false;
  this->socket.bind(*local, fault);
  if (fault) return false;
  this->socket.non_blocking(true, fault);
  if (fault) return false;
  SpawnService(this->loop, [this]() -> Task<> { co_await this->Receive(); });
  return true;
}

void DatagramSocket::Send(const std::string& address, std::string_view bytes) {
  const auto destination = ParseUdpAddress(address);
  if (!destination || !this->socket.is_open()) return;
  // Callers must tolerate lost datagrams, so errors are ignored.
  error_code ignored;
  this->socket.send_to(asio::buffer(bytes.data(), bytes.size()), *destination,
                       0, ignored);
}

void DatagramSocket::Close() {
  error_code ignored;
  this->socket.close(ignored);
}

Task<> DatagramSocket::Receive() {
  auto buffer = std::make_unique<std::array<char, kMaxDatagramBytes>>();
  while (this->socket.is_open()) {
    error_code fault;
    co_await this->socket.async_wait(
        asio::ip::udp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, fault));
    if (fault) co_return;
    for (int count = 0; count < kMaxDatagramsPerWakeup; ++count) {
      asio::ip::udp::endpoint from;
      const std::size_t length =
          this->socket.receive_from(asio::buffer(*buffer), from, 0, fault);
      if (fault) break;
      this->handler(std::string_view(buffer->data(), length));
    }
  }
}

}  // namespace limpethaven
