/// @file
/// Tickets for requests that run at most once. A ticket is a signed id; the
/// process that minted it keeps the record of whether it was used.
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

/// Contents of a ticket. Only the process `minter` may run the request.
struct Ticket {
  std::string nonce;
  std::string team;  ///< Empty on routes that are open to all callers.
  VmId minter;
  friend auto operator<=>(const Ticket&, const Ticket&) = default;
};

std::ostream& operator<<(std::ostream& out, const Ticket& ticket);

/// Encodes and signs a ticket.
[[nodiscard]] std::string EncodeTicket(std::string_view secret,
                                       const Ticket& ticket);
/// Decodes a ticket; empty when the text is malformed or its signature is
/// invalid.
[[nodiscard]] std::optional<Ticket> DecodeTicket(std::string_view secret,
                                                 std::string_view text);

/// Settings of a ticket book.
struct TicketSettings {
  /// Time from minting to expiry; no run may begin afterwards.
  DurationMs lifetime_ms = 60'000;
  /// Time from a ticket's expiry to the eviction of its record.
  DurationMs retention_ms = 600'000;
  /// Number of records at which minting is refused.
  std::size_t max_records = 1'000'000;
};

/// Ticket records of one process. They are lost when the process restarts, so
/// each ticket carries the incarnation of its minter, and tickets of an earlier
/// incarnation are refused. Not thread safe.
class TicketBook {
 public:
  explicit TicketBook(VmId self, TicketSettings settings = {});

  /// Mints a ticket for a team. Fails with `kCapacity` when there are
  /// `max_records` records, and with `kInternal` when there is one with
  /// this nonce.
  /// @param nonce Unique text, e.g. 16 random bytes in hexadecimal.
  [[nodiscard]] Result<Ticket> Mint(std::string_view team, std::string nonce,
                                    TimeMs now);
  /// Claims the ticket's one run. After success the caller must call `Finish`
  /// or `Release`. Fails with `kTeamMismatch`, `kTicketMinterUnreachable`,
  /// `kTicketExpired` or `kTicketUsed`.
  [[nodiscard]] Result<void> Begin(const Ticket& ticket, std::string_view team,
                                   TimeMs now);
  /// Records that the run has ended, whatever its outcome.
  void Finish(std::string_view nonce);
  /// Undoes `Begin` when nothing was sent: the ticket may be used again.
  void Release(std::string_view nonce);
  /// Evicts the records whose retention has ended, except those of runs that
  /// have not ended.
  void Tick(TimeMs now);
  /// Number of records.
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
