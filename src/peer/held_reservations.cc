#include "peer/held_reservations.h"

#include <algorithm>

namespace limpethaven {
namespace {

/// A released reservation of which no end is reported is forgotten after this
/// time.
constexpr DurationMs kReleasedRetentionMs = 5000;

}  // namespace

void HeldReservations::Hold(const std::string& reservation,
                            const std::string& cell, const std::string& owner,
                            const Renewal& renewal) {
  this->rows.insert_or_assign(reservation,
                              HeldReservation{cell, owner, renewal});
}

void HeldReservations::SetProduced(const std::string& reservation,
                                   Tokens produced) {
  const auto row = this->rows.find(reservation);
  if (row != this->rows.end()) row->second.renewal.produced = produced;
}

void HeldReservations::Release(const std::string& reservation, TimeMs now) {
  const auto row = this->rows.find(reservation);
  if (row != this->rows.end()) row->second.released_at = now;
}

void HeldReservations::EvictReleased(TimeMs now) {
  std::erase_if(this->rows, [now](const auto& entry) {
    const std::optional<TimeMs>& released_at = entry.second.released_at;
    return released_at && now - *released_at >= kReleasedRetentionMs;
  });
}

std::size_t HeldReservations::Count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->rows,
      [](const auto& entry) { return !entry.second.released_at.has_value(); }));
}

std::unordered_map<std::string, HeldReservation>&
HeldReservations::Rows() noexcept {
  return this->rows;
}

}  // namespace limpethaven
