/// @file
/// JSON bodies of the calls between processes that place requests in cells.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/order_lease.h"

namespace limpethaven {

/// Limit on requests that an engine names.
struct EngineLimit {
  std::string engine;
  double max_per_s = 0;
  DurationMs age_ms = 0;  ///< Time since the engine named it.
};

/// What processes pass on about the role orders to a cell's engines, so that a
/// later owner of the cell knows it.
struct OrderMark {
  OrderTerm term;  ///< Highest term that was claimed.
  /// Hash of the process that claimed it, see `OrderHolderHash`; 0 when two
  /// have claimed the term before.
  std::uint32_t holder = 0;
  /// Initial share of prefill engines, in thousandths, that the holder of this
  /// term has seen; 0: not known.
  std::int64_t prefill_permille = 0;
  friend auto operator<=>(const OrderMark&, const OrderMark&) = default;
};

/// Start of a process, before which it remembers nothing.
struct ProcessStart {
  /// Revision at which it first read the source itself. No revision that the
  /// source had before the start is higher.
  SourceRevision revision;
  DurationMs age_ms = 0;  ///< Time since that read.
  friend auto operator<=>(const ProcessStart&, const ProcessStart&) = default;
};

/// Body of a call that asks the owner of a cell to place a request.
struct CellPlacementRequest {
  std::string cell;
  PlacementRequest request;
  /// Whether the owner may redirect the request to another cell.
  bool may_redirect = false;
  /// Limits that engines of the cell have named to the caller.
  std::vector<EngineLimit> engine_limits;
  OrderMark mark;  ///< Of the cell, as the caller knows it.
};

/// Answer of a cell's owner to a `CellPlacementRequest`.
struct CellPlacementAnswer {
  /// Cell with enough headroom to send the request to; empty when the request
  /// was placed.
  std::string redirect_to;
  Placement placement;
  OrderMark mark;  ///< Of the cell, as its owner knows it.
};

/// What an entry process reports to the owner of a cell. Sent as a number, so
/// the order is part of the wire format.
enum class CellNoticeKind {
  /// A prefill ended; `CellNotice::measured_ms` is the time that it took.
  kPrefillDone,
  /// A generation ended; `CellNotice::tokens` is its output, or 0 when the
  /// answer is incomplete or its length is not known.
  kFinished,
  /// The request no longer needs a placement from this owner: its caller
  /// disconnected, it ended early, or another process places it.
  kWithdrawn,
  kEngineFailed,  ///< An engine failed a request.
  kEngineServed,  ///< An engine served a request.
  kEngineFull,    ///< An engine had no memory for a request placed on it.
  /// KV memory could not be fetched from the prefill engine that holds it.
  kKvFetchFailed,
  /// KV memory was fetched from the prefill engine that held it.
  kKvFetchSucceeded,
  /// An engine named a limit on requests, `CellNotice::max_per_s`, or no longer
  /// names one.
  kEngineLimit,
  /// The engine of the reservation belongs to another cell now.
  kMoved,
  kEngineUnreachable,  ///< No connection to an engine could be made.
};

/// One notice to the owner of a cell. The owner ignores the fields that the
/// kind does not use. Sending a notice more than once is allowed.
struct CellNotice {
  CellNoticeKind kind = CellNoticeKind::kEngineServed;
  std::string cell;
  /// Used by `kPrefillDone`, `kFinished` and `kMoved`.
  std::string reservation;
  /// Id of the placement request; used by `kWithdrawn`.
  std::string request_id;
  /// Used by the kinds that report on an engine or on a fetch from it.
  std::string engine;
  Tokens tokens = 0;
  DurationMs measured_ms = 0;
  std::optional<double> max_per_s;  ///< Sent as -1 when empty.
};

/// Everything that one process sends to one owner in one call. Each renewal,
/// load and mark comes with the name of its cell.
struct CellReport {
  std::vector<CellNotice> notices;
  std::vector<std::pair<std::string, Renewal>> renewals;
  std::vector<std::pair<std::string, CellLoad>> loads;
  std::vector<std::pair<std::string, OrderMark>> marks;
  std::optional<ProcessStart> start;  ///< Only in answers to contact calls.
};

void to_json(nlohmann::json& out, const CellPlacementRequest& message);
void from_json(const nlohmann::json& in, CellPlacementRequest& message);
void to_json(nlohmann::json& out, const CellPlacementAnswer& answer);
void from_json(const nlohmann::json& in, CellPlacementAnswer& answer);
void to_json(nlohmann::json& out, const CellReport& report);
void from_json(const nlohmann::json& in, CellReport& report);

}  // namespace limpethaven
