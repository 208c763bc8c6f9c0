/// @file
/// Many memberships in one process over a simulated network with loss, cuts and
/// pauses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "limpethaven/membership.h"

namespace limpethaven::testing {

/// Parameters of the simulated network.
struct FleetNetwork {
  DurationMs min_delay_ms = 1;
  DurationMs max_delay_ms = 4;
  double loss = 0.0;
};

/// A fleet of memberships; time moves only by `RunFor`.
class MembershipFleet {
 public:
  MembershipFleet(std::size_t size, FleetNetwork network, std::uint64_t seed);

  /// Names only one process to all, as a seed.
  void ListOnly(std::size_t index);
  void RunFor(DurationMs duration_ms);
  /// The process ends without a word.
  void Kill(std::size_t index);
  /// A new process starts on the same address with a higher incarnation.
  void Restart(std::size_t index);
  void Pause(std::size_t index, DurationMs duration_ms);
  void Leave(std::size_t index);
  /// Messages for which this returns true are lost.
  void SetCut(
      std::function<bool(std::size_t from, std::size_t to)> cut_between);

  [[nodiscard]] MemberState StateSeen(std::size_t by, std::size_t of) const;
  [[nodiscard]] std::uint64_t IncarnationSeen(std::size_t by,
                                              std::size_t of) const;
  /// Whether every running process sees `of` in this state.
  [[nodiscard]] bool AllSee(std::size_t of, MemberState state) const;
  [[nodiscard]] bool WasPaused(std::size_t index) const;
  [[nodiscard]] TimeMs Now() const noexcept;
  [[nodiscard]] std::uint64_t BytesSent() const noexcept;
  [[nodiscard]] std::uint64_t MessagesSent() const noexcept;
  /// Changes to suspect or dead of processes that were running all along.
  [[nodiscard]] std::int64_t FalseSuspicions() const noexcept;
  [[nodiscard]] std::int64_t FalseDeaths() const noexcept;

  static constexpr DurationMs kTickMs = 50;

 private:
  struct Process {
    std::unique_ptr<Membership> membership;
    bool running = true;
    bool disturbed =
        false;  ///< Killed, restarted, paused or leaving at some time.
    bool paused_seen = false;
    TimeMs paused_until = 0;
    std::uint64_t incarnation = 1;
  };
  struct Datagram {
    TimeMs at = 0;
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::string bytes;
    friend bool operator>(const Datagram& left, const Datagram& right) {
      return std::tie(left.at, left.order) > std::tie(right.at, right.order);
    }
  };

  [[nodiscard]] std::string AddressOf(std::size_t index) const;
  [[nodiscard]] std::vector<ListedVm> Listed() const;
  void Send(std::size_t from, const std::vector<OutgoingGossip>& messages);
  void Deliver(const Datagram& datagram);
  void Tick(std::size_t index);
  void CountChanges(std::size_t index);

  FleetNetwork network;
  std::mt19937_64 random;
  std::vector<Process> processes;
  std::map<std::string, std::size_t> index_of;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>>
      in_flight;
  std::function<bool(std::size_t, std::size_t)> cut;
  TimeMs now = 0;
  std::uint64_t next_order = 0;
  std::uint64_t bytes = 0;
  std::uint64_t messages_sent = 0;
  std::int64_t false_suspicions = 0;
  std::int64_t false_deaths = 0;
};

}  // namespace limpethaven::testing
