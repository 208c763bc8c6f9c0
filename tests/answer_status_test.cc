/// @file
/// Answers of a plain endpoint with every status from 000 to 999, in each
/// framing and with each end of the connection. Guards against an answer
/// without a final status that keeps the process or its caller busy, and
/// against a status that HTTP does not have reaching a caller.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "net/http_client.h"
#include "platform_fleet.h"

namespace limpethaven::testing {
namespace {

constexpr int kStatuses = 1000;
constexpr int kBatch = 100;
constexpr DurationMs kTimeoutMs = 2000;
constexpr std::string_view kBody = "whole body";
constexpr std::string_view kGoodPath = "/plain/good";

enum class Framing { kLength, kChunked, kNone };
enum class Ending { kKept, kClosed };

std::string ThreeDigits(int status) {
  const std::string digits = std::to_string(status);
  return std::string(3 - digits.size(), '0') + digits;
}

/// Status line and headers up to the empty line, which are written by hand:
/// the product does not write such a status.
std::string AnswerBytes(const RequestHead& call, const std::string& status,
                        Framing framing) {
  std::string text = "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " +
                     std::string(call.headers.Get("X-Attempt-Id")) +
                     "\r\nX-Server-Seal: seal\r\n";
  const std::string body(kBody);
  switch (framing) {
    case Framing::kLength:
      return text + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    case Framing::kChunked:
      return text + "Transfer-Encoding: chunked\r\n\r\n" + WriteChunk(body) +
             WriteChunk("");
    case Framing::kNone:
      break;
  }
  return text + "\r\n" + body;
}

/// Answers `/plain/STATUS` with that status, and other paths as a sound
/// endpoint does.
ScriptedEngine::Answer Script(Framing framing, Ending ending) {
  return [framing, ending](const RequestHead& call) {
    if (call.target == kGoodPath) {
      return EngineAnswer{AnswerBytes(call, "200", Framing::kLength)};
    }
    const std::string status = call.target.substr(call.target.rfind('/') + 1);
    EngineAnswer answer{AnswerBytes(call, status, framing)};
    answer.close = ending == Ending::kClosed;
    return answer;
  };
}

/// Whether the caller's response is right for an endpoint's answer.
bool IsRight(const HttpResponse& response, int status, Framing framing,
             Ending ending) {
  const int got = response.head.status;
  if (response.fault != CallFault::kNone) {
    // The end of the answer was not known when its head was passed on.
    return framing == Framing::kNone && ending == Ending::kKept &&
           status >= 200 && status < 600;
  }
  if (status < 100 || status == 101 || status >= 600) return got == 502;
  if (status < 200) return got == 502 || got == 504;
  // Another instance answers at the endpoint's address, which has not run it.
  if (status == 421) return got == 503;
  const bool passed_on = got == status;
  const bool has_body = status != 204 && status != 304;
  if (status >= 300) return passed_on || got == 502 || got == 504;
  if (framing == Framing::kNone && ending == Ending::kKept && has_body) {
    return got == 502 || got == 504;
  }
  return passed_on && response.body == (has_body ? kBody : "");
}

}  // namespace

TEST_CASE(
    "a status outside HTTP neither reaches a caller nor stops the process",
    "[fleet]") {
  const Framing framing =
      GENERATE(Framing::kLength, Framing::kChunked, Framing::kNone);
  const Ending ending = GENERATE(Ending::kKept, Ending::kClosed);
  PlatformFleetSettings settings;
  settings.entries = 1;
  settings.engines = 1;
  settings.timeout_ms = kTimeoutMs;
  PlatformFleet fleet(settings, Script(framing, ending));
  for (int first = 0; first < kStatuses; first += kBatch) {
    const std::size_t before = fleet.responses.size();
    for (int status = first; status < first + kBatch; ++status) {
      fleet.StartService(0, "/plain/" + ThreeDigits(status));
    }
    // Another caller is served while the answers come.
    fleet.StartService(0, kGoodPath);
    REQUIRE(fleet.RunUntil(
        [&] { return fleet.responses.size() == before + kBatch + 1; },
        5 * kTimeoutMs));
    for (std::size_t row = before; row < fleet.responses.size(); ++row) {
      const std::string& path = fleet.response_paths[row];
      const HttpResponse& response = fleet.responses[row];
      INFO(path << ": " << NameOf(response.fault) << ' ' << response.head.status
                << " after " << fleet.response_times[row] << " ms");
      if (path == kGoodPath) {
        CHECK(response.fault == CallFault::kNone);
        CHECK(response.head.status == 200);
        CHECK(response.body == kBody);
        CHECK(fleet.response_times[row] < kTimeoutMs / 2);
        continue;
      }
      const int status = std::stoi(path.substr(path.rfind('/') + 1));
      CHECK(IsRight(response, status, framing, ending));
      const bool final = status >= 200 && status < 600;
      const bool interim = status >= 100 && status < 200 && status != 101;
      // Nobody waits for an answer that cannot come.
      if (!final && !interim) {
        CHECK(fleet.response_times[row] < kTimeoutMs / 2);
      }
    }
  }
}

}  // namespace limpethaven::testing
