/// @file
/// One request while it is served.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpethaven/event_splitter.h"
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
  std::int64_t priority = 0;  ///< Rank, 0 first.
  TimeMs deadline = 0;        ///< After it nobody waits for an answer.
};

/// Reads and checks a request against the configuration in force.
[[nodiscard]] Result<Admitted> Admit(RouterCore& core,
                                     const Exchange& exchange);
/// Tokens that a request is charged.
[[nodiscard]] Tokens ChargeOf(const Admitted& admitted);

/// Serves one request. Kinds of requests differ in `Run`.
class Session {
 public:
  Session(RouterCore& router_core, Exchange& caller_exchange,
          Admitted admitted_request);
  virtual ~Session() = default;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Answers the request. @returns whether an endpoint may have run it.
  Task<Ran> Serve();

 protected:
  /// Sends it to endpoints until it is answered. @returns the error to answer,
  /// if it was not.
  virtual Task<std::optional<Error>> Run() = 0;

  /// Sends the request to one endpoint and passes its answer on.
  Task<SendOutcome> Send(const EndpointRecord& endpoint,
                         std::optional<KvHandle> memory);
  /// What follows from the outcome of a send; takes from the retry budget.
  [[nodiscard]] NextStep Judge(SendOutcome outcome);
  [[nodiscard]] Dispatch DispatchTo(const EndpointRecord& endpoint) const;
  /// The error that says what is true of this request now.
  [[nodiscard]] Error Failure(SendOutcome last) const;
  /// Connects and sends; the rest of a long body goes out while the answer is
  /// read.
  Task<CallFault> Start(HttpCall& call, std::string bytes,
                        DurationMs max_idle_ms);
  [[nodiscard]] bool Gone() const noexcept;

  RouterCore& core;
  Exchange& exchange;
  Admitted admitted;
  RequestRecord record;
  EventSplitter splitter;
  std::vector<std::string> tried;     ///< Endpoints that had it.
  Cancellation cancel;                ///< Requested when the caller leaves.
  std::function<void()> on_progress;  ///< Called as events are passed on.

 private:
  Task<SendOutcome> PassStream(HttpCall& stream);
  Task<SendOutcome> PassWhole(HttpCall& answer, const AnswerClass& kind);
  /// Outcome of a call that brought no whole answer.
  [[nodiscard]] static SendOutcome OutcomeOf(const HttpCall& failed,
                                             CallFault fault);
  /// Until when the endpoint may be silent.
  [[nodiscard]] TimeMs SilenceDeadline() const;
};

/// A call to a plain service.
class PlainSession final : public Session {
 public:
  using Session::Session;

 protected:
  Task<std::optional<Error>> Run() override;
};

/// A generation: prefill at one engine, decode at another.
class GenerationSession final : public Session {
 public:
  using Session::Session;

 protected:
  Task<std::optional<Error>> Run() override;

 private:
  /// What reading a prompt at a prefill engine has brought.
  struct Prefilled {
    std::optional<KvHandle> memory;
    bool rejected = false;  ///< The engine has not taken the call.
    DurationMs elapsed_ms = 0;
  };

  /// Asks for a place, and uses it.
  Task<Result<SendOutcome>> RunOnce();
  Task<Prefilled> ReadPrompt(const EndpointRecord& engine);
  /// Sends to the engine that was chosen; once more without memory that could
  /// not be fetched.
  Task<SendOutcome> Generate(const CellPlacement& placed,
                             const EndpointRecord& engine,
                             std::optional<KvHandle> memory);
  [[nodiscard]] PlacementRequest AskFor() const;
  /// Tokens that were passed on so far.
  [[nodiscard]] Tokens Produced() const;
  void Tell(const CellPlacement& placed, CellNews news,
            const std::string& engine, Tokens tokens, DurationMs measured_ms);

  std::string placement_id;  ///< Of this request at the cell's owner.
  bool prefilled = false;    ///< An engine has accepted a prefill call.
};

}  // namespace limpethaven
