/// @file
/// Which processes read the source of the published state, so that the others
/// need not.
#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/membership.h"

namespace limpethaven {

/// Settings of the readers.
struct ReaderRoleSettings {
  /// Readers in each data centre; 0: every process reads the source.
  std::int64_t readers = 0;
  /// Serving members from which on there are readers.
  std::int64_t min_members = 0;
  friend auto operator<=>(const ReaderRoleSettings&,
                          const ReaderRoleSettings&) = default;
};

/// Reason for a role.
enum class ReaderRoleReason {
  kOff,         ///< The settings have no readers.
  kFewMembers,  ///< Fewer members are known than the settings require.
  kNoReader,    ///< No member of the data centre may be a reader.
  kChosen,      ///< This process is a reader.
  kNotChosen,   ///< Other members are.
};

/// Name of a reason, for logs.
[[nodiscard]] std::string_view NameOf(ReaderRoleReason reason) noexcept;

/// Role of one process. It is a function of the members that the process knows,
/// so that two processes may differ for as long as their members do.
struct ReaderRole {
  ReaderRoleReason reason = ReaderRoleReason::kOff;
  /// Addresses of the readers that this process may follow, in rendezvous
  /// order. Empty: it reads the source.
  std::vector<std::string> readers;

  /// Whether peers may follow the source through this process.
  [[nodiscard]] bool IsReader() const noexcept {
    return this->reason == ReaderRoleReason::kChosen;
  }
  friend auto operator<=>(const ReaderRole&, const ReaderRole&) = default;
};

/// Chooses the readers of a data centre: the first in rendezvous order among
/// its serving members that have at least half of the largest processor share
/// of all serving members. A data centre of small VMs has none, since a small
/// one cannot answer for the others.
/// @param serving Members that serve, including this process if it does.
[[nodiscard]] ReaderRole ChooseReaders(std::string_view self,
                                       std::string_view data_centre,
                                       std::span<const MemberUpdate> serving,
                                       const ReaderRoleSettings& settings);

}  // namespace limpethaven
