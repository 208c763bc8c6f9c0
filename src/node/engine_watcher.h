/// @file
/// Reads engines' load reports and cache events for the cells that this
/// process owns, and ends runs that nobody reads.
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
  DurationMs period_ms = 0;  ///< Between two reports of an engine; 0: none.
};

/// Watches the engines of owned cells.
class EngineWatcher final : public RunCanceller {
 public:
  EngineWatcher(Loop& event_loop, const EndpointDialect& endpoint_dialect,
                ConnectionPool& connections, const EndpointTable& endpoints,
                CellExchange& cell_exchange, WatcherSettings settings);

  void Start();
  Task<bool> Cancel(CancelCommand command) override;

 private:
  Task<> Watch();
  Task<> ReadEngine(std::string cell, std::string engine, PoolRole role);

  Loop& loop;
  const EndpointDialect& dialect;
  ConnectionPool& pool;
  const EndpointTable& table;
  CellExchange& cells;
  WatcherSettings settings;
  std::unordered_map<std::string, std::int64_t> last_event;  ///< By engine.
};

}  // namespace limpethaven
