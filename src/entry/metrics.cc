#include "entry/metrics.h"

#include <prometheus/text_serializer.h>

namespace limpethaven {
namespace {

prometheus::Family<prometheus::Counter>& CounterFamily(
    prometheus::Registry& registry, const std::string& name,
    const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& NewGauge(prometheus::Registry& registry,
                            const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

EntryMetrics::EntryMetrics()
    : finished(CounterFamily(this->registry,
                             "limpethaven_requests_finished_total",
                             "Requests answered whole, by team")),
      refused(CounterFamily(this->registry,
                            "limpethaven_requests_refused_total",
                            "Requests refused or broken, by error kind")),
      retries(CounterFamily(this->registry, "limpethaven_retries_total",
                            "Attempts after the first of a request")
                  .Add({})),
      resumed(CounterFamily(this->registry, "limpethaven_streams_resumed_total",
                            "Streams that a caller went on with here")
                  .Add({})),
      dropped_events(
          CounterFamily(this->registry,
                        "limpethaven_stream_events_dropped_total",
                        "Engine events that were crossed, late or repeated")
              .Add({})),
      tokens_delivered(CounterFamily(this->registry,
                                     "limpethaven_tokens_delivered_total",
                                     "Generated tokens written to callers")
                           .Add({})),
      first_token_ms(
          prometheus::BuildHistogram()
              .Name("limpethaven_first_token_milliseconds")
              .Help("Time from request to first token in milliseconds")
              .Register(this->registry)
              .Add({},
                   prometheus::Histogram::BucketBoundaries{
                       5, 10, 25, 50, 100, 250, 500, 920, 2000, 5000})),
      active(NewGauge(this->registry, "limpethaven_requests_active",
                      "Requests served now")),
      config_version(NewGauge(this->registry, "limpethaven_config_version",
                              "Version of the configuration in force")),
      members_alive(NewGauge(this->registry, "limpethaven_members_alive",
                             "Entry processes seen alive")) {}

void EntryMetrics::CountFinished(const std::string& team) {
  this->finished.Add({{"team", team}}).Increment();
}

void EntryMetrics::CountRefused(ErrorKind kind) {
  this->refused.Add({{"kind", std::string(RowOf(kind).name)}}).Increment();
}

void EntryMetrics::CountRetry() { this->retries.Increment(); }
void EntryMetrics::CountResumed() { this->resumed.Increment(); }
void EntryMetrics::CountDroppedEvent() { this->dropped_events.Increment(); }

void EntryMetrics::CountTokens(std::int64_t tokens) {
  this->tokens_delivered.Increment(static_cast<double>(tokens));
}

void EntryMetrics::ObserveFirstToken(double milliseconds) {
  this->first_token_ms.Observe(milliseconds);
}

void EntryMetrics::SetActive(std::size_t requests) {
  this->active.Set(static_cast<double>(requests));
}

void EntryMetrics::SetConfigVersion(std::uint64_t version) {
  this->config_version.Set(static_cast<double>(version));
}

void EntryMetrics::SetMembersAlive(std::size_t members) {
  this->members_alive.Set(static_cast<double>(members));
}

std::string EntryMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace limpethaven
