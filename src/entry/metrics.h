/// @file
/// Metrics of an entry process; names, units and meanings stand in
/// docs/METRICS.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "limpethaven/error.h"

namespace limpethaven {

/// Metrics of one entry process. Thread safe.
class EntryMetrics {
 public:
  EntryMetrics();

  void CountFinished(const std::string& team);
  void CountRefused(ErrorKind kind);
  void CountRetry();
  void CountResumed();
  void CountDroppedEvent();
  void CountTokens(std::int64_t tokens);
  void ObserveFirstToken(double milliseconds);
  void SetActive(std::size_t requests);
  void SetConfigVersion(std::uint64_t version);
  void SetMembersAlive(std::size_t members);
  /// Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& finished;
  prometheus::Family<prometheus::Counter>& refused;
  prometheus::Counter& retries;
  prometheus::Counter& resumed;
  prometheus::Counter& dropped_events;
  prometheus::Counter& tokens_delivered;
  prometheus::Histogram& first_token_ms;
  prometheus::Gauge& active;
  prometheus::Gauge& config_version;
  prometheus::Gauge& members_alive;
};

}  // namespace limpethaven
