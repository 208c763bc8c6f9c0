#include "membership_fleet.h"

#include <algorithm>

namespace limpethaven::testing {
namespace {

constexpr const char* kSecret = "a-secret-for-tests";

}  // namespace

MembershipFleet::MembershipFleet(std::size_t size, FleetNetwork fleet_network,
                                 std::uint64_t random_seed)
    : network(fleet_network),
      random(random_seed),
      listed_count(size),
      processes(size) {
  for (std::size_t index = 0; index < size; ++index) {
    this->index_of.emplace(this->AddressOf(index), index);
    this->processes[index].membership =
        std::make_unique<Membership>(VmId{this->AddressOf(index), 1}, "zone",
                                     MembershipSettings{}, random_seed + index);
    this->processes[index].membership->SetListed(this->Listed(), 0);
  }
}

void MembershipFleet::UseSingleSeed(std::size_t index) {
  const std::vector<ListedVm> seeds = {
      ListedVm{this->AddressOf(index), "", false}};
  std::ranges::for_each(this->processes, [&seeds](Process& process) {
    process.membership = std::make_unique<Membership>(
        process.membership->Self(), "zone", MembershipSettings{}, 77);
    process.membership->SetListed(seeds, 0);
  });
}

void MembershipFleet::UseSeeds(std::size_t count) {
  this->listed_count = count;
  for (std::size_t index = 0; index < this->processes.size(); ++index) {
    this->Restart(index);
  }
}

void MembershipFleet::RunFor(DurationMs duration_ms) {
  const TimeMs end = this->now + duration_ms;
  for (; this->now < end; ++this->now) {
    while (!this->in_flight.empty() &&
           this->in_flight.top().deliver_at <= this->now) {
      const Datagram datagram = this->in_flight.top();
      this->in_flight.pop();
      this->Deliver(datagram);
    }
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
      // Processes tick at different times, as those of a real fleet do.
      if ((this->now + static_cast<TimeMs>(index)) % kTickMs == 0) {
        this->Tick(index);
      }
    }
  }
}

void MembershipFleet::Kill(std::size_t index) {
  this->processes[index].running = false;
  this->processes[index].disturbed = true;
}

void MembershipFleet::Restart(std::size_t index) {
  Process& process = this->processes[index];
  process.disturbed = true;
  process.running = true;
  ++process.incarnation;
  process.membership = std::make_unique<Membership>(
      VmId{this->AddressOf(index), process.incarnation}, "zone",
      MembershipSettings{}, this->random());
  process.membership->SetListed(this->Listed(), this->now);
}

void MembershipFleet::Pause(std::size_t index, DurationMs duration_ms) {
  this->processes[index].disturbed = true;
  this->processes[index].paused_until = this->now + duration_ms;
}

void MembershipFleet::Leave(std::size_t index) {
  this->processes[index].disturbed = true;
  this->processes[index].membership->Leave();
}

void MembershipFleet::SetDropRule(
    std::function<bool(std::size_t, std::size_t)> rule) {
  this->drop_rule = std::move(rule);
}

const Membership& MembershipFleet::TableOf(std::size_t index) const {
  return *this->processes[index].membership;
}

bool MembershipFleet::Running(std::size_t index) const {
  return this->processes[index].running;
}

MemberState MembershipFleet::StateSeen(std::size_t by, std::size_t of) const {
  const auto members = this->processes[by].membership->Members();
  const std::string address = this->AddressOf(of);
  const auto found = std::ranges::find_if(members, [&](const Member& member) {
    return member.latest.address == address;
  });
  return found == members.end() ? MemberState::kUnknown : found->latest.state;
}

std::uint64_t MembershipFleet::IncarnationSeen(std::size_t by,
                                               std::size_t of) const {
  const auto members = this->processes[by].membership->Members();
  const std::string address = this->AddressOf(of);
  const auto found = std::ranges::find_if(members, [&](const Member& member) {
    return member.latest.address == address;
  });
  return found == members.end() ? 0 : found->latest.incarnation;
}

bool MembershipFleet::AllSee(std::size_t of, MemberState state) const {
  for (std::size_t by = 0; by < this->processes.size(); ++by) {
    if (by == of || !this->processes[by].running) continue;
    if (this->StateSeen(by, of) != state) return false;
  }
  return true;
}

bool MembershipFleet::PauseDetected(std::size_t index) const {
  return this->processes[index].pause_detected;
}

TimeMs MembershipFleet::Now() const noexcept { return this->now; }
std::uint64_t MembershipFleet::BytesSent() const noexcept {
  return this->bytes_sent;
}
std::uint64_t MembershipFleet::MessagesSent() const noexcept {
  return this->messages_sent;
}
std::int64_t MembershipFleet::FalseSuspicions() const noexcept {
  return this->false_suspicions;
}
std::int64_t MembershipFleet::FalseDeaths() const noexcept {
  return this->false_deaths;
}

std::string MembershipFleet::AddressOf(std::size_t index) const {
  return "10.0." + std::to_string(index / 250) + "." +
         std::to_string(index % 250 + 1);
}

std::vector<ListedVm> MembershipFleet::Listed() const {
  std::vector<ListedVm> vms;
  vms.reserve(this->listed_count);
  for (std::size_t index = 0; index < this->listed_count; ++index) {
    vms.push_back(ListedVm{this->AddressOf(index), "zone", false});
  }
  return vms;
}

void MembershipFleet::Send(std::size_t from,
                           const std::vector<OutgoingGossip>& messages) {
  std::ranges::for_each(messages, [&](const OutgoingGossip& outgoing) {
    const auto target = this->index_of.find(outgoing.address);
    if (target == this->index_of.end()) return;
    std::string encoded = EncodeGossip(kSecret, outgoing.message);
    this->bytes_sent += encoded.size();
    ++this->messages_sent;
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (this->drop_rule && this->drop_rule(from, target->second)) return;
    if (chance(this->random) < this->network.loss_ratio) return;
    std::uniform_int_distribution<DurationMs> delay(this->network.min_delay_ms,
                                                    this->network.max_delay_ms);
    this->in_flight.push(Datagram{this->now + delay(this->random),
                                  this->next_send_order++, target->second,
                                  std::move(encoded)});
  });
}

void MembershipFleet::Deliver(const Datagram& datagram) {
  Process& process = this->processes[datagram.to];
  if (!process.running) return;
  if (this->now < process.paused_until) {
    // Datagrams stay in the socket buffer until the process runs again.
    Datagram delayed = datagram;
    delayed.deliver_at = process.paused_until;
    this->in_flight.push(std::move(delayed));
    return;
  }
  const auto message = DecodeGossip(kSecret, datagram.bytes);
  if (!message) return;
  const auto answers = process.membership->Receive(message.value(), this->now);
  if (answers) this->Send(datagram.to, answers.value());
  this->CountChanges(datagram.to);
}

void MembershipFleet::Tick(std::size_t index) {
  Process& process = this->processes[index];
  if (!process.running || this->now < process.paused_until) return;
  this->Send(index, process.membership->Tick(this->now));
  if (process.membership->TakePauseDetected()) process.pause_detected = true;
  this->CountChanges(index);
}

void MembershipFleet::CountChanges(std::size_t index) {
  std::ranges::for_each(
      this->processes[index].membership->TakeChanges(),
      [this](const MemberChange& change) {
        if (this->processes[this->index_of.at(change.member.latest.address)]
                .disturbed) {
          return;
        }
        if (change.member.latest.state == MemberState::kSuspect) {
          ++this->false_suspicions;
        }
        if (change.member.latest.state == MemberState::kDead) {
          ++this->false_deaths;
        }
      });
}

}  // namespace limpethaven::testing
