/// @file
/// Runs membership over datagrams.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/membership.h"
#include "net/datagrams.h"

namespace limpethaven {

/// What a process says of itself to its peers.
struct PeerIdentity {
  VmId self;
  std::string data_centre;
  std::int64_t cpu_millicores = 0;  ///< Processor share, thousandths of a core.
  int port = 0;        ///< Peers' port, TCP and UDP, the same on every VM.
  std::string secret;  ///< Of the fleet; may be empty.
};

/// Who hears of membership.
class GossipListener {
 public:
  virtual ~GossipListener() = default;
  /// A peer says which configuration and which endpoints it has.
  virtual void OnPeerVersions(const std::string& address, std::uint64_t version,
                              std::uint64_t endpoints_revision) = 0;
  virtual void OnMemberChange(const MemberChange& change) = 0;
  /// This process stood still for longer than leases last.
  virtual void OnPause() = 0;
};

/// Membership of one process.
class Gossip {
 public:
  Gossip(Loop& event_loop, PeerIdentity peer_identity,
         MembershipSettings settings, GossipListener& gossip_listener);

  /// @returns false when the port cannot be had.
  [[nodiscard]] bool Start(const std::vector<std::string>& seeds);
  void SetSeeds(const std::vector<std::string>& seeds);
  /// Members that a list names; those off it are kept while they answer.
  void SetListed(const std::vector<ListedVm>& vms);
  /// Sets the version that messages carry, and tells some members at once.
  void SetConfig(std::uint64_t version, std::string_view digest);
  /// Sets the endpoints' revision that messages carry from now on.
  void SetEndpointsRevision(std::uint64_t revision);
  void SetServing(bool serving);
  void Stop();
  /// Announces that this process is leaving, to all at once.
  void Leave();
  [[nodiscard]] const Membership& Members() const noexcept;
  /// Address of a member's peer port.
  [[nodiscard]] std::string PeerAddress(std::string_view ip) const;
  /// Bytes sent and received since the start.
  [[nodiscard]] std::uint64_t Bytes() const noexcept;

 private:
  void OnDatagram(std::string_view text);
  Task<> Tick();
  void Send(const std::vector<OutgoingGossip>& messages);

  Loop& loop;
  PeerIdentity identity;
  GossipListener& listener;
  Membership membership;
  DatagramSocket socket;
  std::uint64_t bytes = 0;
};

}  // namespace limpethaven
