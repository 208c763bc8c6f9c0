#include "limpethaven/share_ledger.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace limpethaven {
namespace {

constexpr std::int64_t kMilliTokensPerToken = 1000;

}  // namespace

std::ostream& operator<<(std::ostream& out, const Transfer& transfer) {
  return out << transfer.id << ": " << transfer.tokens << " tokens of team "
             << transfer.team;
}

ShareLedger::ShareLedger(ShareSettings initial) : settings(initial) {}

void ShareLedger::Configure(const Configuration& config, TimeMs now) {
  this->Configure(config.teams, config.fleet.share_slots, now);
}

void ShareLedger::Configure(const NamedTable<TeamSpec>& teams,
                            std::int64_t slot_count, TimeMs now) {
  // Accrue at the old rates first, so that the new ones apply from `now` on.
  std::ranges::for_each(this->shares,
                        [&](auto& share) { this->Accrue(share.second, now); });
  this->slots = std::max<std::int64_t>(0, slot_count);
  std::erase_if(this->shares, [&](const auto& share) {
    return !teams.contains(share.first);
  });
  std::ranges::for_each(teams, [&](const auto& entry) {
    const TeamSpec& team = entry.second;
    // An earlier process on this slot may have lent tokens that are still in
    // flight. Nothing is accrued until every such transfer has expired.
    const TimeMs first_accrual = now + this->settings.transfer_ttl_ms;
    TeamShare& share =
        this->shares
            .try_emplace(team.name, TeamShare{.accrued_at = first_accrual})
            .first->second;
    share.rate_per_s = team.rate_tokens_per_s;
    share.burst = team.burst_tokens * kMilliTokensPerToken;
    share.cap = this->slots == 0 ? 0 : share.burst / this->slots;
    share.level = std::min(
        share.level, std::max<MilliTokens>(0, share.cap - share.in_flight));
  });
}

ChargeOutcome ShareLedger::TryCharge(std::string_view team,
                                     std::string_view request_id, Tokens tokens,
                                     const std::vector<Transfer>& received,
                                     TimeMs now) {
  TeamShare* share = this->Find(team, now);
  if (share == nullptr) return {false, tokens};
  const MilliTokens wanted = tokens * kMilliTokensPerToken;
  const MilliTokens total = share->level + this->Accept(received, team, now);
  const MilliTokens room =
      std::max<MilliTokens>(0, share->cap - share->in_flight);
  if (total < wanted) {
    share->level = std::min(total, room);
    ObservePeak(*share);
    return {false,
            (wanted - total + kMilliTokensPerToken - 1) / kMilliTokensPerToken};
  }
  share->level = std::min(total - wanted, room);
  const std::uint64_t admission = share->next_admission++;
  share->peaks.push_back(PeakStep{
      share->level + share->in_flight - share->refund_offset, admission});
  ObservePeak(*share);
  ++share->in_service;
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
  TeamShare* share = this->Find(ended.team, now);
  if (share == nullptr) return 0;
  // A bucket charged with the true cost would have been higher by `unused`
  // since admission, and would have lost the tokens that rose above its cap.
  const MilliTokens unused =
      std::max<MilliTokens>(0, ended.charged - used * kMilliTokensPerToken);
  const MilliTokens headroom = share->cap - PeakSince(*share, ended.admission);
  const MilliTokens refund = std::clamp<MilliTokens>(headroom, 0, unused);
  share->level += refund;
  share->refund_offset += refund;
  --share->in_service;
  if (share->in_service == 0) {
    share->peaks.clear();
    share->refund_offset = 0;
  }
  return refund / kMilliTokensPerToken;
}

Tokens ShareLedger::Lend(std::string_view team, std::string_view transfer_id,
                         Tokens wanted, TimeMs now) {
  TeamShare* share = this->Find(team, now);
  if (share == nullptr ||
      this->lent_transfers.contains(std::string(transfer_id))) {
    return 0;
  }
  const Tokens tokens = std::clamp<Tokens>(share->level / kMilliTokensPerToken,
                                           0, std::max<Tokens>(0, wanted));
  if (tokens == 0) return 0;
  share->level -= tokens * kMilliTokensPerToken;
  share->in_flight += tokens * kMilliTokensPerToken;
  this->lent_transfers.emplace(
      std::string(transfer_id),
      LentTransfer{std::string(team), tokens * kMilliTokensPerToken,
                   now + this->settings.transfer_ttl_ms});
  return tokens;
}

void ShareLedger::Confirm(std::string_view transfer_id, TimeMs now) {
  // Expire transfers first, since this may erase the entry to be confirmed.
  this->ExpireTransfers(now);
  const auto transfer = this->lent_transfers.find(std::string(transfer_id));
  if (transfer == this->lent_transfers.end()) return;
  TeamShare* share = this->Find(transfer->second.team, now);
  // The entry stays with 0 tokens until it expires, so that a repeated request
  // with this id lends nothing.
  if (share != nullptr) share->in_flight -= transfer->second.tokens;
  transfer->second.tokens = 0;
}

void ShareLedger::Return(std::string_view transfer_id, TimeMs now) {
  this->ExpireTransfers(now);
  const auto transfer = this->lent_transfers.find(std::string(transfer_id));
  if (transfer == this->lent_transfers.end()) return;
  TeamShare* share = this->Find(transfer->second.team, now);
  const MilliTokens tokens = std::exchange(transfer->second.tokens, 0);
  if (share == nullptr) return;
  share->in_flight -= tokens;
  const MilliTokens room =
      std::max<MilliTokens>(0, share->cap - share->in_flight);
  share->level = std::max(share->level, std::min(room, share->level + tokens));
}

ShareView ShareLedger::View(std::string_view team, TimeMs now) {
  const TeamShare* share = this->Find(team, now);
  if (share == nullptr) return {};
  return {share->level / kMilliTokensPerToken,
          share->cap / kMilliTokensPerToken,
          share->in_flight / kMilliTokensPerToken, share->in_service};
}

Tokens ShareLedger::Burst(std::string_view team) const {
  const auto share = this->shares.find(std::string(team));
  return share == this->shares.end()
             ? 0
             : share->second.burst / kMilliTokensPerToken;
}

ShareLedger::TeamShare* ShareLedger::Find(std::string_view team, TimeMs now) {
  this->ExpireTransfers(now);
  const auto share = this->shares.find(std::string(team));
  if (share == this->shares.end()) return nullptr;
  this->Accrue(share->second, now);
  return &share->second;
}

void ShareLedger::Accrue(TeamShare& share, TimeMs now) const {
  if (this->slots == 0) return;
  const DurationMs elapsed = std::max<DurationMs>(0, now - share.accrued_at);
  share.accrued_at = std::max(share.accrued_at, now);
  // Tokens per second times milliseconds gives thousandths of tokens, here of
  // the whole fleet.
  const std::int64_t earned =
      share.rate_per_s * elapsed + share.accrual_remainder;
  share.accrual_remainder = earned % this->slots;
  const MilliTokens room =
      std::max<MilliTokens>(0, share.cap - share.in_flight);
  share.level =
      std::max(share.level, std::min(room, share.level + earned / this->slots));
  ObservePeak(share);
}

void ShareLedger::ObservePeak(TeamShare& share) {
  const MilliTokens level = share.level + share.in_flight - share.refund_offset;
  auto& peaks = share.peaks;
  const auto first_lower = std::ranges::find_if(
      peaks, [level](const PeakStep& step) { return step.peak <= level; });
  if (first_lower == peaks.end()) return;
  first_lower->peak = level;
  peaks.erase(first_lower + 1, peaks.end());
}

ShareLedger::MilliTokens ShareLedger::PeakSince(const TeamShare& share,
                                                std::uint64_t admission) {
  const auto after = std::ranges::upper_bound(share.peaks, admission, {},
                                              &PeakStep::first_admission);
  // No recorded peak covers the admission, for example after the team was
  // removed and configured again. The bucket then counts as full, so nothing is
  // refunded.
  if (after == share.peaks.begin()) return share.cap;
  return std::prev(after)->peak + share.refund_offset;
}

ShareLedger::MilliTokens ShareLedger::Accept(
    const std::vector<Transfer>& received, std::string_view team, TimeMs now) {
  MilliTokens sum = 0;
  std::ranges::for_each(received, [&](const Transfer& transfer) {
    const TimeMs deadline =
        transfer.requested_at + this->settings.transfer_ttl_ms;
    if (transfer.team != team || now >= deadline) return;
    if (!this->accepted_transfers.emplace(transfer.id, deadline).second) return;
    sum += transfer.tokens * kMilliTokensPerToken;
  });
  return sum;
}

void ShareLedger::ExpireTransfers(TimeMs now) {
  // A transfer that expires late only lowers the lender's cap for longer.
  if (now < this->next_expiry_check) return;
  this->next_expiry_check = now + this->settings.transfer_ttl_ms / 10;
  std::erase_if(this->lent_transfers, [&](const auto& entry) {
    const LentTransfer& transfer = entry.second;
    if (now < transfer.expires_at) return false;
    const auto share = this->shares.find(transfer.team);
    if (share != this->shares.end()) {
      // Accrue first: tokens accrued before now are limited by the lower cap.
      this->Accrue(share->second, now);
      share->second.in_flight -= transfer.tokens;
    }
    return true;
  });
  std::erase_if(this->accepted_transfers,
                [now](const auto& entry) { return now >= entry.second; });
}

}  // namespace limpethaven
