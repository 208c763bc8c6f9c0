/// @file
/// Reservations that this process renews with the owners of their cells.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/clock.h"

namespace limpethaven {

/// A reservation to renew with the present owner of its cell.
struct HeldReservation {
  std::string cell;
  std::string owner;
  Renewal renewal;
  /// When it was released; the row stays until the owner is told of the end.
  std::optional<TimeMs> released_at;
};

/// The reservations that one process holds, keyed by reservation id.
class HeldReservations {
 public:
  void Hold(const std::string& reservation, const std::string& cell,
            const std::string& owner, const Renewal& renewal);
  /// Sets the tokens produced so far under a reservation.
  void SetProduced(const std::string& reservation, Tokens produced);
  /// Stops the renewals of a reservation.
  void Release(const std::string& reservation, TimeMs now);
  /// Removes reservations that were released a while ago and of which no end
  /// was reported.
  void EvictReleased(TimeMs now);
  /// Number of reservations that are not released.
  [[nodiscard]] std::size_t Count() const;
  [[nodiscard]] std::unordered_map<std::string, HeldReservation>&
  Rows() noexcept;

 private:
  std::unordered_map<std::string, HeldReservation> rows;
};

}  // namespace limpethaven
