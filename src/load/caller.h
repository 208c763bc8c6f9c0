/// @file
/// A caller: asks which address to use, sends requests, resumes broken streams.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "load/history.h"

namespace limpethaven {

/// One request of a load.
struct LoadRequest {
  std::string id;
  std::string team;
  std::string key;
  std::string model;
  std::string prompt;
  Tokens max_tokens = 0;
};

/// A caller of one fleet. Thread safe.
class Caller {
 public:
  /// @param seed_addresses `IP:port` of some VMs, asked for all others.
  Caller(std::vector<std::string> seed_addresses,
         HistoryWriter& history_writer);

  /// Sends a completion and follows it to its end.
  void Complete(const LoadRequest& request);
  /// Mints a ticket and sends the same call to two VMs at once.
  void CallOnceTwice(const LoadRequest& request, const std::string& path);

 private:
  struct StreamState;
  /// How one connection of a stream ended.
  enum class StreamEnd { kWhole, kRefused, kBroken, kUnreachable };

  [[nodiscard]] std::string NextAddress();
  void Refresh();
  [[nodiscard]] StreamEnd Connect(const LoadRequest& request,
                                  StreamState& state);
  void Record(HistoryKind kind, const LoadRequest& request, HistoryEvent event);

  std::vector<std::string> seeds;
  HistoryWriter& history;
  SystemClock clock;
  std::mutex mutex;
  std::vector<std::string> addresses;
  TimeMs valid_until = 0;
  std::uint64_t next = 0;
};

}  // namespace limpethaven
