/// @file
/// Charges teams for requests, borrowing from peers before it refuses.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/error.h"
#include "limpethaven/interfaces.h"
#include "limpethaven/share_ledger.h"
#include "limpethaven/vm_id.h"

namespace limpethaven {

/// Addresses of the peers that can be asked now.
using PeerLister = std::function<std::vector<std::string>()>;

/// Share ledger of one process with its peers. Thread safe.
class ShareService {
 public:
  /// @param wait_ms Longest wait for tokens before a refusal.
  ShareService(VmId own, PeerTransport& peer_transport,
               const Clock& system_clock, PeerLister lister,
               DurationMs wait_ms);

  void Configure(const Configuration& config);
  /// Charges a request, or says why not.
  [[nodiscard]] Result<void> Charge(std::string_view team,
                                    std::string_view request_id, Tokens tokens);
  /// Ends a charge and gives back what was not used.
  void Settle(std::string_view request_id, Tokens used);
  /// Answers a peer that asks for tokens.
  [[nodiscard]] Result<std::string> AnswerLend(const VmId& from,
                                               const std::string& body);
  /// Answers a peer that accepted a transfer.
  [[nodiscard]] Result<std::string> AnswerConfirm(const std::string& body);
  [[nodiscard]] ShareView View(std::string_view team);
  /// Tokens borrowed since the start.
  [[nodiscard]] std::int64_t Borrowed() const noexcept;

 private:
  /// A loan together with whom it came from.
  struct Loan {
    Transfer transfer;
    std::string lender;
  };

  [[nodiscard]] std::vector<Loan> Borrow(std::string_view team, Tokens missing);
  void Confirm(const std::vector<Loan>& loans);
  [[nodiscard]] ChargeOutcome TryCharge(std::string_view team,
                                        std::string_view request_id,
                                        Tokens tokens,
                                        const std::vector<Loan>& loans);

  VmId self;
  PeerTransport& peers;
  const Clock& clock;
  PeerLister list_peers;
  DurationMs max_wait_ms;
  std::mutex mutex;
  ShareLedger ledger;
  std::atomic<std::uint64_t> next_transfer = 1;
  std::atomic<std::int64_t> borrowed = 0;
};

}  // namespace limpethaven
