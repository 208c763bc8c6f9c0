/// @file
/// Sessions: each serves one request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/request_record.h"
#include "net/cancellation.h"
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
  TimeMs deadline = 0;        ///< The caller stops waiting at this time.
};

/// Reads a request and checks it against the configuration in force.
/// @param peer_team Team for which a peer has already checked the key; null to
/// check the key here.
/// @returns an error when there is no configuration, route or pool, or when the
/// key is missing, unknown or of another team.
[[nodiscard]] Result<AdmittedRequest> Admit(
    RouterCore& core, const Exchange& exchange,
    const std::string* peer_team = nullptr);
/// Tokens that a request is charged.
[[nodiscard]] Tokens ChargeOf(const AdmittedRequest& admitted);
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

/// Serves one request. Subclasses implement `Run` for each kind of request.
class Session {
 public:
  Session(RouterCore& router_core, Exchange& caller_exchange,
          AdmittedRequest admitted_request, Charge team_charge);
  virtual ~Session() = default;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Answers the request.
  Task<> Serve();
  /// Whether an endpoint may have run the request.
  [[nodiscard]] Ran MayHaveRun() const noexcept;

 protected:
  /// Sends the request to endpoints until one answers it.
  /// @returns the error to answer with when none did.
  virtual Task<std::optional<Error>> Run() = 0;
  /// Settles the charge after the request has ended.
  virtual void SettleCharge() = 0;

  /// Sends the request to one endpoint and forwards the response.
  Task<SendOutcome> Send(Dispatch dispatch);
  /// Decides what follows a send; takes a retry from the budget when the
  /// request is sent again.
  [[nodiscard]] NextStep DecideNextStep(SendOutcome outcome);
  [[nodiscard]] Dispatch MakeDispatch(const EndpointRecord& endpoint) const;
  /// Error for a request that failed. It states whether the request may have
  /// run.
  [[nodiscard]] Error MakeError(SendOutcome last) const;
  /// Connects and sends; the rest of a long body is sent while the response is
  /// read.
  /// @param max_idle_ms Longest time that a reused connection may have been
  /// idle; 0 opens a new one.
  Task<CallFault> Start(HttpCall& call, const OutgoingCall& outgoing,
                        DurationMs max_idle_ms);
  /// Whether the caller has disconnected or the request was aborted.
  [[nodiscard]] bool Cancelled() const noexcept;
  /// Whether the last send brought new events of the stream.
  [[nodiscard]] bool Progressed() const noexcept;

  RouterCore& core;
  Exchange& exchange;
  AdmittedRequest admitted;
  Charge charge;
  RequestRecord record;
  std::unique_ptr<StreamTranslator> stream;  ///< Null for plain calls.
  /// Ids of the endpoints that are not chosen again for this request.
  std::vector<std::string> tried_endpoints;
  /// Requested when the caller disconnects or the request is aborted.
  Cancellation cancel;
  /// Why the request was aborted; empty when it was not.
  std::optional<ErrorKind> abort_reason;
  /// Called when new events have been passed on.
  std::function<void()> on_progress;

 private:
  Task<SendOutcome> ForwardStream(HttpCall& call);
  Task<SendOutcome> ForwardBody(HttpCall& call);
  Task<> AnswerError(const Error& error);
  void CountOutcome(const std::optional<Error>& error) const;
  void LogAccepted() const;
  void LogEnd(const std::optional<Error>& error) const;
  /// Outcome of a call that brought no complete response.
  [[nodiscard]] static SendOutcome OutcomeOf(const HttpCall& failed,
                                             CallFault fault);
  /// Time at which an endpoint without new output is given up.
  /// @param progress_at When its last output came, or the call was sent.
  [[nodiscard]] TimeMs IdleDeadline(TimeMs progress_at) const;

  bool progressed = false;
  bool first_event_seen = false;
};

/// Serves a call to a plain service.
class PlainSession final : public Session {
 public:
  using Session::Session;

 protected:
  Task<std::optional<Error>> Run() override;
  void SettleCharge() override;
};

/// Serves a generation: prefill at one engine, decode at another.
class GenerationSession final : public Session {
 public:
  GenerationSession(RouterCore& router_core, Exchange& caller_exchange,
                    AdmittedRequest admitted_request, Charge team_charge);

 protected:
  Task<std::optional<Error>> Run() override;
  void SettleCharge() override;

 private:
  /// Result of a call to a prefill engine.
  struct PrefillResult {
    /// KV cache of the prompt; empty when the prefill failed.
    std::optional<KvHandle> kv_handle;
    bool sent = false;  ///< The engine may have received the call.
    DurationMs elapsed_ms = 0;
  };

  /// Requests a placement from the owner of a cell, and runs the request there.
  /// @returns the error when no placement was granted.
  Task<Result<SendOutcome>> PlaceAndRun();
  /// Reconnects to the run that the caller resumes.
  Task<SendOutcome> ResumeRun();
  /// Prefills the prompt at an engine.
  Task<PrefillResult> RunPrefill(const EndpointRecord& engine,
                                 const CellPlacement& placed);
  /// Runs the request at the chosen engine. If the engine cannot fetch the KV
  /// cache, it may be asked once more to prefill the prompt itself. A broken
  /// stream is reconnected.
  Task<SendOutcome> Generate(const CellPlacement& placed,
                             const EndpointRecord& engine,
                             std::optional<KvHandle> kv_handle);
  /// Reconnects a broken stream to its run at the same engine.
  Task<SendOutcome> Reattach(const CellPlacement& placed,
                             const EndpointRecord& engine, SendOutcome outcome);
  /// Cancels the run of a cancelled request in the background and settles the
  /// charge. A caller that has disconnected has a grace period to resume first.
  /// @returns false where closing the connection cancels the run.
  [[nodiscard]] bool CancelRunLater(const CellPlacement& placed,
                                    const EndpointRecord& engine);
  [[nodiscard]] PlacementRequest MakePlacementRequest() const;
  [[nodiscard]] Dispatch MakeRunDispatch(const CellPlacement& placed,
                                         const EndpointRecord& engine) const;
  [[nodiscard]] CellNotice MakeNotice(const CellPlacement& placed,
                                      CellNoticeKind kind,
                                      const std::string& engine, Tokens tokens,
                                      DurationMs measured_ms) const;
  /// Notifies the owner of the cell of an outcome under its reservation.
  void NotifyOwner(const CellPlacement& placed, CellNoticeKind kind,
                   const std::string& engine, Tokens tokens,
                   DurationMs measured_ms);

  /// Id under which the cell's owner knows the present placement.
  std::string placement_id;
  bool prefill_accepted = false;  ///< An engine has accepted a prefill call.
  bool charge_deferred = false;   ///< `CancelRunLater` settles the charge.
};

}  // namespace limpethaven
