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

/// Called with each datagram.
using DatagramHandler = std::function<void(std::string_view bytes)>;

/// One UDP port. Datagrams may be lost, late or doubled.
class DatagramSocket {
 public:
  DatagramSocket(Loop& event_loop, DatagramHandler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Binds to `IP:port`. @returns false when it cannot be had.
  [[nodiscard]] bool Open(const std::string& address);
  /// Sends one datagram to `IP:port`; a full buffer drops it.
  void Send(const std::string& address, std::string_view bytes);
  void Close();

 private:
  Task<> Receive();

  asio::ip::udp::socket socket;
  Loop& loop;
  DatagramHandler handler;
};

}  // namespace limpethaven
