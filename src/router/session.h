/// @file
/// One request while it is served.
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

/// A request that was admitted: what it asks and where it goes.
struct Admitted {
  CallerRequest request;
  std::shared_ptr<const Configuration> config;
  const RouteSpec* route = nullptr;
  const PoolSpec* pool = nullptr;
  std::string team;           ///< Empty on routes open to all.
  std::string key_digest;     ///< Of the caller's key; empty without one.
  std::int64_t priority = 0;  ///< Rank, 0 first.
  TimeMs deadline = 0;        ///< After it nobody waits for an answer.
};

/// Reads and checks a request against the configuration in force.
/// @param peer_team Team for which a peer has checked the key already; null to
/// check it here.
[[nodiscard]] Result<Admitted> Admit(RouterCore& core, const Exchange& exchange,
                                     const std::string* peer_team = nullptr);
/// Tokens that a request is charged.
[[nodiscard]] Tokens ChargeOf(const Admitted& admitted);
/// Whether a request is a generation.
[[nodiscard]] bool IsGeneration(const Admitted& admitted);

/// What a team is charged for one request; settled once.
class Charge {
 public:
  Charge() = default;
  Charge(ShareExchange& share_exchange, std::string charge_id,
         Tokens charged_tokens);
  Charge(Charge&& other) noexcept;
  Charge& operator=(Charge&& other) noexcept;
  /// One that was not settled is given back whole.
  ~Charge();

  void Settle(Tokens used);
  [[nodiscard]] Tokens Charged() const noexcept;

 private:
  ShareExchange* shares = nullptr;
  std::string id;
  Tokens tokens = 0;
};

/// Serves one request. Kinds of requests differ in `Run`.
class Session {
 public:
  Session(RouterCore& router_core, Exchange& caller_exchange,
          Admitted admitted_request, Charge team_charge);
  virtual ~Session() = default;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Answers the request.
  Task<> Serve();
  /// Whether an endpoint may have run it.
  [[nodiscard]] Ran MayHaveRun() const noexcept;

 protected:
  /// Sends it to endpoints until it is answered. @returns the error to answer,
  /// if it was not.
  virtual Task<std::optional<Error>> Run() = 0;
  /// Settles the charge of a request that has ended.
  virtual void SettleCharge() = 0;

  /// Sends the request to one endpoint and passes its answer on.
  Task<SendOutcome> Send(Dispatch dispatch);
  /// What follows from the outcome of a send; takes from the retry budget.
  [[nodiscard]] NextStep Judge(SendOutcome outcome);
  [[nodiscard]] Dispatch DispatchTo(const EndpointRecord& endpoint) const;
  /// The error that says what is true of this request now.
  [[nodiscard]] Error Failure(SendOutcome last) const;
  /// Connects and sends; the rest of a long body goes out while the answer is
  /// read.
  Task<CallFault> Start(HttpCall& call, const OutgoingCall& outgoing,
                        DurationMs max_idle_ms);
  /// Whether nobody waits for the answer any more.
  [[nodiscard]] bool Gone() const noexcept;
  /// Whether the last send brought more of a stream.
  [[nodiscard]] bool Progressed() const noexcept;

  RouterCore& core;
  Exchange& exchange;
  Admitted admitted;
  Charge charge;
  RequestRecord record;
  std::unique_ptr<StreamTranslator> stream;  ///< Null for plain calls.
  std::vector<std::string> tried;            ///< Endpoints that had it.
  Cancellation cancel;                       ///< Requested when nobody waits.
  std::optional<ErrorKind> cut;              ///< Why it is ended from here.
  std::function<void()> on_progress;  ///< Called as events are passed on.

 private:
  Task<SendOutcome> PassStream(HttpCall& call);
  Task<SendOutcome> PassWhole(HttpCall& call);
  Task<> AnswerError(const Error& error);
  void Count(const std::optional<Error>& error) const;
  void LogAccepted() const;
  void LogEnd(const std::optional<Error>& error) const;
  /// Outcome of a call that brought no whole answer.
  [[nodiscard]] static SendOutcome OutcomeOf(const HttpCall& failed,
                                             CallFault fault);
  /// Until when the endpoint may bring nothing new.
  [[nodiscard]] TimeMs SilenceDeadline(TimeMs progress_at) const;

  bool progressed = false;
  bool first_event_seen = false;
};

/// A call to a plain service.
class PlainSession final : public Session {
 public:
  using Session::Session;

 protected:
  Task<std::optional<Error>> Run() override;
  void SettleCharge() override;
};

/// A generation: prefill at one engine, decode at another.
class GenerationSession final : public Session {
 public:
  GenerationSession(RouterCore& router_core, Exchange& caller_exchange,
                    Admitted admitted_request, Charge team_charge);

 protected:
  Task<std::optional<Error>> Run() override;
  void SettleCharge() override;

 private:
  /// What reading a prompt at a prefill engine has brought.
  struct Prefilled {
    std::optional<KvHandle> memory;
    bool reached = false;  ///< The engine may have the prompt.
    DurationMs elapsed_ms = 0;
  };

  /// Asks for a place, and uses it.
  Task<Result<SendOutcome>> RunOnce();
  /// Goes on with the run that the caller names.
  Task<SendOutcome> GoOn();
  Task<Prefilled> ReadPrompt(const EndpointRecord& engine,
                             const CellPlacement& placed);
  /// Sends to the engine that was chosen; once more without memory that could
  /// not be fetched, and again where its run can be taken up.
  Task<SendOutcome> Generate(const CellPlacement& placed,
                             const EndpointRecord& engine,
                             std::optional<KvHandle> memory);
  Task<SendOutcome> Reattach(const CellPlacement& placed,
                             const EndpointRecord& engine, SendOutcome outcome);
  /// Ends the run of a caller that is gone, once it has not come back.
  /// @returns false where the closed connection ends it.
  [[nodiscard]] bool Depart(const CellPlacement& placed,
                            const EndpointRecord& engine);
  [[nodiscard]] PlacementRequest AskFor() const;
  [[nodiscard]] Dispatch DispatchFor(const CellPlacement& placed,
                                     const EndpointRecord& engine) const;
  [[nodiscard]] CellNotice NoticeOf(const CellPlacement& placed,
                                    CellNoticeKind news,
                                    const std::string& engine, Tokens tokens,
                                    DurationMs measured_ms) const;
  void Tell(const CellPlacement& placed, CellNoticeKind news,
            const std::string& engine, Tokens tokens, DurationMs measured_ms);

  std::string placement_id;  ///< Of this request at the cell's owner.
  bool prefilled = false;    ///< An engine has accepted a prefill call.
  bool departed = false;     ///< The charge was left to `Depart`.
};

}  // namespace limpethaven
