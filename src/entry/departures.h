/// @file
/// Requests whose caller is gone: kept for a moment so that the caller can go
/// on at another VM, then freed on the engine.
#pragma once

#include <deque>
#include <mutex>
#include <string>

#include "edge/periodic.h"
#include "entry/active_requests.h"
#include "entry/cell_service.h"
#include "entry/share_service.h"

namespace limpethaven {

/// A request whose caller is gone.
struct Departure {
  std::string request_id;
  std::string placement_key;  ///< Empty when another VM made the placement.
  ActivePlace place;
  std::int64_t attachment = 0;
  Tokens used = 0;     ///< Tokens used if nobody goes on with it.
  Tokens charged = 0;  ///< Tokens charged here; 0 when another VM charged them.
  TimeMs due = 0;
};

/// Departures of one process. Thread safe.
class Departures {
 public:
  Departures(CellService& cell_service, EngineClient& engine_client,
             ShareService& share_service, const Clock& system_clock);

  void Start();
  void Stop();
  void Add(Departure departure);

 private:
  void Run();
  void Free(const Departure& departure);

  CellService& cells;
  EngineClient& engines;
  ShareService& shares;
  const Clock& clock;
  std::mutex mutex;
  std::deque<Departure> waiting;
  Periodic runner;
};

/// How long a caller that is gone may come back at another VM.
inline constexpr DurationMs kResumeGraceMs = 500;

}  // namespace limpethaven
