/// @file
/// Answers without a length that are cut while the request is still sent.
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "net/http_client.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

/// More than the kernel buffers of a connection hold.
constexpr std::size_t kLongBodyBytes = 32'000'000;

TEST_CASE("a reset answer without a length looks complete to a long request") {
  const bool resets = GENERATE(true, false);
  INFO((resets ? "reset" : "closed in order"));
  const std::string address = "127.93.0.7:18197";
  Loop loop(1);
  asio::ip::tcp::acceptor acceptor(loop, *ParseAddress(address));
  Spawn(loop, [&]() -> Task<> {
    error_code fault;
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, fault));
    if (fault) co_return;
    std::string part(65'536, 0);
    std::size_t received = co_await socket.async_read_some(asio::buffer(part),
                                                           asio::use_awaitable);
    co_await asio::async_write(
        socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhalf")),
        asio::use_awaitable);
    // The client reads the beginning of the answer before the connection ends.
    co_await SleepFor(loop, 100);
    if (resets) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
      co_return;
    }
    while (!fault && received < kLongBodyBytes) {
      received += co_await socket.async_read_some(
          asio::buffer(part), asio::redirect_error(asio::use_awaitable, fault));
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  });
  ConnectionPool pool(loop, 8);
  HttpResponse response;
  bool ended = false;
  Spawn(loop, [&]() -> Task<> {
    RequestHead head{"POST", "/"};
    head.headers.Add("Host", "a");
    response = co_await FetchResponse(
        loop, pool, address,
        WriteRequest(head, std::string(kLongBodyBytes, 'x')), LoopNow() + 5000);
    ended = true;
  });
  const TimeMs deadline = LoopNow() + 10'000;
  while (!ended && LoopNow() < deadline) {
    loop.run_for(std::chrono::milliseconds(20));
  }
  REQUIRE(ended);
  CHECK(response.body == "half");
  CHECK((response.fault == CallFault::kNone) == !resets);
  error_code ignored;
  acceptor.close(ignored);
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
}

}  // namespace
}  // namespace limpethaven
