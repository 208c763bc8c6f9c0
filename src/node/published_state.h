/// @file
/// What operators publish and which endpoints there are, as one process knows
/// it: from the source, or from a peer that reaches it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "node/source.h"
#include "peer/peer_link.h"

namespace limpethaven {

/// Who hears of changes.
class StateListener {
 public:
  virtual ~StateListener() = default;
  virtual void OnConfig(const std::shared_ptr<const Configuration>& config) = 0;
  virtual void OnEndpoints() = 0;
  virtual void OnListedVms(const std::vector<ListedVm>& vms) = 0;
};

/// Configuration and endpoints of one process. Versions never go back.
class PublishedState final : public SourceListener {
 public:
  /// A source that was away may have let endpoints lapse that are alive.
  static constexpr DurationMs kKeepMissingMs = 2000;

  /// @param keep_missing How long what is missing on the source's return is
  /// kept, unless a peer knows that it is gone.
  PublishedState(PeerLink& peer_link, const Gossip& peer_gossip,
                 EndpointTable& endpoint_table, StateListener& state_listener,
                 DurationMs keep_missing = kKeepMissingMs);

  void OnConfiguration(const Configuration& next) override;
  void OnEndpoint(const EndpointRecord& endpoint,
                  std::uint64_t revision) override;
  void OnEndpointGone(const std::string& id, std::uint64_t revision) override;
  void OnAllEndpoints(const std::vector<EndpointRecord>& endpoints,
                      std::uint64_t revision, bool complete) override;
  void OnVms(const std::vector<ListedVm>& vms) override;
  void OnSourceReachable(bool reachable) override;
  void OnUnreadable(const std::string& what, const Error& why) override;

  /// A peer has this version and this revision of the endpoints.
  void OnPeerVersions(const std::string& peer, std::uint64_t version,
                      std::uint64_t endpoints_revision);
  void Tick();

  /// The configuration in force; version 0 before the first.
  [[nodiscard]] const std::shared_ptr<const Configuration>& Config()
      const noexcept;
  /// Whether a configuration and a list of endpoints are known.
  [[nodiscard]] bool Complete() const noexcept;
  [[nodiscard]] bool SourceReachable() const noexcept;

 private:
  void Adopt(const Configuration& next, const std::string& from);
  void NoteGone(const std::vector<std::string>& ids);
  Task<Result<std::string>> AnswerState(PeerCall& call);
  Task<> Pull(std::string peer);
  void TakeNews(const std::string& body, const std::string& from);

  PeerLink& link;
  const Gossip& gossip;
  EndpointTable& table;
  StateListener& listener;
  std::shared_ptr<const Configuration> config;
  bool endpoints_known = false;
  bool reachable = false;
  bool reachable_once = false;
  TimeMs unreachable_since = 0;
  bool pulling = false;
  TimeMs next_pull = 0;
  std::string ahead_peer;      ///< Has newer endpoints; empty: nobody has.
  std::uint64_t ahead_to = 0;  ///< The revision that it has.
  TimeMs ahead_since = 0;
  DurationMs keep_missing_ms;
  TimeMs doubtful_until = 0;         ///< Missing endpoints are kept until then.
  std::uint64_t doubtful_since = 0;  ///< Revision before the source was away.
};

}  // namespace limpethaven
