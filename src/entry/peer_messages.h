/// @file
/// JSON bodies of calls between entry processes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "edge/engine_messages.h"
#include "limpethaven/cell_scheduler.h"
#include "limpethaven/share_ledger.h"

namespace limpethaven {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlacementRequest, request_id, team, weight,
                                   prompt_tokens, max_tokens, prefix, budget_ms,
                                   patience_ms, excluded)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Placement, reservation, prefill, decode,
                                   runner_up, tokens, cached_tokens, queued_ms,
                                   lease_ms, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HttpHeader, name, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceAnswer, status, content_type, body)

/// Asks the scheduler of a cell for a placement.
struct PlaceBody {
  std::string cell;
  PlacementRequest request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlaceBody, cell, request)

/// What an entry tells the scheduler of a cell.
enum class NoticeKind {
  kRenew,
  kPrefillDone,
  kFinish,
  kWithdraw,
  kFailed,
  kServed
};

/// One notice. Notices may be repeated.
struct CellNotice {
  NoticeKind kind = NoticeKind::kRenew;
  std::string cell;
  std::string reservation;
  std::string request_id;
  std::string engine;
  std::int64_t pieces = 0;
  DurationMs measured_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CellNotice, kind, cell, reservation,
                                   request_id, engine, pieces, measured_ms)

/// Asks a peer for tokens of a team.
struct LendBody {
  std::string team;
  std::string transfer_id;
  Tokens wanted = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LendBody, team, transfer_id, wanted)

/// Tokens that were lent.
struct LendAnswer {
  Tokens tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LendAnswer, tokens)

/// The borrower accepted a transfer.
struct ConfirmBody {
  std::string transfer_id;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfirmBody, transfer_id)

/// Asks the minter of a ticket to run its request.
struct TicketRunBody {
  std::string ticket;
  std::string team;
  std::string pool;
  std::string request_id;
  std::string method;
  std::string path;
  std::string body;  ///< Base64url, since it may hold any bytes.
  std::vector<HttpHeader> headers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TicketRunBody, ticket, team, pool,
                                   request_id, method, path, body, headers)

/// Cancels a request wherever it is served.
struct CancelRequestBody {
  std::string request_id;
  std::string team;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelRequestBody, request_id, team)

/// Asks for what came after a version.
struct ConfigPullBody {
  std::uint64_t after = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigPullBody, after)

/// Changes after the asked version, or the whole configuration. Parts are codec
/// texts.
struct ConfigPullAnswer {
  std::uint64_t version = 0;
  std::string digest;
  std::vector<std::string> changes;
  std::string entities;  ///< Empty when `changes` lead to `version`.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigPullAnswer, version, digest, changes,
                                   entities)

}  // namespace limpethaven
