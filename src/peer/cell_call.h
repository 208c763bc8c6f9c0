/// @file
/// Calls of an entry process to the owner of a cell.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/cancellation.h"
#include "peer/cell_messages.h"
#include "peer/peer_link.h"

namespace limpethaven {

inline constexpr std::string_view kCellPlacePath = "/peer/v1/place";

/// The request after a part of its time has passed, to be handed to another
/// owner; empty when its caller no longer waits.
[[nodiscard]] std::optional<PlacementRequest> AfterWait(
    PlacementRequest request, DurationMs elapsed_ms);
/// Time until which the placement of a request may take.
[[nodiscard]] TimeMs PlacementDeadline(const PlacementRequest& request,
                                       TimeMs now);
/// Calls an owner for a placement. The error is `kEndpointFailed` when it does
/// not answer in time or its answer is malformed; otherwise it is an error of
/// `PeerLink::CallLong`.
Task<Result<CellPlacementAnswer>> CallCellOwner(PeerLink& link,
                                                std::string owner,
                                                CellPlacementRequest message,
                                                Cancellation& cancel);

}  // namespace limpethaven
