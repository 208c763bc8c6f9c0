/// @file
/// The load tool's client: fetches the addresses of entry VMs, sends requests
/// and resumes broken streams.
#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "load/history.h"

namespace limpethaven {

/// One request that a load run sends.
struct LoadRequest {
  std::string id;
  std::string team;
  std::string key;
  std::string model;
  std::string prompt;
  Tokens max_tokens = 0;  ///< Upper limit on generated tokens.
};

/// A client of one fleet that records every outcome in a history. Thread safe.
class Caller {
 public:
  /// @param seed_addresses `IP:port` of some entry VMs; the addresses of the
  /// others are fetched from them.
  Caller(std::vector<std::string> seed_addresses,
         HistoryWriter& history_writer);

  /// Sends a streamed completion and reads it to its end. A broken stream is
  /// resumed at the next address.
  void SendCompletion(const LoadRequest& request);
  /// Fetches a ticket and sends the same call with it to two VMs at once. At
  /// most one of the two may run.
  void SendTicketedCallTwice(const LoadRequest& request,
                             const std::string& path);

 private:
  struct StreamState;
  /// How one connection of a stream ended.
  enum class StreamEnd { kComplete, kRefused, kBroken, kUnreachable };

  /// Returns the addresses in turn (round robin).
  [[nodiscard]] std::string NextAddress();
  /// Fetches the address list again once its TTL has passed.
  void RefreshAddresses();
  /// Opens one connection for the stream and reads it to the connection's end.
  [[nodiscard]] StreamEnd ReadStream(const LoadRequest& request,
                                     StreamState& state);
  void Record(HistoryKind kind, const LoadRequest& request, HistoryEvent event);

  std::vector<std::string> seeds;  ///< Addresses that serve the address list.
  HistoryWriter& history;
  SystemClock clock;
  std::mutex mutex;
  std::vector<std::string> addresses;
  TimeMs addresses_valid_until = 0;
  std::uint64_t next_index = 0;
};

}  // namespace limpethaven
