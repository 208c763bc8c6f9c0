/// @file
/// Ejection by the failures that many processes see together.
#include "limpethaven/failure_evidence.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace limpethaven {
namespace {

constexpr std::size_t kProcesses = 83;
constexpr std::size_t kEndpoints = 5;
constexpr DurationMs kProbePeriodMs = 500;
constexpr std::uint64_t kSeed = 20'261'204;
/// Members to which a process that saw a failure sends a report at once.
constexpr std::size_t kFanout = 16;

std::string Endpoint(std::size_t index) { return "e-" + std::to_string(index); }

struct View {
  LoadMeter meter;
  FailureEvidence evidence;
  EndpointHealth health;
  TimeMs announced_at = -kProbePeriodMs;
  std::vector<TimeMs> ejected_at = std::vector<TimeMs>(kEndpoints, -1);
};

/// Processes that call endpoints and exchange reports by gossip.
class Fleet {
 public:
  explicit Fleet(bool with_reports) : reports(with_reports) {}

  /// Plays calls of all processes. @param fails Whether a call fails.
  template <typename Fails>
  void Play(DurationMs duration_ms, double calls_per_s, Fails fails) {
    for (; duration_ms > 0; --duration_ms, ++this->now) {
      std::poisson_distribution<int> arrivals(calls_per_s / 1000);
      for (int left = arrivals(this->random); left > 0; --left) {
        const std::size_t process = this->Below(kProcesses);
        const std::size_t endpoint = this->Below(kEndpoints);
        View& view = this->views.at(process);
        if (!view.health.Usable(Endpoint(endpoint), this->now)) continue;
        view.health.OnChosen(Endpoint(endpoint), this->now);
        view.meter.OnStart(Endpoint(endpoint), this->now);
        view.meter.OnEnd(Endpoint(endpoint), this->now);
        if (!fails(process, endpoint)) {
          view.health.OnSuccess(Endpoint(endpoint), this->now);
          continue;
        }
        view.meter.OnFailure(Endpoint(endpoint), this->now);
        this->Note(view, endpoint,
                   view.health.OnFailure(Endpoint(endpoint), this->now));
        if (this->now - view.announced_at < kProbePeriodMs) continue;
        view.announced_at = this->now;
        for (std::size_t peer = 0; peer < kFanout; ++peer) {
          this->Send(process, this->Below(kProcesses));
        }
      }
      for (std::size_t process = 0; process < kProcesses; ++process) {
        if ((this->now + static_cast<TimeMs>(process) * 7) % kProbePeriodMs !=
            0) {
          continue;
        }
        const std::size_t peer = this->Below(kProcesses);
        this->Send(process, peer);
        this->Send(peer, process);
      }
    }
  }

  /// Processes that have ejected an endpoint.
  [[nodiscard]] std::ptrdiff_t Ejected(std::size_t endpoint) const {
    return std::ranges::count_if(this->views, [endpoint](const View& view) {
      return view.ejected_at.at(endpoint) >= 0;
    });
  }

 private:
  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      limit - 1)(this->random);
  }
  void Note(View& view, std::size_t endpoint, bool ejected) const {
    if (ejected) view.ejected_at.at(endpoint) = this->now;
  }
  void Send(std::size_t from, std::size_t to) {
    if (!this->reports || from == to) return;
    View& view = this->views.at(to);
    for (const WeightedFailures& entry : view.evidence.OnReport(
             std::to_string(from), this->views.at(from).meter.Report(this->now),
             this->now)) {
      for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        if (ReportKeyOf(Endpoint(endpoint)) != entry.endpoint) continue;
        this->Note(view, endpoint,
                   view.health.OnPeerFailures(Endpoint(endpoint), this->now,
                                              entry.failures));
      }
    }
  }

  bool reports;
  std::mt19937_64 random{kSeed};
  std::vector<View> views = std::vector<View>(kProcesses);
  TimeMs now = 10'000;
};

TEST_CASE("an endpoint that resets part of its calls is ejected by 83 VMs") {
  constexpr double kCallsPerS = 216;
  constexpr double kResets = 0.13;
  std::mt19937_64 random(kSeed);
  const auto fails = [&random](std::size_t, std::size_t endpoint) {
    return endpoint == 0 && std::bernoulli_distribution(kResets)(random);
  };
  // 45 resets in 8 s, as in the incident: no process sees enough of them.
  Fleet alone(false);
  alone.Play(8000, kCallsPerS, fails);
  CHECK(alone.Ejected(0) <= 2);
  Fleet together(true);
  together.Play(3000, kCallsPerS, fails);
  const std::ptrdiff_t early = together.Ejected(0);
  together.Play(3000, kCallsPerS, fails);
  INFO(early << " after 3 s, " << together.Ejected(0) << " after 6 s");
  CHECK(together.Ejected(0) >=
        static_cast<std::ptrdiff_t>(kProcesses) * 9 / 10);
  for (std::size_t sound = 1; sound < kEndpoints; ++sound) {
    CHECK(together.Ejected(sound) == 0);
  }
}

TEST_CASE("a process that is cut off ejects nothing at the others") {
  // Most calls come to it, and all of them fail.
  const auto all = GENERATE(true, false);
  Fleet fleet(true);
  fleet.Play(20'000, 900, [all](std::size_t process, std::size_t endpoint) {
    return process == 0 && (all || endpoint == 0);
  });
  for (std::size_t endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    CHECK(fleet.Ejected(endpoint) <= 1);
  }
}

TEST_CASE("failures in peers' reports count once, and less than own ones") {
  FailureEvidence evidence;
  const auto report = [](std::int64_t failures) {
    return LoadReport{1, 2000, {{1, 9, 9, failures}}};
  };
  const auto weight = [](const std::vector<WeightedFailures>& found) {
    return found.empty() ? 0 : found.front().failures;
  };
  CHECK(weight(evidence.OnReport("a", report(1), 0)) == Approx(0.75));
  CHECK(weight(evidence.OnReport("a", report(1), 100)) == 0);
  CHECK(weight(evidence.OnReport("a", report(9), 200)) == Approx(0.25));
  CHECK(weight(evidence.OnReport("a", report(99), 300)) == 0);
  CHECK(weight(evidence.OnReport("b", report(99), 300)) == Approx(1.0));
  // Without a part of its own: a peer that reaches none of three endpoints.
  const LoadReport cut_off{1, 2000, {{1, 9, 9, 3}, {2, 9, 9, 3}, {3, 9, 9, 3}}};
  CHECK(evidence.OnReport("c", cut_off, 300).empty());
}

TEST_CASE("peers' failures decide no probe and no second ejection at once") {
  EndpointHealth health;
  CHECK_FALSE(health.OnPeerFailures("e", 0, 1));
  CHECK_FALSE(health.OnPeerFailures("e", 0, 1));
  CHECK(health.OnPeerFailures("e", 0, 1));
  CHECK_FALSE(health.OnPeerFailures("e", 1500, 9));
  CHECK(health.Usable("e", 1500));
  CHECK(health.OnSuccess("e", 1600));
  CHECK_FALSE(health.OnPeerFailures("e", 1700, 9));
  CHECK(health.OnPeerFailures("e", kPeerEvidenceMs, 9));
}

}  // namespace
}  // namespace limpethaven
