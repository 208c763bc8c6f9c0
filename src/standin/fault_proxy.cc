#include "standin/fault_proxy.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace limpethaven {
namespace {

/// Fault-free periods are long enough for requests to be served. Faults last
/// from a short interruption to longer than an engine may send nothing.
constexpr DurationMs kMinFaultFreeMs = 400;
constexpr DurationMs kMaxFaultFreeMs = 3000;
constexpr DurationMs kMinFaultMs = 150;
constexpr DurationMs kMaxFaultMs = 2500;
constexpr DurationMs kDelayMs = 120;
constexpr DurationMs kHoldPollMs = 10;
constexpr DurationMs kConnectTimeoutMs = 1000;
/// Longer than any fault, so that the proxy does not reset a connection because
/// its other side does not read while bytes are held.
constexpr DurationMs kIoTimeoutMs = 60'000;

constexpr std::array kFaults = {ProxyFault::kDelay, ProxyFault::kSilent,
                                ProxyFault::kOneWay, ProxyFault::kReset,
                                ProxyFault::kNoAccept};

}  // namespace

std::string_view NameOf(ProxyFault fault) noexcept {
  switch (fault) {
    case ProxyFault::kNone:
      return "none";
    case ProxyFault::kDelay:
      return "delay";
    case ProxyFault::kSilent:
      return "silent";
    case ProxyFault::kOneWay:
      return "one_way";
    case ProxyFault::kReset:
      return "reset";
    case ProxyFault::kNoAccept:
      return "no_accept";
  }
  return "none";
}

FaultSchedule::FaultSchedule(std::uint64_t seed) : random(seed) {}

FaultPeriod FaultSchedule::Next() {
  this->fault_free = !this->fault_free;
  // Remainders, since the distributions of standard libraries differ and would
  // give different schedules for a seed.
  if (this->fault_free) {
    const std::uint64_t range_ms = kMaxFaultFreeMs - kMinFaultFreeMs;
    return {
        ProxyFault::kNone,
        kMinFaultFreeMs + static_cast<DurationMs>(this->random() % range_ms)};
  }
  const ProxyFault fault = kFaults.at(this->random() % kFaults.size());
  const std::uint64_t range_ms = kMaxFaultMs - kMinFaultMs;
  return {fault,
          kMinFaultMs + static_cast<DurationMs>(this->random() % range_ms)};
}

FaultProxy::FaultProxy(Loop& event_loop, FaultProxySettings proxy_settings)
    : loop(event_loop),
      settings(std::move(proxy_settings)),
      acceptor(event_loop) {}

bool FaultProxy::Start() {
  const auto address = ParseAddress(this->settings.address + ":" +
                                    std::to_string(this->settings.port));
  if (!address) return false;
  error_code error;
  this->acceptor.open(asio::ip::tcp::v4(), error);
  if (error) return false;
  this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  this->acceptor.bind(*address, error);
  if (error) return false;
  this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return false;
  Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  if (this->settings.seed != 0) {
    Spawn(this->loop, [this]() -> Task<> { co_await this->RunSchedule(); });
  }
  return true;
}

Task<> FaultProxy::Accept() {
  for (;;) {
    error_code error;
    asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    auto caller =
        std::make_shared<Connection>(this->loop, std::move(socket), "");
    caller->Start();
    if (this->fault == ProxyFault::kNoAccept) {
      caller->Reset();
      continue;
    }
    Spawn(this->loop, [this, caller]() -> Task<> {
      std::string target = this->settings.target;
      const ConnectionPtr server = co_await Connection::Dial(
          this->loop, std::move(target), LoopNow() + kConnectTimeoutMs);
      if (!server) {
        caller->Reset();
        co_return;
      }
      std::erase_if(this->open_connections,
                    [](const auto& row) { return row.expired(); });
      this->open_connections.push_back(caller);
      this->open_connections.push_back(server);
      Spawn(this->loop, [this, caller, server]() -> Task<> {
        co_await this->Forward(caller, server, false);
      });
      co_await this->Forward(server, caller, true);
    });
  }
}

Task<> FaultProxy::Forward(ConnectionPtr from, ConnectionPtr to,
                           bool to_caller) {
  for (;;) {
    co_await from->WaitInput(0, LoopNow() + kIoTimeoutMs);
    while (this->HoldsBytes(to_caller)) {
      co_await SleepFor(this->loop, kHoldPollMs);
    }
    if (this->fault == ProxyFault::kDelay) {
      co_await SleepFor(this->loop, kDelayMs);
    }
    std::string bytes(from->Input());
    from->Consume(bytes.size());
    if (!bytes.empty()) {
      const bool sent =
          co_await to->Write(std::move(bytes), LoopNow() + kIoTimeoutMs);
      if (sent) continue;
      from->Reset();
      co_return;
    }
    if (from->State() == InputState::kOpen) continue;
    // Ends the other side as this side ended: in order, or with a reset.
    if (from->State() == InputState::kEnded) {
      to->Close();
    } else {
      to->Reset();
    }
    co_return;
  }
}

Task<> FaultProxy::RunSchedule() {
  FaultSchedule schedule(this->settings.seed);
  const TimeMs started_at = LoopNow();
  const DurationMs until_ms = this->settings.until_ms;
  while (until_ms == 0 || LoopNow() - started_at < until_ms) {
    const FaultPeriod period = schedule.Next();
    this->fault = period.fault;
    std::cout << "proxy at_ms=" << LoopNow() - started_at
              << " to=" << this->settings.target
              << " fault=" << NameOf(period.fault)
              << " for_ms=" << period.duration_ms << '\n'
              << std::flush;
    if (period.fault == ProxyFault::kReset) {
      const auto reset_connections = this->open_connections;
      std::ranges::for_each(reset_connections, [](const auto& row) {
        if (const ConnectionPtr connection = row.lock()) connection->Reset();
      });
    }
    co_await SleepFor(this->loop, period.duration_ms);
  }
  this->fault = ProxyFault::kNone;
}

bool FaultProxy::HoldsBytes(bool to_caller) const noexcept {
  return this->fault == ProxyFault::kSilent ||
         (this->fault == ProxyFault::kOneWay && to_caller);
}

}  // namespace limpethaven
