#include "slow_relay.h"

#include <boost/asio/write.hpp>
#include <vector>

#include "net/notifier.h"

namespace limpethaven::testing {
namespace {

constexpr DurationMs kStepMs = 20;
constexpr std::int64_t kMsPerS = 1000;
constexpr std::size_t kUnlimitedStepBytes = 65'536;

}  // namespace

SlowRelay::SlowRelay(Loop& event_loop, const std::string& listen_address,
                     const std::string& target_address,
                     std::int64_t bytes_per_s)
    : loop(event_loop),
      acceptor(event_loop, ParseAddress(listen_address).value()),
      target(ParseAddress(target_address).value()),
      step_bytes_from_target(
          static_cast<std::size_t>(bytes_per_s * kStepMs / kMsPerS)) {
  Spawn(this->loop, [this]() -> Task<> { co_await this->Accept(); });
}

void SlowRelay::Stop() {
  this->stopped = true;
  error_code ignored;
  this->acceptor.close(ignored);
}

Task<> SlowRelay::Accept() {
  while (!this->stopped) {
    error_code fault;
    const auto caller =
        std::make_shared<Socket>(co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, fault)));
    if (fault) co_return;
    const auto callee = std::make_shared<Socket>(this->loop);
    co_await callee->async_connect(
        this->target, asio::redirect_error(asio::use_awaitable, fault));
    if (fault) continue;
    Spawn(this->loop, [this, caller, callee]() -> Task<> {
      co_await this->Forward(caller, callee, kUnlimitedStepBytes, 0);
    });
    Spawn(this->loop, [this, caller, callee]() -> Task<> {
      co_await this->Forward(callee, caller, this->step_bytes_from_target,
                             kStepMs);
    });
  }
}

Task<> SlowRelay::Forward(std::shared_ptr<Socket> from,
                          std::shared_ptr<Socket> to, std::size_t step_bytes,
                          DurationMs step_ms) {
  std::vector<char> part(step_bytes);
  error_code fault;
  while (!fault && !this->stopped) {
    const std::size_t size = co_await from->async_read_some(
        asio::buffer(part), asio::redirect_error(asio::use_awaitable, fault));
    if (fault) break;
    co_await asio::async_write(
        *to, asio::buffer(part.data(), size),
        asio::redirect_error(asio::use_awaitable, fault));
    if (step_ms > 0) co_await SleepFor(this->loop, step_ms);
  }
  error_code ignored;
  to->close(ignored);
  from->close(ignored);
}

}  // namespace limpethaven::testing
