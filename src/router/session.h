/// @file
/// Sessions. Each session serves one admitted request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/request_record.h"
#include "limpethaven/stall_rule.h"
#include "net/cancellation.h"
#include "router/admission.h"

namespace limpethaven {

/// Serves one request. Subclasses implement `Run` for each kind of request.
class Session : private ActiveRequest {
 public:
  Session(RouterCore& router_core, Exchange& caller_exchange,
          AdmittedRequest admitted_request, Charge team_charge);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Answers the request.
  Task<> Serve();
  /// Whether an endpoint may have run the request.
  [[nodiscard]] Ran MayHaveRun() const noexcept;

 protected:
  /// Sends the request to endpoints until one answers it.
  /// @returns the error to answer with; empty when an endpoint's answer was
  /// forwarded.
  virtual Task<std::optional<Error>> Run() = 0;
  /// Settles the charge after the request has ended.
  virtual void SettleCharge() = 0;

  /// Sends the request to one endpoint and forwards the response.
  Task<SendOutcome> Send(Dispatch dispatch);
  /// Decides what follows a send; reserves a retry when the request is sent
  /// again.
  [[nodiscard]] NextStep DecideNextStep(SendOutcome outcome);
  /// Refusal of a request that no endpoint has been sent and that the end of a
  /// planned stop could cut; empty when it may be sent.
  [[nodiscard]] std::optional<Error> CheckStop() const;
  [[nodiscard]] Dispatch MakeDispatch(const EndpointRecord& endpoint) const;
  /// See `RequestFingerprint`.
  [[nodiscard]] std::string Fingerprint() const;
  /// See `SuspectParts`.
  [[nodiscard]] std::vector<std::string> Suspects() const;
  /// Refusal of a request that crashes endpoints, by the evidence of all
  /// requests or because it has crashed several itself; empty for others.
  [[nodiscard]] std::optional<Error> CheckQuarantine() const;
  /// Records a complete answer, which clears the request's parts.
  void NoteServed();
  /// Makes the error for a request that failed. It states whether the request
  /// may have run.
  /// @param last Outcome of the last send.
  [[nodiscard]] Error MakeError(SendOutcome last) const;
  /// Connects and sends; the rest of a long body is sent while the response is
  /// read.
  /// @param address Address of the endpoint that is called.
  /// @param max_idle_ms Longest time that a reused connection may have been
  /// idle; 0 opens a new one.
  Task<CallFault> Start(HttpCall& call, std::string address,
                        const OutgoingCall& outgoing, DurationMs max_idle_ms);
  /// Whether the caller has disconnected or the request was aborted.
  [[nodiscard]] bool Cancelled() const noexcept;
  /// Whether the last send brought new events of the stream.
  [[nodiscard]] bool Progressed() const noexcept;
  /// Whether the endpoint of the last send had begun a successful response.
  [[nodiscard]] bool ResponseBegun() const noexcept;
  /// How the response to the last send was classified, by its head alone; empty
  /// members when there was none.
  [[nodiscard]] const AnswerClass& LastAnswer() const noexcept;
  /// Classifies the head of a response, and closes the connection after it if
  /// a repetition of it could be taken for the response to another request.
  [[nodiscard]] AnswerClass ClassifyHead(HttpCall& call) const;

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
  std::int64_t crashes = 0;  ///< Endpoints that crashed under this request.
  /// Why the request was aborted; empty when it was not.
  std::optional<ErrorKind> abort_reason;
  /// Called when the head of a response has been received; may be null.
  std::function<void()> on_response;
  /// Called when new events of the stream have been received; may be null.
  std::function<void()> on_progress;

 private:
  /// A retry that is reserved in the budget until the request is sent.
  struct ReservedRetry {
    /// The endpoint of the send before, if it has not answered in time; empty
    /// otherwise.
    std::string silent_endpoint;
  };

  /// Counts the reserved retry, if there is one, as made now.
  void SpendRetry();
  void Abort(ErrorKind reason) override;
  [[nodiscard]] bool Waits() const override;
  [[nodiscard]] bool AnswerBegun() const override;
  [[nodiscard]] TimeMs Deadline() const override;
  /// Forwards an endpoint's stream of events to the caller. An answer that the
  /// caller wants as one body is sent when it is complete. After an incomplete
  /// stream, another call can continue where it broke off.
  /// @param fault Set to the reason why the response is incomplete.
  Task<SendOutcome> ForwardStream(HttpCall& call, CallFault& fault);
  /// Reads an endpoint's whole response and forwards it. It is not forwarded
  /// when it reports that the request was not run, when it is a failure and the
  /// request may be sent again, or when the caller may get only a stream.
  /// @param fault Set to the reason why the response is incomplete.
  Task<SendOutcome> ForwardBody(HttpCall& call, CallFault& fault);
  Task<> AnswerError(const Error& error);
  void CountOutcome(const std::optional<Error>& error) const;
  void LogAccepted() const;
  void LogEnd(const std::optional<Error>& error) const;
  /// Outcome of a call that brought no complete response.
  [[nodiscard]] static SendOutcome OutcomeOf(const HttpCall& failed,
                                             CallFault fault);
  /// Longest idle time of a connection that is reused for this request.
  [[nodiscard]] DurationMs MaxIdleMs(const std::string& endpoint) const;
  /// Whether the route, the deadline and the retry budget allow another send.
  [[nodiscard]] bool HasRetry() const;
  /// Whether another endpoint, or a reconnection to the present one, could go
  /// on with the request.
  [[nodiscard]] bool CanGoOn() const;
  /// Whether the request could be sent to another endpoint if the present one
  /// failed. Only then is an endpoint given up before the request's deadline.
  [[nodiscard]] bool MaySendAgain() const;
  /// Time at which a call that was just sent times out without the head of a
  /// response.
  [[nodiscard]] TimeMs HeadDeadline() const;
  /// Time at which a stream is given up unless it brings an event before. Where
  /// the protocol can reconnect to a run, the same endpoint is tried first,
  /// then another.
  [[nodiscard]] TimeMs EventDeadline(const StallRule& stall) const;

  /// Addresses that this request was sent to. Their connections are not reused
  /// for it, since all of its calls have the same id, so that a repeated
  /// response to an earlier one could not be told from the present one.
  std::vector<std::string> called_addresses;
  AnswerClass last_answer;
  std::optional<ReservedRetry> reserved_retry;
  /// Reason why the last send brought no complete response.
  CallFault last_fault = CallFault::kNone;
  bool progressed = false;
  bool response_begun = false;
  bool first_event_seen = false;
};

/// Serves a call to a plain service.
class PlainSession final : public Session {
 public:
  using Session::Session;

 protected:
  Task<std::optional<Error>> Run() override;
  void SettleCharge() override;

 private:
  /// Records that an endpoint has crashed under this request, if its host
  /// refuses connections. An endpoint that breaks a single call is alive, and
  /// one that cannot be reached may be cut off from this VM.
  void SuspectCrash(const EndpointRecord& endpoint) const;
};

/// Serves a generation: prefill at one engine and decode at another, or both at
/// one engine.
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
    bool sent = false;     ///< The engine may have received the call.
    bool refused = false;  ///< The engine had no room, or wants no load now.
    /// Whether it was the first call and no engine accepted it. Then the next
    /// call is a retry.
    bool counts_as_send = false;
    DurationMs elapsed_ms = 0;
  };

  /// Requests a placement from the owner of a cell, and runs the request at the
  /// engines of that placement.
  /// @returns the error when no placement was granted.
  Task<Result<SendOutcome>> PlaceAndRun();
  /// Reconnects to the run that the caller resumes.
  Task<SendOutcome> ResumeRun();
  /// Whether the prompt may be sent to a prefill engine now. Each call after
  /// the first takes a retry from the budget.
  [[nodiscard]] bool TryPrefillRetry();
  /// Whether a prefill would leave no retry for the run if it is rejected, as
  /// others were lately.
  [[nodiscard]] bool PrefillIsRisky() const;
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
  /// @returns false, without doing anything, where closing the connection
  /// cancels the run.
  [[nodiscard]] bool CancelRunLater(const CellPlacement& placed,
                                    const EndpointRecord& engine);
  [[nodiscard]] PlacementRequest MakePlacementRequest() const;
  [[nodiscard]] Dispatch MakeRunDispatch(const CellPlacement& placed,
                                         const EndpointRecord& engine) const;
  [[nodiscard]] CellNotice MakeNotice(const CellPlacement& placed,
                                      CellNoticeKind kind,
                                      const std::string& engine, Tokens tokens,
                                      DurationMs measured_ms) const;
  /// Whether an engine names a limit on requests.
  [[nodiscard]] bool IsLimited(const std::string& engine) const;
  /// An engine that may be sent a request now; null when it is gone or leaving,
  /// or wants no request from this process at present. It is looked up again
  /// before each send, since the engine may leave while the request waits.
  [[nodiscard]] const EndpointRecord* FindUsable(
      const std::string& engine) const;
  /// Keeps a KV cache that no engine has fetched for the next placement.
  void KeepKv(const std::optional<KvHandle>& kv_handle);
  /// The KV cache that was kept, if the placement was made for it and the
  /// prefill engine still holds it.
  [[nodiscard]] std::optional<KvHandle> TakeUnusedKv(
      const Placement& placement);
  /// Whether a prefill engine still holds the prompt's KV cache unless it was
  /// fetched.
  [[nodiscard]] bool KvIsFresh() const;
  /// Reports the limit on requests that an engine names to the owner of the
  /// cell.
  /// @param was_limited Whether it named one before its last answer.
  void NotifyLimit(const CellPlacement& placed, const std::string& engine,
                   bool was_limited);
  /// Queues a notice to the owner of the cell about the reservation that it
  /// made for this request.
  void NotifyOwner(const CellPlacement& placed, CellNoticeKind kind,
                   const std::string& engine, Tokens tokens,
                   DurationMs measured_ms);

  /// Records what the end of a run shows about the parts of the prompt.
  /// @param broke_at_start Whether the engine broke off its first response
  /// after the head and before any event.
  void NotePromptOutcome(const EndpointRecord& engine, SendOutcome outcome,
                         bool broke_at_start);

  /// Id by which the cell's owner identifies the current placement of this
  /// request.
  std::string placement_id;
  /// KV cache of the prompt that no engine has fetched.
  std::optional<KvHandle> unused_kv;
  TimeMs prefilled_at = 0;       ///< End of the last prefill that succeeded.
  bool prefill_called = false;   ///< A prefill call may have reached an engine.
  bool charge_deferred = false;  ///< `CancelRunLater` settles the charge.
};

}  // namespace limpethaven
