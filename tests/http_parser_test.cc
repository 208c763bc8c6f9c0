/// @file
/// Framing of HTTP messages: what is taken, what is refused, what looks whole.
#include "net/http_parser.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace limpethaven {
namespace {

constexpr MessageLimits kLimits{400, 64};

/// What a parser made of some bytes.
struct Parsed {
  ParseFault fault = ParseFault::kNone;
  bool head = false;
  bool done = false;
  bool ends_with_connection = false;
  std::size_t taken = 0;
  std::string body;
};

Parsed ParseAll(HttpParser::Kind kind, std::string_view bytes,
                bool connection_ends = false) {
  HttpParser parser(kind, kLimits);
  Parsed parsed;
  parsed.taken = parser.Put(bytes);
  parsed.ends_with_connection = parser.EndsWithConnection();
  if (connection_ends) parser.PutEnd();
  parsed.fault = parser.Fault();
  parsed.head = parser.HeadDone();
  parsed.done = parser.Done();
  parsed.body = parser.TakeBody();
  return parsed;
}

Parsed ParseRequest(std::string_view headers_and_body) {
  return ParseAll(
      HttpParser::Kind::kRequest,
      std::string("POST /a HTTP/1.1\r\nHost: h\r\n").append(headers_and_body));
}

Parsed ParseAnswer(std::string_view headers_and_body,
                   bool connection_ends = false) {
  return ParseAll(HttpParser::Kind::kResponse,
                  std::string("HTTP/1.1 200 OK\r\n").append(headers_and_body),
                  connection_ends);
}

TEST_CASE("http request bodies come by length or in chunks") {
  const Parsed length = ParseRequest("Content-Length: 3\r\n\r\nabc");
  REQUIRE(length.done);
  REQUIRE(length.body == "abc");
  const Parsed chunks = ParseRequest(
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=1\r\nde\r\n0\r\n\r\n");
  REQUIRE(chunks.done);
  REQUIRE(chunks.body == "abcde");
  const Parsed none = ParseRequest("\r\n");
  REQUIRE(none.done);
  REQUIRE(none.body.empty());
}

TEST_CASE("http framing that two readers could take differently is refused") {
  const std::string_view forms[] = {
      "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "Content-Length: 3, 4\r\n\r\nabcd",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding: identity\r\n\r\nabc",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
      "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      "Content-Length : 3\r\n\r\nabc",
      "Content-Length: -1\r\n\r\n",
      "Content-Length: +3\r\n\r\nabc",
      "Content-Length: 0x3\r\n\r\nabc",
      "Content-Length: 99999999999999999999\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\nz\r\nabc\r\n0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
      "X-Broken\r\n\r\n",
  };
  for (const std::string_view form : forms) {
    INFO(form);
    const Parsed parsed = ParseRequest(form);
    REQUIRE(parsed.fault == ParseFault::kMalformed);
  }
}

TEST_CASE("http messages over a limit are refused by which limit it is") {
  const std::string large(500, 'x');
  REQUIRE(ParseRequest("X-Large: " + large + "\r\n\r\n").fault ==
          ParseFault::kHeaderTooLarge);
  REQUIRE(ParseRequest("Content-Length: 65\r\n\r\n").fault ==
          ParseFault::kBodyTooLarge);
  REQUIRE(ParseRequest("Transfer-Encoding: chunked\r\n\r\n41\r\n" +
                       std::string(65, 'x') + "\r\n0\r\n\r\n")
              .fault == ParseFault::kBodyTooLarge);
  REQUIRE(
      ParseRequest("Content-Length: 64\r\n\r\n" + std::string(64, 'x')).done);
}

TEST_CASE("http parser leaves the bytes behind a message alone") {
  const std::string first = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  const Parsed parsed = ParseAll(HttpParser::Kind::kRequest,
                                 first + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(parsed.done);
  REQUIRE(parsed.taken == first.size());
}

TEST_CASE("http parser takes the same message whatever pieces it comes in") {
  const std::string message =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n";
  for (std::size_t piece = 1; piece < message.size(); ++piece) {
    HttpParser parser(HttpParser::Kind::kRequest, kLimits);
    std::string body;
    std::string input;
    for (std::size_t at = 0; at < message.size(); at += piece) {
      input += message.substr(at, piece);
      input.erase(0, parser.Put(input));
      body += parser.TakeBody();
    }
    REQUIRE(parser.Done());
    REQUIRE(body == "abcde");
    // A trailer never sets what only the head may say.
    REQUIRE_FALSE(parser.Request().headers.Has("X-Trailer"));
  }
}

TEST_CASE("http answers that end early never look whole") {
  const std::string_view cut[] = {
      "Content-Length: 5\r\n\r\nabc",
      "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "Content-Length: 5\r\n",
  };
  for (const std::string_view answer : cut) {
    INFO(answer);
    const Parsed parsed = ParseAnswer(answer, true);
    REQUIRE_FALSE(parsed.done);
    REQUIRE(parsed.fault == ParseFault::kTruncated);
  }
}

TEST_CASE("http answers may end with their connection") {
  const Parsed parsed = ParseAnswer("Connection: close\r\n\r\nabc", true);
  REQUIRE(parsed.done);
  REQUIRE(parsed.body == "abc");
  REQUIRE(parsed.ends_with_connection);
}

TEST_CASE("http headers of one connection are not passed on") {
  Headers headers;
  headers.Add("Connection", "close, X-Hop");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("TE", "trailers");
  headers.Add("Upgrade", "h2c");
  headers.Add("Proxy-Authorization", "x");
  headers.Add("X-Hop", "x");
  headers.Add("X-End", "kept");
  const Headers passed = EndToEndHeaders(headers);
  REQUIRE(passed.All().size() == 1);
  REQUIRE(passed.Get("x-end") == "kept");
}

}  // namespace
}  // namespace limpethaven
