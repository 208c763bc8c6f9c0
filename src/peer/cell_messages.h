/// @file
/// JSON bodies of calls about cells.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "limpethaven/cell_scheduler.h"

namespace limpethaven {

/// Asks the owner of a cell for a placement.
struct PlaceAsk {
  std::string cell;
  PlacementRequest request;
  bool may_move = false;  ///< Another cell may take it.
};

/// What the owner of a cell answers.
struct PlaceAnswer {
  std::string move_to;  ///< Cell that has room; empty when it was placed.
  Placement placement;
};

/// What an entry tells the owner of a cell.
enum class CellNoticeKind {
  kPrefillDone,       ///< A prompt was read; `measured_ms` says how fast.
  kFinished,          ///< A generation ended; `tokens` of a whole answer.
  kWithdrawn,         ///< The caller is gone.
  kEngineFailed,      ///< An engine failed.
  kEngineServed,      ///< An engine served.
  kEngineFull,        ///< An engine had no memory for what was placed there.
  kKvFetchFailed,     ///< An engine's prefilled memory could not be fetched.
  kKvFetchSucceeded,  ///< An engine's prefilled memory was fetched.
};

/// One notice. Notices may be repeated.
struct CellNotice {
  CellNoticeKind kind = CellNoticeKind::kEngineServed;
  std::string cell;
  std::string reservation;
  std::string request_id;
  std::string engine;
  Tokens tokens = 0;
  DurationMs measured_ms = 0;
};

/// What one entry tells one owner at once.
struct CellReport {
  std::vector<CellNotice> notices;
  std::vector<std::pair<std::string, Renewal>> renewals;  ///< With their cell.
  std::vector<std::pair<std::string, CellLoad>> loads;    ///< By cell.
};

void to_json(nlohmann::json& out, const PlaceAsk& ask);
void from_json(const nlohmann::json& in, PlaceAsk& ask);
void to_json(nlohmann::json& out, const PlaceAnswer& answer);
void from_json(const nlohmann::json& in, PlaceAnswer& answer);
void to_json(nlohmann::json& out, const CellReport& report);
void from_json(const nlohmann::json& in, CellReport& report);

}  // namespace limpethaven
