/// @file
/// The log: bounded, never waiting, and honest about what it lost.
#include "log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace limpethaven {
namespace {

/// A pipe whose reading end is used only when asked.
class Pipe {
 public:
  Pipe() {
    REQUIRE(::pipe(this->ends.data()) == 0);
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  [[nodiscard]] int In() const { return this->ends[1]; }
  [[nodiscard]] std::string ReadAll() const {
    std::string text;
    std::array<char, 65'536> piece{};
    for (;;) {
      const ssize_t count = ::read(this->ends[0], piece.data(), piece.size());
      if (count <= 0) return text;
      text.append(piece.data(), static_cast<std::size_t>(count));
    }
  }

 private:
  std::array<int, 2> ends{};
};

std::size_t LinesOf(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

TEST_CASE("a log that nobody reads loses lines, not time, and says how many") {
  const Pipe pipe;
  LogLimits limits;
  limits.max_lines_per_event_per_s = 1'000'000;
  EventLog log(pipe.In(), limits);
  constexpr int kLines = 50'000;
  // Far more than the pipe and the buffer hold; a write that waits would never
  // come back.
  for (int index = 0; index < kLines; ++index) {
    log.Write(EventId::kRequestAccepted,
              {LogField::Of("request", index), {"team", "north"}}, 1000);
    log.Flush();
  }
  REQUIRE(log.Dropped() > 0);
  std::string text;
  for (int round = 0; round < 100; ++round) {
    text += pipe.ReadAll();
    log.Flush();
  }
  log.Write(EventId::kRequestFinished, {{"request", "last"}}, 2000);
  log.Flush();
  text += pipe.ReadAll();
  const std::string told =
      "name=log_lines_dropped event=any lines=" + std::to_string(log.Dropped());
  REQUIRE(text.find(told) != std::string::npos);
  REQUIRE(LinesOf(text) == kLines - log.Dropped() + 2);
  REQUIRE(text.find("request=last") != std::string::npos);
}

TEST_CASE("a log's lines are bounded for each event and second") {
  const Pipe pipe;
  EventLog log(pipe.In());
  for (int index = 0; index < 1000; ++index) {
    log.Write(EventId::kRequestAccepted, {LogField::Of("request", index)},
              1000);
  }
  log.Write(EventId::kRequestAccepted, {{"request", "next"}}, 2000);
  log.Flush();
  const std::string text = pipe.ReadAll();
  REQUIRE(LinesOf(text) == 202);
  REQUIRE(text.find("event=request_accepted lines=800") != std::string::npos);
}

TEST_CASE("a log line's values cannot forge fields or lines") {
  const Pipe pipe;
  EventLog log(pipe.In());
  log.Write(EventId::kRequestAccepted, {{"request", "a b=c\"\nname=forged"}},
            1000);
  log.Flush();
  const std::string text = pipe.ReadAll();
  REQUIRE(LinesOf(text) == 1);
  REQUIRE(text.find(R"(request="a b=c\" name=forged")") != std::string::npos);
}

}  // namespace
}  // namespace limpethaven
