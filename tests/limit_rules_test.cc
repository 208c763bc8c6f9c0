/// @file
/// Decisions that keep the requests to an endpoint within the limit that it
/// names: the parts of processes whose number changes, and the schedulers of a
/// cell whose owner changes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/endpoint_limits.h"
#include "limpethaven/limit_divisor.h"

namespace limpethaven {
namespace {

constexpr DurationMs kWindowMs = 4000;

/// Most requests that an endpoint with the limit may get in any window.
double Bound(double limit) { return 1.5 * limit * kWindowMs / 1000 + 5; }

/// Most of these times, in ascending order, in any window from `from` on.
double MostInWindow(const std::vector<TimeMs>& times, TimeMs from) {
  std::ptrdiff_t most = 0;
  for (auto first = std::ranges::lower_bound(times, from); first != times.end();
       ++first) {
    most = std::max(
        most, std::upper_bound(first, times.end(), *first + kWindowMs) - first);
  }
  return static_cast<double>(most);
}

/// Sends to one limited endpoint from many processes, each of which knows the
/// limit only after its first answer.
class PlainSenders {
 public:
  PlainSenders(std::size_t count, double limit_per_s, std::uint64_t seed)
      : limit(limit_per_s), random(seed) {
    for (std::size_t index = 0; index < count; ++index) this->Restart(index);
    this->SetKnown(count, 0);
  }
  /// Replaces a process by one that knows nothing and sees only itself.
  void Restart(std::size_t index) {
    if (index >= this->senders.size()) this->senders.resize(index + 1);
    this->senders[index] = Sender{EndpointLimits(this->random()), 0};
  }
  /// Sets the number of processes that each process knows.
  void SetKnown(std::size_t count, TimeMs now) {
    std::ranges::for_each(this->senders, [&](Sender& sender) {
      sender.limits.SetProcessCount(static_cast<std::int64_t>(count), now);
    });
  }
  /// Offers a call to each process at random, `calls_per_s` in all.
  /// @param stopped Processes before this index do nothing.
  void Step(TimeMs now, DurationMs step_ms, double calls_per_s,
            std::size_t stopped = 0) {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    this->senders.size() - 1);
    const auto calls = static_cast<int>(calls_per_s * step_ms / 1000);
    for (int call = 0; call < calls; ++call) {
      const std::size_t index = pick(this->random);
      Sender& sender = this->senders[index];
      static_cast<void>(sender.limits.Expire(now));
      if (index < stopped || sender.limits.WaitMs("e", now) > 0) continue;
      sender.limits.OnSend("e", now);
      const bool knew = sender.named_at > 0 && now >= sender.named_at + 500;
      if (knew && index >= this->exempt) this->counted.push_back(now);
      if (sender.named_at == 0) sender.named_at = now + 1;
      sender.limits.OnAnswer("e", this->limit, now);
    }
  }

  std::vector<TimeMs> counted;  ///< Calls that count against the bound.
  std::size_t exempt = 0;       ///< Calls of processes before it do not count.

 private:
  struct Sender {
    EndpointLimits limits{0};
    TimeMs named_at = 0;
  };
  double limit;
  std::mt19937_64 random;
  std::vector<Sender> senders;
};

// Guards against processes that use their permits together after the number of
// processes that they know has changed.
TEST_CASE("limits: the parts of many processes stay within a limit") {
  const auto count =
      GENERATE(std::size_t{3}, std::size_t{66}, std::size_t{136});
  const auto limit = GENERATE(0.5, 2.0, 20.0);
  const auto seed = GENERATE(1, 2, 3);
  INFO(count << " processes, limit " << limit << ", seed " << seed);
  PlainSenders senders(count, limit, static_cast<std::uint64_t>(seed));
  // A third is paused, then cut off, then restarted; the others lose sight of
  // them and find them again.
  const std::size_t third = count / 3;
  senders.exempt = third;
  constexpr DurationMs kStepMs = 20;
  // Longer than the time after which an idle limit is forgotten.
  constexpr TimeMs kEndMs = 150'000;
  for (TimeMs now = 0; now < kEndMs; now += kStepMs) {
    const bool paused = now >= 15'000 && now < 19'000;
    if (now == 18'000) senders.SetKnown(count - third, now);
    if (now == 20'000) senders.SetKnown(count, now);
    if (now == 30'000) senders.SetKnown(count - third, now);
    if (now == 40'000) {
      for (std::size_t index = 0; index < third; ++index) {
        senders.Restart(index);
      }
      senders.SetKnown(count, now);
    }
    senders.Step(now, kStepMs, 360, paused ? third : 0);
  }
  CHECK(MostInWindow(senders.counted, kWindowMs) <= Bound(limit));
  // The part that the endpoint takes is used.
  CHECK(static_cast<double>(senders.counted.size()) >=
        limit * 150 * 0.8 * (1 - 1.0 / 3) / 2);
}

CellEngine DecodeEngine() {
  return CellEngine{"d", "zone", PoolRole::kDecode, 100'000, 16, false};
}

/// A process that schedules the cell with one decode engine.
struct Owner {
  explicit Owner(const std::string& name) : scheduler("m/0", name, Settings()) {
    this->scheduler.Configure({DecodeEngine()}, 0);
  }
  static CellSettings Settings() {
    CellSettings settings;
    settings.allow_local_prefill = true;
    return settings;
  }
  /// Submits a request, whose sender knows the limit, and runs the scheduler.
  /// @returns the number of requests placed, which end at once.
  int Serve(const std::string& id, std::optional<double> limit, TimeMs now) {
    if (limit) this->scheduler.LimitEngine("d", limit, now, 100);
    PlacementRequest request;
    request.request_id = id;
    request.prompt_tokens = 120;
    request.max_tokens = 30;
    request.budget_ms = 2000;
    request.patience_ms = 3000;
    this->scheduler.Submit(std::move(request), now);
    int placed = 0;
    for (const CellCommand& command : this->scheduler.Tick(now)) {
      if (const auto* place = std::get_if<PlaceCommand>(&command)) {
        this->scheduler.Finish(place->placement.reservation, 3, now);
        ++placed;
      }
    }
    return placed;
  }
  CellScheduler scheduler;
  LimitDivisor divisor;
};

/// Calls to an engine of a cell that three processes schedule: at first the
/// owner alone, then all at the same time because callers do not reach the
/// owner in time, then the second as the new owner, then the first one,
/// restarted without a memory.
/// @param divide Whether only the first owner uses the limit whole.
std::vector<TimeMs> CallsOfOwners(double limit, bool divide) {
  constexpr DurationMs kStepMs = 20;
  std::vector<std::unique_ptr<Owner>> owners;
  for (const char* name : {"a", "b", "c"}) {
    owners.push_back(std::make_unique<Owner>(name));
  }
  std::vector<TimeMs> calls;
  int number = 0;
  for (TimeMs now = 0; now < 40'000; now += kStepMs) {
    if (now == 25'000) owners[0] = std::make_unique<Owner>("a2");
    const bool first_is_dead = now >= 20'000 && now < 25'000;
    // Members hold a process for alive until its suspicion has timed out.
    const bool known_dead = now >= 22'000 && now < 25'300;
    for (std::size_t index = 0; index < owners.size(); ++index) {
      if (index == 0 && first_is_dead) continue;
      const bool called = index == 0 || now >= 10'000;
      if (!called) continue;
      const std::size_t rank = index - (known_dead && index > 0 ? 1 : 0);
      const std::int64_t divisor = owners[index]->divisor.Update(rank, 3, now);
      if (divide) owners[index]->scheduler.SetLimitDivisor(divisor, now);
      const int placed = owners[index]->Serve(
          "r" + std::to_string(number++),
          now >= 2000 ? std::optional<double>(limit) : std::nullopt, now);
      calls.insert(calls.end(), static_cast<std::size_t>(placed), now);
    }
  }
  return calls;
}

// Guards against several schedulers of one cell that each give an engine its
// whole limit.
TEST_CASE("limits: an engine's limit holds while several processes schedule") {
  const auto limit = GENERATE(0.5, 1.0, 2.0, 5.0, 20.0);
  INFO("limit " << limit);
  const std::vector<TimeMs> calls = CallsOfOwners(limit, true);
  CHECK(MostInWindow(calls, 2000 + kWindowMs) <= Bound(limit));
  CHECK(static_cast<double>(calls.size()) >= limit * 38 / 2);
  if (limit >= 2) {
    CHECK(MostInWindow(CallsOfOwners(limit, false), 2000 + kWindowMs) >
          Bound(limit));
  }
}

TEST_CASE("limits: a process that becomes the first owner waits") {
  LimitDivisor divisor;
  constexpr DurationMs kWait = LimitDivisor::kTakeoverMs;
  REQUIRE(divisor.Update(2, 5, 0) == 40);
  REQUIRE(divisor.Update(1, 5, 10) == 8);
  REQUIRE(divisor.Update(0, 5, 1000) == 8);
  REQUIRE(divisor.Update(0, 5, 999 + kWait) == 8);
  REQUIRE(divisor.Update(0, 5, 1000 + kWait) == 1);
  // An interruption starts the wait anew.
  REQUIRE(divisor.Update(1, 5, 10'000) == 8);
  REQUIRE(divisor.Update(0, 5, 10'010) == 8);
  REQUIRE(divisor.Update(0, 5, 10'010 + kWait) == 1);
}

TEST_CASE("limits: an answer that arrives late does not replace a later one") {
  EndpointLimits limits(1);
  limits.OnAnswer("a", 2.0, 1000);
  REQUIRE(limits.OnAnswer("a", 5.0, 1010, 100) == LimitChange::kNone);
  REQUIRE(limits.Find("a") == 2.0);
  REQUIRE(limits.OnAnswer("a", std::nullopt, 1020) == LimitChange::kEnded);
  REQUIRE(limits.OnAnswer("a", 2.0, 1030, 50) == LimitChange::kNone);
  REQUIRE_FALSE(limits.Find("a"));
  REQUIRE(limits.OnAnswer("a", 3.0, 1040, 5) == LimitChange::kNamed);
}

}  // namespace
}  // namespace limpethaven
