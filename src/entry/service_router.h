/// @file
/// Routes calls to plain services; runs calls that may not be repeated at most
/// once.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "entry/peer_messages.h"
#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_health.h"
#include "limpethaven/interfaces.h"
#include "limpethaven/retry_budget.h"
#include "limpethaven/ticket_book.h"

namespace limpethaven {

/// Plain services of one process. Thread safe.
class ServiceRouter {
 public:
  ServiceRouter(VmId own, std::string secret, ServiceClient& service_client,
                PeerTransport& peer_transport, const Clock& system_clock);

  /// Mints a ticket for a team; empty team for routes open to all.
  [[nodiscard]] Result<std::string> MintTicket(std::string_view team);
  /// Sends a call that may be repeated; retries on other endpoints within the
  /// retry budget.
  [[nodiscard]] Result<ServiceAnswer> CallRepeatable(const PoolSpec& pool,
                                                     ServiceCall call);
  /// Runs the call that a ticket names: here, or at the process that minted it.
  [[nodiscard]] Result<ServiceAnswer> CallOnce(const PoolSpec& pool,
                                               const std::string& ticket,
                                               const std::string& team,
                                               ServiceCall call);
  /// Answers a peer that forwards a call to the minter of its ticket.
  [[nodiscard]] Result<std::string> AnswerTicketRun(const Configuration& config,
                                                    const std::string& body);
  void Tick();

 private:
  [[nodiscard]] Result<ServiceAnswer> RunHere(const PoolSpec& pool,
                                              const Ticket& ticket,
                                              const std::string& team,
                                              ServiceCall call);
  [[nodiscard]] Result<ServiceAnswer> Forward(const PoolSpec& pool,
                                              const Ticket& ticket,
                                              const std::string& text,
                                              const std::string& team,
                                              const ServiceCall& call);
  /// Tries endpoints one after another. `may_repeat` false: only while no byte
  /// has left.
  [[nodiscard]] Result<ServiceAnswer> TryEndpoints(const PoolSpec& pool,
                                                   ServiceCall call,
                                                   bool may_repeat);
  [[nodiscard]] std::string Choose(const PoolSpec& pool,
                                   const std::vector<std::string>& excluded,
                                   const std::string& request_id);
  [[nodiscard]] Result<ServiceAnswer> Send(const ServiceCall& call);

  VmId self;
  std::string fleet_secret;
  ServiceClient& services;
  PeerTransport& peers;
  const Clock& clock;
  std::mutex mutex;
  TicketBook tickets;
  EndpointHealth health;
  RetryBudget retries;
  std::map<std::string, std::int64_t, std::less<>> in_flight;  ///< By endpoint.
};

}  // namespace limpethaven
