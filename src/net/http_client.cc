#include "net/http_client.h"

#include <algorithm>
#include <array>

namespace limpethaven {
namespace {

constexpr std::array<std::string_view, 7> kFaultNames = {
    "none",      "connect", "reset",    "truncated",
    "malformed", "timeout", "cancelled"};

/// Largest answer's head and body that is read.
constexpr MessageLimits kAnswerLimits{65'536, 64'000'000};
/// Kept when the peer does not say how long it keeps an idle connection.
constexpr DurationMs kDefaultKeepMs = 4000;
/// Closed this long before the peer would, so that no request crosses its
/// close.
constexpr DurationMs kKeepMarginMs = 500;
constexpr DurationMs kMsPerS = 1000;
constexpr int kFirstFinalStatus = 200;

/// Time for which a peer keeps a connection after this answer.
DurationMs KeepMsOf(const ResponseHead& head) {
  const std::string_view value = head.headers.Get("Keep-Alive");
  const auto found = value.find("timeout=");
  if (found == std::string_view::npos) return kDefaultKeepMs;
  Headers one;
  std::string_view digits = value.substr(found + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  one.Add("t", digits);
  return one.GetInt("t").value_or(0) * kMsPerS;
}

}  // namespace

std::string_view NameOf(CallFault fault) noexcept {
  return kFaultNames[static_cast<std::size_t>(fault)];
}

ConnectionPool::ConnectionPool(Loop& event_loop, std::size_t max_idle)
    : loop(event_loop), idle_limit(max_idle) {}

Task<ConnectionPtr> ConnectionPool::Acquire(std::string address,
                                            DurationMs max_idle_ms,
                                            TimeMs deadline) {
  const auto row = this->idle.find(address);
  while (row != this->idle.end() && !row->second.empty()) {
    // The newest is the one most surely alive.
    const Idle candidate = std::move(row->second.back());
    row->second.pop_back();
    const TimeMs now = LoopNow();
    const bool usable = candidate.connection->State() == InputState::kOpen &&
                        candidate.connection->Input().empty() &&
                        now < candidate.until &&
                        now - candidate.since < max_idle_ms;
    if (usable) co_return candidate.connection;
    candidate.connection->Close();
  }
  ++this->dialled;
  co_return co_await Connection::Dial(this->loop, std::move(address), deadline);
}

void ConnectionPool::Release(ConnectionPtr connection, DurationMs keep_ms) {
  const TimeMs now = LoopNow();
  std::deque<Idle>& row = this->idle[connection->Peer()];
  row.push_back(Idle{std::move(connection), now,
                     now + std::max<DurationMs>(0, keep_ms - kKeepMarginMs)});
  if (row.size() <= this->idle_limit) return;
  row.front().connection->Close();
  row.pop_front();
}

void ConnectionPool::CloseIdle(const std::string& address) {
  const auto row = this->idle.find(address);
  if (row == this->idle.end()) return;
  std::ranges::for_each(row->second,
                        [](const Idle& entry) { entry.connection->Close(); });
  this->idle.erase(row);
}

void ConnectionPool::CloseExpired(TimeMs now) {
  std::ranges::for_each(this->idle, [now](auto& row) {
    std::erase_if(row.second, [now](const Idle& entry) {
      const bool over =
          now >= entry.until || entry.connection->State() != InputState::kOpen;
      if (over) entry.connection->Close();
      return over;
    });
  });
  std::erase_if(this->idle, [](const auto& row) { return row.second.empty(); });
}

std::uint64_t ConnectionPool::DialCount() const noexcept {
  return this->dialled;
}

HttpCall::HttpCall(Loop& event_loop, ConnectionPool& connections,
                   std::string peer_address)
    : loop(event_loop), pool(connections), address(std::move(peer_address)) {}

HttpCall::~HttpCall() {
  if (this->connection && !this->finished) this->connection->Close();
}

Task<CallFault> HttpCall::Send(std::string bytes, DurationMs max_idle_ms,
                               TimeMs connect_deadline, TimeMs deadline) {
  const std::uint64_t dialled_before = this->pool.DialCount();
  this->connection = co_await this->pool.Acquire(
      this->address, max_idle_ms, std::min(connect_deadline, deadline));
  if (!this->connection) co_return CallFault::kConnect;
  if (this->cancelled) {
    this->connection->Close();
    co_return CallFault::kCancelled;
  }
  this->reused = this->pool.DialCount() == dialled_before;
  this->parser =
      std::make_unique<HttpParser>(HttpParser::Kind::kResponse, kAnswerLimits);
  this->sent = true;
  this->sending = std::make_shared<Sending>();
  this->sending->done = false;
  Spawn(this->loop,
        [target = this->connection, text = std::move(bytes), deadline,
         progress = this->sending]() mutable -> Task<> {
          progress->failed = !co_await target->Write(std::move(text), deadline);
          progress->done = true;
        });
  co_return CallFault::kNone;
}

Task<CallFault> HttpCall::ReadHead(TimeMs deadline) {
  while (!this->parser->HeadDone() ||
         this->parser->Response().status < kFirstFinalStatus) {
    if (this->parser->Done()) {
      this->parser = std::make_unique<HttpParser>(HttpParser::Kind::kResponse,
                                                  kAnswerLimits);
    }
    this->connection->Consume(this->parser->Put(this->connection->Input()));
    if (this->parser->Fault() != ParseFault::kNone) {
      this->Cancel();
      co_return CallFault::kMalformed;
    }
    if (this->parser->HeadDone()) continue;
    const std::size_t known = this->connection->Input().size();
    co_await this->connection->WaitInput(known, deadline);
    if (this->connection->Input().size() > known) continue;
    const CallFault fault = this->FaultNow(deadline);
    if (fault != CallFault::kNone) co_return fault;
  }
  co_return CallFault::kNone;
}

Task<CallFault> HttpCall::ReadBody(std::string& piece, TimeMs deadline) {
  piece = this->parser->TakeBody();
  while (piece.empty() && !this->parser->Done()) {
    const std::size_t taken = this->parser->Put(this->connection->Input());
    this->connection->Consume(taken);
    piece = this->parser->TakeBody();
    if (this->parser->Fault() != ParseFault::kNone) {
      this->Cancel();
      co_return CallFault::kMalformed;
    }
    if (!piece.empty() || this->parser->Done()) break;
    const std::size_t known = this->connection->Input().size();
    co_await this->connection->WaitInput(known, deadline);
    if (this->connection->Input().size() > known) continue;
    if (this->cancelled) co_return CallFault::kCancelled;
    if (this->connection->State() == InputState::kEnded) {
      this->parser->PutEnd();
      if (this->parser->Done()) break;
      co_return CallFault::kTruncated;
    }
    const CallFault fault = this->FaultNow(deadline);
    if (fault != CallFault::kNone) co_return fault;
  }
  if (this->parser->Done()) this->Finish();
  co_return CallFault::kNone;
}

void HttpCall::Cancel() {
  this->cancelled = true;
  if (this->connection && !this->finished) this->connection->Close();
}

const ResponseHead& HttpCall::Head() const noexcept {
  return this->parser->Response();
}

bool HttpCall::Done() const noexcept {
  return this->parser && this->parser->Done();
}

bool HttpCall::Sent() const noexcept { return this->sent; }

bool HttpCall::Reused() const noexcept { return this->reused; }

CallFault HttpCall::FaultNow(TimeMs deadline) const {
  if (this->cancelled) return CallFault::kCancelled;
  if (this->connection->State() == InputState::kReset) return CallFault::kReset;
  if (this->connection->State() == InputState::kEnded) {
    return this->parser->Started() ? CallFault::kTruncated : CallFault::kReset;
  }
  return LoopNow() >= deadline ? CallFault::kTimeout : CallFault::kNone;
}

void HttpCall::Finish() {
  if (this->finished) return;
  this->finished = true;
  const bool clean = this->sending->done && !this->sending->failed &&
                     this->parser->Response().keep_alive &&
                     !this->parser->EndsWithConnection() &&
                     this->connection->Input().empty() &&
                     this->connection->State() == InputState::kOpen;
  if (!clean) {
    this->connection->Close();
    return;
  }
  this->pool.Release(this->connection, KeepMsOf(this->parser->Response()));
}

Task<HttpResponse> FetchResponse(Loop& loop, ConnectionPool& pool,
                                 std::string address, std::string bytes,
                                 TimeMs deadline) {
  // Shared by every short call that may be repeated; a stale connection shows
  // as a reset.
  constexpr DurationMs kReuseMs = 60'000;
  HttpResponse answer;
  HttpCall call(loop, pool, std::move(address));
  answer.fault =
      co_await call.Send(std::move(bytes), kReuseMs, deadline, deadline);
  if (answer.fault == CallFault::kNone) {
    answer.fault = co_await call.ReadHead(deadline);
  }
  while (answer.fault == CallFault::kNone) {
    std::string piece;
    answer.fault = co_await call.ReadBody(piece, deadline);
    answer.body += piece;
    if (answer.fault == CallFault::kNone && call.Done() && piece.empty()) break;
    if (call.Done() && answer.fault == CallFault::kNone) break;
  }
  if (answer.fault == CallFault::kNone) answer.head = call.Head();
  co_return answer;
}

}  // namespace limpethaven
