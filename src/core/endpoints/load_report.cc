#include "limpethaven/load_report.h"

#include <algorithm>
#include <ostream>
#include <tuple>

#include "limpethaven/rendezvous.h"

namespace limpethaven {

std::uint32_t ReportKeyOf(std::string_view endpoint) {
  return static_cast<std::uint32_t>(StableHash(endpoint));
}

std::ostream& operator<<(std::ostream& out, const LoadReport& report) {
  return out << "load report " << report.sequence << " of "
             << report.loads.size() << " endpoints over " << report.window_ms
             << " ms";
}

LoadMeter::Bucket& LoadMeter::BucketAt(Row& row, TimeMs time) {
  const std::int64_t number = time / kBucketMs;
  Bucket& bucket = row.buckets.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.number != number) bucket = Bucket{number};
  return bucket;
}

void LoadMeter::Advance(Row& row, TimeMs now) {
  // Time before the window is not reported.
  TimeMs from = std::max(row.updated_at, now - kWindowMs);
  while (row.in_flight > 0 && from < now) {
    const TimeMs until = std::min(now, (from / kBucketMs + 1) * kBucketMs);
    BucketAt(row, from).busy_ms += row.in_flight * (until - from);
    from = until;
  }
  row.updated_at = std::max(row.updated_at, now);
}

LoadMeter::Row& LoadMeter::RowOf(std::string_view endpoint, TimeMs now) {
  auto found = this->rows.find(endpoint);
  if (found == this->rows.end()) {
    found = this->rows.try_emplace(std::string(endpoint)).first;
    found->second.key = ReportKeyOf(endpoint);
    found->second.updated_at = now;
  }
  Advance(found->second, now);
  return found->second;
}

void LoadMeter::OnStart(std::string_view endpoint, TimeMs now) {
  Row& row = this->RowOf(endpoint, now);
  ++row.in_flight;
  ++BucketAt(row, now).calls;
}

void LoadMeter::OnEnd(std::string_view endpoint, TimeMs now) {
  Row& row = this->RowOf(endpoint, now);
  row.in_flight = std::max<std::int64_t>(0, row.in_flight - 1);
}

void LoadMeter::OnFailure(std::string_view endpoint, TimeMs now) {
  ++BucketAt(this->RowOf(endpoint, now), now).failures;
}

LoadReport LoadMeter::Report(TimeMs now) {
  LoadReport report = this->Peek(now);
  report.sequence = ++this->last_sequence;
  return report;
}

LoadReport LoadMeter::Peek(TimeMs now) {
  LoadReport report;
  report.sequence = this->last_sequence;
  // Whole buckets. A window that began with the first call would count it
  // as if such calls came all the time.
  if (!this->started_at) this->started_at = now;
  const TimeMs begin = std::max(
      *this->started_at, ((now - kWindowMs) / kBucketMs + 1) * kBucketMs);
  report.window_ms = now - begin;
  std::ranges::for_each(this->rows,
                        [now](auto& entry) { Advance(entry.second, now); });
  std::erase_if(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    EndpointLoad load{row.key};
    std::ranges::for_each(row.buckets, [&](const Bucket& bucket) {
      const TimeMs bucket_begin = bucket.number * kBucketMs;
      if (bucket.number < 0 || now - bucket_begin > kFailureWindowMs) return;
      load.failures += bucket.failures;
      if (bucket_begin < begin) return;
      load.calls += bucket.calls;
      load.busy_ms += bucket.busy_ms;
    });
    if (load == EndpointLoad{row.key}) return row.in_flight == 0;
    load.calls = std::min(load.calls, LoadReport::kMaxValue);
    load.busy_ms = std::min(load.busy_ms, LoadReport::kMaxValue);
    load.failures = std::min(load.failures, LoadReport::kMaxValue);
    report.loads.push_back(load);
    return false;
  });
  std::ranges::sort(report.loads, [](const EndpointLoad& one,
                                     const EndpointLoad& other) {
    return std::tie(one.failures, one.calls, one.busy_ms, one.endpoint) >
           std::tie(other.failures, other.calls, other.busy_ms, other.endpoint);
  });
  if (report.loads.size() > LoadReport::kMaxEndpoints) {
    report.loads.resize(LoadReport::kMaxEndpoints);
  }
  return report;
}

}  // namespace limpethaven
