#include "limpethaven/event.h"

#include <algorithm>
#include <array>

namespace limpethaven {
namespace {

constexpr std::array kEvents = {
    EventRow{EventId::kProcessStarted, "process_started"},
    EventRow{EventId::kProcessReady, "process_ready"},
    EventRow{EventId::kProcessStopping, "process_stopping"},
    EventRow{EventId::kProcessStopped, "process_stopped"},
    EventRow{EventId::kPauseDetected, "pause_detected"},
    EventRow{EventId::kSettingsRead, "settings_read"},
    EventRow{EventId::kLogLinesDropped, "log_lines_dropped"},
    EventRow{EventId::kConfigAdopted, "config_adopted"},
    EventRow{EventId::kConfigConflict, "config_conflict"},
    EventRow{EventId::kConfigSourceLost, "config_source_lost"},
    EventRow{EventId::kConfigRejected, "config_rejected"},
    EventRow{EventId::kConfigSourceRegained, "config_source_regained"},
    EventRow{EventId::kSourceWatchLost, "source_watch_lost"},
    EventRow{EventId::kSourceRestored, "source_restored"},
    EventRow{EventId::kReaderRoleChanged, "reader_role_changed"},
    EventRow{EventId::kSourceReadDirectly, "source_read_directly"},
    EventRow{EventId::kSourceReadByPeers, "source_read_by_peers"},
    EventRow{EventId::kEndpointAnnounced, "endpoint_announced"},
    EventRow{EventId::kEndpointLeaving, "endpoint_leaving"},
    EventRow{EventId::kEndpointGone, "endpoint_gone"},
    EventRow{EventId::kEndpointRejected, "endpoint_rejected"},
    EventRow{EventId::kEndpointRetained, "endpoint_retained"},
    EventRow{EventId::kPeerStateLost, "peer_state_lost"},
    EventRow{EventId::kMemberAlive, "member_alive"},
    EventRow{EventId::kMemberSuspect, "member_suspect"},
    EventRow{EventId::kMemberDead, "member_dead"},
    EventRow{EventId::kMemberLeaving, "member_leaving"},
    EventRow{EventId::kPeerMessageRejected, "peer_message_rejected"},
    EventRow{EventId::kFleetKnown, "fleet_known"},
    EventRow{EventId::kFleetUnknown, "fleet_unknown"},
    EventRow{EventId::kRequestAccepted, "request_accepted"},
    EventRow{EventId::kRequestRefused, "request_refused"},
    EventRow{EventId::kRequestFinished, "request_finished"},
    EventRow{EventId::kRequestCancelled, "request_cancelled"},
    EventRow{EventId::kRequestResumed, "request_resumed"},
    EventRow{EventId::kRouteDecision, "route_decision"},
    EventRow{EventId::kPlacementDecision, "placement_decision"},
    EventRow{EventId::kPlacementQueued, "placement_queued"},
    EventRow{EventId::kPrefillFinished, "prefill_finished"},
    EventRow{EventId::kEndpointCallFailed, "endpoint_call_failed"},
    EventRow{EventId::kPlacementRefused, "placement_refused"},
    EventRow{EventId::kCellOwnerLost, "cell_owner_lost"},
    EventRow{EventId::kCellLimitDivisor, "cell_limit_divisor"},
    EventRow{EventId::kRetry, "retry"},
    EventRow{EventId::kStreamEventDropped, "stream_event_dropped"},
    EventRow{EventId::kStreamReconnected, "stream_reconnected"},
    EventRow{EventId::kReservationLapsed, "reservation_lapsed"},
    EventRow{EventId::kOrphanCancelled, "orphan_cancelled"},
    EventRow{EventId::kCancelRetried, "cancel_retried"},
    EventRow{EventId::kRunEnded, "run_ended"},
    EventRow{EventId::kTokensBorrowed, "tokens_borrowed"},
    EventRow{EventId::kTokensLent, "tokens_lent"},
    EventRow{EventId::kShareSlotsChanged, "share_slots_changed"},
    EventRow{EventId::kTicketMinted, "ticket_minted"},
    EventRow{EventId::kTicketRun, "ticket_run"},
    EventRow{EventId::kKeyWithdrawnMidStream, "key_withdrawn_mid_stream"},
    EventRow{EventId::kEndpointEjected, "endpoint_ejected"},
    EventRow{EventId::kEndpointReturned, "endpoint_returned"},
    EventRow{EventId::kEndpointLimitNamed, "endpoint_limit_named"},
    EventRow{EventId::kEndpointLimitEnded, "endpoint_limit_ended"},
    EventRow{EventId::kEndpointPaused, "endpoint_paused"},
    EventRow{EventId::kEndpointPauseEnded, "endpoint_pause_ended"},
    EventRow{EventId::kPlainSharesChanged, "plain_shares_changed"},
    EventRow{EventId::kPlainChoiceDeviates, "plain_choice_deviates"},
    EventRow{EventId::kPromptCrashRecorded, "prompt_crash_recorded"},
    EventRow{EventId::kPromptQuarantined, "prompt_quarantined"},
    EventRow{EventId::kPromptReleased, "prompt_released"},
    EventRow{EventId::kOrderSent, "order_sent"},
    EventRow{EventId::kOrderRefused, "order_refused"},
    EventRow{EventId::kOrderConverged, "order_converged"},
    EventRow{EventId::kRoleOrderSent, "role_order_sent"},
    EventRow{EventId::kRoleOrderAnswered, "role_order_answered"},
    EventRow{EventId::kRoleChanged, "role_changed"},
    EventRow{EventId::kRoleChangeTimedOut, "role_change_timed_out"},
    EventRow{EventId::kRoleLeaseChanged, "role_lease_changed"},
    EventRow{EventId::kInternalError, "internal_error"},
};

}  // namespace

std::span<const EventRow> EventTable() noexcept { return kEvents; }

std::string_view NameOf(EventId id) noexcept {
  const auto row = std::ranges::find(kEvents, id, &EventRow::id);
  return row == kEvents.end() ? std::string_view("unknown_event") : row->name;
}

}  // namespace limpethaven
