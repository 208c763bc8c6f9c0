/// @file
/// A loopback proxy that disturbs the connections through it, from a seed.
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
  kDelay,     ///< Bytes arrive late, both ways.
  kSilent,    ///< Bytes are held, both ways.
  kOneWay,    ///< Bytes towards the caller are held.
  kReset,     ///< Open connections break; new ones pass.
  kNoAccept,  ///< Open connections pass; new ones break at once.
};

/// Name of a fault, for logs.
[[nodiscard]] std::string_view NameOf(ProxyFault fault) noexcept;

/// Settings of a proxy.
struct FaultProxySettings {
  std::string address = "127.0.0.1";
  int port = 0;
  std::string to;           ///< `IP:port` that is proxied.
  std::uint64_t seed = 0;   ///< Of the faults; 0: none.
  DurationMs until_ms = 0;  ///< No fault begins later; 0: no end.
};

/// A span of time and the fault in it.
struct ProxySpan {
  ProxyFault fault = ProxyFault::kNone;
  DurationMs for_ms = 0;
  friend auto operator<=>(const ProxySpan&, const ProxySpan&) = default;
};

/// Spans of calm and of faults in turn, always the same for a seed.
class ProxySchedule {
 public:
  explicit ProxySchedule(std::uint64_t seed);
  [[nodiscard]] ProxySpan Next();

 private:
  std::mt19937_64 random;
  bool calm = false;
};

/// Forwards connections. Single threaded.
class FaultProxy {
 public:
  FaultProxy(Loop& event_loop, FaultProxySettings proxy_settings);
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// @returns false when the address cannot be had.
  [[nodiscard]] bool Start();

 private:
  Task<> Accept();
  Task<> Forward(ConnectionPtr from, ConnectionPtr to, bool to_caller);
  Task<> PlayFaults();
  [[nodiscard]] bool Holds(bool to_caller) const noexcept;

  Loop& loop;
  FaultProxySettings settings;
  asio::ip::tcp::acceptor acceptor;
  ProxyFault fault = ProxyFault::kNone;
  std::vector<std::weak_ptr<Connection>> open;
};

}  // namespace limpethaven
