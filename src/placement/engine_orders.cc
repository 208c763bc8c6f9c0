#include "placement/engine_orders.h"

#include "protocol/engine_messages.h"

namespace limpethaven {
namespace {

constexpr DurationMs kCallTimeoutMs = 500;
/// Idle connections kept for each engine.
constexpr std::size_t kMaxIdleConnectionCount = 1;
constexpr int kOkStatus = 200;

}  // namespace

HttpEngineOrders::HttpEngineOrders(Loop& event_loop)
    : loop(event_loop), pool(event_loop, kMaxIdleConnectionCount) {}

Task<Result<EngineState>> HttpEngineOrders::ReadState(std::string address) {
  RequestHead head{"GET", "/state", {}};
  std::string body;
  const Result<std::string> text =
      co_await this->Call(address, std::move(head), std::move(body));
  if (!text) co_return text.error();
  co_return ReadJson<EngineState>(text.value(), "engine state");
}

Task<Result<void>> HttpEngineOrders::Order(std::string address,
                                           EngineOrder order) {
  RequestHead head{"POST", "/orders", {}};
  head.headers.Add("Content-Type", "application/json");
  std::string body = WriteJson(order);
  const Result<std::string> answer =
      co_await this->Call(address, std::move(head), std::move(body));
  if (!answer) co_return answer.error();
  co_return Success();
}

Task<Result<std::string>> HttpEngineOrders::Call(std::string address,
                                                 RequestHead head,
                                                 std::string body) {
  head.headers.Add("Host", address);
  std::string bytes = WriteRequest(head, body);
  const HttpResponse answer =
      co_await FetchResponse(this->loop, this->pool, address, std::move(bytes),
                             LoopNow() + kCallTimeoutMs);
  if (answer.fault != CallFault::kNone) {
    co_return Error::Of(ErrorKind::kEndpointFailed,
                        "engine " + address + ": call failed: " +
                            std::string(NameOf(answer.fault)));
  }
  if (answer.head.status == kOkStatus) co_return answer.body;
  if (auto error = ErrorFromJsonBody(answer.body)) co_return *error;
  co_return Error::Of(ErrorKind::kEndpointFailed,
                      "engine " + address + " answered with status " +
                          std::to_string(answer.head.status));
}

}  // namespace limpethaven
