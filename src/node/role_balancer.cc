#include "node/role_balancer.h"

#include <algorithm>

#include "log/event_log.h"
#include "net/connection.h"
#include "net/http_parser.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::string_view kContactPath = "/peer/v1/contact";
/// The members are called in slices, one at each tick: each member every
/// 700 ms, so that a contact survives a lost call.
constexpr std::size_t kCallSlices = 7;
constexpr DurationMs kContactTimeoutMs = 500;
constexpr DurationMs kPlanPeriodMs = 200;
/// Computing the owner of a cell is dear for a process with little processor
/// share, and most processes own none.
constexpr DurationMs kOwnerCheckPeriodMs = 500;
/// Members are called for this time after a split has deviated, so that a
/// deviation near the limit does not start the wait of the lease anew.
constexpr DurationMs kLeaseWantedMs = 10'000;
constexpr DurationMs kDialTimeoutMs = 200;
/// Time for an order and its answer, after the connection was made. Then the
/// connection is reset, which drops bytes that have not been sent.
constexpr DurationMs kOrderTimeoutMs = 500;
/// Without an answer of the source for this time the announced roles may be
/// outdated, and no order is sent.
constexpr DurationMs kMaxSourceSilenceMs = 5000;

/// Most time for which an engine runs what it had begun before it carries out
/// an order.
constexpr DurationMs kMaxRunMs = 10'000;
constexpr int kFirstFinalStatus = 200;

/// Waits for the head of the response. @returns its status, or 0.
Task<int> ReadStatus(ConnectionPtr connection, TimeMs deadline) {
  HttpParser parser(HttpParser::Kind::kResponse, MessageLimits{});
  while (!parser.HeadDone()) {
    connection->Consume(parser.Put(connection->Input()));
    if (parser.HeadDone()) break;
    const bool ended = parser.Fault() != ParseFault::kNone ||
                       connection->State() != InputState::kOpen ||
                       LoopNow() >= deadline;
    if (ended) co_return 0;
    co_await connection->WaitInput(connection->Input().size(), deadline);
  }
  const int status = parser.Response().status;
  // An interim response says nothing about the order.
  co_return status < kFirstFinalStatus ? 0 : status;
}

}  // namespace

RoleBalancer::RoleBalancer(RoleBalancerParts balancer_parts)
    : parts(balancer_parts),
      holder(
          OrderHolderHash(balancer_parts.gossip.Members().Self().address,
                          balancer_parts.gossip.Members().Self().incarnation)) {
  this->parts.link.Handle(std::string(kContactPath), [this](PeerCall& call) {
    return this->AnswerContact(call);
  });
}

void RoleBalancer::Tick(TimeMs now) {
  if (this->stopped) return;
  const std::vector<CellSpec>& cells = this->parts.cells.Directory().Cells();
  std::erase_if(this->rows, [&](const auto& row) {
    const CellSpec* cell = this->parts.cells.Directory().Find(row.first);
    return cell == nullptr || this->RoleChangeMsOf(*cell) == 0;
  });
  const bool check_all = now >= this->next_owner_check;
  if (check_all) this->next_owner_check = now + kOwnerCheckPeriodMs;
  std::ranges::for_each(cells, [&](const CellSpec& cell) {
    if (!check_all && !this->rows.contains(cell.name)) return;
    const DurationMs role_change_ms = this->RoleChangeMsOf(cell);
    if (role_change_ms > 0) this->TickCell(cell, role_change_ms, now);
  });
  this->CallMembers(now);
}

void RoleBalancer::OnPause() {
  std::ranges::for_each(this->rows, [](auto& row) {
    row.second.lease.Interrupt(LoopNow());
    row.second.planner.Restart();
  });
}

void RoleBalancer::Stop() noexcept { this->stopped = true; }

RoleSplit RoleBalancer::Split() const {
  RoleSplit sum;
  std::ranges::for_each(this->rows, [&sum](const auto& row) {
    if (!row.second.owned) return;
    const RoleSplit split = row.second.planner.Split();
    sum.prefill += split.prefill;
    sum.decode += split.decode;
    sum.wanted_prefill += split.wanted_prefill;
    sum.changing += split.changing;
  });
  return sum;
}

std::size_t RoleBalancer::HeldLeases(TimeMs now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->rows, [now](const auto& row) {
        return row.second.lease.State(now) == OrderLeaseState::kHeld;
      }));
}

DurationMs RoleBalancer::RoleChangeMsOf(const CellSpec& cell) const {
  const Configuration& config = *this->parts.state.Config();
  const auto pool = config.pools.find(cell.model);
  if (pool == config.pools.end() || !pool->second.engine) return 0;
  const EngineSpec& engine = *pool->second.engine;
  return engine.balance_roles ? engine.role_change_ms : 0;
}

void RoleBalancer::TickCell(const CellSpec& cell, DurationMs role_change_ms,
                            TimeMs now) {
  const bool owned = this->parts.cells.Directory().IsFirstOwner(cell);
  const auto known = this->rows.find(cell.name);
  if (known == this->rows.end() && !owned) return;
  RolePlannerSettings settings;
  settings.role_change_ms = role_change_ms;
  CellRow& row =
      this->rows.try_emplace(cell.name, this->holder, settings).first->second;
  if (row.role_change_ms != role_change_ms) {
    row.role_change_ms = role_change_ms;
    row.planner.Configure(settings);
  }
  if (!owned) row.planner.Restart();
  row.owned = owned;
  this->HearTerms(cell, row, now);
  this->UpdateLease(cell, row, now);
  this->parts.cells.Marks().Note(
      cell.name, OrderMark{row.lease.OwnTerm(), this->holder,
                           row.planner.InitialPrefillPermille()});
  if (!owned || now < row.next_plan_at) return;
  row.next_plan_at = now + kPlanPeriodMs;
  this->UpdatePlanner(cell, row, now);
  if (row.planner.Deviates()) row.lease_wanted_until = now + kLeaseWantedMs;
  if (!this->Obstacle(row, now).empty()) return;
  const std::optional<RoleOrder> order = row.planner.NextOrder(now);
  if (!order) return;
  const std::optional<OrderToken> token = row.lease.NextToken(now);
  if (!token) {
    row.planner.OnOutcome(order->engine, RoleOrderOutcome::kRefused, now);
    return;
  }
  Spawn(this->parts.loop,
        [this, pending = PendingOrder{cell.name, *order, *token, now}]()
            -> Task<> { co_await this->CarryOut(pending); });
}

void RoleBalancer::UpdatePlanner(const CellSpec& cell, CellRow& row,
                                 TimeMs now) {
  CellScheduler* scheduler = this->parts.cells.SchedulerOf(cell.name);
  // A cell without a scheduler here has had no requests.
  if (scheduler == nullptr) return row.planner.Update({}, RoleDemand{}, now);
  row.planner.Update(scheduler->RoleEngines(now), scheduler->Demand(now), now);
  std::ranges::for_each(
      row.planner.TakeEnded(), [&cell](const RoleChangeEnd& end) {
        LogEvent(end.announced ? EventId::kRoleChanged
                               : EventId::kRoleChangeTimedOut,
                 {{"cell", cell.name},
                  {"engine", end.engine},
                  {"role", std::string(NameOf(end.role))},
                  LogField::Of("elapsed_ms", end.elapsed_ms)});
      });
}

void RoleBalancer::UpdateLease(const CellSpec& cell, CellRow& row, TimeMs now) {
  const OrderLeaseInput input = this->LeaseInput(row, now);
  row.lease.Update(input, now);
  const OrderLeaseState state = row.lease.State(now);
  const OrderLeaseState before = std::exchange(row.lease_state, state);
  const bool reported = state == OrderLeaseState::kHeld ||
                        before == OrderLeaseState::kHeld ||
                        state == OrderLeaseState::kNoNewRevision;
  if (state == before || !reported) return;
  LogEvent(EventId::kRoleLeaseChanged,
           {{"cell", cell.name},
            {"state", std::string(NameOf(state))},
            LogField::Of("members", input.known_members),
            LogField::Of("reached", input.reached_members),
            LogField::Of("remembering", input.remembering_members),
            LogField::Of("revision", input.revision),
            LogField::Of("term", row.lease.HighestTerm())});
}

OrderLeaseInput RoleBalancer::LeaseInput(const CellRow& row, TimeMs now) const {
  return OrderLeaseInput{row.owned,
                         this->parts.gossip.Members().KnownFleetSize(),
                         this->ReachedMembers(now),
                         this->RememberingMembers(row.role_change_ms, now),
                         this->parts.state.Revision()};
}

void RoleBalancer::HearTerms(const CellSpec& cell, CellRow& row, TimeMs now) {
  const OrderMark mark = this->parts.cells.Marks().Of(cell.name);
  row.lease.HearTerm(mark.term, now);
  if (mark.term != OrderTerm{}) {
    row.planner.SetInitialPrefillPermille(mark.prefill_permille);
  }
  std::ranges::for_each(
      this->parts.cells.Directory().Cells(), [&](const CellSpec& other) {
        if (other.model != cell.model || other.name == cell.name) return;
        row.lease.HearOtherTerm(this->parts.cells.Marks().Of(other.name).term);
      });
}

void RoleBalancer::CallMembers(TimeMs now) {
  const DurationMs ttl = OrderLeaseSettings{}.contact_ttl_ms;
  std::erase_if(this->contacts, [now, ttl](const auto& contact) {
    return now - contact.second.sent_at > ttl;
  });
  const bool wanted = std::ranges::any_of(this->rows, [now](const auto& row) {
    return row.second.owned && now < row.second.lease_wanted_until;
  });
  if (!wanted) return;
  const std::vector<Member> members = this->parts.gossip.Members().Members();
  this->call_slice = (this->call_slice + 1) % kCallSlices;
  for (std::size_t index = this->call_slice; index < members.size();
       index += kCallSlices) {
    const MemberUpdate& member = members[index].latest;
    const bool callable = member.state == MemberState::kAlive ||
                          member.state == MemberState::kSuspect;
    if (!callable) continue;
    Spawn(this->parts.loop, [this, address = member.address]() -> Task<> {
      co_await this->CallMember(address);
    });
  }
}

Task<> RoleBalancer::CallMember(std::string address) {
  CellReport told;
  std::ranges::for_each(this->rows, [&](const auto& row) {
    if (!row.second.owned) return;
    told.marks.emplace_back(row.first, this->parts.cells.Marks().Of(row.first));
  });
  const json body = told;
  std::string text = body.dump();
  const TimeMs sent_at = LoopNow();
  const Result<std::string> answer = co_await this->parts.link.Call(
      address, std::string(kContactPath), std::move(text),
      sent_at + kContactTimeoutMs);
  if (!answer) co_return;
  CellReport heard;
  try {
    heard = json::parse(answer.value(), nullptr, false).get<CellReport>();
    std::ranges::for_each(heard.marks, [this](const auto& row) {
      this->parts.cells.Marks().Note(row.first, row.second);
    });
  } catch (const json::exception&) {
    // A member that does not answer with its marks is not reached.
    co_return;
  }
  Contact& contact = this->contacts[address];
  if (sent_at >= contact.sent_at) {
    contact = Contact{sent_at, heard.start};
  }
}

Task<Result<std::string>> RoleBalancer::AnswerContact(PeerCall& call) {
  CellReport report;
  try {
    report = json::parse(call.body, nullptr, false).get<CellReport>();
  } catch (const json::exception& fault) {
    co_return Error::Of(ErrorKind::kBadRequest,
                        std::string("malformed contact: ") + fault.what());
  }
  std::ranges::for_each(report.marks, [this](auto& row) {
    // The mark is kept also where the cell is not known yet: a later owner must
    // hear it.
    this->parts.cells.Marks().Note(row.first, row.second);
    row.second = this->parts.cells.Marks().Of(row.first);
  });
  report.start = this->parts.state.Start(LoopNow());
  const json body = report;
  co_return body.dump();
}

std::size_t RoleBalancer::ReachedMembers(TimeMs now) const {
  const DurationMs ttl = OrderLeaseSettings{}.contact_ttl_ms;
  return 1 + static_cast<std::size_t>(std::ranges::count_if(
                 this->contacts, [now, ttl](const auto& contact) {
                   return now - contact.second.sent_at <= ttl;
                 }));
}

std::size_t RoleBalancer::RememberingMembers(DurationMs role_change_ms,
                                             TimeMs now) const {
  const DurationMs ttl = OrderLeaseSettings{}.contact_ttl_ms;
  const SourceRevision revision = this->parts.state.Revision();
  const DurationMs order_ms = kMaxRunMs + 2 * role_change_ms;
  const auto remembers = [&](const std::optional<ProcessStart>& start) {
    return start && (start->revision < revision || start->age_ms > order_ms);
  };
  const auto reached =
      std::ranges::count_if(this->contacts, [&](const auto& contact) {
        return now - contact.second.sent_at <= ttl &&
               remembers(contact.second.start);
      });
  const bool remembers_self = remembers(this->parts.state.Start(now));
  return static_cast<std::size_t>(reached) + (remembers_self ? 1 : 0);
}

std::string RoleBalancer::Obstacle(const CellRow& row, TimeMs now) const {
  const OrderLeaseState state = row.lease.State(now);
  if (state != OrderLeaseState::kHeld) return std::string(NameOf(state));
  const std::optional<DurationMs> silent_ms =
      this->parts.state.SourceSilentMs(now);
  if (!silent_ms || *silent_ms >= kMaxSourceSilenceMs) return "source_silent";
  return {};
}

std::string RoleBalancer::LateObstacle(const PendingOrder& pending,
                                       const std::string& address) {
  const TimeMs now = LoopNow();
  if (this->stopped) return "stopped";
  // The process may have been paused since.
  if (now - pending.decided_at > 2 * kDialTimeoutMs) return "late";
  const EndpointRecord* engine =
      this->parts.endpoints.Find(pending.order.engine);
  if (engine == nullptr || engine->address != address || engine->leaving) {
    return "engine_gone";
  }
  const CellSpec* cell = this->parts.cells.Directory().Find(pending.cell);
  const auto row = this->rows.find(pending.cell);
  if (cell == nullptr || row == this->rows.end()) return "cell_gone";
  if (!this->parts.cells.Directory().IsFirstOwner(*cell)) return "not_owner";
  this->HearTerms(*cell, row->second, now);
  return this->Obstacle(row->second, now);
}

Task<RoleBalancer::OrderResult> RoleBalancer::Send(
    const PendingOrder& pending) {
  OrderResult result;
  const EndpointRecord* engine =
      this->parts.endpoints.Find(pending.order.engine);
  std::optional<OutgoingCall> call = this->parts.dialect.ChangeRole(RoleChange{
      pending.order.engine, pending.order.role,
      this->parts.gossip.Members().Self().address, pending.token.Value()});
  if (engine == nullptr || !call) {
    result.why = engine == nullptr ? "engine_gone" : "no_such_order";
    co_return result;
  }
  const std::string address = engine->address;
  // A connection of its own: an order must not wait behind another call, nor
  // be sent again by a pool.
  const ConnectionPtr connection = co_await Connection::Dial(
      this->parts.loop, address, LoopNow() + kDialTimeoutMs);
  result.why = connection == nullptr ? "unreachable"
                                     : this->LateObstacle(pending, address);
  if (!result.why.empty()) {
    if (connection != nullptr) connection->Reset();
    co_return result;
  }
  LogEvent(
      EventId::kRoleOrderSent,
      {{"cell", pending.cell},
       {"engine", pending.order.engine},
       {"role", std::string(NameOf(pending.order.role))},
       LogField::Of("fence", pending.token.Value()),
       LogField::Of("term", pending.token.term),
       LogField::Of("reached", this->ReachedMembers(LoopNow())),
       LogField::Of("source_silent_ms",
                    this->parts.state.SourceSilentMs(LoopNow()).value_or(-1)),
       {"why", pending.order.reason}});
  result.sent = true;
  call->head.headers.Set("Host", address);
  const TimeMs deadline = LoopNow() + kOrderTimeoutMs;
  std::string bytes = WriteRequest(call->head, call->body);
  const bool written = co_await connection->Write(std::move(bytes), deadline);
  if (written) result.status = co_await ReadStatus(connection, deadline);
  connection->Reset();
  if (result.status == 0) {
    result.outcome = RoleOrderOutcome::kUnknown;
    result.why = "no_answer";
    co_return result;
  }
  const ResponseHead head{result.status, {}};
  result.outcome = this->parts.dialect.ClassifyRoleChange(head);
  co_return result;
}

Task<> RoleBalancer::CarryOut(PendingOrder pending) {
  const OrderResult result = co_await this->Send(pending);
  if (this->stopped) co_return;
  const TimeMs now = LoopNow();
  const std::string& engine = pending.order.engine;
  this->parts.metrics.OnRoleOrder(
      result.sent ? std::string(NameOf(result.outcome)) : "not_sent");
  LogEvent(EventId::kRoleOrderAnswered,
           {{"cell", pending.cell},
            {"engine", engine},
            {"outcome", result.sent ? std::string(NameOf(result.outcome))
                                    : std::string("not_sent")},
            LogField::Of("status", result.status),
            LogField::Of("fence", pending.token.Value()),
            LogField::Of("elapsed_ms", now - pending.decided_at),
            {"why", result.why}});
  const auto row = this->rows.find(pending.cell);
  if (row == this->rows.end()) co_return;
  row->second.planner.OnOutcome(engine, result.outcome, now);
  if (result.outcome == RoleOrderOutcome::kOutdated) {
    // Another process has sent an order with a higher token.
    row->second.lease.Interrupt(now);
    // It has been claimed at this revision or an earlier one.
    row->second.lease.HearOtherTerm(
        OrderTerm{this->parts.state.Revision(), OrderTerm::kMaxStep});
  }
  CellScheduler* scheduler = this->parts.cells.SchedulerOf(pending.cell);
  if (result.outcome != RoleOrderOutcome::kAccepted || scheduler == nullptr) {
    co_return;
  }
  scheduler->BeginRoleChange(engine, now + 2 * row->second.role_change_ms);
}

}  // namespace limpethaven
