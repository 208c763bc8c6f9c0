/// @file
/// A fleet of simulated processes, each with its `Membership`, on a simulated
/// network with delays, loss and partitions. The processes can be killed,
/// restarted and paused.
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
  /// Share of the messages that are lost.
  double loss_ratio = 0.0;
};

/// A fleet of simulated processes. Simulated time advances only in `RunFor`.
class MembershipFleet {
 public:
  MembershipFleet(std::size_t size, FleetNetwork network,
                  std::uint64_t random_seed);

  /// Starts all processes anew. The address of process `index` is the only one
  /// that they are given to probe.
  void UseSingleSeed(std::size_t index);
  /// Starts all processes anew. The addresses of the first `count` are the only
  /// ones that they are given to probe, also when they restart.
  void UseSeeds(std::size_t count);
  void RunFor(DurationMs duration_ms);
  /// Ends a process without a leave message.
  void Kill(std::size_t index);
  /// Starts a new process on the same address with a higher incarnation.
  void Restart(std::size_t index);
  void Pause(std::size_t index, DurationMs duration_ms);
  void Leave(std::size_t index);
  /// Drops all messages from `from` to `to` for which the rule returns true;
  /// null drops none.
  void SetDropRule(std::function<bool(std::size_t from, std::size_t to)> rule);

  /// Member table of a process, which must be running.
  [[nodiscard]] const Membership& TableOf(std::size_t index) const;
  [[nodiscard]] bool Running(std::size_t index) const;
  /// State of process `of` in the member table of process `by`.
  [[nodiscard]] MemberState StateSeen(std::size_t by, std::size_t of) const;
  /// Incarnation of process `of` in the member table of process `by`; 0 when it
  /// has no row.
  [[nodiscard]] std::uint64_t IncarnationSeen(std::size_t by,
                                              std::size_t of) const;
  /// Whether every other running process sees process `of` in this state.
  [[nodiscard]] bool AllSee(std::size_t of, MemberState state) const;
  /// Whether the process has ever detected a pause of its own.
  [[nodiscard]] bool PauseDetected(std::size_t index) const;
  [[nodiscard]] TimeMs Now() const noexcept;
  [[nodiscard]] std::uint64_t BytesSent() const noexcept;
  [[nodiscard]] std::uint64_t MessagesSent() const noexcept;
  /// Number of times that a process saw another one as suspect although that
  /// one had never been killed, restarted, paused or made to leave.
  [[nodiscard]] std::int64_t FalseSuspicions() const noexcept;
  /// Number of times that a process saw another one as dead although that one
  /// had never been killed, restarted, paused or made to leave.
  [[nodiscard]] std::int64_t FalseDeaths() const noexcept;

  /// Period in which each process calls `Membership::Tick`.
  static constexpr DurationMs kTickMs = 50;

 private:
  struct Process {
    std::unique_ptr<Membership> membership;
    bool running = true;
    /// Whether it was ever killed, restarted, paused or made to leave.
    bool disturbed = false;
    bool pause_detected = false;
    TimeMs paused_until = 0;
    std::uint64_t incarnation = 1;
  };
  struct Datagram {
    TimeMs deliver_at = 0;
    std::uint64_t send_order = 0;
    std::size_t to = 0;
    std::string bytes;
    friend bool operator>(const Datagram& left, const Datagram& right) {
      return std::tie(left.deliver_at, left.send_order) >
             std::tie(right.deliver_at, right.send_order);
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
  std::size_t listed_count;
  std::vector<Process> processes;
  std::map<std::string, std::size_t> index_of;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<>>
      in_flight;
  std::function<bool(std::size_t, std::size_t)> drop_rule;
  TimeMs now = 0;
  std::uint64_t next_send_order = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_sent = 0;
  std::int64_t false_suspicions = 0;
  std::int64_t false_deaths = 0;
};

}  // namespace limpethaven::testing
