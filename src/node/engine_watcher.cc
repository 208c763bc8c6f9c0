#include "node/engine_watcher.h"

#include <algorithm>

#include "net/tasks.h"

namespace limpethaven {
namespace {

constexpr DurationMs kEngineCallTimeoutMs = 500;
/// Sleep between two iterations of the poll loop while polling is disabled.
constexpr DurationMs kPollingDisabledSleepMs = 1000;
constexpr int kOk = 200;
/// Largest load report, or list of cache events, that is read.
constexpr std::size_t kMaxAnswerBytes = 1'000'000;

/// Sends one request to the engine at `address` and reads the whole answer.
Task<HttpResponse> CallEngine(Loop& loop, ConnectionPool& pool,
                              std::string address, OutgoingCall call) {
  call.head.headers.Set("Host", address);
  std::string bytes = WriteRequest(call.head, call.body);
  HttpResponse answer =
      co_await FetchResponse(loop, pool, std::move(address), std::move(bytes),
                             LoopNow() + kEngineCallTimeoutMs, kMaxAnswerBytes);
  co_return answer;
}

}  // namespace

EngineWatcher::EngineWatcher(Loop& event_loop,
                             const EndpointDialect& endpoint_dialect,
                             ConnectionPool& connections,
                             const EndpointTable& endpoints,
                             CellExchange& cell_exchange,
                             WatcherSettings watcher_settings)
    : loop(event_loop),
      dialect(endpoint_dialect),
      pool(connections),
      table(endpoints),
      cells(cell_exchange),
      settings(watcher_settings) {}

void EngineWatcher::Start() {
  SpawnService(this->loop,
               [this]() -> Task<> { co_await this->PollEngines(); });
}

Task<bool> EngineWatcher::Cancel(CancelCommand command) {
  const EndpointRecord* engine = this->table.Find(command.engine);
  std::optional<OutgoingCall> call = this->dialect.CancelRun(command);
  // No call is needed when the engine is gone, or when its dialect has no
  // cancel call because a run ends with its connection.
  if (engine == nullptr || !call) co_return true;
  const std::string address = engine->address;
  const HttpResponse answer =
      co_await CallEngine(this->loop, this->pool, address, std::move(*call));
  co_return answer.fault == CallFault::kNone;
}

Task<> EngineWatcher::PollEngines() {
  for (;;) {
    co_await SleepFor(this->loop, this->settings.period_ms > 0
                                      ? this->settings.period_ms
                                      : kPollingDisabledSleepMs);
    if (this->settings.period_ms == 0) continue;
    // Cells without placement requests are polled too: their engines may still
    // run requests of a process that has crashed.
    for (const CellSpec& cell : this->cells.OwnedCells()) {
      for (const CellEngine& engine : cell.engines) {
        Spawn(this->loop,
              [this, name = cell.name, id = engine.id, role = engine.role]()
                  -> Task<> { co_await this->PollEngine(name, id, role); });
      }
    }
  }
}

Task<> EngineWatcher::PollEngine(std::string cell, std::string engine,
                                 PoolRole role) {
  const EndpointRecord* record = this->table.Find(engine);
  if (record == nullptr) co_return;
  const std::string address = record->address;
  const HttpResponse report = co_await CallEngine(
      this->loop, this->pool, address, this->dialect.FetchLoad());
  const bool answered =
      report.fault == CallFault::kNone && report.head.status == kOk;
  if (!answered) {
    this->cells.OnEngineReport(cell, engine, nullptr);
    co_return;
  }
  const Result<EngineLoad> load = this->dialect.ParseLoad(report.body);
  if (load) this->cells.OnEngineReport(cell, engine, &load.value());
  if (role == PoolRole::kDecode) co_return;
  std::optional<OutgoingCall> events_call =
      this->dialect.FetchCacheEvents(this->last_event[engine]);
  if (!events_call) co_return;
  const HttpResponse answer = co_await CallEngine(
      this->loop, this->pool, address, std::move(*events_call));
  if (answer.fault != CallFault::kNone || answer.head.status != kOk) co_return;
  const Result<std::vector<CacheEvent>> events =
      this->dialect.ParseCacheEvents(answer.body);
  if (!events || events.value().empty()) co_return;
  this->cells.OnCacheEvents(cell, engine, events.value());
  this->last_event[engine] = events.value().back().number;
}

}  // namespace limpethaven
