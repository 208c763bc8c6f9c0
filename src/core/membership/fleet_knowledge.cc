#include <algorithm>
#include <iterator>

#include "limpethaven/membership.h"

namespace limpethaven {
namespace {

/// In this time after its start the table of a process may still lack members,
/// so that it reports what it was told.
constexpr DurationMs kTableFillMs = 60'000;

}  // namespace

std::string_view NameOf(FleetKnowledge knowledge) noexcept {
  switch (knowledge) {
    case FleetKnowledge::kNone:
      break;
    case FleetKnowledge::kList:
      return "list";
    case FleetKnowledge::kPeer:
      return "peer";
    case FleetKnowledge::kSeeds:
      return "seeds";
    case FleetKnowledge::kSilentSeeds:
      return "silent_seeds";
  }
  return "none";
}

bool Membership::KnowsFleet() const noexcept {
  return this->knowledge != FleetKnowledge::kNone;
}

std::size_t Membership::KnownFleetSize() const {
  return this->KnowsFleet() ? this->FleetSize() : 0;
}

FleetKnowledge Membership::Knowledge() const noexcept {
  return this->knowledge;
}

const MembershipSettings& Membership::Settings() const noexcept {
  return this->settings;
}

std::size_t Membership::ReportedProcesses() const {
  const bool filled = this->last_tick - this->started_at >= kTableFillMs;
  return filled ? this->members.size() + 1 : this->FleetSize();
}

std::vector<std::string> Membership::SilentListed() const {
  std::vector<std::string> silent;
  std::ranges::for_each(this->members, [&silent](const auto& row) {
    const Member& member = row.second;
    if (member.listed && !member.heard) silent.push_back(row.first);
  });
  return silent;
}

void Membership::LearnFleet(TimeMs now, std::vector<OutgoingGossip>& out) {
  if (this->KnowsFleet()) return;
  this->knowledge = this->KnowledgeAt(now);
  const bool needs_seeds = this->list_scope == ListScope::kSeeds;
  if (!needs_seeds || now < this->next_listed_ping) return;
  this->next_listed_ping = now + this->settings.ack_timeout_ms;
  std::ranges::transform(
      this->SilentListed(), std::back_inserter(out),
      [this](const std::string& address) { return this->MakePing(address); });
}

FleetKnowledge Membership::KnowledgeAt(TimeMs now) const {
  const DurationMs age = now - this->started_at;
  if (age < this->settings.discovery_ms) return FleetKnowledge::kNone;
  if (this->told_by_peer) return FleetKnowledge::kPeer;
  if (this->list_scope == ListScope::kFleet) return FleetKnowledge::kList;
  if (this->SilentListed().empty()) return FleetKnowledge::kSeeds;
  return age < this->settings.silent_member_ms ? FleetKnowledge::kNone
                                               : FleetKnowledge::kSilentSeeds;
}

}  // namespace limpethaven
