#include "router/plain_balance.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "limpethaven/crypto.h"
#include "log/event_log.h"

namespace limpethaven {
namespace {

/// A change of a share by less than this is not logged.
constexpr double kLoggedChange = 0.1;
/// Shortest time between two log lines about the shares of one pool.
constexpr DurationMs kLogPeriodMs = 2000;
/// Log lines about deviations in one second.
constexpr int kMaxDeviationsPerS = 10;
constexpr DurationMs kMsPerS = 1000;
/// Shortest time between two announcements of failures.
constexpr DurationMs kAnnouncePeriodMs = 500;

/// Two decimals, as percentages need no more.
std::string Rounded(double value) {
  constexpr double kHundred = 100.0;
  std::string text = std::to_string(std::llround(value * kHundred) / kHundred);
  text.resize(std::min(text.size(), text.find('.') + 3));
  return text;
}

std::string TextOf(const PoolShares& shares) {
  return std::accumulate(
      shares.endpoints.begin(), shares.endpoints.end(), std::string(),
      [](std::string text, const EndpointShare& entry) {
        if (!text.empty()) text += ',';
        return text + entry.endpoint.id + ':' + Rounded(entry.share);
      });
}

}  // namespace

PlainBalance::PlainBalance(PlainBalanceSettings balance_settings,
                           std::string data_centre)
    : settings(balance_settings),
      balancer(std::move(data_centre), RandomBits()) {}

void PlainBalance::SetServing(const std::vector<MemberUpdate>& serving,
                              TimeMs now) {
  if (!this->settings.enabled) return;
  if (std::ssize(serving) >= this->largest_count ||
      now - this->largest_count_at >= kLargestCountMs) {
    this->largest_count = std::ssize(serving);
    this->largest_count_at = now;
  }
  std::map<std::string, std::int64_t> by_data_centre;
  std::ranges::for_each(serving, [&](const MemberUpdate& member) {
    ++by_data_centre[member.data_centre];
  });
  this->balancer.SetProcesses(std::move(by_data_centre));
}

bool PlainBalance::InForce() const noexcept {
  return this->settings.enabled &&
         this->largest_count >= this->settings.min_processes;
}

const EndpointRecord* PlainBalance::Choose(
    const std::string& pool,
    const std::vector<const EndpointRecord*>& endpoints,
    const std::vector<std::string>& tried, const std::string& request,
    const CallCounter& calls_in_flight, TimeMs now) {
  if (endpoints.empty()) return nullptr;
  std::vector<BalancedEndpoint> balanced;
  std::ranges::transform(endpoints, std::back_inserter(balanced),
                         [](const EndpointRecord* endpoint) {
                           return BalancedEndpoint{
                               endpoint->id, endpoint->data_centre,
                               std::max<std::int64_t>(1, endpoint->slots)};
                         });
  const PoolShares& shares =
      this->balancer.Update(pool, balanced, this->meter.Peek(now), now);
  this->NoteShares(pool, shares, now);
  const DrawnEndpoint drawn = this->balancer.Draw(pool, tried, calls_in_flight);
  const auto chosen =
      std::ranges::find(endpoints, drawn.id, &EndpointRecord::id);
  if (chosen == endpoints.end()) return nullptr;
  if (!tried.empty()) {
    this->NoteDeviation(pool, request, drawn.id,
                        "other endpoints were tried before", now);
  } else if (drawn.by_own_calls) {
    this->NoteDeviation(pool, request, drawn.id,
                        "the endpoint drawn has more own calls in flight", now);
  }
  return *chosen;
}

void PlainBalance::NoteShares(const std::string& pool, const PoolShares& shares,
                              TimeMs now) {
  LoggedShares& last = this->logged[pool];
  std::map<std::string, double> present;
  std::ranges::for_each(shares.endpoints, [&](const EndpointShare& entry) {
    present[entry.endpoint.id] = entry.share;
  });
  const bool changed =
      present.size() != last.shares.size() ||
      std::ranges::any_of(present, [&](const auto& entry) {
        const auto before = last.shares.find(entry.first);
        return before == last.shares.end() ||
               std::abs(before->second - entry.second) >= kLoggedChange;
      });
  if (!changed) return;
  if (!last.shares.empty() && now - last.logged_at < kLogPeriodMs) return;
  last = LoggedShares{std::move(present), now};
  LogEvent(EventId::kPlainSharesChanged,
           {{"pool", pool},
            {"shares", TextOf(shares)},
            LogField::Of("reports", shares.reports),
            LogField::Of("age_ms", shares.mean_age_ms),
            LogField::Of("oldest_ms", shares.oldest_age_ms),
            LogField::Of("processes", shares.processes),
            {"calls_per_s", Rounded(shares.calls_per_s)},
            {"call_ms", Rounded(shares.call_ms)},
            {"utilisation", Rounded(shares.utilisation)},
            {"local", Rounded(shares.local_share)},
            {"why", shares.reports == 0 ? "by slots: no report is known"
                                        : "by demand and slowness"}});
}

void PlainBalance::NoteDeviation(const std::string& pool,
                                 const std::string& request,
                                 const std::string& chosen,
                                 std::string_view why, TimeMs now) {
  if (this->deviation_second != now / kMsPerS) {
    this->deviation_second = now / kMsPerS;
    this->deviations = 0;
  }
  if (++this->deviations > kMaxDeviationsPerS) return;
  const PoolShares* shares = this->balancer.Find(pool);
  if (shares == nullptr) return;
  LogEvent(EventId::kPlainChoiceDeviates,
           {{"request", request},
            {"pool", pool},
            {"chosen", chosen},
            {"shares", TextOf(*shares)},
            LogField::Of("reports", shares->reports),
            LogField::Of("age_ms", shares->mean_age_ms),
            LogField::Of("oldest_ms", shares->oldest_age_ms),
            LogField::Of("why", why)});
}

void PlainBalance::OnCall(const std::string& endpoint, TimeMs now) {
  if (this->settings.enabled) this->meter.OnStart(endpoint, now);
}

void PlainBalance::OnCallEnd(const std::string& endpoint, TimeMs now) {
  if (this->settings.enabled) this->meter.OnEnd(endpoint, now);
}

bool PlainBalance::OnFailure(const std::string& endpoint, TimeMs now) {
  if (!this->settings.enabled) return false;
  this->meter.OnFailure(endpoint, now);
  if (!this->InForce() || now - this->announced_at < kAnnouncePeriodMs) {
    return false;
  }
  this->announced_at = now;
  return true;
}

void PlainBalance::Forget(std::string_view member) {
  this->balancer.Forget(member);
}

void PlainBalance::Expire(TimeMs now) {
  this->balancer.Expire(now);
  this->evidence.Expire(now);
}

std::vector<PlainShare> PlainBalance::Shares() const {
  std::vector<PlainShare> all;
  if (!this->InForce()) return all;
  std::ranges::for_each(this->logged, [&](const auto& entry) {
    const PoolShares* shares = this->balancer.Find(entry.first);
    if (shares == nullptr) return;
    std::ranges::transform(
        shares->endpoints, std::back_inserter(all),
        [&entry](const EndpointShare& row) {
          return PlainShare{entry.first, row.endpoint.id, row.share};
        });
  });
  return all;
}

std::vector<WeightedFailures> PlainBalance::TakePeerFailures() {
  return std::exchange(this->peer_failures, {});
}

LoadReport PlainBalance::OutgoingLoad(TimeMs now) {
  return this->InForce() ? this->meter.Report(now) : LoadReport{};
}

void PlainBalance::OnLoadReport(const GossipMessage& message, TimeMs now) {
  if (!this->InForce()) return;
  if (!this->balancer.OnReport(message.from, message.from_data_centre,
                               message.load, now)) {
    return;
  }
  std::ranges::move(
      this->evidence.OnReport(message.from.address, message.load, now),
      std::back_inserter(this->peer_failures));
}

}  // namespace limpethaven
