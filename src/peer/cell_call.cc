#include "peer/cell_call.h"

#include <algorithm>

namespace limpethaven {
namespace {

using nlohmann::json;

/// An owner that does not acknowledge a call within this time is skipped.
constexpr DurationMs kAckTimeoutMs = 60;

}  // namespace

std::optional<PlacementRequest> AfterWait(PlacementRequest request,
                                          DurationMs elapsed_ms) {
  const bool may_be_late = request.patience_ms > 0;
  request.budget_ms -= elapsed_ms;
  if (!may_be_late) return request;
  request.patience_ms -= elapsed_ms;
  if (std::max(request.patience_ms, request.budget_ms) <= 0) {
    return std::nullopt;
  }
  // 0 stands for a request that may not be late.
  request.patience_ms = std::max<DurationMs>(1, request.patience_ms);
  return request;
}

TimeMs PlacementDeadline(const PlacementRequest& request, TimeMs now) {
  /// Time that a placement may take beyond the larger of `patience_ms` and
  /// `budget_ms` of its request.
  constexpr DurationMs kPlacementMarginMs = 100;
  return now + std::max(request.patience_ms, request.budget_ms) +
         kPlacementMarginMs;
}

Task<Result<CellPlacementAnswer>> CallCellOwner(PeerLink& link,
                                                std::string owner,
                                                CellPlacementRequest message,
                                                Cancellation& cancel) {
  const TimeMs deadline = PlacementDeadline(message.request, LoopNow());
  const json body = message;
  const Result<std::string> answer =
      co_await link.CallLong(owner, std::string(kCellPlacePath), body.dump(),
                             kAckTimeoutMs, deadline, cancel);
  if (!answer) co_return answer.error();
  try {
    co_return json::parse(answer.value(), nullptr, false)
        .get<CellPlacementAnswer>();
  } catch (const json::exception& fault) {
    co_return Error::Of(
        ErrorKind::kEndpointFailed,
        "malformed placement answer from " + owner + ": " + fault.what());
  }
}

}  // namespace limpethaven
