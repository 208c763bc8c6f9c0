/// @file
/// Latest changes of a configuration, for peers that hold an earlier version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "limpethaven/config_codec.h"
#include "limpethaven/config_model.h"

namespace limpethaven {

/// Retains the differences between the versions that a process has adopted, so
/// that a peer can be sent a small change in place of a large configuration.
/// Not thread safe.
class ConfigHistory {
 public:
  /// Records that `after` has replaced `before`. The oldest changes are dropped
  /// while all of them together are too large to be sent at once.
  void OnAdopted(const Configuration& before, const Configuration& after);
  /// Change from `version` to the version adopted last.
  /// @returns empty when this process has not adopted `version`, or no longer
  /// retains the changes since.
  [[nodiscard]] std::optional<ConfigChange> ChangeAfter(
      std::uint64_t version) const;

 private:
  struct Step {
    std::uint64_t from = 0;  ///< Version before the change.
    ConfigChange change;
    std::size_t bytes = 0;  ///< Approximate size of the encoded change.
  };

  std::deque<Step> steps;  ///< Oldest first, without gaps.
  std::size_t bytes = 0;   ///< Of all steps.
};

}  // namespace limpethaven
