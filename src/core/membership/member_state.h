/// @file
/// Conditions on the state of a member that several parts of `Membership` use.
#pragma once

#include "limpethaven/membership.h"

namespace limpethaven {

/// Whether a member may be sent messages: it is alive or suspected.
[[nodiscard]] inline bool IsUsable(const Member& member) {
  return member.latest.state == MemberState::kAlive ||
         member.latest.state == MemberState::kSuspect;
}

}  // namespace limpethaven
