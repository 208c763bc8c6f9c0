/// @file
/// Guards against a log that blocks on a stalled reader, grows without a limit,
/// misreports its dropped lines, or lets a value forge fields or lines.
#include "log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace limpethaven {
namespace {

/// Non-blocking pipe that is read only by `ReadAll`.
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

  [[nodiscard]] int WriteEnd() const { return this->ends[1]; }
  [[nodiscard]] std::string ReadAll() const {
    std::string text;
    std::array<char, 65'536> chunk{};
    for (;;) {
      const ssize_t count = ::read(this->ends[0], chunk.data(), chunk.size());
      if (count <= 0) return text;
      text.append(chunk.data(), static_cast<std::size_t>(count));
    }
  }

 private:
  std::array<int, 2> ends{};
};

std::size_t CountLines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

TEST_CASE("event log drops and counts lines while its reader is stalled") {
  const Pipe pipe;
  LogLimits limits;
  limits.max_lines_per_event_per_s = 1'000'000;
  EventLog log(pipe.WriteEnd(), limits);
  constexpr int kLines = 50'000;
  // More lines than the pipe and the buffer hold: a blocking write would never
  // return.
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
  const std::string expected_report =
      "name=log_lines_dropped event=any lines=" + std::to_string(log.Dropped());
  REQUIRE(text.find(expected_report) != std::string::npos);
  REQUIRE(CountLines(text) == kLines - log.Dropped() + 2);
  REQUIRE(text.find("request=last") != std::string::npos);
}

TEST_CASE("event log limits the lines of each event in a second") {
  const Pipe pipe;
  EventLog log(pipe.WriteEnd());
  for (int index = 0; index < 1000; ++index) {
    log.Write(EventId::kRequestAccepted, {LogField::Of("request", index)},
              1000);
  }
  log.Write(EventId::kRequestAccepted, {{"request", "next"}}, 2000);
  log.Flush();
  const std::string text = pipe.ReadAll();
  REQUIRE(CountLines(text) == 202);
  REQUIRE(text.find("event=request_accepted lines=800") != std::string::npos);
}

TEST_CASE("event log values cannot forge fields or lines") {
  const Pipe pipe;
  EventLog log(pipe.WriteEnd());
  log.Write(EventId::kRequestAccepted, {{"request", "a b=c\"\nname=forged"}},
            1000);
  log.Flush();
  const std::string text = pipe.ReadAll();
  REQUIRE(CountLines(text) == 1);
  REQUIRE(text.find(R"(request="a b=c\" name=forged")") != std::string::npos);
}

}  // namespace
}  // namespace limpethaven
