/// @file
/// UDP datagrams on the event loop.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/asio.h"

namespace limpethaven {

/// Called with the bytes of each received datagram.
using DatagramHandler = std::function<void(std::string_view bytes)>;

/// A UDP socket bound to one port. Datagrams may be lost, delayed, reordered or
/// duplicated.
class DatagramSocket {
 public:
  DatagramSocket(Loop& event_loop, DatagramHandler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Binds to `IP:port` and starts receiving. @returns false if the address is
  /// invalid or cannot be bound.
  [[nodiscard]] bool Open(const std::string& address);
  /// Sends one datagram to `IP:port`. It is dropped if the address is invalid,
  /// the socket is closed or its send buffer is full.
  void Send(const std::string& address, std::string_view bytes);
  void Close();

 private:
  Task<> Receive();

  asio::ip::udp::socket socket;
  Loop& loop;
  DatagramHandler handler;
};

}  // namespace limpethaven
