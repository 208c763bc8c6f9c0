#include "net/http_client.h"

#include <algorithm>
#include <array>

namespace limpethaven {
namespace {

constexpr std::array<std::string_view, 8> kFaultNames = {
    "none",      "connect",   "reset",   "truncated",
    "malformed", "too_large", "timeout", "cancelled"};

/// Largest head and body of a response that are accepted.
constexpr MessageLimits kResponseLimits{65'536, 64'000'000};
/// Time for which a peer is taken to keep an idle connection open if its
/// response has no `Keep-Alive: timeout`.
constexpr DurationMs kDefaultKeepAliveMs = 4000;
/// Idle connections are closed this long before the peer closes them, so that
/// no request is sent while the peer closes the connection.
constexpr DurationMs kKeepAliveMarginMs = 500;
constexpr DurationMs kMsPerS = 1000;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;
/// Most interim responses that are skipped before a final one.
constexpr int kMaxInterimResponses = 8;

/// Time for which the peer keeps the connection open after this response.
DurationMs KeepAliveMsOf(const ResponseHead& head) {
  const std::string_view value = head.headers.Get("Keep-Alive");
  const auto found = value.find("timeout=");
  if (found == std::string_view::npos) return kDefaultKeepAliveMs;
  Headers parsed;
  std::string_view digits = value.substr(found + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  parsed.Add("t", digits);
  return parsed.GetInt("t").value_or(0) * kMsPerS;
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
  const auto found =
      max_idle_ms > 0 ? this->idle.find(address) : this->idle.end();
  while (found != this->idle.end() && !found->second.empty()) {
    // The connection used last is the least likely to have been closed.
    const IdleConnection candidate = std::move(found->second.back());
    found->second.pop_back();
    const TimeMs now = LoopNow();
    const bool usable = candidate.connection->State() == InputState::kOpen &&
                        candidate.connection->Input().empty() &&
                        now < candidate.expires_at &&
                        now - candidate.idle_since < max_idle_ms;
    if (usable) co_return candidate.connection;
    candidate.connection->Close();
  }
  ++this->dial_count;
  co_return co_await Connection::Dial(this->loop, std::move(address), deadline);
}

void ConnectionPool::Release(ConnectionPtr connection,
                             DurationMs keep_alive_ms) {
  const TimeMs now = LoopNow();
  std::deque<IdleConnection>& connections = this->idle[connection->Peer()];
  connections.push_back(IdleConnection{
      std::move(connection), now,
      now + std::max<DurationMs>(0, keep_alive_ms - kKeepAliveMarginMs)});
  if (connections.size() <= this->idle_limit) return;
  connections.front().connection->Close();
  connections.pop_front();
}

void ConnectionPool::CloseIdle(const std::string& address) {
  this->CloseIdleSince(address, LoopNow());
}

void ConnectionPool::CloseIdleSince(const std::string& address, TimeMs time) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) return;
  std::erase_if(found->second, [time](const IdleConnection& entry) {
    if (entry.idle_since > time) return false;
    entry.connection->Close();
    return true;
  });
  if (found->second.empty()) this->idle.erase(found);
}

void ConnectionPool::CloseExpired(TimeMs now) {
  std::ranges::for_each(this->idle, [now](auto& per_address) {
    std::erase_if(per_address.second, [now](const IdleConnection& entry) {
      const bool expired = now >= entry.expires_at ||
                           entry.connection->State() != InputState::kOpen;
      if (expired) entry.connection->Close();
      return expired;
    });
  });
  std::erase_if(this->idle, [](const auto& per_address) {
    return per_address.second.empty();
  });
}

std::uint64_t ConnectionPool::DialCount() const noexcept {
  return this->dial_count;
}

HttpCall::HttpCall(Loop& event_loop, ConnectionPool& connections,
                   std::string peer_address)
    : loop(event_loop), pool(connections), address(std::move(peer_address)) {}

HttpCall::~HttpCall() {
  if (this->connection && !this->finished) this->connection->Close();
}

Task<CallFault> HttpCall::Send(std::string bytes, DurationMs max_idle_ms,
                               TimeMs connect_deadline, TimeMs deadline) {
  const std::uint64_t dial_count_before = this->pool.DialCount();
  this->connection = co_await this->pool.Acquire(
      this->address, max_idle_ms, std::min(connect_deadline, deadline));
  if (!this->connection) co_return CallFault::kConnect;
  if (this->cancelled) {
    this->connection->Close();
    co_return CallFault::kCancelled;
  }
  this->reused = this->pool.DialCount() == dial_count_before;
  this->parser = std::make_unique<HttpParser>(HttpParser::Kind::kResponse,
                                              kResponseLimits);
  this->sent = true;
  this->sent_at = LoopNow();
  this->send_state = std::make_shared<SendState>(this->loop);
  Spawn(this->loop,
        [connection = this->connection, request = std::move(bytes), deadline,
         state = this->send_state]() mutable -> Task<> {
          state->failed =
              !co_await connection->Write(std::move(request), deadline);
          state->done = true;
          state->ended.Notify();
        });
  co_return CallFault::kNone;
}

Task<CallFault> HttpCall::ReadHead(TimeMs deadline) {
  int interim_responses = 0;
  while (!this->parser->HeadDone() ||
         this->parser->Response().status < kFirstFinalStatus) {
    if (this->parser->Done()) {
      // No request asks for another protocol.
      if (this->parser->Response().status == kSwitchingProtocols) {
        this->Cancel();
        co_return CallFault::kMalformed;
      }
      if (++interim_responses > kMaxInterimResponses) {
        this->Cancel();
        co_return CallFault::kTooLarge;
      }
      this->parser = std::make_unique<HttpParser>(HttpParser::Kind::kResponse,
                                                  kResponseLimits);
    }
    const CallFault invalid = this->ParseInput();
    if (invalid != CallFault::kNone) co_return invalid;
    if (this->parser->HeadDone()) continue;
    const std::size_t buffered_bytes = this->connection->Input().size();
    co_await this->connection->WaitInput(buffered_bytes, deadline);
    if (this->connection->Input().size() > buffered_bytes) continue;
    const CallFault fault = this->WaitFault(deadline);
    if (fault == CallFault::kTimeout && this->reused &&
        !this->parser->Started()) {
      // The connection may have fallen silent, and the other idle ones with it.
      this->pool.CloseIdleSince(this->address, this->sent_at);
    }
    if (fault != CallFault::kNone) co_return fault;
  }
  co_return CallFault::kNone;
}

Task<CallFault> HttpCall::ReadBody(std::string& part, TimeMs deadline) {
  part = this->parser->TakeBody();
  while (part.empty() && !this->parser->Done()) {
    const CallFault invalid = this->ParseInput();
    part = this->parser->TakeBody();
    if (invalid != CallFault::kNone) co_return invalid;
    if (!part.empty() || this->parser->Done()) break;
    const std::size_t buffered_bytes = this->connection->Input().size();
    co_await this->connection->WaitInput(buffered_bytes, deadline);
    if (this->connection->Input().size() > buffered_bytes) continue;
    if (this->cancelled) co_return CallFault::kCancelled;
    if (this->connection->State() == InputState::kEnded) {
      const CallFault end = co_await this->ReadEnd(deadline);
      if (end != CallFault::kNone) co_return end;
      break;
    }
    const CallFault fault = this->WaitFault(deadline);
    if (fault != CallFault::kNone) co_return fault;
  }
  if (this->parser->Done()) this->Finish();
  co_return CallFault::kNone;
}

Task<CallFault> HttpCall::ReadEnd(TimeMs deadline) {
  // A reset is reported to one operation only: when a pending write takes it,
  // the next read sees the end of the input. So the outcome of the write tells
  // whether the end of the connection ends a response without a length.
  while (!this->send_state->done && !this->cancelled && LoopNow() < deadline) {
    co_await this->send_state->ended.WaitUntil(deadline);
  }
  if (this->cancelled) co_return CallFault::kCancelled;
  if (!this->send_state->done) co_return CallFault::kTimeout;
  if (this->send_state->failed) co_return CallFault::kReset;
  this->parser->PutEof();
  co_return this->parser->Done() ? CallFault::kNone : CallFault::kTruncated;
}

void HttpCall::Cancel() {
  this->cancelled = true;
  if (this->send_state) this->send_state->ended.Notify();
  if (this->connection && !this->finished) this->connection->Close();
}

void HttpCall::DoNotReuse() noexcept { this->single_use = true; }

const ResponseHead& HttpCall::Head() const noexcept {
  return this->parser->Response();
}

bool HttpCall::Done() const noexcept {
  return this->parser && this->parser->Done();
}

bool HttpCall::Sent() const noexcept { return this->sent; }

bool HttpCall::Reused() const noexcept { return this->reused; }

CallFault HttpCall::ParseInput() {
  this->connection->Consume(this->parser->Put(this->connection->Input()));
  const ParseFault invalid = this->parser->Fault();
  // The connection reads no further while its buffer is full, so that a line
  // which fills it can never be completed.
  const bool stuck = !this->parser->Done() &&
                     this->connection->Input().size() >= kMaxBufferedInputBytes;
  if (invalid == ParseFault::kNone && !stuck) return CallFault::kNone;
  this->Cancel();
  const bool too_large = stuck || invalid == ParseFault::kHeaderTooLarge ||
                         invalid == ParseFault::kBodyTooLarge;
  return too_large ? CallFault::kTooLarge : CallFault::kMalformed;
}

CallFault HttpCall::WaitFault(TimeMs deadline) const {
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
  const bool reusable =
      !this->single_use && this->send_state->done &&
      !this->send_state->failed && this->parser->Response().keep_alive &&
      !this->parser->CloseDelimited() && this->connection->Input().empty() &&
      this->connection->State() == InputState::kOpen;
  if (!reusable) {
    this->connection->Close();
    return;
  }
  this->pool.Release(this->connection, KeepAliveMsOf(this->parser->Response()));
}

Task<HttpResponse> FetchResponse(Loop& loop, ConnectionPool& pool,
                                 std::string address, std::string bytes,
                                 TimeMs deadline, std::size_t max_body_bytes,
                                 DurationMs stall_ms) {
  // Connections idle for up to 60 s are reused, because calls that may be
  // repeated tolerate the `kReset` of one that the peer has just closed.
  constexpr DurationMs kMaxIdleMs = 60'000;
  HttpResponse result;
  HttpCall call(loop, pool, std::move(address));
  result.fault =
      co_await call.Send(std::move(bytes), kMaxIdleMs, deadline, deadline);
  if (result.fault == CallFault::kNone) {
    result.fault = co_await call.ReadHead(deadline);
  }
  const TimeMs last_deadline = deadline + kMaxTransferMs;
  while (result.fault == CallFault::kNone) {
    std::string part;
    if (stall_ms > 0) deadline = std::min(LoopNow() + stall_ms, last_deadline);
    result.fault = co_await call.ReadBody(part, deadline);
    result.body += part;
    if (result.body.size() > max_body_bytes) {
      call.Cancel();
      result.fault = CallFault::kTooLarge;
      result.body.clear();
    }
    if (result.fault == CallFault::kNone && call.Done() && part.empty()) break;
    if (call.Done() && result.fault == CallFault::kNone) break;
  }
  if (result.fault == CallFault::kNone) result.head = call.Head();
  co_return result;
}

}  // namespace limpethaven
