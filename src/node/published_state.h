/// @file
/// One process's replica of the published configuration and of the announced
/// endpoints. It is updated from the source, and from peers when the source
/// cannot be reached or its watch hangs.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limpethaven/config_history.h"
#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "node/source.h"
#include "peer/cell_messages.h"
#include "peer/peer_link.h"

namespace limpethaven {

void to_json(nlohmann::json& out, const SourceRevision& revision);
void from_json(const nlohmann::json& in, SourceRevision& revision);

/// Receives changes of the published state.
class StateListener {
 public:
  virtual ~StateListener() = default;
  /// Called with each configuration that is adopted.
  virtual void OnConfig(const std::shared_ptr<const Configuration>& config) = 0;
  /// Called when endpoints were announced, changed or removed.
  virtual void OnEndpoints() = 0;
  /// Called with the list of VMs, if the source has one.
  virtual void OnListedVms(const std::vector<ListedVm>& vms) = 0;
};

/// Form in which a peer wants a configuration that is newer than its own.
enum class ConfigForm {
  kWhole,  ///< All entities; the only form that earlier programs take.
  /// What has changed, if that is known, or a small configuration as a whole. A
  /// large one is left out: the peer reads it from the source.
  kChangeOrSmall,
  kChangeOrWhole,  ///< What has changed, if that is known, or all entities.
};

/// Name of a form in messages.
[[nodiscard]] std::string_view NameOf(ConfigForm form) noexcept;
/// Form with a name; `kWhole` for any other text.
[[nodiscard]] ConfigForm ConfigFormOf(std::string_view name) noexcept;

/// Replica of the configuration and the endpoints in one process. The
/// configuration version never decreases.
class PublishedState final : public SourceListener {
 public:
  /// Retention of endpoints that are missing from the source's list, from the
  /// end of an outage: during the outage the source may have expired the
  /// announcements of endpoints that are alive.
  static constexpr DurationMs kMissingRetentionMs = 2000;
  /// When a peer has had newer endpoints for this long, the watch of this
  /// process is taken to hang and the endpoints are pulled from the peer.
  static constexpr DurationMs kWatchStalenessMs = 700;

  /// @param staleness_ms See `kWatchStalenessMs`; longer than the source needs
  /// to report a change.
  /// @param retention_ms How long endpoints that are missing from an incomplete
  /// list are retained, unless a peer reports that they are gone.
  PublishedState(PeerLink& peer_link, const Gossip& peer_gossip,
                 EndpointTable& endpoint_table, StateListener& state_listener,
                 DurationMs retention_ms = kMissingRetentionMs,
                 DurationMs staleness_ms = kWatchStalenessMs);

  void OnConfiguration(const Configuration& next) override;
  [[nodiscard]] std::uint64_t ConfigVersion() const override;
  void OnEndpoint(const EndpointRecord& endpoint,
                  const SourceRevision& revision) override;
  void OnEndpointGone(const std::string& id,
                      const SourceRevision& revision) override;
  void OnAllEndpoints(const std::vector<EndpointRecord>& endpoints,
                      const SourceRevision& revision,
                      std::optional<TimeMs> returned_at) override;
  void OnVms(const std::vector<ListedVm>& vms) override;
  void OnSourceReachable(bool reachable) override;
  void OnSourceAnswered(SourcePart part) override;
  void OnUnreadable(const std::string& what, const Error& why) override;

  /// Handles a peer's report of its configuration version and endpoints
  /// revision. A newer configuration is pulled from the peer at once. Newer
  /// endpoints are pulled by `Tick` if the source does not report them in time.
  void OnPeerVersions(const std::string& peer, std::uint64_t version,
                      const SourceRevision& endpoints_revision);
  /// Marks endpoints that are leaving by their own word.
  /// @param from `endpoint`, or the address of the peer that reports them.
  /// @returns whether any of them is news.
  bool MarkLeaving(const std::vector<LeavingEndpoint>& leaving,
                   const std::string& from);
  /// Encodes what a peer lacks: the configuration, if it is newer than
  /// `version`, and the changes of endpoints after `revision`. The answer names
  /// the newer version even if `form` makes it leave the configuration out.
  [[nodiscard]] nlohmann::json StateAfter(std::uint64_t version,
                                          const SourceRevision& revision,
                                          ConfigForm form) const;
  /// Whether `StateAfter` has anything that is newer.
  [[nodiscard]] bool HasAfter(std::uint64_t version,
                              const SourceRevision& revision) const;
  /// Applies the state that a peer has sent, in the form of `StateAfter`.
  /// @returns false when any of it is malformed.
  bool ApplyPeerState(const std::string& body, const std::string& from);
  /// Sets whether peers inform this process in place of its source. While they
  /// do, it does not matter whether the source answers.
  void SetInformedByPeers(bool informed);
  /// Expires retained endpoints. Pulls state from a peer while the source
  /// cannot be reached, state is missing, the source's watch hangs, or
  /// endpoints missing from the source's list are retained. Call it
  /// periodically.
  void Tick();

  /// The configuration in force; version 0 before the first.
  [[nodiscard]] const std::shared_ptr<const Configuration>& Config()
      const noexcept;
  /// Whether both a configuration and a list of endpoints have been received.
  [[nodiscard]] bool Complete() const noexcept;
  [[nodiscard]] bool SourceReachable() const noexcept;
  /// Time since the source last answered for its configuration or for its
  /// endpoints, whichever is longer; empty before it has answered for both.
  [[nodiscard]] std::optional<DurationMs> SourceSilentMs(TimeMs now) const;
  /// Revision up to which no update of an endpoint is missing.
  [[nodiscard]] SourceRevision Revision() const;
  /// Start of this process; empty before it has read a list of endpoints from
  /// the source itself.
  [[nodiscard]] std::optional<ProcessStart> Start(TimeMs now) const;

 private:
  void Adopt(const Configuration& next, const std::string& from);
  /// Applies the configuration in a peer's answer.
  /// @returns false when it is malformed or does not match its digest.
  bool ApplyPeerConfig(const nlohmann::json& answer, const std::string& from);
  /// Form in which a pull asks for the configuration.
  [[nodiscard]] ConfigForm WantedForm() const;
  /// Applies an announcement, of the source or a peer.
  void Announce(const EndpointRecord& endpoint, const SourceRevision& revision,
                EndpointTable::Origin origin);
  /// Applies a removal, of the source or a peer.
  void Withdraw(const std::string& id, const SourceRevision& revision);
  /// Removes the endpoints that a peer's whole state does not have.
  void RemoveOthers(const AnnouncedEndpoints& announced,
                    const SourceRevision& revision);
  /// Records that all updates up to a revision were applied, and notifies the
  /// listener of it.
  void AdvanceTo(const SourceRevision& revision);
  /// Logs the removal of endpoints and notifies the listener.
  void NotifyGone(const std::vector<std::string>& ids);
  Task<Result<std::string>> AnswerState(PeerCall& call);
  /// Starts to pull the changes that a peer has.
  void StartPull(const std::string& peer);
  /// Requests the changes that a peer has and applies them.
  Task<> Pull(std::string peer);

  PeerLink& link;
  const Gossip& gossip;
  EndpointTable& table;
  StateListener& listener;
  std::shared_ptr<const Configuration> config;
  ConfigHistory history;
  /// Since when a peer has had a newer configuration; empty: none has.
  std::optional<TimeMs> config_behind_since;
  bool endpoints_known = false;
  /// Revision and time of the first list of endpoints from the source.
  std::optional<std::pair<SourceRevision, TimeMs>> first_read;
  bool reachable = false;
  bool reachability_reported = false;
  /// Last answers of the source, by `SourcePart`.
  std::array<std::optional<TimeMs>, 2> source_answers;
  TimeMs unreachable_since = 0;
  bool informed_by_peers = false;
  bool pulling = false;
  TimeMs next_pull_at = 0;
  /// Peer that reported a newer endpoints revision; empty: none.
  std::string ahead_peer;
  /// Highest endpoints revision that a peer reported.
  SourceRevision ahead_revision;
  TimeMs ahead_since = 0;  ///< When a peer first reported a newer revision.
  DurationMs missing_retention_ms;
  DurationMs watch_staleness_ms;
};

}  // namespace limpethaven
