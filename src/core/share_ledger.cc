#include "limpethaven/share_ledger.h"

#include <algorithm>
#include <ostream>

namespace limpethaven {
namespace {

constexpr std::int64_t kMilli = 1000;

}  // namespace

std::ostream& operator<<(std::ostream& out, const Transfer& transfer) {
  return out << transfer.id << ": " << transfer.tokens << " tokens of "
             << transfer.team;
}

ShareLedger::ShareLedger(ShareSettings initial) : settings(initial) {}

void ShareLedger::Configure(const Configuration& config, TimeMs now) {
  this->Configure(config.teams, config.fleet.share_slots, now);
}

void ShareLedger::Configure(const NamedTable<TeamSpec>& teams,
                            std::int64_t slot_count, TimeMs now) {
  // Accrue under the old rates first, so that a change acts from now on only.
  std::ranges::for_each(this->rows,
                        [&](auto& row) { this->Accrue(row.second, now); });
  this->slots = std::max<std::int64_t>(1, slot_count);
  const MilliTokens at_start =
      this->settings.initial_tokens * kMilli / this->slots;
  std::erase_if(this->rows,
                [&](const auto& row) { return !teams.contains(row.first); });
  std::ranges::for_each(teams, [&](const auto& entry) {
    const TeamSpec& team = entry.second;
    // An earlier process on this slot may have lent tokens that are still in
    // flight: nothing is earned until every such transfer has expired.
    const TimeMs first_accrual = now + this->settings.transfer_ttl_ms;
    Row& row = this->rows
                   .try_emplace(team.name, Row{.level = at_start,
                                               .accrued_at = first_accrual})
                   .first->second;
    row.rate_per_s = team.rate_tokens_per_s;
    row.burst = team.burst_tokens * kMilli;
    row.cap = row.burst / this->slots;
    row.level =
        std::min(row.level, std::max<MilliTokens>(0, row.cap - row.in_flight));
  });
}

ChargeOutcome ShareLedger::TryCharge(std::string_view team,
                                     std::string_view request_id, Tokens tokens,
                                     const std::vector<Transfer>& received,
                                     TimeMs now) {
  Row* row = this->Find(team, now);
  if (row == nullptr) return {false, tokens};
  const MilliTokens wanted = tokens * kMilli;
  const MilliTokens total = row->level + this->Accept(received, team, now);
  const MilliTokens room = std::max<MilliTokens>(0, row->cap - row->in_flight);
  if (total < wanted) {
    row->level = std::min(total, room);
    ObservePeak(*row);
    return {false, (wanted - total + kMilli - 1) / kMilli};
  }
  row->level = std::min(total - wanted, room);
  const std::uint64_t admission = row->next_admission++;
  row->peaks.push_back(
      PeakStep{row->level + row->in_flight - row->refund_offset, admission});
  ObservePeak(*row);
  ++row->in_service;
  this->charges.insert_or_assign(std::string(request_id),
                                 Charge{std::string(team), wanted, admission});
  return {true, 0};
}

Tokens ShareLedger::Settle(std::string_view request_id, Tokens used,
                           TimeMs now) {
  const auto charge = this->charges.find(std::string(request_id));
  if (charge == this->charges.end()) return 0;
  const Charge ended = charge->second;
  this->charges.erase(charge);
  Row* row = this->Find(ended.team, now);
  if (row == nullptr) return 0;
  // A bucket charged with the true cost would have been higher by `unused` ever
  // since admission, and would have lost whatever rose above its cap.
  const MilliTokens unused =
      std::max<MilliTokens>(0, ended.charged - used * kMilli);
  const MilliTokens headroom = row->cap - PeakSince(*row, ended.admission);
  const MilliTokens refund = std::clamp<MilliTokens>(headroom, 0, unused);
  row->level += refund;
  row->refund_offset += refund;
  --row->in_service;
  if (row->in_service == 0) {
    row->peaks.clear();
    row->refund_offset = 0;
  }
  return refund / kMilli;
}

Tokens ShareLedger::Lend(std::string_view team, std::string_view transfer_id,
                         Tokens wanted, TimeMs now) {
  Row* row = this->Find(team, now);
  if (row == nullptr || this->lent.contains(std::string(transfer_id))) return 0;
  const Tokens tokens =
      std::clamp<Tokens>(row->level / kMilli, 0, std::max<Tokens>(0, wanted));
  if (tokens == 0) return 0;
  row->level -= tokens * kMilli;
  row->in_flight += tokens * kMilli;
  this->lent.emplace(std::string(transfer_id),
                     LentTransfer{std::string(team), tokens * kMilli,
                                  now + this->settings.transfer_ttl_ms});
  return tokens;
}

void ShareLedger::Confirm(std::string_view transfer_id, TimeMs now) {
  // Expiry first: it may drop the very entry that is confirmed.
  this->ExpireTransfers(now);
  const auto transfer = this->lent.find(std::string(transfer_id));
  if (transfer == this->lent.end()) return;
  Row* row = this->Find(transfer->second.team, now);
  // The entry stays, emptied, until it expires: a repeated request must lend
  // nothing.
  if (row != nullptr) row->in_flight -= transfer->second.tokens;
  transfer->second.tokens = 0;
}

ShareView ShareLedger::View(std::string_view team, TimeMs now) {
  const Row* row = this->Find(team, now);
  if (row == nullptr) return {};
  return {row->level / kMilli, row->cap / kMilli, row->in_flight / kMilli,
          row->in_service};
}

Tokens ShareLedger::Burst(std::string_view team) const {
  const auto row = this->rows.find(std::string(team));
  return row == this->rows.end() ? 0 : row->second.burst / kMilli;
}

ShareLedger::Row* ShareLedger::Find(std::string_view team, TimeMs now) {
  this->ExpireTransfers(now);
  const auto row = this->rows.find(std::string(team));
  if (row == this->rows.end()) return nullptr;
  this->Accrue(row->second, now);
  return &row->second;
}

void ShareLedger::Accrue(Row& row, TimeMs now) const {
  const DurationMs elapsed = std::max<DurationMs>(0, now - row.accrued_at);
  row.accrued_at = std::max(row.accrued_at, now);
  // Rate is tokens per second, elapsed is milliseconds: the product is
  // thousandths of tokens.
  const std::int64_t earned = row.rate_per_s * elapsed + row.accrual_rest;
  row.accrual_rest = earned % this->slots;
  const MilliTokens room = std::max<MilliTokens>(0, row.cap - row.in_flight);
  row.level =
      std::max(row.level, std::min(room, row.level + earned / this->slots));
  ObservePeak(row);
}

void ShareLedger::ObservePeak(Row& row) {
  const MilliTokens level = row.level + row.in_flight - row.refund_offset;
  auto& peaks = row.peaks;
  const auto first_lower = std::ranges::find_if(
      peaks, [level](const PeakStep& step) { return step.peak <= level; });
  if (first_lower == peaks.end()) return;
  first_lower->peak = level;
  peaks.erase(first_lower + 1, peaks.end());
}

ShareLedger::MilliTokens ShareLedger::PeakSince(const Row& row,
                                                std::uint64_t admission) {
  const auto after =
      std::ranges::upper_bound(row.peaks, admission, {}, &PeakStep::first);
  if (after == row.peaks.begin()) return row.cap;
  return std::prev(after)->peak + row.refund_offset;
}

ShareLedger::MilliTokens ShareLedger::Accept(
    const std::vector<Transfer>& received, std::string_view team, TimeMs now) {
  MilliTokens sum = 0;
  std::ranges::for_each(received, [&](const Transfer& transfer) {
    const TimeMs deadline =
        transfer.requested_at + this->settings.transfer_ttl_ms;
    if (transfer.team != team || now >= deadline) return;
    if (!this->seen.emplace(transfer.id, deadline).second) return;
    sum += transfer.tokens * kMilli;
  });
  return sum;
}

void ShareLedger::ExpireTransfers(TimeMs now) {
  if (now < this->next_expiry_check) return;
  this->next_expiry_check = now + this->settings.transfer_ttl_ms / 10;
  std::erase_if(this->lent, [&](const auto& entry) {
    const LentTransfer& transfer = entry.second;
    if (now < transfer.expires_at) return false;
    const auto row = this->rows.find(transfer.team);
    if (row != this->rows.end()) {
      this->Accrue(row->second, now);
      row->second.in_flight -= transfer.tokens;
    }
    return true;
  });
  std::erase_if(this->seen,
                [now](const auto& entry) { return now >= entry.second; });
}

}  // namespace limpethaven
