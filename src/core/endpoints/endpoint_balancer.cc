#include "limpethaven/endpoint_balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace limpethaven {
namespace {

constexpr double kMsPerS = 1000.0;
/// Consecutive multiples of this number modulo 1 fill the unit interval evenly,
/// so that each endpoint gets its share of any few calls in a row.
constexpr double kGoldenRatio = 0.6180339887498949;
/// Further endpoints that are compared with the first by own calls in flight.
constexpr int kFurtherDraws = 3;
/// Calls per second at the median time that are added to an endpoint's
/// estimate, so that a few calls do not make it appear slow.
constexpr double kPriorCallsPerS = 1.0;
/// Processes with the mean demand of all that are added to those heard in a
/// data centre.
constexpr double kPriorProcesses = 2.0;
/// Differences below the first ratio are those of queues at even load; from the
/// second on, an endpoint's capacity is reduced by the full ratio.
constexpr double kEvenRatio = 1.25;
constexpr double kSlowRatio = 1.6;
/// A slow endpoint still gets enough calls to show that it has recovered.
constexpr double kMaxSlowness = 10.0;

/// Slowness that counts, for an endpoint whose calls take `ratio` times the
/// median.
double SlownessOf(double ratio) {
  if (ratio <= kEvenRatio) return 1.0;
  if (ratio >= kSlowRatio) return std::min(ratio, kMaxSlowness);
  return 1.0 +
         (ratio - kEvenRatio) / (kSlowRatio - kEvenRatio) * (kSlowRatio - 1.0);
}

double CapacityOf(const EndpointShare& entry) {
  return static_cast<double>(entry.endpoint.slots) / entry.slowness;
}

/// Calls per second of a report to these endpoints.
template <typename Rows>
double DemandOf(const LoadReport& report, const Rows& endpoints) {
  if (report.window_ms <= 0) return 0;
  std::int64_t calls = 0;
  std::ranges::for_each(report.loads, [&](const EndpointLoad& load) {
    if (endpoints.contains(load.endpoint)) calls += load.calls;
  });
  return static_cast<double>(calls) * kMsPerS /
         static_cast<double>(report.window_ms);
}

}  // namespace

EndpointBalancer::EndpointBalancer(std::string own_data_centre,
                                   std::uint64_t random_seed,
                                   BalancerSettings balancer_settings)
    : data_centre(std::move(own_data_centre)),
      settings(balancer_settings),
      random(random_seed) {}

void EndpointBalancer::SetProcesses(
    std::map<std::string, std::int64_t> by_data_centre) {
  this->processes = std::move(by_data_centre);
}

bool EndpointBalancer::OnReport(const VmId& from,
                                const std::string& peer_data_centre,
                                const LoadReport& report, TimeMs now) {
  if (report.sequence == 0 || report.window_ms <= 0) return false;
  const auto found = this->peers.find(from.address);
  if (found != this->peers.end() &&
      found->second.incarnation == from.incarnation &&
      found->second.report.sequence >= report.sequence) {
    return false;
  }
  this->peers.insert_or_assign(
      from.address, PeerRow{from.incarnation, peer_data_centre, report, now});
  return true;
}

void EndpointBalancer::Forget(std::string_view address) {
  const auto found = this->peers.find(address);
  if (found != this->peers.end()) this->peers.erase(found);
}

void EndpointBalancer::Expire(TimeMs now) {
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.received_at > kSequenceRetentionMs;
  });
}

const PoolShares& EndpointBalancer::Update(
    const std::string& pool, const std::vector<BalancedEndpoint>& endpoints,
    const LoadReport& own, TimeMs now) {
  const auto [entry, added] = this->pools.try_emplace(pool);
  PoolRow& row = entry->second;
  if (added) {
    row.position = std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  const bool due =
      added || now - row.estimated_at >= this->settings.update_period_ms;
  const bool same = std::ranges::equal(row.shares.endpoints, endpoints, {},
                                       &EndpointShare::endpoint);
  if (!due && same) return row.shares;
  if (due) this->Estimate(row, endpoints, own, now);
  row.shares.endpoints.clear();
  std::ranges::transform(
      endpoints, std::back_inserter(row.shares.endpoints),
      [](const BalancedEndpoint& endpoint) { return EndpointShare{endpoint}; });
  SetSlowness(row);
  this->SetShares(row);
  return row.shares;
}

void EndpointBalancer::Estimate(PoolRow& row,
                                const std::vector<BalancedEndpoint>& endpoints,
                                const LoadReport& own, TimeMs now) {
  // Endpoints that are not usable now keep their estimates while calls to them
  // are still reported.
  std::map<std::uint32_t, EndpointEstimate> fresh;
  std::ranges::for_each(endpoints, [&](const BalancedEndpoint& endpoint) {
    fresh.try_emplace(ReportKeyOf(endpoint.id));
  });
  std::ranges::for_each(row.endpoints, [&](const auto& entry) {
    if (entry.second.in_flight > 0.001) fresh.try_emplace(entry.first);
  });
  const auto add = [&fresh](const LoadReport& report) {
    if (report.window_ms <= 0) return;
    const auto window_ms = static_cast<double>(report.window_ms);
    std::ranges::for_each(report.loads, [&](const EndpointLoad& load) {
      const auto found = fresh.find(load.endpoint);
      if (found == fresh.end()) return;
      found->second.calls_per_s +=
          static_cast<double>(load.calls) * kMsPerS / window_ms;
      found->second.in_flight += static_cast<double>(load.busy_ms) / window_ms;
    });
  };
  struct Heard {
    double count = 0;
    double calls_per_s = 0;
  };
  Heard all;
  std::map<std::string, Heard> by_data_centre;
  double age_sum_ms = 0;
  PoolShares& shares = row.shares;
  shares.reports = 0;
  shares.oldest_age_ms = 0;
  std::ranges::for_each(this->peers, [&](const auto& entry) {
    const PeerRow& peer = entry.second;
    const DurationMs age_ms = now - peer.received_at;
    if (age_ms > this->settings.max_report_age_ms) return;
    ++shares.reports;
    age_sum_ms += static_cast<double>(age_ms);
    shares.oldest_age_ms = std::max(shares.oldest_age_ms, age_ms);
    add(peer.report);
    const double demand = DemandOf(peer.report, fresh);
    Heard& heard = by_data_centre[peer.data_centre];
    heard.count += 1;
    heard.calls_per_s += demand;
    all.count += 1;
    all.calls_per_s += demand;
  });
  add(own);
  const double mean_age_ms = all.count > 0 ? age_sum_ms / all.count : 0;
  shares.mean_age_ms = static_cast<DurationMs>(mean_age_ms);

  // The calls of the processes that were not heard are those of the others of
  // their data centre. This process's own calls are known.
  const double own_demand = DemandOf(own, fresh);
  std::map<std::string, double> demand;
  const double mean_demand = all.count > 0 ? all.calls_per_s / all.count : 0;
  shares.processes = 0;
  std::ranges::for_each(this->processes, [&](const auto& entry) {
    const Heard& heard = by_data_centre[entry.first];
    const bool local = entry.first == this->data_centre;
    const std::int64_t others = entry.second - (local ? 1 : 0);
    shares.processes += entry.second;
    const double mean = (heard.calls_per_s + kPriorProcesses * mean_demand) /
                        (heard.count + kPriorProcesses);
    demand[entry.first] =
        static_cast<double>(std::max<std::int64_t>(others, 0)) * mean +
        (local ? own_demand : 0);
  });
  if (!demand.contains(this->data_centre)) {
    demand[this->data_centre] = own_demand;
  }

  const auto elapsed_ms = static_cast<double>(now - row.estimated_at);
  const auto smoother = [&](double constant_ms) {
    const double kept = row.estimated ? std::exp(-elapsed_ms / constant_ms) : 0;
    return [kept](double before, double next) {
      return kept * before + (1 - kept) * next;
    };
  };
  const auto smooth_time = smoother(
      static_cast<double>(this->settings.time_smoothing_ms) + mean_age_ms);
  std::ranges::for_each(fresh, [&](auto& entry) {
    const EndpointEstimate& before = row.endpoints[entry.first];
    entry.second.calls_per_s =
        smooth_time(before.calls_per_s, entry.second.calls_per_s);
    entry.second.in_flight =
        smooth_time(before.in_flight, entry.second.in_flight);
  });
  const auto smooth_demand =
      smoother(static_cast<double>(this->settings.demand_smoothing_ms));
  std::ranges::for_each(demand, [&](auto& entry) {
    entry.second = smooth_demand(row.demand[entry.first], entry.second);
  });
  row.endpoints = std::move(fresh);
  row.demand = std::move(demand);
  row.estimated = true;
  row.estimated_at = now;
}

void EndpointBalancer::SetSlowness(PoolRow& row) {
  std::vector<double> times_s;
  std::ranges::for_each(row.shares.endpoints, [&](const EndpointShare& entry) {
    const EndpointEstimate& estimate =
        row.endpoints[ReportKeyOf(entry.endpoint.id)];
    if (estimate.calls_per_s < kPriorCallsPerS) return;
    times_s.push_back(estimate.in_flight / estimate.calls_per_s);
  });
  row.shares.call_ms = 0;
  if (times_s.empty()) return;
  const auto median =
      times_s.begin() + static_cast<std::ptrdiff_t>((times_s.size() - 1) / 2);
  std::ranges::nth_element(times_s, median);
  const double median_s = *median;
  row.shares.call_ms = median_s * kMsPerS;
  if (median_s <= 0) return;
  std::ranges::for_each(row.shares.endpoints, [&](EndpointShare& entry) {
    const EndpointEstimate& estimate =
        row.endpoints[ReportKeyOf(entry.endpoint.id)];
    const double time_s = (estimate.in_flight + kPriorCallsPerS * median_s) /
                          (estimate.calls_per_s + kPriorCallsPerS);
    entry.slowness = SlownessOf(time_s / median_s);
  });
}

void EndpointBalancer::SetShares(PoolRow& row) const {
  PoolShares& shares = row.shares;
  std::map<std::string, double> capacity;
  double total_capacity = 0;
  std::ranges::for_each(shares.endpoints, [&](const EndpointShare& entry) {
    capacity[entry.endpoint.data_centre] += CapacityOf(entry);
    total_capacity += CapacityOf(entry);
  });
  // Demand in busy slots.
  std::map<std::string, double> busy;
  double total_busy = 0;
  shares.calls_per_s = 0;
  std::ranges::for_each(row.demand, [&](const auto& entry) {
    const double slots = entry.second * shares.call_ms / kMsPerS;
    busy[entry.first] = slots;
    total_busy += slots;
    shares.calls_per_s += entry.second;
  });
  shares.utilisation = total_busy / total_capacity;
  const auto divide = [&](double local_share,
                          const std::map<std::string, double>& rooms) {
    double remote_room = 0;
    std::ranges::for_each(rooms, [&](const auto& entry) {
      if (entry.first != this->data_centre) remote_room += entry.second;
    });
    shares.local_share = remote_room > 0 ? local_share : 1;
    std::ranges::for_each(shares.endpoints, [&](EndpointShare& entry) {
      const std::string& where = entry.endpoint.data_centre;
      const double part = CapacityOf(entry) / capacity.at(where);
      entry.share = where == this->data_centre
                        ? part * shares.local_share
                        : part * (1 - shares.local_share) * rooms.at(where) /
                              std::max(remote_room, 1e-9);
    });
  };
  const double own_capacity =
      capacity.contains(this->data_centre) ? capacity[this->data_centre] : 0;
  if (shares.reports == 0 || total_busy <= 0) {
    divide(own_capacity / total_capacity, capacity);
    return;
  }
  // Busy slots that calls from the same data centre may use. An endpoint that
  // is slower than the others is no reason to stay in the data centre, except
  // where the load needs it.
  std::map<std::string, double> kept;
  std::ranges::for_each(shares.endpoints, [&](const EndpointShare& entry) {
    kept[entry.endpoint.data_centre] +=
        this->settings.local_utilisation * CapacityOf(entry) / entry.slowness;
  });
  std::map<std::string, double> rooms;
  std::ranges::for_each(capacity, [&](const auto& entry) {
    double& slots = kept[entry.first];
    slots = std::max(slots, shares.utilisation * this->settings.max_over_mean *
                                entry.second);
    rooms[entry.first] = std::max(0.0, slots - busy[entry.first]);
  });
  const double own_busy = busy[this->data_centre];
  const double local_share =
      own_capacity <= 0 ? 0
      : own_busy <= 0   ? 1
                        : std::min(1.0, kept[this->data_centre] / own_busy);
  divide(local_share, rooms);
}

DrawnEndpoint EndpointBalancer::Draw(const std::string& pool,
                                     const std::vector<std::string>& tried,
                                     const CallCounter& calls_in_flight) {
  const auto found = this->pools.find(pool);
  if (found == this->pools.end()) return {};
  PoolRow& row = found->second;
  std::vector<const EndpointShare*> candidates;
  double sum = 0;
  std::ranges::for_each(row.shares.endpoints, [&](const EndpointShare& entry) {
    if (std::ranges::find(tried, entry.endpoint.id) != tried.end()) return;
    candidates.push_back(&entry);
    sum += entry.share;
  });
  if (candidates.empty()) return {};
  // Without any share left, because the endpoints with shares were tried, all
  // others are alike.
  const bool even = sum <= 0;
  const auto at = [&](double position) {
    double left =
        position * (even ? static_cast<double>(candidates.size()) : sum);
    const auto chosen =
        std::ranges::find_if(candidates, [&](const EndpointShare* entry) {
          left -= even ? 1.0 : entry->share;
          return left < 0;
        });
    return chosen == candidates.end() ? candidates.back() : *chosen;
  };
  row.position += kGoldenRatio;
  row.position -= std::floor(row.position);
  const EndpointShare* first = at(row.position);
  const EndpointShare* chosen = first;
  std::int64_t least = calls_in_flight(chosen->endpoint.id);
  std::uniform_real_distribution<double> anywhere(0, 1);
  for (int further = 0; further < kFurtherDraws && least > 0; ++further) {
    const EndpointShare* other = at(anywhere(this->random));
    const std::int64_t calls = calls_in_flight(other->endpoint.id);
    if (calls >= least) continue;
    chosen = other;
    least = calls;
  }
  return DrawnEndpoint{chosen->endpoint.id, chosen != first};
}

const PoolShares* EndpointBalancer::Find(std::string_view pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? nullptr : &found->second.shares;
}

}  // namespace limpethaven
