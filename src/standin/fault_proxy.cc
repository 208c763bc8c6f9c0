#include "standin/fault_proxy.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace limpethaven {
namespace {

/// Calm lasts long enough for requests to be served, faults from a short hitch
/// to longer than an engine may be silent.
constexpr DurationMs kMinCalmMs = 400;
constexpr DurationMs kMaxCalmMs = 3000;
constexpr DurationMs kMinFaultMs = 150;
constexpr DurationMs kMaxFaultMs = 2500;
constexpr DurationMs kDelayMs = 120;
constexpr DurationMs kHoldLookMs = 10;
constexpr DurationMs kDialMs = 1000;
/// Longer than any fault: a reader that is held is no reason to break.
constexpr DurationMs kWriteMs = 60'000;

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

ProxySchedule::ProxySchedule(std::uint64_t seed) : random(seed) {}

ProxySpan ProxySchedule::Next() {
  this->calm = !this->calm;
  // Plain remainders: distributions differ between standard libraries.
  if (this->calm) {
    const std::uint64_t span = kMaxCalmMs - kMinCalmMs;
    return {ProxyFault::kNone,
            kMinCalmMs + static_cast<DurationMs>(this->random() % span)};
  }
  const ProxyFault fault = kFaults.at(this->random() % kFaults.size());
  const std::uint64_t span = kMaxFaultMs - kMinFaultMs;
  return {fault, kMinFaultMs + static_cast<DurationMs>(this->random() % span)};
}

FaultProxy::FaultProxy(Loop& event_loop, FaultProxySettings proxy_settings)
    : loop(event_loop),
      settings(std::move(proxy_settings)),
      acceptor(event_loop) {}

bool FaultProxy::Start() {
  const auto address = ParseAddress(this->settings.address + ":" +
                                    std::to_string(this->settings.port));
  if (!address) return false;
  error_code fault_code;
  this->acceptor.open(asio::ip::tcp::v4(), fault_code);
  if (fault_code) return false;
  this->acceptor.set_option(asio::socket_base::reuse_address(true), fault_code);
  this->acceptor.bind(*address, fault_code);
  if (fault_code) return false;
  this->acceptor.listen(asio::socket_base::max_listen_connections, fault_code);
  if (fault_code) return false;
  Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
  if (this->settings.seed != 0) {
    Spawn(this->loop, [this]() -> Task<> { co_await this->PlayFaults(); });
  }
  return true;
}

Task<> FaultProxy::Accept() {
  for (;;) {
    error_code fault_code;
    asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, fault_code));
    if (fault_code) co_return;
    auto caller =
        std::make_shared<Connection>(this->loop, std::move(socket), "");
    caller->Start();
    if (this->fault == ProxyFault::kNoAccept) {
      caller->Reset();
      continue;
    }
    Spawn(this->loop, [this, caller]() -> Task<> {
      std::string target = this->settings.to;
      const ConnectionPtr server = co_await Connection::Dial(
          this->loop, std::move(target), LoopNow() + kDialMs);
      if (!server) {
        caller->Reset();
        co_return;
      }
      std::erase_if(this->open, [](const auto& row) { return row.expired(); });
      this->open.push_back(caller);
      this->open.push_back(server);
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
    co_await from->WaitInput(0, LoopNow() + kWriteMs);
    while (this->Holds(to_caller)) co_await SleepFor(this->loop, kHoldLookMs);
    if (this->fault == ProxyFault::kDelay) {
      co_await SleepFor(this->loop, kDelayMs);
    }
    std::string bytes(from->Input());
    from->Consume(bytes.size());
    if (!bytes.empty()) {
      const bool sent =
          co_await to->Write(std::move(bytes), LoopNow() + kWriteMs);
      if (sent) continue;
      from->Reset();
      co_return;
    }
    if (from->State() == InputState::kOpen) continue;
    // An orderly end stays one, a break stays a break.
    if (from->State() == InputState::kEnded) {
      to->Close();
    } else {
      to->Reset();
    }
    co_return;
  }
}

Task<> FaultProxy::PlayFaults() {
  ProxySchedule schedule(this->settings.seed);
  const TimeMs began = LoopNow();
  const DurationMs until = this->settings.until_ms;
  while (until == 0 || LoopNow() - began < until) {
    const ProxySpan span = schedule.Next();
    this->fault = span.fault;
    std::cout << "proxy at_ms=" << LoopNow() - began
              << " to=" << this->settings.to << " fault=" << NameOf(span.fault)
              << " for_ms=" << span.for_ms << '\n'
              << std::flush;
    if (span.fault == ProxyFault::kReset) {
      const auto broken = this->open;
      std::ranges::for_each(broken, [](const auto& row) {
        if (const ConnectionPtr connection = row.lock()) connection->Reset();
      });
    }
    co_await SleepFor(this->loop, span.for_ms);
  }
  this->fault = ProxyFault::kNone;
}

bool FaultProxy::Holds(bool to_caller) const noexcept {
  return this->fault == ProxyFault::kSilent ||
         (this->fault == ProxyFault::kOneWay && to_caller);
}

}  // namespace limpethaven
