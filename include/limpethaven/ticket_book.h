/// @file
/// Tickets: signed names of requests that run at most once, kept by the process
/// that minted them.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"
#include "limpethaven/vm_id.h"

namespace limpethaven {

/// What a ticket says. Only `minter` may run the request.
struct Ticket {
  std::string nonce;
  std::string team;  ///< Empty on routes open to all.
  VmId minter;
  friend auto operator<=>(const Ticket&, const Ticket&) = default;
};

std::ostream& operator<<(std::ostream& out, const Ticket& ticket);

/// Signed text of a ticket.
[[nodiscard]] std::string EncodeTicket(std::string_view secret,
                                       const Ticket& ticket);
/// Reads a ticket back; empty when the text is malformed or its signature does
/// not fit.
[[nodiscard]] std::optional<Ticket> DecodeTicket(std::string_view secret,
                                                 std::string_view text);

/// Settings of a ticket book.
struct TicketSettings {
  DurationMs lifetime_ms =
      60'000;  ///< From minting to the last moment a run may begin.
  DurationMs retention_ms =
      600'000;  ///< How long the record outlives its expiry.
  std::size_t max_records = 1'000'000;  ///< Beyond it no tickets are minted.
};

/// The records of one process. A restart forgets them; the incarnation in each
/// ticket makes every older ticket unusable. Not thread safe.
class TicketBook {
 public:
  explicit TicketBook(VmId self, TicketSettings settings = {});

  /// Mints a ticket for a team. @param nonce Unique text, e.g. 16 random bytes
  /// in hexadecimal.
  [[nodiscard]] Result<Ticket> Mint(std::string_view team, std::string nonce,
                                    TimeMs now);
  /// Claims the one run. After success the caller must call `Finish` or
  /// `Release`.
  [[nodiscard]] Result<void> Begin(const Ticket& ticket, std::string_view team,
                                   TimeMs now);
  /// The run ended, whatever came of it.
  void Finish(std::string_view nonce);
  /// Nothing was sent: the ticket may be used again.
  void Release(std::string_view nonce);
  /// Drops records that no valid ticket can name any more.
  void Tick(TimeMs now);
  /// Records held.
  [[nodiscard]] std::size_t Size() const noexcept;

 private:
  enum class State { kMinted, kRunning, kDone };
  struct Record {
    std::string team;
    State state = State::kMinted;
    TimeMs expires_at = 0;
  };

  VmId self;
  TicketSettings settings;
  std::unordered_map<std::string, Record> records;
};

}  // namespace limpethaven
