/// @file
/// Kept connections that fall silent for good while new ones work.
#include <catch2/catch.hpp>
#include <string>

#include "net/http_client.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

constexpr DurationMs kCallTimeoutMs = 200;

/// A server whose connections can fall silent: they stay open and answer
/// nothing from then on. Connections that are made later work.
class SilencedServer {
 public:
  SilencedServer(Loop& event_loop, const std::string& listen_address)
      : loop(event_loop), acceptor(event_loop, *ParseAddress(listen_address)) {
    Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  }

  void Silence() { ++this->era; }
  void Stop() { this->acceptor.close(); }

 private:
  Task<> Accept() {
    while (this->acceptor.is_open()) {
      error_code fault;
      asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, fault));
      if (fault) co_return;
      auto connection =
          std::make_shared<Connection>(this->loop, std::move(socket), "");
      connection->Start();
      Spawn(this->loop, [this, connection]() -> Task<> {
        co_await this->Serve(connection, this->era);
      });
    }
  }

  Task<> Serve(ConnectionPtr connection, int accepted_in) {
    while (connection->State() == InputState::kOpen) {
      co_await connection->WaitInput(0, LoopNow() + 10'000);
      if (connection->Input().empty()) continue;
      connection->Consume(connection->Input().size());
      if (accepted_in != this->era) continue;
      // Several calls are open at once, so that several connections are kept.
      co_await SleepFor(this->loop, 20);
      std::string answer = WriteResponse(ResponseHead{200, {}}, "ok");
      co_await connection->Write(std::move(answer), LoopNow() + 1000);
    }
  }

  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  int era = 0;
};

TEST_CASE("each silent connection that is kept costs one more call") {
  const std::string address = "127.93.0.6:18196";
  Loop loop(1);
  SilencedServer server(loop, address);
  ConnectionPool pool(loop, 8);
  int answered = 0;
  int failed = 0;
  const auto call = [&] {
    Spawn(loop, [&]() -> Task<> {
      const HttpResponse response = co_await FetchResponse(
          loop, pool, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
          LoopNow() + kCallTimeoutMs);
      ++(response.fault == CallFault::kNone ? answered : failed);
    });
  };
  for (int number = 0; number < 5; ++number) call();
  loop.run_for(std::chrono::milliseconds(kCallTimeoutMs));
  REQUIRE(answered == 5);
  server.Silence();
  for (int number = 0; number < 5; ++number) {
    call();
    loop.run_for(std::chrono::milliseconds(kCallTimeoutMs + 50));
  }
  // Only the first call finds out; the others are made over new connections.
  CHECK(failed == 1);
  CHECK(answered == 9);
  server.Stop();
  CloseAllConnections(loop);
  loop.poll();
  loop.EndTasks();
}

}  // namespace
}  // namespace limpethaven
