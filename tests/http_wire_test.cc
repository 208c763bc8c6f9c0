/// @file
/// HTTP/1.1 on sockets: what a server and a call do with peers that keep to
/// the letter, and with peers that do not.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace limpethaven {
namespace {

/// A test that takes so long has failed.
constexpr DurationMs kLimitMs = 10'000;
/// Between pieces that a caller sends; twenty of them take longer than a head
/// may, and each is far within what a busy machine may add.
constexpr DurationMs kPieceMs = 60;
constexpr const char* kServer = "127.92.1.1:18193";

/// A loop whose coroutines are freed before what the test declares after it.
class Wire {
 public:
  Wire() = default;
  ~Wire() { this->loop.EndTasks(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  /// Runs one coroutine to its end. @returns false when it takes too long.
  [[nodiscard]] bool Run(std::function<Task<>()> script) {
    bool done = false;
    Spawn(this->loop, [this, &done, &script]() -> Task<> {
      co_await script();
      done = true;
      this->loop.stop();
    });
    this->loop.run_for(std::chrono::milliseconds(kLimitMs));
    this->loop.restart();
    return done;
  }

  Loop loop{1};
};

/// Answers a request with its target and body.
Task<> Echo(Exchange& exchange) {
  ResponseHead head{200, {}};
  std::string text = exchange.Head().target + "=" + exchange.Body();
  co_await exchange.Answer(std::move(head), std::move(text));
}

/// A server on the wire, with short limits.
struct Served : Wire {
  Served() : server(this->loop, Echo, 8) {
    ServerLimits limits;
    limits.message.header_bytes = 1024;
    limits.message.body_bytes = 2048;
    limits.header_timeout_ms = 1000;
    limits.idle_timeout_ms = 1000;
    this->server.SetLimits(limits);
    REQUIRE(this->server.Listen(kServer));
  }
  ~Served() { this->loop.EndTasks(); }
  Served(const Served&) = delete;
  Served& operator=(const Served&) = delete;

  /// Sends raw pieces, then reads until the server closes or `enough` holds.
  std::string Say(std::vector<std::string> pieces,
                  std::function<bool(std::string_view)> enough) {
    std::string heard;
    const bool done = this->Run([&]() -> Task<> {
      std::string address = kServer;
      const ConnectionPtr peer = co_await Connection::Dial(
          this->loop, std::move(address), LoopNow() + kLimitMs);
      for (std::string piece : pieces) {
        co_await peer->Write(std::move(piece), LoopNow() + kLimitMs);
        co_await SleepFor(this->loop, kPieceMs);
      }
      while (!enough(peer->Input()) && peer->State() == InputState::kOpen) {
        const std::size_t known = peer->Input().size();
        co_await peer->WaitInput(known, LoopNow() + kLimitMs);
      }
      heard = std::string(peer->Input());
      peer->Close();
    });
    REQUIRE(done);
    return heard;
  }
  std::string SayUntilClosed(std::vector<std::string> pieces) {
    return this->Say(std::move(pieces), [](std::string_view) { return false; });
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

TEST_CASE("wire: a caller that expects 100 gets it once, then its answer") {
  Served served;
  const std::string heard = served.Say(
      {"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
       "Content-Length: 4\r\n\r\n",
       "bo", "dy"},
      [](std::string_view input) { return CountOf(input, "/a=body") == 1; });
  REQUIRE(StartsWith(heard, "HTTP/1.1 100 "));
  REQUIRE(CountOf(heard, "HTTP/1.1 100 ") == 1);
  REQUIRE(CountOf(heard, "HTTP/1.1 200 ") == 1);
  REQUIRE(CountOf(heard, "/a=body") == 1);
}

TEST_CASE("wire: requests sent ahead are answered in their order") {
  Served served;
  const std::string heard = served.Say(
      {Post("/1", "one") + Post("/2", "two") + Post("/3", "three")},
      [](std::string_view input) { return CountOf(input, "three") == 1; });
  const std::size_t first = heard.find("/1=one");
  const std::size_t second = heard.find("/2=two");
  const std::size_t third = heard.find("/3=three");
  REQUIRE(first < second);
  REQUIRE(second < third);
  REQUIRE(third != std::string::npos);
}

TEST_CASE("wire: a head that does not end in time gets 408 and the close") {
  Served served;
  const std::string heard =
      served.SayUntilClosed({"POST /a HTTP/1.1\r\nHost: a\r\n"});
  REQUIRE(StartsWith(heard, "HTTP/1.1 408 "));
}

TEST_CASE("wire: a body that stops gets 408, one that goes on is waited for") {
  Served served;
  const std::string stopped = served.SayUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"});
  REQUIRE(StartsWith(stopped, "HTTP/1.1 408 "));
  std::vector<std::string> pieces{
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"};
  pieces.insert(pieces.end(), 20, "x");
  const std::string slow = served.Say(pieces, [](std::string_view input) {
    return CountOf(input, std::string(20, 'x')) == 1;
  });
  REQUIRE(StartsWith(slow, "HTTP/1.1 200 "));
}

TEST_CASE("wire: too large heads and bodies get 431 and 413 and the close") {
  Served served;
  const std::string head = served.SayUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(2000, 'x') +
       "\r\n\r\n"});
  REQUIRE(StartsWith(head, "HTTP/1.1 431 "));
  const std::string body = served.SayUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n"});
  REQUIRE(StartsWith(body, "HTTP/1.1 413 "));
}

TEST_CASE("wire: a request whose framing is in doubt ends the connection") {
  Served served;
  const std::string heard = served.SayUntilClosed(
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
       Post("/smuggled", "x")});
  REQUIRE(StartsWith(heard, "HTTP/1.1 400 "));
  REQUIRE(CountOf(heard, "HTTP/1.1 ") == 1);
  REQUIRE(CountOf(heard, "smuggled") == 0);
}

TEST_CASE("wire: a kept connection is closed when idle, not before") {
  Served served;
  const TimeMs began = LoopNow();
  const std::string heard = served.SayUntilClosed({Post("/a", "x")});
  REQUIRE(StartsWith(heard, "HTTP/1.1 200 "));
  REQUIRE(LoopNow() - began >= 1000);
}

/// A scripted endpoint: each connection gets the next script.
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

/// Reads one request that ends with `end`.
Task<> ReadThrough(Connection& connection, std::string end) {
  while (connection.Input().find(end) == std::string_view::npos &&
         connection.State() == InputState::kOpen) {
    const std::size_t known = connection.Input().size();
    co_await connection.WaitInput(known, LoopNow() + kLimitMs);
  }
  connection.Consume(connection.Input().size());
}

Task<> Write(Connection& connection, std::string text) {
  co_await connection.Write(std::move(text), LoopNow() + kLimitMs);
}

std::string Answer(int status, std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

/// A client on the wire, and what its calls brought.
struct Calling : Wire {
  explicit Calling(std::vector<ScriptedEndpoint::Script> scripts)
      : pool(this->loop, 4), endpoint(this->loop, std::move(scripts)) {}
  ~Calling() { this->loop.EndTasks(); }
  Calling(const Calling&) = delete;
  Calling& operator=(const Calling&) = delete;

  HttpResponse Call(std::string body, DurationMs limit_ms = kLimitMs) {
    HttpResponse answer;
    const bool done = this->Run([&]() -> Task<> {
      std::string bytes = Post("/x", body);
      std::string address = this->endpoint.Address();
      const TimeMs deadline = LoopNow() + limit_ms;
      answer =
          co_await FetchResponse(this->loop, this->pool, std::move(address),
                                 std::move(bytes), deadline);
      // What comes behind an answer comes before the next call.
      co_await SleepFor(this->loop, 50);
    });
    REQUIRE(done);
    return answer;
  }

  ConnectionPool pool;
  ScriptedEndpoint endpoint;
};

/// Answers one request on a connection and leaves it open.
Task<> AnswerOnce(Connection& connection, std::string text) {
  co_await ReadThrough(connection, "end");
  co_await Write(connection, std::move(text));
}

TEST_CASE("wire: an answer before the body's end counts, its connection not") {
  Calling calling({[](Connection& connection) -> Task<> {
                     co_await ReadThrough(connection, "\r\n\r\n");
                     co_await Write(connection, Answer(413, "too much"));
                   },
                   [](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "second"));
                   }});
  // More than the kernel's buffers hold: the rest can't have left.
  std::string body = "end";
  body.resize(32'000'000, 'x');
  const HttpResponse early = calling.Call(std::move(body));
  REQUIRE(early.fault == CallFault::kNone);
  REQUIRE(early.head.status == 413);
  REQUIRE(early.body == "too much");
  const HttpResponse second = calling.Call("end");
  REQUIRE(second.body == "second");
  REQUIRE(calling.pool.DialCount() == 2);
}

TEST_CASE("wire: an answer that nobody asked for is no call's answer") {
  Calling calling({[](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "first") +
                                                         Answer(200, "extra"));
                   },
                   [](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "second"));
                   }});
  REQUIRE(calling.Call("end").body == "first");
  REQUIRE(calling.Call("end").body == "second");
}

TEST_CASE("wire: an answer that comes too late is not the next call's") {
  Calling calling({[](Connection& connection) -> Task<> {
                     co_await ReadThrough(connection, "end");
                     co_await connection.WaitInput(0, LoopNow() + 150);
                     co_await Write(connection, Answer(200, "late"));
                   },
                   [](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "second"));
                   }});
  REQUIRE(calling.Call("end", 100).fault == CallFault::kTimeout);
  REQUIRE(calling.Call("end").body == "second");
}

TEST_CASE("wire: answers of the 100 class are passed over") {
  Calling calling({[](Connection& connection) -> Task<> {
    co_await AnswerOnce(connection,
                        "HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 103 Early Hints\r\n\r\n" +
                            Answer(200, "final"));
  }});
  const HttpResponse answer = calling.Call("end");
  REQUIRE(answer.head.status == 200);
  REQUIRE(answer.body == "final");
}

TEST_CASE("wire: an answer that ends early is never taken for whole") {
  Calling calling(
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
  REQUIRE(calling.Call("end").fault == CallFault::kTruncated);
  REQUIRE(calling.Call("end").fault == CallFault::kTruncated);
}

TEST_CASE("wire: a close that crosses a request is a fault, not an answer") {
  Calling calling({[](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "first"));
                     // Reads the next request and closes without an answer.
                     co_await ReadThrough(connection, "end");
                     connection.Close();
                   },
                   [](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "third"));
                   }});
  REQUIRE(calling.Call("end").body == "first");
  const HttpResponse crossed = calling.Call("end");
  REQUIRE(crossed.fault == CallFault::kReset);
  REQUIRE(crossed.body.empty());
  REQUIRE(calling.Call("end").body == "third");
}

TEST_CASE("wire: a connection closed while idle is not used again") {
  Calling calling({[](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "first"));
                     connection.Close();
                   },
                   [](Connection& connection) -> Task<> {
                     co_await AnswerOnce(connection, Answer(200, "second"));
                   }});
  REQUIRE(calling.Call("end").body == "first");
  REQUIRE(calling.Call("end").body == "second");
}

}  // namespace
}  // namespace limpethaven
