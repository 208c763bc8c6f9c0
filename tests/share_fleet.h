/// @file
/// Simulated fleet of share ledgers under a schedule of faults, and the check
/// of its history against the bound on spending.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "limpethaven/share_ledger.h"

namespace limpethaven::testing {

/// Kinds of steps in a schedule.
enum class StepKind {
  kAdvance,   ///< Time passes.
  kBorrow,    ///< A process lends tokens to another; the message is in transit.
  kDeliver,   ///< A message in transit reaches its borrower.
  kCharge,    ///< A process charges a request.
  kDrainAll,  ///< Every process spends all of its tokens.
  kSettle,    ///< A charge ends.
  kConfirm,   ///< A borrower accepts a transfer and confirms it to the lender.
  kRestart,   ///< A process restarts and loses its ledger.
  kPause,     ///< A process is paused.
};

/// One step. The numbers are taken modulo the number of choices, so any value
/// is valid.
struct ShareStep {
  StepKind kind = StepKind::kAdvance;
  unsigned vm = 0;
  unsigned other = 0;
  unsigned amount = 0;
};

std::ostream& operator<<(std::ostream& out, const ShareStep& step);

/// Parameters of a simulated fleet.
struct ShareFleetSettings {
  std::size_t vms = 4;
  std::int64_t rate = 1000;
  Tokens burst = 4000;
};

/// Time of an admission, and the tokens that it used in the end.
struct Spend {
  TimeMs at = 0;
  Tokens tokens = 0;
};

/// Checks spent <= rate * window + burst for every window of a history.
/// @returns a description of the first violation.
[[nodiscard]] std::optional<std::string> CheckShareBound(
    std::vector<Spend> history, std::int64_t rate, Tokens burst);

/// Runs a schedule over a fleet whose messages may be lost, late or duplicated,
/// and whose processes pause and restart. @returns the tokens that each
/// admission used.
[[nodiscard]] std::vector<Spend> RunShareSchedule(
    const ShareFleetSettings& settings, const std::vector<ShareStep>& steps);

/// Makes a random schedule of `length` steps from a seed.
[[nodiscard]] std::vector<ShareStep> MakeShareSchedule(std::uint64_t seed,
                                                       std::size_t length);

}  // namespace limpethaven::testing
