/// @file
/// Decides whether this process reads the source itself, and follows the
/// readers of its data centre where it does not.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "limpethaven/reader_freshness.h"
#include "limpethaven/reader_role.h"
#include "node/published_state.h"
#include "node/source.h"
#include "node/state_watch.h"
#include "peer/gossip.h"
#include "peer/peer_link.h"

namespace limpethaven {

/// Carries out the decisions of `ChooseReaders` and `ReaderFreshness`. Not
/// thread safe: runs on the event loop.
class SourceFollower {
 public:
  /// @param own_data_centre Data centre of this process.
  SourceFollower(PeerLink& peer_link, const Gossip& peer_gossip,
                 PublishedState& published_state, std::string own_data_centre,
                 ReaderRoleSettings role_settings,
                 ReaderFreshnessSettings freshness_settings = {});

  /// Sets the source, which has been started and must outlive this object.
  void SetSource(Source& followed);
  /// Updates the role, and pauses or resumes the source. Call it every 100 ms.
  void Tick(TimeMs now);
  /// Reads the source after a pause of this process.
  void OnPause(TimeMs now);

  [[nodiscard]] bool ReadsSource() const noexcept;
  [[nodiscard]] bool IsReader() const noexcept;
  /// Age of the known state; -1 while it is unknown.
  [[nodiscard]] DurationMs StateAgeMs(TimeMs now) const;
  /// Calls to the source since the start.
  [[nodiscard]] std::uint64_t SourceCalls() const;

 private:
  void UpdateRole();
  void RecordProgress(TimeMs now);
  /// Reads the source or stops to, as `ReaderFreshness` decides.
  void UpdateReading(TimeMs now);
  /// Watches the state of a reader for as long as it is one.
  Task<> Watch(std::string reader);
  /// Applies an answer and sets `seen` to the reader's state that it has.
  /// @returns whether the answer is fresh.
  bool Take(const std::string& reader, TimeMs sent_at, const std::string& body,
            std::optional<std::uint64_t>& seen);
  [[nodiscard]] bool Follows(std::string_view reader) const;
  /// The followed readers, for logs.
  [[nodiscard]] std::string ReaderNames() const;

  PeerLink& link;
  const Gossip& gossip;
  PublishedState& state;
  std::string data_centre;
  ReaderRoleSettings settings;
  ReaderFreshnessSettings limits;
  Source* source = nullptr;  ///< Set by `SetSource`.
  ReaderRole role;
  ReaderFreshness freshness;  ///< Has `limits`.
  bool reading = true;
  TimeMs next_role_at = 0;
  std::set<std::string, std::less<>> watched;  ///< Readers with a `Watch`.
};

}  // namespace limpethaven
