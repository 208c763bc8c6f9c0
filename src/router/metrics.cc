#include "router/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace limpethaven {
namespace {

constexpr double kMsPerS = 1000.0;

/// Upper bounds of the histogram buckets, in milliseconds.
prometheus::Histogram::BucketBoundaries BucketBoundsMs() {
  return {5,   10,  20,   50,   100,  200,    300,
          500, 900, 1500, 3000, 6000, 12'000, 30'000};
}

}  // namespace

Metrics::Metrics()
    : ends(prometheus::BuildCounter()
               .Name("limpethaven_requests_total")
               .Help("Requests that have ended, by kind and outcome")
               .Register(this->registry)),
      durations(prometheus::BuildHistogram()
                    .Name("limpethaven_request_milliseconds")
                    .Help("Time from a request to its end, by kind and outcome")
                    .Register(this->registry)),
      first_event(prometheus::BuildHistogram()
                      .Name("limpethaven_first_event_milliseconds")
                      .Help("Time from a request to its stream's first event")
                      .Register(this->registry)
                      .Add({}, BucketBoundsMs())),
      retries(prometheus::BuildCounter()
                  .Name("limpethaven_retries_total")
                  .Help("Sends after the first of a request")
                  .Register(this->registry)
                  .Add({})),
      role_orders(prometheus::BuildCounter()
                      .Name("limpethaven_role_orders_total")
                      .Help("Orders to engines to change their role, by "
                            "outcome")
                      .Register(this->registry)),
      tokens(prometheus::BuildCounter()
                 .Name("limpethaven_tokens_produced_total")
                 .Help("Generated tokens that were passed on")
                 .Register(this->registry)
                 .Add({})),
      charged(prometheus::BuildCounter()
                  .Name("limpethaven_tokens_charged_total")
                  .Help("Tokens that teams were charged")
                  .Register(this->registry)),
      gauges(prometheus::BuildGauge()
                 .Name("limpethaven_state")
                 .Help("Current values of the process's gauges, by item")
                 .Register(this->registry)),
      plain_shares(
          prometheus::BuildGauge()
              .Name("limpethaven_plain_share")
              .Help("Share of an endpoint in the calls to its plain pool")
              .Register(this->registry)) {}

void Metrics::OnEnd(const std::string& kind, const std::string& outcome,
                    DurationMs elapsed_ms) {
  const std::map<std::string, std::string> labels = {{"kind", kind},
                                                     {"outcome", outcome}};
  this->ends.Add(labels).Increment();
  this->durations.Add(labels, BucketBoundsMs())
      .Observe(static_cast<double>(elapsed_ms));
}

void Metrics::OnFirstEvent(DurationMs elapsed_ms) {
  this->first_event.Observe(static_cast<double>(elapsed_ms));
}

void Metrics::OnRetry() { this->retries.Increment(); }

void Metrics::OnRoleOrder(const std::string& outcome) {
  this->role_orders.Add({{"outcome", outcome}}).Increment();
}

void Metrics::OnTokens(Tokens produced) {
  this->tokens.Increment(static_cast<double>(produced));
}

void Metrics::OnCharge(const std::string& team, Tokens charged_tokens) {
  this->charged.Add({{"team", team}})
      .Increment(static_cast<double>(charged_tokens));
}

void Metrics::SetGauges(const MetricsSnapshot& snapshot) {
  const auto set = [this](const char* item, double value) {
    this->gauges.Add({{"item", item}}).Set(value);
  };
  set("requests", static_cast<double>(snapshot.requests));
  set("connections", static_cast<double>(snapshot.connections));
  set("waiting", static_cast<double>(snapshot.waiting));
  set("placed_on_time", static_cast<double>(snapshot.placed_on_time));
  set("placed_late", static_cast<double>(snapshot.placed_late));
  set("placements_refused", static_cast<double>(snapshot.placements_refused));
  set("reservations", static_cast<double>(snapshot.reservations));
  set("borrowed_tokens", static_cast<double>(snapshot.borrowed_tokens));
  set("retries_left", snapshot.retries_left);
  set("config_version", static_cast<double>(snapshot.config_version));
  set("config_age_seconds",
      static_cast<double>(snapshot.config_age_ms) / kMsPerS);
  set("endpoints_age_seconds",
      static_cast<double>(snapshot.endpoints_age_ms) / kMsPerS);
  set("endpoints", static_cast<double>(snapshot.endpoints));
  set("endpoints_ejected", static_cast<double>(snapshot.ejected));
  set("endpoints_limited", static_cast<double>(snapshot.limited));
  set("endpoints_paused", static_cast<double>(snapshot.paused));
  set("endpoints_said_leaving", static_cast<double>(snapshot.said_leaving));
  set("quarantined_parts", static_cast<double>(snapshot.quarantined_parts));
  set("members", static_cast<double>(snapshot.members));
  set("role_prefill_engines", static_cast<double>(snapshot.roles.prefill));
  set("role_decode_engines", static_cast<double>(snapshot.roles.decode));
  set("role_wanted_prefill_engines",
      static_cast<double>(snapshot.roles.wanted_prefill));
  set("role_changing_engines", static_cast<double>(snapshot.roles.changing));
  set("role_leases", static_cast<double>(snapshot.role_leases));
  set("endpoint_connections_made",
      static_cast<double>(snapshot.connections_made));
  set("dropped_log_lines", static_cast<double>(snapshot.dropped_log_lines));
  set("source_calls", static_cast<double>(snapshot.source_calls));
  set("source_read", snapshot.reads_source ? 1 : 0);
  set("source_reader", snapshot.source_reader ? 1 : 0);
  set("state_age_seconds",
      snapshot.state_age_ms < 0
          ? -1
          : static_cast<double>(snapshot.state_age_ms) / kMsPerS);
}

void Metrics::SetPlainShares(const std::vector<PlainShare>& next) {
  std::ranges::for_each(
      std::exchange(this->plain_share_rows, {}),
      [this](prometheus::Gauge* row) { this->plain_shares.Remove(row); });
  std::ranges::for_each(next, [this](const PlainShare& entry) {
    prometheus::Gauge& row = this->plain_shares.Add(
        {{"pool", entry.pool}, {"endpoint", entry.endpoint}});
    row.Set(entry.share);
    this->plain_share_rows.push_back(&row);
  });
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace limpethaven
