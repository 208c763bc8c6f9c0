#include "balancer_fleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace limpethaven::testing {
namespace {

constexpr std::int64_t kSlots = 6;
constexpr std::size_t kQueue = 24;
constexpr DurationMs kProbePeriodMs = 500;
constexpr DurationMs kWindowMs = 5000;
/// Calls differ in their work by up to this part.
constexpr double kWorkSpread = 0.3;
const std::string kPool = "pool";

std::string DataCentre(std::size_t index) {
  return std::string(1, static_cast<char>('a' + index));
}

struct Call {
  std::size_t process = 0;
  TimeMs started_at = 0;
  TimeMs ends_at = 0;
};

struct Server {
  BalancedEndpoint endpoint;
  std::vector<Call> running;
  std::deque<Call> waiting;
  /// Calls by second of the day.
  std::vector<std::int64_t> by_second =
      std::vector<std::int64_t>(kDayMs / 1000);
};

struct Process {
  VmId id;
  std::string data_centre;
  std::unique_ptr<EndpointBalancer> balancer;
  LoadMeter meter;
  std::map<std::string, std::int64_t> in_flight;
  /// Latest reports by peer, for the rules that compare endpoints by them.
  std::map<std::size_t, std::pair<TimeMs, LoadReport>> heard;
  TimeMs next_probe = 0;
};

struct Delivery {
  TimeMs at = 0;
  std::size_t from = 0;
  std::size_t to = 0;
  std::shared_ptr<const LoadReport> report;
};

class Day {
 public:
  Day(const BalancerDay& played, ChoiceRule choice_rule, std::uint64_t seed)
      : day(played), rule(choice_rule), random(seed) {
    std::map<std::string, std::int64_t> counts;
    for (std::size_t zone = 0; zone < this->day.processes.size(); ++zone) {
      counts[DataCentre(zone)] = this->day.processes[zone];
      for (std::int64_t n = 0; n < this->day.processes[zone]; ++n) {
        Process process;
        process.id = VmId{"vm-" + std::to_string(this->processes.size()), 1};
        process.data_centre = DataCentre(zone);
        process.balancer = std::make_unique<EndpointBalancer>(
            process.data_centre, this->random(), this->day.settings);
        process.next_probe = this->Below(kProbePeriodMs);
        this->processes.push_back(std::move(process));
      }
      for (std::int64_t n = 0; n < this->day.endpoints[zone]; ++n) {
        Server server;
        server.endpoint = {"e-" + std::to_string(this->servers.size()),
                           DataCentre(zone), kSlots};
        this->servers.push_back(std::move(server));
      }
    }
    for (Process& process : this->processes) {
      process.balancer->SetProcesses(counts);
    }
  }

  BalancerOutcome Play() {
    for (this->now = 0; this->now < kDayMs; ++this->now) {
      this->Gossip();
      for (Server& server : this->servers) this->Work(server);
      const double rate = this->now >= kSpikeAtMs && this->day.spike_per_s > 0
                              ? this->day.spike_per_s
                              : this->day.calls_per_s;
      std::poisson_distribution<int> arrivals(rate / 1000);
      for (int left = arrivals(this->random); left > 0; --left) this->Arrive();
    }
    this->Summarise();
    return this->outcome;
  }

 private:
  std::int64_t Below(std::int64_t limit) {
    return std::uniform_int_distribution<std::int64_t>(0,
                                                       limit - 1)(this->random);
  }
  [[nodiscard]] bool Measured(const Call& call) const {
    return call.started_at >= kMeasuredFromMs &&
           call.started_at < kDayMs - 2 * this->day.due_ms;
  }

  void Send(std::size_t from, std::size_t to,
            const std::shared_ptr<const LoadReport>& report) {
    if (std::bernoulli_distribution(this->day.report_loss)(this->random)) {
      return;
    }
    this->deliveries.push_back(
        {this->now + this->day.report_delay_ms, from, to, report});
  }

  void Gossip() {
    const auto count = static_cast<std::int64_t>(this->processes.size());
    for (std::size_t from = 0; from < this->processes.size(); ++from) {
      Process& process = this->processes[from];
      if (this->now < process.next_probe) continue;
      process.next_probe += kProbePeriodMs;
      const auto own =
          std::make_shared<const LoadReport>(process.meter.Report(this->now));
      if (this->day.hears_all) {
        for (std::size_t to = 0; to < this->processes.size(); ++to) {
          if (to != from) this->Send(from, to, own);
        }
        continue;
      }
      // A ping and its ack.
      const auto peer = static_cast<std::size_t>(this->Below(count));
      if (peer == from) continue;
      this->Send(from, peer, own);
      this->Send(peer, from,
                 std::make_shared<const LoadReport>(
                     this->processes[peer].meter.Report(this->now)));
    }
    while (!this->deliveries.empty() &&
           this->deliveries.front().at <= this->now) {
      const Delivery& delivery = this->deliveries.front();
      Process& to = this->processes[delivery.to];
      const Process& from = this->processes[delivery.from];
      to.balancer->OnReport(from.id, from.data_centre, *delivery.report,
                            this->now);
      to.heard[delivery.from] = {this->now, *delivery.report};
      this->deliveries.pop_front();
    }
  }

  void Start(Server& server, Call call) {
    const double factor =
        &server == &this->servers.front() && this->now >= kChangeAtMs
            ? this->day.slow_factor
            : 1;
    std::uniform_real_distribution<double> spread(1 - kWorkSpread,
                                                  1 + kWorkSpread);
    call.ends_at =
        this->now + std::max<DurationMs>(
                        1, std::llround(static_cast<double>(this->day.work_ms) *
                                        factor * spread(this->random)));
    server.running.push_back(call);
  }

  void Work(Server& server) {
    std::erase_if(server.running, [&](const Call& call) {
      if (call.ends_at > this->now) return false;
      this->End(server, call);
      if (this->Measured(call) &&
          this->now - call.started_at <= this->day.due_ms) {
        ++this->outcome.in_time;
      }
      return true;
    });
    while (!server.waiting.empty() &&
           std::ssize(server.running) < server.endpoint.slots) {
      this->Start(server, server.waiting.front());
      server.waiting.pop_front();
    }
  }

  void End(const Server& server, const Call& call) {
    Process& process = this->processes[call.process];
    process.meter.OnEnd(server.endpoint.id, this->now);
    --process.in_flight[server.endpoint.id];
  }

  void Arrive() {
    std::size_t index = 0;
    do {
      index =
          static_cast<std::size_t>(this->Below(std::ssize(this->processes)));
    } while (this->day.callers_in && this->processes[index].data_centre !=
                                         DataCentre(*this->day.callers_in));
    Process& process = this->processes[index];
    std::vector<BalancedEndpoint> usable;
    const std::size_t hidden = (this->day.appears && this->now < kChangeAtMs) ||
                               (this->day.leaves && this->now >= kChangeAtMs);
    std::transform(this->servers.begin() + hidden, this->servers.end(),
                   std::back_inserter(usable),
                   [](const Server& server) { return server.endpoint; });
    const std::string chosen = this->Choose(process, usable);
    Server& server = *std::ranges::find(
        this->servers, chosen,
        [](const Server& candidate) { return candidate.endpoint.id; });
    const Call call{index, this->now, 0};
    process.meter.OnStart(chosen, this->now);
    ++process.in_flight[chosen];
    ++server.by_second.at(static_cast<std::size_t>(this->now / 1000));
    const bool measured = this->Measured(call);
    if (measured) {
      ++this->outcome.calls;
      if (server.endpoint.data_centre != process.data_centre) {
        ++this->outcome.remote;
      }
    }
    if (std::ssize(server.running) < server.endpoint.slots) {
      this->Start(server, call);
    } else if (server.waiting.size() < kQueue) {
      server.waiting.push_back(call);
    } else {
      if (measured) ++this->outcome.refused;
      this->End(server, call);
    }
  }

  /// Calls in flight at an endpoint by the reports.
  [[nodiscard]] double Reported(const Process& process,
                                const std::string& endpoint) const {
    double sum = 0;
    const std::uint32_t key = ReportKeyOf(endpoint);
    for (const auto& [peer, entry] : process.heard) {
      if (this->now - entry.first > 3000) continue;
      for (const EndpointLoad& load : entry.second.loads) {
        if (load.endpoint != key) continue;
        sum += static_cast<double>(load.busy_ms) /
               static_cast<double>(entry.second.window_ms);
      }
    }
    return sum;
  }

  std::string Choose(Process& process,
                     const std::vector<BalancedEndpoint>& usable) {
    std::uniform_real_distribution<double> jitter(0, 0.001);
    const auto least = [&](auto cost) {
      std::vector<double> costs;
      std::ranges::transform(usable, std::back_inserter(costs), cost);
      return usable
          .at(static_cast<std::size_t>(std::ranges::min_element(costs) -
                                       costs.begin()))
          .id;
    };
    const auto any = [&] {
      return usable
          .at(static_cast<std::size_t>(this->Below(std::ssize(usable))))
          .id;
    };
    switch (this->rule) {
      case ChoiceRule::kFewestOwnCalls:
        return least([&](const BalancedEndpoint& endpoint) {
          const bool local = endpoint.data_centre == process.data_centre;
          return static_cast<double>(process.in_flight[endpoint.id]) +
                 (local ? 0 : 0.01) + jitter(this->random);
        });
      case ChoiceRule::kRandom:
        return any();
      case ChoiceRule::kLeastReported:
        return least([&](const BalancedEndpoint& endpoint) {
          return this->Reported(process, endpoint.id) + jitter(this->random);
        });
      case ChoiceRule::kTwoRandom: {
        const std::string one = any();
        const std::string other = any();
        return this->Reported(process, one) <= this->Reported(process, other)
                   ? one
                   : other;
      }
      case ChoiceRule::kShares:
        break;
    }
    process.balancer->Update(kPool, usable, process.meter.Peek(this->now),
                             this->now);
    return process.balancer
        ->Draw(kPool, {},
               [&](const std::string& endpoint) {
                 return process.in_flight[endpoint];
               })
        .id;
  }

  void Summarise() {
    constexpr std::size_t kWindowS = kWindowMs / 1000;
    for (std::size_t from = kMeasuredFromMs / 1000;
         from + kWindowS <= kDayMs / 1000; ++from) {
      double sum = 0;
      double most = 0;
      for (const Server& server : this->servers) {
        const auto begin =
            server.by_second.begin() + static_cast<std::ptrdiff_t>(from);
        const double calls = static_cast<double>(
            std::accumulate(begin, begin + kWindowS, std::int64_t{0}));
        sum += calls;
        most = std::max(most, calls);
      }
      const double mean = sum / static_cast<double>(this->servers.size());
      this->outcome.busiest_over_mean =
          std::max(this->outcome.busiest_over_mean, most / mean);
    }
    for (std::size_t second = 0; second < kDayMs / 1000; ++second) {
      const std::int64_t all = std::accumulate(
          this->servers.begin(), this->servers.end(), std::int64_t{0},
          [second](std::int64_t sum, const Server& server) {
            return sum + server.by_second.at(second);
          });
      this->outcome.first_share.push_back(
          static_cast<double>(this->servers.front().by_second.at(second)) /
          static_cast<double>(std::max<std::int64_t>(1, all)));
    }
  }

  BalancerDay day;
  ChoiceRule rule;
  std::mt19937_64 random;
  std::vector<Process> processes;
  std::vector<Server> servers;
  std::deque<Delivery> deliveries;
  BalancerOutcome outcome;
  TimeMs now = 0;
};

}  // namespace

BalancerOutcome PlayDay(const BalancerDay& day, ChoiceRule rule,
                        std::uint64_t seed) {
  return Day(day, rule, seed).Play();
}

}  // namespace limpethaven::testing
