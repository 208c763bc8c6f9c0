/// @file
/// A fleet of share ledgers under a schedule of faults, and the check of its
/// history.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "limpethaven/share_ledger.h"

namespace limpethaven::testing {

/// What can happen in one step of a schedule.
enum class StepKind {
  kAdvance,
  kBorrow,
  kDeliver,
  kCharge,
  kDrainAll,  ///< Every process spends all it has at this moment.
  kSettle,
  kConfirm,
  kRestart,
  kPause,
};

/// One step; the numbers select among what is there.
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

/// Tokens that an admission really used, at the time of admission.
struct Spend {
  TimeMs at = 0;
  Tokens tokens = 0;
};

/// Checks spent <= rate * window + burst for every window of a history.
/// @returns a description of the first violation.
[[nodiscard]] std::optional<std::string> CheckShareBound(
    std::vector<Spend> history, std::int64_t rate, Tokens burst);

/// Runs a schedule over a fleet whose messages may be lost, late and doubled,
/// and whose processes pause and restart. @returns what each admission used.
[[nodiscard]] std::vector<Spend> RunShareSchedule(
    const ShareFleetSettings& settings, const std::vector<ShareStep>& steps);

/// A schedule from a seed.
[[nodiscard]] std::vector<ShareStep> MakeShareSchedule(std::uint64_t seed,
                                                       std::size_t length);

}  // namespace limpethaven::testing
