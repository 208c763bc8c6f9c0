/// @file
/// Admission of requests: parsing, route, key and team, and the charge of the
/// team's quota.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "router/router.h"

namespace limpethaven {

/// An admitted request, with the route and pool that serve it.
struct AdmittedRequest {
  CallerRequest request;
  std::shared_ptr<const Configuration> config;
  const RouteSpec* route = nullptr;
  const PoolSpec* pool = nullptr;
  std::string team;           ///< Empty on routes that need no key.
  std::string key_digest;     ///< SHA-256 of the caller's key, if it sent one.
  std::int64_t priority = 0;  ///< 0 is the highest.
  /// End of the time limit that the caller or the route sets, whichever comes
  /// first.
  TimeMs deadline = 0;
};

/// Parses a request and checks it against the configuration in force.
/// @param peer_team Team for which a peer has already checked the key; null to
/// check the key here.
/// @returns an error when the request cannot be parsed, when there is no
/// configuration, route or pool for it, when its key is missing or unknown, or
/// when it resumes a request of another team.
[[nodiscard]] Result<AdmittedRequest> Admit(
    RouterCore& core, const Exchange& exchange,
    const std::string* peer_team = nullptr);
/// See `RequestFingerprint`.
[[nodiscard]] std::string FingerprintOf(const AdmittedRequest& admitted,
                                        const Exchange& exchange);
/// Parts by which the crash of an endpoint under this request can be explained,
/// outermost first: the parts of its prompt that others may contain too, and
/// its fingerprint.
[[nodiscard]] std::vector<std::string> SuspectParts(
    const AdmittedRequest& admitted, const Exchange& exchange);
/// Quota tokens that a request's team is charged in advance; 0 for a request
/// that resumes another one, which was charged already.
[[nodiscard]] Tokens ChargeOf(const AdmittedRequest& admitted);
/// Refusal of a request that the end of a planned stop could cut.
[[nodiscard]] Error MakeStopError();
/// Whether a request is a generation.
[[nodiscard]] bool IsGeneration(const AdmittedRequest& admitted);

/// Quota charged to a team for one request. It is settled exactly once.
class Charge {
 public:
  Charge() = default;
  Charge(ShareExchange& share_exchange, std::string charge_id,
         Tokens charged_tokens);
  Charge(Charge&& other) noexcept;
  Charge& operator=(Charge&& other) noexcept;
  /// Refunds the whole charge, unless it was settled.
  ~Charge();

  /// Keeps `used` tokens of the charge; what is left is refunded.
  void Settle(Tokens used);
  [[nodiscard]] Tokens Charged() const noexcept;

 private:
  ShareExchange* shares = nullptr;
  std::string id;
  Tokens tokens = 0;
};

}  // namespace limpethaven
