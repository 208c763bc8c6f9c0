/// @file
/// A TCP proxy that injects faults into the connections through it, on a
/// schedule drawn from a seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "net/connection.h"

namespace limpethaven {

/// What a proxy does to the connections through it.
enum class ProxyFault {
  kNone,
  kDelay,     ///< Delays bytes in both directions.
  kSilent,    ///< Holds bytes in both directions until the fault ends.
  kOneWay,    ///< Holds bytes towards the caller until the fault ends.
  kReset,     ///< Resets the open connections once; new ones work.
  kNoAccept,  ///< Resets new connections at once; open ones work.
};

/// Name of a fault in the printed schedule.
[[nodiscard]] std::string_view NameOf(ProxyFault fault) noexcept;

/// Settings of a proxy.
struct FaultProxySettings {
  std::string address = "127.0.0.1";
  int port = 0;
  std::string target;      ///< `IP:port` to which connections are forwarded.
  std::uint64_t seed = 0;  ///< Seed of the fault schedule; 0: no faults.
  /// Time since the start after which no fault begins; 0: no limit.
  DurationMs until_ms = 0;
};

/// One period of a fault schedule.
struct FaultPeriod {
  ProxyFault fault = ProxyFault::kNone;
  DurationMs duration_ms = 0;
  friend auto operator<=>(const FaultPeriod&, const FaultPeriod&) = default;
};

/// Alternates between periods without and with a fault, beginning without one.
/// Schedules of the same seed are equal.
class FaultSchedule {
 public:
  explicit FaultSchedule(std::uint64_t seed);
  [[nodiscard]] FaultPeriod Next();

 private:
  std::mt19937_64 random;
  bool fault_free = false;  ///< Whether the last period was without a fault.
};

/// Forwards TCP connections to the target. Not thread-safe: runs on its event
/// loop's thread.
class FaultProxy {
 public:
  FaultProxy(Loop& event_loop, FaultProxySettings proxy_settings);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// Listens and starts the fault schedule. @returns false when the address is
  /// invalid or taken.
  [[nodiscard]] bool Start();

 private:
  Task<> Accept();
  /// Forwards one direction of a connection until it ends.
  Task<> Forward(ConnectionPtr from, ConnectionPtr to, bool to_caller);
  /// Injects the faults of the schedule and prints each period when it begins.
  Task<> RunSchedule();
  /// Whether the current fault holds bytes in this direction.
  [[nodiscard]] bool HoldsBytes(bool to_caller) const noexcept;

  Loop& loop;
  FaultProxySettings settings;
  asio::ip::tcp::acceptor acceptor;
  ProxyFault fault = ProxyFault::kNone;
  /// Both sides of the forwarded connections.
  std::vector<std::weak_ptr<Connection>> open_connections;
};

}  // namespace limpethaven
