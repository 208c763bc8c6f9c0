#include "share_fleet.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace limpethaven::testing {
namespace {

constexpr const char* kTeam = "north";
constexpr unsigned kMaxAdvanceMs = 400;
constexpr unsigned kMaxPauseMs = 3000;

struct Vm {
  ShareLedger ledger;
  std::uint64_t incarnation = 1;
  TimeMs paused_until = 0;
  std::vector<Transfer> received;
};

/// A transfer on its way from the lender to the borrower.
struct Message {
  Transfer transfer;
  std::size_t lender = 0;
  std::size_t borrower = 0;
  std::uint64_t borrower_incarnation = 0;
};

/// A charge that is not settled.
struct OpenCharge {
  std::size_t vm = 0;
  std::uint64_t incarnation = 0;
  std::string id;
  Tokens charged = 0;
  std::size_t spend = 0;  ///< Index in the history.
};

class Fleet {
 public:
  explicit Fleet(const ShareFleetSettings& initial)
      : settings(initial), vms(initial.vms) {
    this->config.fleet.share_slots = static_cast<std::int64_t>(initial.vms);
    this->config.teams.emplace(kTeam,
                               TeamSpec{kTeam, initial.rate, initial.burst, 1});
    for (Vm& vm : this->vms) vm.ledger.Configure(this->config, 0);
  }

  void Run(const ShareStep& step) {
    const std::size_t index = step.vm % this->vms.size();
    switch (step.kind) {
      case StepKind::kAdvance:
        this->now += step.amount % kMaxAdvanceMs;
        return;
      case StepKind::kPause:
        this->vms[index].paused_until = this->now + step.amount % kMaxPauseMs;
        return;
      case StepKind::kRestart:
        this->Restart(index);
        return;
      case StepKind::kDeliver:
        this->Deliver(step);
        return;
      case StepKind::kDrainAll:
        for (std::size_t vm = 0; vm < this->vms.size(); ++vm) this->Drain(vm);
        return;
      default:
        break;
    }
    if (this->now < this->vms[index].paused_until) return;
    switch (step.kind) {
      case StepKind::kBorrow:
        this->Borrow(index, step);
        return;
      case StepKind::kCharge:
        this->Charge(index, step);
        return;
      case StepKind::kSettle:
        this->Settle(step);
        return;
      case StepKind::kConfirm:
        this->Confirm(step);
        return;
      default:
        return;
    }
  }

  std::vector<testing::Spend> TakeHistory() { return std::move(this->history); }

 private:
  void Restart(std::size_t index) {
    Vm& vm = this->vms[index];
    const std::uint64_t next = vm.incarnation + 1;
    vm.ledger = ShareLedger();
    vm.received.clear();
    vm.paused_until = 0;
    vm.incarnation = next;
    vm.ledger.Configure(this->config, this->now);
  }

  void Borrow(std::size_t index, const ShareStep& step) {
    const std::size_t lender = step.other % this->vms.size();
    if (lender == index || this->now < this->vms[lender].paused_until) return;
    const std::string id =
        std::to_string(index) + "-" + std::to_string(this->next_id++);
    const Tokens wanted = 1 + step.amount % (this->settings.burst / 2);
    const Tokens lent =
        this->vms[lender].ledger.Lend(kTeam, id, wanted, this->now);
    if (lent == 0) return;
    this->messages.push_back(Message{Transfer{id, kTeam, lent, this->now},
                                     lender, index,
                                     this->vms[index].incarnation});
  }

  /// Delivers a message and keeps it in the list: a schedule may deliver the
  /// same message again, or never.
  void Deliver(const ShareStep& step) {
    if (this->messages.empty()) return;
    const Message& message =
        this->messages[step.amount % this->messages.size()];
    Vm& vm = this->vms[message.borrower];
    if (vm.incarnation != message.borrower_incarnation) return;
    vm.received.push_back(message.transfer);
  }

  void Drain(std::size_t index) {
    Vm& vm = this->vms[index];
    if (this->now < vm.paused_until) return;
    Tokens all = vm.ledger.View(kTeam, this->now).available;
    std::ranges::for_each(vm.received, [&all](const Transfer& transfer) {
      all += transfer.tokens;
    });
    this->Spend(index, all);
    // Late or duplicated transfers make the first charge fail. Then only the
    // available tokens are spent.
    this->Spend(index, vm.ledger.View(kTeam, this->now).available);
  }

  void Charge(std::size_t index, const ShareStep& step) {
    // One charge in four is up to the whole burst; the others are small enough
    // for one share.
    const Tokens largest =
        step.other % 4 == 0 ? this->settings.burst : this->settings.burst / 8;
    this->Spend(index, 1 + step.amount % largest);
  }

  void Spend(std::size_t index, Tokens tokens) {
    if (tokens <= 0) return;
    Vm& vm = this->vms[index];
    const std::string id = "r" + std::to_string(this->next_id++);
    const auto outcome =
        vm.ledger.TryCharge(kTeam, id, tokens, vm.received, this->now);
    vm.received.clear();
    if (!outcome.charged) return;
    this->history.push_back(testing::Spend{this->now, tokens});
    this->open_charges.push_back(OpenCharge{index, vm.incarnation, id, tokens,
                                            this->history.size() - 1});
  }

  void Settle(const ShareStep& step) {
    if (this->open_charges.empty()) return;
    const std::size_t index = step.other % this->open_charges.size();
    const OpenCharge ended = this->open_charges[index];
    this->open_charges.erase(this->open_charges.begin() +
                             static_cast<std::ptrdiff_t>(index));
    Vm& vm = this->vms[ended.vm];
    // A charge of an earlier incarnation is never refunded.
    if (vm.incarnation != ended.incarnation || this->now < vm.paused_until) {
      return;
    }
    const Tokens used = step.amount % (ended.charged + 1);
    vm.ledger.Settle(ended.id, used, this->now);
    this->history[ended.spend].tokens = used;
  }

  void Confirm(const ShareStep& step) {
    if (this->messages.empty()) return;
    const Message& message =
        this->messages[step.amount % this->messages.size()];
    // Only a borrower that has accepted the transfer confirms it, and it does
    // so at once. The charge below is larger than the burst, so it fails and
    // deposits the received tokens.
    Vm& borrower = this->vms[message.borrower];
    if (borrower.incarnation != message.borrower_incarnation) return;
    borrower.received.push_back(message.transfer);
    static_cast<void>(borrower.ledger.TryCharge(kTeam, "deposit",
                                                this->settings.burst * 2,
                                                borrower.received, this->now));
    borrower.received.clear();
    this->vms[message.lender].ledger.Confirm(message.transfer.id, this->now);
  }

  ShareFleetSettings settings;
  Configuration config;
  std::vector<Vm> vms;
  std::vector<Message> messages;
  std::vector<OpenCharge> open_charges;
  std::vector<testing::Spend> history;
  TimeMs now = 0;
  std::uint64_t next_id = 1;
};

}  // namespace

std::ostream& operator<<(std::ostream& out, const ShareStep& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.vm << ","
             << step.other << "," << step.amount << "}";
}

std::optional<std::string> CheckShareBound(std::vector<Spend> history,
                                           std::int64_t rate, Tokens burst) {
  std::ranges::stable_sort(history, {}, &Spend::at);
  for (std::size_t first = 0; first < history.size(); ++first) {
    Tokens sum = 0;
    for (std::size_t last = first; last < history.size(); ++last) {
      sum += history[last].tokens;
      const DurationMs window = history[last].at - history[first].at;
      if (sum * 1000 <= rate * window + burst * 1000) continue;
      std::ostringstream text;
      text << sum << " tokens in " << window << " ms from " << history[first].at
           << " ms, allowed " << rate * window / 1000 + burst;
      return text.str();
    }
  }
  return std::nullopt;
}

std::vector<Spend> RunShareSchedule(const ShareFleetSettings& settings,
                                    const std::vector<ShareStep>& steps) {
  Fleet fleet(settings);
  std::ranges::for_each(steps,
                        [&fleet](const ShareStep& step) { fleet.Run(step); });
  return fleet.TakeHistory();
}

std::vector<ShareStep> MakeShareSchedule(std::uint64_t seed,
                                         std::size_t length) {
  std::mt19937_64 random(seed);
  // Time steps and charges are more frequent than faults, so that buckets fill
  // and drain between faults.
  const std::vector<StepKind> kinds = {
      StepKind::kAdvance,  StepKind::kAdvance, StepKind::kAdvance,
      StepKind::kBorrow,   StepKind::kBorrow,  StepKind::kDeliver,
      StepKind::kDeliver,  StepKind::kCharge,  StepKind::kCharge,
      StepKind::kCharge,   StepKind::kSettle,  StepKind::kSettle,
      StepKind::kDrainAll, StepKind::kConfirm, StepKind::kRestart,
      StepKind::kPause};
  std::vector<ShareStep> steps(length);
  std::ranges::generate(steps, [&] {
    const StepKind kind = kinds[random() % kinds.size()];
    return ShareStep{kind, static_cast<unsigned>(random()),
                     static_cast<unsigned>(random()),
                     static_cast<unsigned>(random())};
  });
  return steps;
}

}  // namespace limpethaven::testing
