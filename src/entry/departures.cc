#include "entry/departures.h"

#include <algorithm>
#include <vector>

#include "edge/log.h"

namespace limpethaven {
namespace {

constexpr DurationMs kPeriodMs = 50;

}  // namespace

Departures::Departures(CellService& cell_service, EngineClient& engine_client,
                       ShareService& share_service, const Clock& system_clock)
    : cells(cell_service),
      engines(engine_client),
      shares(share_service),
      clock(system_clock) {}

void Departures::Start() {
  this->runner.Start(kPeriodMs, [this] { this->Run(); });
}

void Departures::Stop() { this->runner.Stop(); }

void Departures::Add(Departure departure) {
  departure.due = this->clock.Now() + kResumeGraceMs;
  const std::lock_guard lock(this->mutex);
  this->waiting.push_back(std::move(departure));
}

void Departures::Run() {
  std::vector<Departure> due;
  {
    const std::lock_guard lock(this->mutex);
    const TimeMs now = this->clock.Now();
    while (!this->waiting.empty() && this->waiting.front().due <= now) {
      due.push_back(std::move(this->waiting.front()));
      this->waiting.pop_front();
    }
  }
  std::ranges::for_each(
      due, [this](const Departure& departure) { this->Free(departure); });
}

void Departures::Free(const Departure& departure) {
  const ActivePlace& place = departure.place;
  const auto outcome =
      this->engines.Cancel(place.engine, departure.request_id,
                           place.reservation, departure.attachment);
  if (outcome) {
    this->cells.Notify(CellNotice{NoticeKind::kFinish, place.cell,
                                  place.reservation, departure.request_id,
                                  place.engine, 0, 0});
    this->shares.Settle(departure.request_id, departure.used);
    LogEvent(EventId::kRequestCancelled, {{"request", departure.request_id},
                                          {"engine", place.engine},
                                          {"why", "caller gone"}});
    return;
  }
  // Whoever went on with it may use every token that was charged.
  this->shares.Settle(departure.request_id, departure.charged);
  if (outcome.error().kind == ErrorKind::kSuperseded) return;
  LogWarning(EventId::kCancelRetried, {{"request", departure.request_id},
                                       {"engine", place.engine},
                                       LogField::Of("why", outcome.error())});
  this->cells.Notify(CellNotice{NoticeKind::kWithdraw, place.cell,
                                place.reservation, departure.placement_key,
                                place.engine, 0, 0});
}

}  // namespace limpethaven
