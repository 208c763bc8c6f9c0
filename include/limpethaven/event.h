/// @file
/// Numbered log events. `docs/EVENTS.md` is their catalogue; a test checks that
/// it lists the same events.
#pragma once

#include <span>
#include <string_view>

namespace limpethaven {

/// Number of a log event. The number of a removed event is never used again.
enum class EventId {
  kProcessStarted = 100,
  kProcessReady = 101,
  kProcessStopping = 102,
  kProcessStopped = 103,
  kPauseDetected = 104,
  kSettingsRead = 105,
  kLogLinesDropped = 106,
  kConfigAdopted = 200,
  kConfigConflict = 201,
  kConfigSourceLost = 202,
  kConfigRejected = 203,
  kConfigSourceRegained = 204,
  kSourceWatchLost = 205,
  kSourceRestored = 206,
  kReaderRoleChanged = 207,
  kSourceReadDirectly = 208,
  kSourceReadByPeers = 209,
  kEndpointAnnounced = 210,
  kEndpointLeaving = 211,
  kEndpointGone = 212,
  kEndpointRejected = 213,
  kEndpointRetained = 214,
  kPeerStateLost = 215,
  kMemberAlive = 300,
  kMemberSuspect = 301,
  kMemberDead = 302,
  kMemberLeaving = 303,
  kPeerMessageRejected = 304,
  kFleetKnown = 305,
  kFleetUnknown = 306,
  kRequestAccepted = 400,
  kRequestRefused = 401,
  kRequestFinished = 402,
  kRequestCancelled = 403,
  kRequestResumed = 404,
  kRouteDecision = 410,
  kPlacementDecision = 411,
  kPlacementQueued = 412,
  kPrefillFinished = 413,
  kEndpointCallFailed = 414,
  kPlacementRefused = 415,
  kCellOwnerLost = 416,
  kCellLimitDivisor = 417,
  kRetry = 420,
  kStreamEventDropped = 421,
  kStreamReconnected = 422,
  kReservationLapsed = 430,
  kOrphanCancelled = 431,
  kCancelRetried = 432,
  kRunEnded = 433,
  kTokensBorrowed = 440,
  kTokensLent = 441,
  kShareSlotsChanged = 442,
  kTicketMinted = 450,
  kTicketRun = 451,
  kKeyWithdrawnMidStream = 460,
  kEndpointEjected = 470,
  kEndpointReturned = 471,
  kEndpointLimitNamed = 472,
  kEndpointLimitEnded = 473,
  kEndpointPaused = 474,
  kEndpointPauseEnded = 475,
  kPlainSharesChanged = 476,
  kPlainChoiceDeviates = 477,
  kPromptCrashRecorded = 480,
  kPromptQuarantined = 481,
  kPromptReleased = 482,
  kOrderSent = 500,
  kOrderRefused = 501,
  kOrderConverged = 502,
  kRoleOrderSent = 510,
  kRoleOrderAnswered = 511,
  kRoleChanged = 512,
  kRoleChangeTimedOut = 513,
  kRoleLeaseChanged = 514,
  kInternalError = 900,
};

/// A row of the event table.
struct EventRow {
  EventId id;
  std::string_view name;
};

/// All events, in ascending order of their numbers.
[[nodiscard]] std::span<const EventRow> EventTable() noexcept;
/// Name of an event, e.g. `route_decision`; `unknown_event` for a number that
/// is not in the table.
[[nodiscard]] std::string_view NameOf(EventId id) noexcept;

}  // namespace limpethaven
