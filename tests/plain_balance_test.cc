/// @file
/// Shares of plain endpoints on a fleet of entry nodes.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>

#include "log/request_story.h"
#include "platform/settings.h"
#include "platform_fleet.h"

namespace limpethaven {
namespace {

using testing::EngineAnswer;
using testing::PlatformFleet;
using testing::PlatformFleetSettings;

constexpr int kCalls = 120;
constexpr DurationMs kPauseMs = 20;

PlatformFleetSettings TwoEndpoints() {
  PlatformFleetSettings settings;
  settings.engines = 1;
  settings.service_endpoints = 2;
  settings.balance_plain_pools = true;
  return settings;
}

EngineAnswer Serve(const RequestHead& call) {
  return EngineAnswer{testing::WholeStream(call, 1)};
}

void Press(PlatformFleet& fleet) {
  for (int number = 0; number < kCalls; ++number) {
    fleet.StartService(static_cast<std::size_t>(number) % fleet.entries.size());
    fleet.RunFor(kPauseMs);
  }
  static_cast<void>(fleet.RunUntil(
      [&fleet] { return fleet.responses.size() == kCalls; }, 5000));
}

std::ptrdiff_t Served(const PlatformFleet& fleet) {
  return std::ranges::count_if(fleet.responses,
                               [](const HttpResponse& response) {
                                 return response.fault == CallFault::kNone &&
                                        response.head.status == 200;
                               });
}

bool HasShares(PlatformFleet& fleet) {
  return fleet.entries.front()->MetricsText().find(
             "limpethaven_plain_share{endpoint=\"engine-2\"") !=
         std::string::npos;
}

/// Collects the events of the process while it exists.
class CapturedLog {
 public:
  CapturedLog() : file(std::tmpfile(), &std::fclose) {
    REQUIRE(this->file != nullptr);
    LogLimits limits;
    limits.flush_each_line = true;
    this->log = std::make_unique<EventLog>(fileno(this->file.get()), limits);
    SetEventLog(this->log.get());
  }
  ~CapturedLog() { SetEventLog(nullptr); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// Lines with a text.
  [[nodiscard]] std::vector<std::string> Lines(std::string_view text) const {
    REQUIRE(std::fseek(this->file.get(), 0, SEEK_SET) == 0);
    std::vector<std::string> found;
    std::array<char, 4096> line{};
    while (std::fgets(line.data(), line.size(), this->file.get()) != nullptr) {
      const std::string_view whole(line.data());
      if (whole.find(text) != std::string_view::npos) found.emplace_back(whole);
    }
    return found;
  }

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file;
  std::unique_ptr<EventLog> log;
};

TEST_CASE("entries divide calls among plain endpoints by shares",
          "[.known-red]") {
  const CapturedLog log;
  PlatformFleet fleet(TwoEndpoints(), Serve);
  Press(fleet);
  CHECK(Served(fleet) == kCalls);
  CHECK(HasShares(fleet));
  // Shares that stay alike are logged once for each entry and set of endpoints.
  const auto changes = log.Lines("ev=476");
  REQUIRE_FALSE(changes.empty());
  CHECK(changes.size() <= 3 * fleet.entries.size());
  CHECK(changes.front().find("oldest_ms=") != std::string::npos);
  std::ranges::for_each(changes,
                        [](const std::string& line) { UNSCOPED_INFO(line); });
  // Each entry draws evenly, so that few calls more reach one endpoint.
  CHECK(fleet.engines[1]->calls.size() >= kCalls * 4 / 10);
  CHECK(fleet.engines[2]->calls.size() >= kCalls * 4 / 10);
}

TEST_CASE("shares are not in force with too few processes") {
  PlatformFleetSettings settings = TwoEndpoints();
  settings.balance_min_processes = 4;
  PlatformFleet fleet(settings, Serve);
  Press(fleet);
  CHECK(Served(fleet) == kCalls);
  CHECK_FALSE(HasShares(fleet));
}

// Guards against shares that send a call to the endpoint that it was sent to
// before, or that keep sending calls to an endpoint that is ejected.
TEST_CASE("shares leave out endpoints that were tried and that are ejected") {
  PlatformFleetSettings settings = TwoEndpoints();
  // Each request may be sent again.
  settings.retries = RetrySettings{1.0, 50, 10'000};
  const CapturedLog log;
  PlatformFleet fleet(settings, [](const RequestHead& call) {
    if (call.headers.Get("X-Expect-Instance") != "engine-2") {
      return Serve(call);
    }
    ResponseHead refusal{503, {}};
    refusal.headers.Add("X-Attempt-Id", call.headers.Get("X-Attempt-Id"));
    refusal.headers.Add("X-Not-Run", "1");
    return EngineAnswer{WriteResponse(refusal, "")};
  });
  Press(fleet);
  CHECK(Served(fleet) == kCalls);
  CHECK(fleet.engines[1]->calls.size() < kCalls / 4);
  // `limpethavenctl explain` prints why such a request went elsewhere.
  const auto deviations = log.Lines("ev=477");
  REQUIRE_FALSE(deviations.empty());
  const std::string& line = deviations.front();
  const std::size_t begin = line.find("request=") + 8;
  const std::string id = line.substr(begin, line.find(' ', begin) - begin);
  const RequestTimeline timeline = BuildRequestTimeline(id, log.Lines("ev="));
  CHECK(std::ranges::find(timeline.events, line) != timeline.events.end());
  CHECK(line.find("age_ms=") != std::string::npos);
}

TEST_CASE("a process that is cut off from its peers divides calls by slots") {
  constexpr std::int64_t kProcesses = 66;
  PlainBalance balance({true, kProcesses}, "a");
  std::vector<MemberUpdate> serving(kProcesses);
  for (std::size_t index = 0; index < serving.size(); ++index) {
    serving[index].data_centre = index % 2 == 0 ? "a" : "b";
  }
  CHECK_FALSE(balance.InForce());
  balance.SetServing(serving, 0);
  CHECK(balance.InForce());
  CHECK(balance.OutgoingLoad(0).sequence > 0);
  serving.resize(1);
  balance.SetServing(serving, 10'000);
  REQUIRE(balance.InForce());
  EndpointRecord near{"near", 1, "", "a", "shop"};
  near.slots = 2;
  EndpointRecord far{"far", 1, "", "b", "shop"};
  far.slots = 6;
  const auto idle = [](const std::string&) { return std::int64_t{0}; };
  CHECK(balance.Choose("shop", {&near, &far}, {}, "r", idle, 10'000) !=
        nullptr);
  REQUIRE(balance.Shares().size() == 2);
  CHECK(balance.Shares().front().share == Approx(0.25));
  // A fleet that has become small for good is served as before.
  balance.SetServing(serving, kLargestCountMs);
  CHECK_FALSE(balance.InForce());
  CHECK(balance.OutgoingLoad(0).sequence == 0);
}

// Guards against an entry with other reports, or none, that moves calls of the
// others.
TEST_CASE("shares serve on while an entry is restarted") {
  PlatformFleet fleet(TwoEndpoints(), Serve);
  Press(fleet);
  fleet.responses.clear();
  fleet.RestartEntry(2);
  static_cast<void>(fleet.RunUntil(
      [&fleet] { return fleet.entries[2]->HasServingMembers(3); }, 10'000));
  Press(fleet);
  CHECK(Served(fleet) == kCalls);
}

TEST_CASE("the platform's adapter balances plain pools from 60 processes on") {
  const auto settings = platform::ParseSettings(
      R"({"node":"vm-1","ip":"127.0.0.9","zone":"a",
      "listen":{"front":"127.0.0.9:8080","ready":"127.0.0.9:8081",
      "directory":"127.0.0.9:8082"},"platform":{"addr":"127.0.0.1:9000"},
      "port_range":[7000,7099],"bounds":{"grace_s":8}})");
  REQUIRE(settings);
  CHECK(settings.value().node.router.balance_plain_pools);
  CHECK(settings.value().node.router.balance_min_processes == 60);
  CHECK_FALSE(RouterSettings{}.balance_plain_pools);
}

}  // namespace
}  // namespace limpethaven
