/// @file
/// Framing of HTTP messages: which messages the parser accepts, which it
/// rejects as ambiguous or too large, and when it takes a message for complete.
#include "net/http_parser.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace limpethaven {
namespace {

constexpr MessageLimits kLimits{400, 64};

/// Result of parsing some bytes.
struct Parsed {
  ParseFault fault = ParseFault::kNone;
  bool head = false;
  bool done = false;
  bool close_delimited = false;
  std::size_t consumed = 0;
  std::string body;
};

Parsed ParseAll(HttpParser::Kind kind, std::string_view bytes,
                bool connection_closes = false) {
  HttpParser parser(kind, kLimits);
  Parsed parsed;
  parsed.consumed = parser.Put(bytes);
  parsed.close_delimited = parser.CloseDelimited();
  if (connection_closes) parser.PutEof();
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

Parsed ParseResponse(std::string_view headers_and_body,
                     bool connection_closes = false) {
  return ParseAll(HttpParser::Kind::kResponse,
                  std::string("HTTP/1.1 200 OK\r\n").append(headers_and_body),
                  connection_closes);
}

TEST_CASE("http parser reads sized, chunked and absent bodies") {
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

TEST_CASE("http parser rejects ambiguous or invalid framing") {
  const std::string_view messages[] = {
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
  for (const std::string_view message : messages) {
    INFO(message);
    const Parsed parsed = ParseRequest(message);
    REQUIRE(parsed.fault == ParseFault::kMalformed);
  }
}

TEST_CASE("http parser reports which size limit a message exceeds") {
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

TEST_CASE("http parser does not consume bytes after the end of a message") {
  const std::string first = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  const Parsed parsed = ParseAll(HttpParser::Kind::kRequest,
                                 first + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(parsed.done);
  REQUIRE(parsed.consumed == first.size());
}

TEST_CASE("http parser result does not depend on how the bytes are split") {
  const std::string message =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n";
  for (std::size_t part_bytes = 1; part_bytes < message.size(); ++part_bytes) {
    HttpParser parser(HttpParser::Kind::kRequest, kLimits);
    std::string body;
    std::string input;
    for (std::size_t at = 0; at < message.size(); at += part_bytes) {
      input += message.substr(at, part_bytes);
      input.erase(0, parser.Put(input));
      body += parser.TakeBody();
    }
    REQUIRE(parser.Done());
    REQUIRE(body == "abcde");
    // Trailer fields must not become headers.
    REQUIRE_FALSE(parser.Request().headers.Has("X-Trailer"));
  }
}

TEST_CASE("http parser reports a response that ends early as truncated") {
  const std::string_view truncated[] = {
      "Content-Length: 5\r\n\r\nabc",
      "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
      "Content-Length: 5\r\n",
  };
  for (const std::string_view response : truncated) {
    INFO(response);
    const Parsed parsed = ParseResponse(response, true);
    REQUIRE_FALSE(parsed.done);
    REQUIRE(parsed.fault == ParseFault::kTruncated);
  }
}

TEST_CASE("http parser accepts a response that the close delimits") {
  const Parsed parsed = ParseResponse("Connection: close\r\n\r\nabc", true);
  REQUIRE(parsed.done);
  REQUIRE(parsed.body == "abc");
  REQUIRE(parsed.close_delimited);
}

TEST_CASE("http hop-by-hop headers are not forwarded") {
  Headers headers;
  headers.Add("Connection", "close, X-Hop");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("TE", "trailers");
  headers.Add("Upgrade", "h2c");
  headers.Add("Proxy-Authorization", "x");
  headers.Add("X-Hop", "x");
  headers.Add("X-End", "kept");
  const Headers forwarded = EndToEndHeaders(headers);
  REQUIRE(forwarded.All().size() == 1);
  REQUIRE(forwarded.Get("x-end") == "kept");
}

}  // namespace
}  // namespace limpethaven
