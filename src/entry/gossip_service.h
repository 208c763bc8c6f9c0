/// @file
/// Runs membership over datagrams.
#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "edge/periodic.h"
#include "limpethaven/clock.h"
#include "limpethaven/interfaces.h"
#include "limpethaven/membership.h"

namespace limpethaven {

/// Called when a peer says which configuration it has.
using OnPeerConfig =
    std::function<void(const std::string& address, std::uint64_t version,
                       const std::string& digest)>;

/// Membership of one process. Thread safe.
class GossipService {
 public:
  GossipService(VmId self, std::string data_centre, std::string fleet_secret,
                PeerTransport& peers, const Clock& system_clock,
                OnPeerConfig on_version);

  void Start();
  void Stop();
  void OnDatagram(std::string_view bytes);
  void SetListed(const std::vector<ListedVm>& vms);
  /// Sets the version that messages carry and tells some members at once.
  void SetConfig(std::uint64_t version, const std::string& digest);
  /// Announces that this process is leaving, to all at once.
  void Leave();

  [[nodiscard]] std::vector<Member> Members() const;
  [[nodiscard]] std::vector<std::string> Usable() const;
  /// Usable members of a data centre, or of all when it has none.
  [[nodiscard]] std::vector<std::string> UsableNear(
      std::string_view data_centre) const;
  [[nodiscard]] std::string DataCentreOf(std::string_view address) const;
  [[nodiscard]] const VmId& Self() const noexcept;

 private:
  void Tick();
  void Announce(std::size_t fanout);
  void Send(const std::vector<OutgoingGossip>& messages);
  void LogChanges(const std::vector<MemberChange>& changes);

  std::string secret;
  PeerTransport& transport;
  const Clock& clock;
  OnPeerConfig on_peer_config;
  mutable std::mutex mutex;
  Membership membership;
  Periodic ticker;
};

}  // namespace limpethaven
