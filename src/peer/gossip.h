/// @file
/// Sends and receives the messages of membership as datagrams.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/membership.h"
#include "net/datagrams.h"

namespace limpethaven {

/// Identity of a process among its peers.
struct PeerIdentity {
  VmId self;
  std::string data_centre;
  /// Processor share, in thousandths of a core.
  std::int64_t cpu_millicores = 0;
  /// Port for peers, TCP and UDP, the same on every VM.
  int port = 0;
  /// Secret of the fleet; may be empty.
  std::string secret;
};

/// Receives membership events.
class GossipListener {
 public:
  virtual ~GossipListener() = default;
  /// Called for each accepted gossip message with the sender's configuration
  /// version and endpoints revision.
  virtual void OnPeerVersions(const std::string& address, std::uint64_t version,
                              const SourceRevision& endpoints_revision) = 0;
  virtual void OnMemberChange(const MemberChange& change) = 0;
  /// Called with the endpoints that, by a peer's message, are leaving by their
  /// own word; most of them are known already.
  virtual void OnLeavingEndpoints(
      const std::string& peer, const std::vector<LeavingEndpoint>& endpoints) {
    static_cast<void>(peer);
    static_cast<void>(endpoints);
  }
  /// Called after a pause of this process that was long enough for leases to
  /// expire.
  virtual void OnPause() = 0;
};

/// Source and receiver of the load reports in gossip messages.
class LoadSharer {
 public:
  virtual ~LoadSharer() = default;
  /// Report for the next messages; sequence 0: none.
  [[nodiscard]] virtual LoadReport OutgoingLoad(TimeMs now) = 0;
  /// Called for each accepted message with a report.
  virtual void OnLoadReport(const GossipMessage& message, TimeMs now) = 0;
};

/// Membership of one process, with its socket and its clock.
class Gossip {
 public:
  Gossip(Loop& event_loop, PeerIdentity peer_identity,
         MembershipSettings settings, GossipListener& gossip_listener);

  /// Opens the socket and starts to probe. @returns false when the port cannot
  /// be bound.
  [[nodiscard]] bool Start(const std::vector<std::string>& seeds);
  /// Sets the list of VMs to probe to these addresses, in place of any list of
  /// `SetListed`.
  void SetSeeds(const std::vector<std::string>& seeds);
  /// Replaces the list of VMs to probe by the source's list of all VMs. Members
  /// that are no longer listed stay as long as they answer.
  void SetListed(const std::vector<ListedVm>& vms);
  /// Sets the configuration version and digest that messages carry, and
  /// announces them to some members at once.
  void SetConfig(std::uint64_t version, std::string_view digest);
  /// Sets the endpoints' revision that messages carry from now on.
  void SetEndpointsRevision(const SourceRevision& revision);
  /// Sets whether this process is ready to serve callers, and announces it at
  /// once.
  void SetServing(bool serving);
  /// Exchanges the evidence of `prompt_quarantine`, which must outlive this
  /// object, with every message.
  void ShareEvidence(PromptQuarantine& prompt_quarantine);
  /// Sends new evidence of this process to many members at once.
  void AnnounceEvidence();
  /// Sends the recent ones of `leaving_endpoints`, which must outlive this
  /// object, with every message.
  void ShareLeaving(LeavingEndpoints& leaving_endpoints);
  /// Sends a newly leaving endpoint to a few members at once.
  void AnnounceLeaving();
  /// Exchanges load reports with every message. `sharer` must outlive this
  /// object's use of the event loop.
  void ShareLoad(LoadSharer& sharer);
  /// Sends a report with new failures to some members at once.
  void AnnounceLoad();
  /// Closes the socket. Unlike `Leave`, it announces nothing.
  void Stop();
  /// Announces at once that this process is leaving.
  void Leave();
  [[nodiscard]] const Membership& Members() const noexcept;
  /// Address and peer port of a member, `IP:PORT`.
  [[nodiscard]] std::string PeerAddress(std::string_view ip) const;
  /// Bytes sent and received since the start.
  [[nodiscard]] std::uint64_t Bytes() const noexcept;

 private:
  void OnDatagram(std::string_view text);
  Task<> Tick();
  /// Logs once whether the fleet is known.
  void ReportFleetKnowledge();
  void Send(std::vector<OutgoingGossip> messages);

  Loop& loop;
  PeerIdentity identity;
  GossipListener& listener;
  Membership membership;
  DatagramSocket socket;
  PromptQuarantine* quarantine = nullptr;    ///< Null until `ShareEvidence`.
  LeavingEndpoints* said_leaving = nullptr;  ///< Null until `ShareLeaving`.
  LoadSharer* load_sharer = nullptr;         ///< Null until `ShareLoad`.
  std::uint64_t bytes = 0;
  TimeMs started_at = 0;
  bool unknown_reported = false;
};

}  // namespace limpethaven
