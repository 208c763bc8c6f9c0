/// @file
/// Guards, over real sockets, against an HTTP/1.1 server that accepts stalled,
/// oversized or ambiguous requests, and a client that takes a truncated, late
/// or surplus response for the complete response to its call.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

/// Longest time for one step of a test; a step that takes longer has failed.
constexpr DurationMs kTestTimeoutMs = 10'000;
/// Pause between the parts that a caller sends. Twenty parts take longer than
/// the server's header timeout, while each pause is far below it, so that
/// delays on a busy machine do not trigger the timeout.
constexpr DurationMs kPartIntervalMs = 60;
constexpr const char* kServerAddress = "127.92.1.1:18193";

/// Runs coroutines on an event loop. Each derived fixture destroys the
/// coroutines in its own destructor, before the members that they refer to.
class LoopFixture {
 public:
  LoopFixture() = default;
  ~LoopFixture() { this->loop.EndTasks(); }
  LoopFixture(const LoopFixture&) = delete;
  LoopFixture& operator=(const LoopFixture&) = delete;

  /// Runs one coroutine to its end. @returns false if it takes longer than
  /// `kTestTimeoutMs`.
  [[nodiscard]] bool Run(std::function<Task<>()> script) {
    bool done = false;
    Spawn(this->loop, [this, &done, &script]() -> Task<> {
      co_await script();
      done = true;
      this->loop.stop();
    });
    this->loop.run_for(std::chrono::milliseconds(kTestTimeoutMs));
    this->loop.restart();
    return done;
  }

  Loop loop{1};
};

/// Responds to a request with its target and body.
Task<> Echo(Exchange& exchange) {
  ResponseHead head{200, {}};
  std::string text = exchange.Head().target + "=" + exchange.Body();
  co_await exchange.Answer(std::move(head), std::move(text));
}

/// A listening server with small size limits and short timeouts.
struct ServerFixture : LoopFixture {
  ServerFixture() : server(this->loop, Echo, 8) {
    ServerLimits limits;
    limits.message.header_bytes = 1024;
    limits.message.body_bytes = 2048;
    limits.header_timeout_ms = 1000;
    limits.idle_timeout_ms = 1000;
    this->server.SetLimits(limits);
    REQUIRE(this->server.Listen(kServerAddress));
  }
  ~ServerFixture() { this->loop.EndTasks(); }
  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  /// Sends raw parts, then reads until the server closes the connection or
  /// `enough` returns true for the bytes received.
  std::string SendRaw(std::vector<std::string> parts,
                      std::function<bool(std::string_view)> enough) {
    std::string received;
    const bool done = this->Run([&]() -> Task<> {
      std::string address = kServerAddress;
      const ConnectionPtr peer = co_await Connection::Dial(
          this->loop, std::move(address), LoopNow() + kTestTimeoutMs);
      for (std::string part : parts) {
        co_await peer->Write(std::move(part), LoopNow() + kTestTimeoutMs);
        co_await SleepFor(this->loop, kPartIntervalMs);
      }
      while (!enough(peer->Input()) && peer->State() == InputState::kOpen) {
        const std::size_t buffered_bytes = peer->Input().size();
        co_await peer->WaitInput(buffered_bytes, LoopNow() + kTestTimeoutMs);
      }
      received = std::string(peer->Input());
      peer->Close();
    });
    REQUIRE(done);
    return received;
  }
  std::string SendUntilClosed(std::vector<std::string> parts) {
    return this->SendRaw(std::move(parts),
                         [](std::string_view) { return false; });
  }

  HttpServer server;
};

std::size_t CountOf(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

bool StartsWith(std::string_view text, std::string_view part) {
  return text.substr(0, part.size()) == part;
}

std::string Post(std::string_view target, std::string_view body) {
  return "POST " + std::string(target) + " HTTP/1.1\r\nHost: a\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

TEST_CASE("wire: server sends 100 Continue once, then the response") {
  ServerFixture fixture;
  const std::string received = fixture.SendRaw(
      {"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
       "Content-Length: 4\r\n\r\n",
       "bo", "dy"},
      [](std::string_view input) { return CountOf(input, "/a=body") == 1; });
  REQUIRE(StartsWith(received, "HTTP/1.1 100 "));
  REQUIRE(CountOf(received, "HTTP/1.1 100 ") == 1);
  REQUIRE(CountOf(received, "HTTP/1.1 200 ") == 1);
  REQUIRE(CountOf(received, "/a=body") == 1);
}

// Guards against a request whose handler fails and that leaves its connection
// open for good, or ends the server.
TEST_CASE("wire: a handler that throws ends its own connection only") {
  struct ThrowingServer : LoopFixture {
    ThrowingServer()
        : server(
              this->loop,
              [](Exchange& exchange) -> Task<> {
                if (exchange.Head().target == "/bad") {
                  throw std::runtime_error("cannot handle this");
                }
                co_await Echo(exchange);
              },
              8) {
      REQUIRE(this->server.Listen(kServerAddress));
    }
    ~ThrowingServer() { this->loop.EndTasks(); }
    HttpServer server;
  } fixture;
  ConnectionPool pool(fixture.loop, 4);
  std::vector<CallFault> faults;
  REQUIRE(fixture.Run([&]() -> Task<> {
    for (const char* target : {"/good", "/bad", "/good"}) {
      const HttpResponse response =
          co_await FetchResponse(fixture.loop, pool, kServerAddress,
                                 Post(target, "x"), LoopNow() + 2000);
      faults.push_back(response.fault);
    }
  }));
  REQUIRE(faults[0] == CallFault::kNone);
  REQUIRE(faults[1] == CallFault::kReset);
  REQUIRE(faults[2] == CallFault::kNone);
  REQUIRE(fixture.server.OpenRequests() == 0);
}

// Guards against a task that ends for good at the first message that it cannot
// handle.
TEST_CASE("wire: a service task is started again after an exception") {
  LoopFixture fixture;
  int starts = 0;
  REQUIRE(fixture.Run([&]() -> Task<> {
    SpawnService(fixture.loop, [&starts]() -> Task<> {
      if (++starts < 3) throw std::runtime_error("cannot handle this");
      co_return;
    });
    while (starts < 3) co_await SleepFor(fixture.loop, 10);
    co_await SleepFor(fixture.loop, 3 * kTaskRestartMs);
  }));
  REQUIRE(starts == 3);
}

TEST_CASE("wire: server answers pipelined requests in order") {
  ServerFixture fixture;
  const std::string received = fixture.SendRaw(
      {Post("/1", "one") + Post("/2", "two") + Post("/3", "three")},
      [](std::string_view input) { return CountOf(input, "three") == 1; });
  const std::size_t first = received.find("/1=one");
  const std::size_t second = received.find("/2=two");
  const std::size_t third = received.find("/3=three");
  REQUIRE(first < second);
  REQUIRE(second < third);
  REQUIRE(third != std::string::npos);
}

TEST_CASE("wire: server rejects an unfinished head with 408 and closes") {
  ServerFixture fixture;
  const std::string received =
      fixture.SendUntilClosed({"POST /a HTTP/1.1\r\nHost: a\r\n"});
  REQUIRE(StartsWith(received, "HTTP/1.1 408 "));
}

TEST_CASE(
    "wire: server rejects a stalled body with 408 but waits for a slow one") {
  ServerFixture fixture;
  const std::string stopped = fixture.SendUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"});
  REQUIRE(StartsWith(stopped, "HTTP/1.1 408 "));
  std::vector<std::string> parts{
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"};
  parts.insert(parts.end(), 20, "x");
  const std::string slow = fixture.SendRaw(parts, [](std::string_view input) {
    return CountOf(input, std::string(20, 'x')) == 1;
  });
  REQUIRE(StartsWith(slow, "HTTP/1.1 200 "));
}

TEST_CASE("wire: server rejects oversized heads with 431, bodies with 413") {
  ServerFixture fixture;
  const std::string head = fixture.SendUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2000, 'x') +
       "\r\n\r\n"});
  REQUIRE(StartsWith(head, "HTTP/1.1 431 "));
  const std::string body = fixture.SendUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n"});
  REQUIRE(StartsWith(body, "HTTP/1.1 413 "));
}

TEST_CASE("wire: bodies beyond the memory for them are refused unread") {
  // Guards against a process that holds the bodies of many requests at once and
  // exceeds its memory.
  ServerFixture fixture;
  ServerLimits limits;
  limits.message.body_bytes = 2048;
  limits.header_timeout_ms = 1000;
  limits.idle_timeout_ms = 1000;
  limits.total_body_bytes = 1500;
  fixture.server.SetLimits(limits);
  std::string slow;
  std::string refused;
  std::string chunked;
  const auto send = [&fixture](std::string text, std::string& received) {
    return [&fixture, &received, text = std::move(text)]() -> Task<> {
      std::string address = kServerAddress;
      const ConnectionPtr peer = co_await Connection::Dial(
          fixture.loop, std::move(address), LoopNow() + kTestTimeoutMs);
      std::string bytes = text;
      co_await peer->Write(std::move(bytes), LoopNow() + kTestTimeoutMs);
      while (peer->State() == InputState::kOpen) {
        const std::size_t buffered_bytes = peer->Input().size();
        co_await peer->WaitInput(buffered_bytes, LoopNow() + kTestTimeoutMs);
      }
      received = std::string(peer->Input());
      peer->Close();
    };
  };
  const bool done = fixture.Run([&]() -> Task<> {
    // Announces 1,000 bytes and sends none of them until the timeout.
    Spawn(fixture.loop,
          send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n",
               slow));
    co_await SleepFor(fixture.loop, kPartIntervalMs);
    co_await send("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n",
                  refused)();
    co_await send(
        "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "\r\n258\r\n" +
            std::string(600, 'x') + "\r\n0\r\n\r\n",
        chunked)();
    co_await SleepFor(fixture.loop, 1500);
  });
  REQUIRE(done);
  REQUIRE(StartsWith(refused, "HTTP/1.1 503 "));
  REQUIRE(refused.find("Retry-After: 1") != std::string::npos);
  REQUIRE(StartsWith(chunked, "HTTP/1.1 503 "));
  REQUIRE(StartsWith(slow, "HTTP/1.1 408 "));
  // The memory is free again.
  const std::string served =
      fixture.SendRaw({Post("/d", std::string(1400, 'x'))},
                      [](std::string_view input) { return !input.empty(); });
  REQUIRE(StartsWith(served, "HTTP/1.1 200 "));
}

TEST_CASE("wire: server closes the connection after ambiguous framing") {
  ServerFixture fixture;
  const std::string received = fixture.SendUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
       Post("/smuggled", "x")});
  REQUIRE(StartsWith(received, "HTTP/1.1 400 "));
  REQUIRE(CountOf(received, "HTTP/1.1 ") == 1);
  REQUIRE(CountOf(received, "smuggled") == 0);
}

TEST_CASE("wire: server closes an idle connection at its timeout, not before") {
  ServerFixture fixture;
  const TimeMs began = LoopNow();
  const std::string received = fixture.SendUntilClosed({Post("/a", "x")});
  REQUIRE(StartsWith(received, "HTTP/1.1 200 "));
  REQUIRE(LoopNow() - began >= 1000);
}

/// An endpoint whose behaviour is scripted: each accepted connection runs the
/// next script.
class ScriptedEndpoint {
 public:
  using Script = std::function<Task<>(Connection&)>;

  ScriptedEndpoint(Loop& event_loop, std::vector<Script> connection_scripts)
      : loop(event_loop),
        acceptor(event_loop, asio::ip::tcp::endpoint(
                                 asio::ip::make_address_v4("127.92.1.2"), 0)),
        scripts(std::move(connection_scripts)) {
    Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  }

  [[nodiscard]] std::string Address() const {
    return "127.92.1.2:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  Task<> Accept() {
    for (const Script& script : this->scripts) {
      asio::ip::tcp::socket socket =
          co_await this->acceptor.async_accept(asio::use_awaitable);
      auto connection =
          std::make_shared<Connection>(this->loop, std::move(socket), "");
      connection->Start();
      this->open.push_back(connection);
      Spawn(this->loop, [connection, &script]() -> Task<> {
        co_await script(*connection);
      });
    }
  }

  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  std::vector<Script> scripts;
  std::vector<ConnectionPtr> open;
};

/// Reads input until it contains `end`, then discards all of it.
Task<> ReadThrough(Connection& connection, std::string end) {
  while (connection.Input().find(end) == std::string_view::npos &&
         connection.State() == InputState::kOpen) {
    const std::size_t buffered_bytes = connection.Input().size();
    co_await connection.WaitInput(buffered_bytes, LoopNow() + kTestTimeoutMs);
  }
  connection.Consume(connection.Input().size());
}

Task<> Write(Connection& connection, std::string text) {
  co_await connection.Write(std::move(text), LoopNow() + kTestTimeoutMs);
}

std::string Answer(int status, std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

/// A client with its connection pool, and the scripted endpoint that it calls.
struct ClientFixture : LoopFixture {
  explicit ClientFixture(std::vector<ScriptedEndpoint::Script> scripts)
      : pool(this->loop, 4), endpoint(this->loop, std::move(scripts)) {}
  ~ClientFixture() { this->loop.EndTasks(); }
  ClientFixture(const ClientFixture&) = delete;
  ClientFixture& operator=(const ClientFixture&) = delete;

  HttpResponse Call(std::string body, DurationMs limit_ms = kTestTimeoutMs) {
    HttpResponse answer;
    const bool done = this->Run([&]() -> Task<> {
      std::string bytes = Post("/x", body);
      std::string address = this->endpoint.Address();
      const TimeMs deadline = LoopNow() + limit_ms;
      answer =
          co_await FetchResponse(this->loop, this->pool, std::move(address),
                                 std::move(bytes), deadline);
      // Lets bytes that follow the response arrive before the next call.
      co_await SleepFor(this->loop, 50);
    });
    REQUIRE(done);
    return answer;
  }

  ConnectionPool pool;
  ScriptedEndpoint endpoint;
};

/// Responds to one request on a connection and leaves the connection open.
Task<> AnswerOnce(Connection& connection, std::string text) {
  co_await ReadThrough(connection, "end");
  co_await Write(connection, std::move(text));
}

TEST_CASE(
    "wire: client takes an early response but does not reuse its connection") {
  ClientFixture fixture({[](Connection& connection) -> Task<> {
                           co_await ReadThrough(connection, "\r\n\r\n");
                           co_await Write(connection, Answer(413, "too much"));
                         },
                         [](Connection& connection) -> Task<> {
                           co_await AnswerOnce(connection,
                                               Answer(200, "second"));
                         }});
  // Larger than the kernel's socket buffers, so that the body cannot have been
  // sent completely.
  std::string body = "end";
  body.resize(32'000'000, 'x');
  const HttpResponse early = fixture.Call(std::move(body));
  REQUIRE(early.fault == CallFault::kNone);
  REQUIRE(early.head.status == 413);
  REQUIRE(early.body == "too much");
  const HttpResponse second = fixture.Call("end");
  REQUIRE(second.body == "second");
  REQUIRE(fixture.pool.DialCount() == 2);
}

TEST_CASE("wire: client ignores a surplus response on a connection") {
  ClientFixture fixture(
      {[](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection,
                             Answer(200, "first") + Answer(200, "extra"));
       },
       [](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection, Answer(200, "second"));
       }});
  REQUIRE(fixture.Call("end").body == "first");
  REQUIRE(fixture.Call("end").body == "second");
}

TEST_CASE(
    "wire: client does not return a late response as that of the next call") {
  ClientFixture fixture({[](Connection& connection) -> Task<> {
                           co_await ReadThrough(connection, "end");
                           co_await connection.WaitInput(0, LoopNow() + 150);
                           co_await Write(connection, Answer(200, "late"));
                         },
                         [](Connection& connection) -> Task<> {
                           co_await AnswerOnce(connection,
                                               Answer(200, "second"));
                         }});
  REQUIRE(fixture.Call("end", 100).fault == CallFault::kTimeout);
  REQUIRE(fixture.Call("end").body == "second");
}

TEST_CASE("wire: client skips interim responses") {
  ClientFixture fixture({[](Connection& connection) -> Task<> {
    co_await AnswerOnce(connection,
                        "HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 103 Early Hints\r\n\r\n" +
                            Answer(200, "final"));
  }});
  const HttpResponse answer = fixture.Call("end");
  REQUIRE(answer.head.status == 200);
  REQUIRE(answer.body == "final");
}

TEST_CASE("wire: client reports a response that ends early as truncated") {
  ClientFixture fixture(
      {[](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection,
                             "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nabc");
         connection.Close();
       },
       [](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection,
                             "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked"
                             "\r\n\r\n3\r\nabc\r\n");
         connection.Close();
       }});
  REQUIRE(fixture.Call("end").fault == CallFault::kTruncated);
  REQUIRE(fixture.Call("end").fault == CallFault::kTruncated);
}

TEST_CASE("wire: client reports a close without a response as a reset") {
  ClientFixture fixture(
      {[](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection, Answer(200, "first"));
         // Reads the next request and closes without a response.
         co_await ReadThrough(connection, "end");
         connection.Close();
       },
       [](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection, Answer(200, "third"));
       }});
  REQUIRE(fixture.Call("end").body == "first");
  const HttpResponse unanswered = fixture.Call("end");
  REQUIRE(unanswered.fault == CallFault::kReset);
  REQUIRE(unanswered.body.empty());
  REQUIRE(fixture.Call("end").body == "third");
}

TEST_CASE("wire: client does not reuse a connection closed while idle") {
  ClientFixture fixture(
      {[](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection, Answer(200, "first"));
         connection.Close();
       },
       [](Connection& connection) -> Task<> {
         co_await AnswerOnce(connection, Answer(200, "second"));
       }});
  REQUIRE(fixture.Call("end").body == "first");
  REQUIRE(fixture.Call("end").body == "second");
}

}  // namespace
}  // namespace limpethaven
