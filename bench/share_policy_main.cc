/// @file
/// Simulates a fleet and prints, for each load, fault and policy, how many
/// requests were refused although they were within their team's rate. The
/// policies are shares with borrowing, an equal split without borrowing, and
/// the whole rate on each VM. Time is simulated, the seed is fixed, and the
/// ledger is `ShareLedger`.

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "limpethaven/share_ledger.h"

namespace {

using limpethaven::Configuration;
using limpethaven::DurationMs;
using limpethaven::ShareLedger;
using limpethaven::TeamSpec;
using limpethaven::TimeMs;
using limpethaven::Tokens;
using limpethaven::Transfer;

constexpr const char* kTeam = "north";
constexpr std::size_t kVmCount = 8;
constexpr std::int64_t kRateTokensPerS = 10'000;
constexpr Tokens kBurstTokens = 60'000;
constexpr DurationMs kRunMs = 600'000;
constexpr DurationMs kWarmUpMs = 20'000;
constexpr DurationMs kMaxWaitMs = 250;
constexpr DurationMs kRetryIntervalMs = 20;
constexpr DurationMs kMsPerToken = 48;
constexpr DurationMs kReplacePeriodMs = 60'000;

/// How a VM covers charges that exceed its share.
enum class Policy { kBorrowing, kFullestFirst, kEqualSplit, kWholeRate };
/// Fault or uneven load during the run.
enum class Fault { kNone, kSkew, kChurn, kPartition };

/// Arrival, retry or settlement of a request.
struct Event {
  TimeMs at = 0;
  std::uint64_t order = 0;
  bool settle = false;
  std::size_t request = 0;
  friend bool operator>(const Event& left, const Event& right) {
    return std::tie(left.at, left.order) > std::tie(right.at, right.order);
  }
};

struct Request {
  TimeMs arrived = 0;
  std::size_t vm = 0;
  std::uint64_t vm_incarnation = 0;
  Tokens charge = 0;  ///< Prompt and largest output.
  Tokens used = 0;    ///< Prompt and generated output.
  /// Whether one bucket for the whole fleet admits it.
  bool within_rate = false;
  bool admitted = false;
};

struct Spend {
  TimeMs at = 0;
  Tokens tokens = 0;
};

/// Largest excess of any window over rate * window + burst, in tokens; 0 when
/// no window exceeds it.
double WorstExcess(const std::vector<Spend>& spends) {
  double sum = 0;
  double lowest = 1e18;
  double worst = 0;
  std::ranges::for_each(spends, [&](const Spend& spend) {
    const double earned =
        static_cast<double>(kRateTokensPerS * spend.at) / 1000.0;
    lowest = std::min(lowest, sum - earned);
    sum += static_cast<double>(spend.tokens);
    worst = std::max(worst,
                     sum - earned - lowest - static_cast<double>(kBurstTokens));
  });
  return worst;
}

Configuration ConfigFor(std::int64_t slots) {
  Configuration config;
  config.fleet.share_slots = slots;
  config.teams.emplace(kTeam,
                       TeamSpec{kTeam, kRateTokensPerS, kBurstTokens, 1});
  return config;
}

class Simulation {
 public:
  Simulation(Policy chosen_policy, Fault chosen_fault, double load,
             std::uint64_t seed)
      : policy(chosen_policy), fault(chosen_fault), random(seed) {
    const std::int64_t slots = this->policy == Policy::kWholeRate
                                   ? 1
                                   : static_cast<std::int64_t>(kVmCount);
    this->config = ConfigFor(slots);
    this->fleet_bucket.Configure(ConfigFor(1), 0);
    this->vms.resize(kVmCount);
    this->incarnations.assign(kVmCount, 0);
    std::ranges::for_each(
        this->vms, [this](ShareLedger& vm) { vm.Configure(this->config, 0); });
    this->MakeArrivals(load);
  }

  void Run() {
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->ReplaceVm(event.at);
      if (event.settle) {
        this->Settle(event);
      } else {
        this->Admit(event);
      }
    }
  }

  void Print(const std::string& name) const {
    std::int64_t within_rate = 0;
    std::int64_t refused = 0;
    std::vector<Spend> spends;
    std::ranges::for_each(this->requests, [&](const Request& request) {
      if (request.admitted) spends.push_back({request.arrived, request.used});
      if (request.arrived < kWarmUpMs || !request.within_rate) return;
      ++within_rate;
      if (!request.admitted) ++refused;
    });
    std::ranges::stable_sort(spends, {}, &Spend::at);
    std::cout << "| " << name << " | " << within_rate << " | " << refused
              << " | " << std::setprecision(3)
              << 100.0 * static_cast<double>(refused) /
                     static_cast<double>(within_rate)
              << "% | " << std::llround(WorstExcess(spends)) << " |\n";
  }

 private:
  void MakeArrivals(double load) {
    std::lognormal_distribution<double> prompt(6.0, 0.8);
    std::uniform_int_distribution<Tokens> max_output(50, 600);
    std::uniform_real_distribution<double> used_ratio(0.3, 1.0);
    std::exponential_distribution<double> interval(1.0);
    // Mean tokens of a request: e^(6 + 0.32) = 556 of the prompt and
    // 325 * 0.65 = 211 of the answer.
    constexpr double kMeanTokens = 767;
    const double per_ms =
        load * static_cast<double>(kRateTokensPerS) / kMeanTokens / 1000.0;
    for (double at = 0; at < kRunMs; at += interval(this->random) / per_ms) {
      const Tokens prompt_tokens = std::clamp<Tokens>(
          static_cast<Tokens>(prompt(this->random)), 10, 20'000);
      const Tokens max_tokens = max_output(this->random);
      const auto generated = static_cast<Tokens>(
          static_cast<double>(max_tokens) * used_ratio(this->random));
      const std::size_t vm =
          this->fault == Fault::kSkew ? 0 : this->random() % kVmCount;
      this->requests.push_back(Request{static_cast<TimeMs>(at), vm, 0,
                                       prompt_tokens + max_tokens,
                                       prompt_tokens + generated});
      this->events.push(Event{static_cast<TimeMs>(at), this->next_order++,
                              false, this->requests.size() - 1});
    }
  }

  /// Replaces the VMs in turn, one every `kReplacePeriodMs`.
  void ReplaceVm(TimeMs now) {
    if (this->fault != Fault::kChurn || now < this->next_replace) return;
    const std::size_t vm =
        static_cast<std::size_t>(now / kReplacePeriodMs) % kVmCount;
    this->next_replace = now + kReplacePeriodMs;
    this->vms[vm] = ShareLedger();
    this->vms[vm].Configure(this->config, now);
    ++this->incarnations[vm];
  }

  [[nodiscard]] bool Reachable(std::size_t from, std::size_t to,
                               TimeMs now) const {
    const bool partitioned = this->fault == Fault::kPartition &&
                             now >= kRunMs / 3 && now < 2 * kRunMs / 3;
    return !partitioned || (from < kVmCount / 2) == (to < kVmCount / 2);
  }

  void Admit(const Event& event) {
    Request& request = this->requests[event.request];
    const std::string id = std::to_string(event.request);
    if (event.at == request.arrived) {
      request.within_rate =
          this->fleet_bucket.TryCharge(kTeam, id, request.charge, {}, event.at)
              .charged;
    }
    request.admitted = this->Charge(request, id, event.at);
    if (request.admitted) {
      request.vm_incarnation = this->incarnations[request.vm];
    }
    const bool retries = !request.admitted && event.at + kRetryIntervalMs <=
                                                  request.arrived + kMaxWaitMs;
    if (retries) {
      this->events.push(Event{event.at + kRetryIntervalMs, this->next_order++,
                              false, event.request});
      return;
    }
    const DurationMs duration =
        (request.used - request.charge / 2) > 0 ? 300 * kMsPerToken / 2 : 0;
    this->events.push(
        Event{event.at + duration, this->next_order++, true, event.request});
  }

  [[nodiscard]] bool Charge(const Request& request, const std::string& id,
                            TimeMs now) {
    ShareLedger& ledger = this->vms[request.vm];
    auto outcome = ledger.TryCharge(kTeam, id, request.charge, {}, now);
    const bool borrows = this->policy == Policy::kBorrowing ||
                         this->policy == Policy::kFullestFirst;
    if (outcome.charged || !borrows) return outcome.charged;
    std::vector<std::size_t> lenders;
    for (std::size_t vm = 0; vm < kVmCount; ++vm) {
      if (vm != request.vm && this->Reachable(request.vm, vm, now)) {
        lenders.push_back(vm);
      }
    }
    std::ranges::shuffle(lenders, this->random);
    if (this->policy == Policy::kFullestFirst) {
      std::ranges::stable_sort(lenders, std::greater<>(), [&](std::size_t vm) {
        return this->vms[vm].View(kTeam, now).available;
      });
    }
    Tokens missing = outcome.missing;
    std::vector<Transfer> transfers;
    std::vector<std::size_t> transfer_lenders;
    for (const std::size_t lender : lenders) {
      if (missing <= 0) break;
      const std::string transfer = "t" + std::to_string(this->next_order++);
      const Tokens lent = this->vms[lender].Lend(kTeam, transfer, missing, now);
      if (lent == 0) continue;
      transfers.push_back(Transfer{transfer, kTeam, lent, now});
      transfer_lenders.push_back(lender);
      missing -= lent;
    }
    outcome = ledger.TryCharge(kTeam, id, request.charge, transfers, now);
    for (std::size_t index = 0; index < transfers.size(); ++index) {
      this->vms[transfer_lenders[index]].Confirm(transfers[index].id, now);
    }
    return outcome.charged;
  }

  void Settle(const Event& event) {
    const Request& request = this->requests[event.request];
    const std::string id = std::to_string(event.request);
    if (request.within_rate) {
      this->fleet_bucket.Settle(id, request.used, event.at);
    }
    if (!request.admitted ||
        request.vm_incarnation != this->incarnations[request.vm]) {
      return;
    }
    this->vms[request.vm].Settle(id, request.used, event.at);
  }

  Policy policy;
  Fault fault;
  std::mt19937_64 random;
  Configuration config;
  /// One bucket for the whole fleet. A request that it admits is within the
  /// rate.
  ShareLedger fleet_bucket;
  std::vector<ShareLedger> vms;
  std::vector<std::uint64_t> incarnations;  ///< By VM.
  std::vector<Request> requests;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t next_order = 0;
  TimeMs next_replace = kReplacePeriodMs;
};

}  // namespace

int main() {
  struct NamedPolicy {
    Policy policy;
    std::string name;
  };
  struct NamedFault {
    Fault fault;
    std::string name;
  };
  const std::vector<NamedPolicy> policies = {
      {Policy::kBorrowing, "conserved shares, borrowing"},
      {Policy::kFullestFirst, "the same, fullest peer first (not built)"},
      {Policy::kEqualSplit, "equal split"},
      {Policy::kWholeRate, "whole rate on each VM"}};
  const std::vector<NamedFault> faults = {
      {Fault::kNone, "spread evenly"},
      {Fault::kSkew, "all on one VM"},
      {Fault::kChurn, "one VM replaced a minute"},
      {Fault::kPartition, "4 and 4 VMs apart for 200 s"}};
  std::cout << "| load, traffic, policy | in rate | refused | refused in rate "
               "| worst excess "
               "[tokens] |\n| --- | --- | --- | --- | --- |\n";
  for (const double load : {0.7, 0.95, 1.5}) {
    for (const NamedFault& fault : faults) {
      for (const NamedPolicy& policy : policies) {
        Simulation simulation(policy.policy, fault.fault, load, 20261204);
        simulation.Run();
        std::ostringstream name;
        name << load << " x rate, " << fault.name << ", " << policy.name;
        simulation.Print(name.str());
      }
    }
  }
  return 0;
}
