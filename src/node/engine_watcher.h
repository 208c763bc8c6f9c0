/// @file
/// Polls the load reports and cache events of the engines in the cells that
/// this process owns, and cancels runs at engines.
#pragma once

#include <string>
#include <unordered_map>

#include "limpethaven/endpoint_table.h"
#include "net/http_client.h"
#include "peer/cell_exchange.h"
#include "router/dialect.h"

namespace limpethaven {

/// Settings of an engine watcher.
struct WatcherSettings {
  /// Time between two polls of an engine; 0 disables polling.
  DurationMs period_ms = 0;
};

/// Polls the engines of owned cells.
class EngineWatcher final : public RunCanceller {
 public:
  EngineWatcher(Loop& event_loop, const EndpointDialect& endpoint_dialect,
                ConnectionPool& connections, const EndpointTable& endpoints,
                CellExchange& cell_exchange, WatcherSettings settings);

  void Start();
  /// Cancels a run at its engine. @returns false when the call failed and
  /// should be repeated; true when it succeeded or no call is needed.
  Task<bool> Cancel(CancelCommand command) override;

 private:
  Task<> PollEngines();
  Task<> PollEngine(std::string cell, std::string engine, PoolRole role);

  Loop& loop;
  const EndpointDialect& dialect;
  ConnectionPool& pool;
  const EndpointTable& table;
  CellExchange& cells;
  WatcherSettings settings;
  /// Number of the last cache event read, keyed by engine id.
  std::unordered_map<std::string, std::int64_t> last_event;
};

}  // namespace limpethaven
