/// @file
/// Which processes read the source, and when one that follows readers reads it
/// itself. Guards against a change that is known late because of what readers
/// do, and against a fleet in which every process goes on reading.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limpethaven/reader_freshness.h"
#include "limpethaven/reader_role.h"

namespace limpethaven {
namespace {

constexpr DurationMs kStepMs = 10;
constexpr DurationMs kTickMs = 100;
/// Time that one read of the source takes.
constexpr DurationMs kReadMs = 100;
constexpr DurationMs kWaitMs = 500;
constexpr DurationMs kRenewMs = 800;
/// A change must be in force after this time.
constexpr DurationMs kBoundMs = 3000;
/// Longest time until the follower begins to read, one tick, one read, and the
/// steps of the model.
constexpr DurationMs kWorstDelayMs =
    ReaderFreshnessSettings{}.max_state_age_ms + kTickMs + kReadMs +
    3 * kStepMs;
static_assert(kWorstDelayMs < kBoundMs);

enum class Fault {
  kNone,
  kDead,      ///< Calls are lost; afterwards it has read all anew.
  kStopped,   ///< Calls wait until it continues.
  kNoStore,   ///< Its watches of the source hang.
  kSlowLink,  ///< Its answers take long to arrive.
  kOldState,  ///< Says that its state is fresh, and has no change any more.
};

struct Episode {
  TimeMs begin = 0;
  TimeMs end = 0;
  Fault fault = Fault::kNone;
};

/// A reader: the state that it has, and the one call that it may hold.
struct ModelReader {
  std::vector<Episode> episodes;
  DurationMs slow_ms = 900;  ///< Delay of answers in `kSlowLink`.
  TimeMs knows_until = 0;    ///< It has all changes up to this time.
  TimeMs renewed_at = 0;     ///< As of which its state is complete for sure.

  struct Call {
    TimeMs sent_at = 0;
    std::int64_t seen = 0;  ///< Changes that the follower knew.
    std::optional<ReaderAnswer> answer;
    TimeMs arrives_at = 0;
  };
  std::optional<Call> call;
  TimeMs next_call_at = 0;

  [[nodiscard]] Fault FaultAt(TimeMs now) const {
    const auto found =
        std::ranges::find_if(this->episodes, [now](const Episode& episode) {
          return now >= episode.begin && now < episode.end;
        });
    return found == this->episodes.end() ? Fault::kNone : found->fault;
  }
};

/// One follower with its readers; the source changes every `change_ms`.
class Model {
 public:
  explicit Model(std::vector<ModelReader> model_readers, DurationMs changes_ms)
      : readers(std::move(model_readers)), change_ms(changes_ms) {
    std::vector<std::string> names;
    names.reserve(this->readers.size());
    for (std::size_t index = 0; index < this->readers.size(); ++index) {
      names.push_back(std::to_string(index));
    }
    this->freshness.SetReaders(names);
  }

  void Run(DurationMs duration_ms) {
    for (TimeMs now = 0; now < duration_ms; now += kStepMs) this->Step(now);
  }

  DurationMs worst_delay_ms = 0;   ///< Of all changes, until they are known.
  DurationMs reading_ms = 0;       ///< Time in which the follower read.
  DurationMs reading_late_ms = 0;  ///< Of that, after the first 7 seconds.

 private:
  [[nodiscard]] std::int64_t ChangesAt(TimeMs time) const {
    return time < 0 ? 0 : time / this->change_ms;
  }

  void Step(TimeMs now) {
    for (std::size_t index = 0; index < this->readers.size(); ++index) {
      this->StepReader(this->readers[index], now);
      this->StepCall(std::to_string(index), this->readers[index], now);
    }
    if (now % kTickMs == 0) {
      const bool reads =
          this->freshness.Decide(now) != ReadReason::kReadersFresh;
      if (reads && !this->reading_since) this->reading_since = now;
      if (!reads) this->reading_since.reset();
    }
    if (this->reading_since) {
      this->reading_ms += kStepMs;
      if (now > 7000) this->reading_late_ms += kStepMs;
      if (now - *this->reading_since >= kReadMs) {
        this->known = std::max(this->known, this->ChangesAt(now));
        this->freshness.OnOwnRead(now);
      }
    }
    this->freshness.OnKnown(KnownNow(this->known), now);
    // The oldest change that is not known was made at this time.
    if (this->known < this->ChangesAt(now)) {
      const TimeMs made_at = (this->known + 1) * this->change_ms;
      this->worst_delay_ms = std::max(this->worst_delay_ms, now - made_at);
    }
  }

  void StepReader(ModelReader& reader, TimeMs now) const {
    const Fault fault = reader.FaultAt(now);
    if (fault == Fault::kNone || fault == Fault::kSlowLink) {
      reader.knows_until = now;
      if (now - reader.renewed_at >= kRenewMs) reader.renewed_at = now;
    }
    if (fault == Fault::kOldState) reader.renewed_at = now;
  }

  void StepCall(const std::string& name, ModelReader& reader, TimeMs now) {
    if (!reader.call) {
      if (now < reader.next_call_at) return;
      reader.call = ModelReader::Call{now, this->known, std::nullopt, 0};
    }
    ModelReader::Call& call = *reader.call;
    const Fault fault = reader.FaultAt(now);
    if (!call.answer && fault != Fault::kDead && fault != Fault::kStopped) {
      const DurationMs waited_ms = now - call.sent_at;
      const std::int64_t has = this->ChangesAt(reader.knows_until);
      const DurationMs age_ms = now - reader.renewed_at;
      if (has > call.seen || waited_ms >= kWaitMs || age_ms > 1200) {
        call.answer =
            ReaderAnswer{call.sent_at, waited_ms, age_ms, KnownNow(has)};
        call.arrives_at =
            now + (fault == Fault::kSlowLink ? reader.slow_ms : kStepMs);
      }
    }
    if (call.answer && now >= call.arrives_at) {
      this->known = std::max<std::int64_t>(
          this->known,
          static_cast<std::int64_t>(call.answer->known.revision.number));
      const bool fresh = this->freshness.OnAnswer(name, *call.answer, now);
      reader.next_call_at = now + (fresh ? kStepMs : 250);
      reader.call.reset();
    } else if (now - call.sent_at >= 1000) {
      this->freshness.OnFailure(name);
      reader.next_call_at = now + 250;
      reader.call.reset();
    }
  }

  static KnownState KnownNow(std::int64_t changes) {
    return KnownState{1, {0, static_cast<std::uint64_t>(changes)}};
  }

  std::vector<ModelReader> readers;
  DurationMs change_ms;
  ReaderFreshness freshness;
  std::optional<TimeMs> reading_since = 0;
  std::int64_t known = 0;
};

constexpr std::array kFaults = {Fault::kDead, Fault::kStopped, Fault::kNoStore,
                                Fault::kSlowLink};

TEST_CASE(
    "source readers: a process with fresh readers reads the source once") {
  Model model(std::vector<ModelReader>(2), 400);
  model.Run(60'000);
  // The baseline, in which every process reads, would read all the time.
  CHECK(model.reading_ms <= 6000);
  CHECK(model.worst_delay_ms <= 100);
}

TEST_CASE("source readers: one reader that fails delays no change") {
  for (const Fault fault : kFaults) {
    INFO(static_cast<int>(fault));
    std::vector<ModelReader> readers(2);
    readers[0].episodes = {{10'000, 40'000, fault}};
    Model model(std::move(readers), 70);
    model.Run(60'000);
    CHECK(model.worst_delay_ms <= 200);
    CHECK(model.reading_late_ms == 0);
  }
}

TEST_CASE(
    "source readers: two readers that fail at the same moment hide a change") {
  for (const Fault fault : kFaults) {
    for (TimeMs begin = 10'000; begin < 11'500; begin += 70) {
      INFO(static_cast<int>(fault) << " at " << begin);
      std::vector<ModelReader> readers(2);
      readers[0].episodes = {{begin, 20'000, fault}};
      readers[1].episodes = {{begin, 20'000, fault}};
      Model model(std::move(readers), 30);
      model.Run(40'000);
      CHECK(model.worst_delay_ms <= kWorstDelayMs);
      // The readers serve again 5 s after they have come back.
      CHECK(model.reading_late_ms <= 20'000 - begin + 7000);
    }
  }
}

TEST_CASE("source readers: a reader with an old state hides a change") {
  // It answers in time and says that it is fresh. The other reader works, or
  // fails so that the process reads the source.
  for (const Fault other : {Fault::kNone, Fault::kDead}) {
    std::vector<ModelReader> readers(2);
    readers[0].episodes = {{10'000, 40'000, Fault::kOldState}};
    readers[1].episodes = {{13'000, 40'000, other}};
    Model model(std::move(readers), 300);
    model.Run(40'000);
    CHECK(model.worst_delay_ms <= kWorstDelayMs);
  }
}

TEST_CASE("source readers: no schedule of failures hides a change") {
  REQUIRE(rc::check("every change is known within the bound", [] {
    const auto reader = [] {
      ModelReader made;
      made.slow_ms = *rc::gen::inRange<DurationMs>(100, 1500);
      TimeMs now = *rc::gen::inRange<TimeMs>(0, 9000);
      while (now < 40'000) {
        const DurationMs length = *rc::gen::inRange<DurationMs>(50, 5000);
        made.episodes.push_back(
            {now, now + length, *rc::gen::elementOf(kFaults)});
        now += length + *rc::gen::inRange<DurationMs>(0, 9000);
      }
      return made;
    };
    std::vector<ModelReader> readers = {reader(), reader()};
    Model model(std::move(readers), *rc::gen::inRange<DurationMs>(20, 3000));
    model.Run(45'000);
    RC_ASSERT(model.worst_delay_ms <= kWorstDelayMs);
  }));
}

TEST_CASE("source readers: a pause makes a process read the source") {
  ReaderFreshness freshness;
  freshness.SetReaders({"r"});
  freshness.OnOwnRead(0);
  const auto answer = [&](TimeMs now) {
    return freshness.OnAnswer("r", ReaderAnswer{now - 10, 0, 0, {}}, now);
  };
  for (TimeMs now = 0; now <= 6000; now += 500) CHECK(answer(now));
  REQUIRE(freshness.Decide(6000) == ReadReason::kReadersFresh);
  freshness.RequireOwnRead(6100);
  CHECK(freshness.Decide(6100) == ReadReason::kOwnReadDue);
  freshness.OnOwnRead(6050);
  CHECK(freshness.Decide(6200) == ReadReason::kOwnReadDue);
  freshness.OnOwnRead(6150);
  CHECK(freshness.Decide(6200) == ReadReason::kReadersFresh);
  // A pause too short to be reported makes the known state old as well.
  CHECK(freshness.Decide(7400) == ReadReason::kNoFreshAnswer);
}

MemberUpdate MemberOf(int number, const std::string& zone,
                      std::int64_t millicores) {
  MemberUpdate member;
  member.address = "10.0.0." + std::to_string(number);
  member.data_centre = zone;
  member.state = MemberState::kAlive;
  member.serving = true;
  member.cpu_millicores = millicores;
  return member;
}

TEST_CASE("source readers: large members of each data centre are chosen") {
  std::vector<MemberUpdate> members;
  members.reserve(61);
  for (int number = 1; number <= 60; ++number) {
    members.push_back(
        MemberOf(number, number % 3 == 0 ? "a" : "b", number <= 6 ? 500 : 120));
  }
  members.push_back(MemberOf(61, "c", 120));
  const ReaderRoleSettings settings{2, 61};
  const auto role_of = [&](const MemberUpdate& member) {
    return ChooseReaders(member.address, member.data_centre, members, settings);
  };
  std::set<std::string> readers_of_a;
  for (const MemberUpdate& member : members) {
    const ReaderRole role = role_of(member);
    if (member.data_centre == "c") {
      CHECK(role.reason == ReaderRoleReason::kNoReader);
      CHECK(role.readers.empty());
    } else if (role.IsReader()) {
      CHECK(member.cpu_millicores == 500);
      CHECK(role.readers.empty());
      if (member.data_centre == "a") readers_of_a.insert(member.address);
    } else {
      CHECK(role.readers.size() == 2);
      if (member.data_centre == "a") {
        readers_of_a.insert(role.readers.begin(), role.readers.end());
      }
    }
  }
  CHECK(readers_of_a.size() == 2);
  // A reader that is gone is replaced by the next, and the other one stays.
  const std::string gone = *readers_of_a.begin();
  std::erase_if(members, [&gone](const MemberUpdate& member) {
    return member.address == gone;
  });
  CHECK(role_of(members.front()).reason == ReaderRoleReason::kFewMembers);
  members.push_back(MemberOf(90, "a", 500));
  const ReaderRole after = role_of(MemberOf(60, "a", 120));
  CHECK(std::ranges::find(after.readers, *readers_of_a.rbegin()) !=
        after.readers.end());
  CHECK(std::ranges::find(after.readers, gone) == after.readers.end());
  CHECK(ChooseReaders("10.0.0.1", "a", members, {0, 0}).reason ==
        ReaderRoleReason::kOff);
}

}  // namespace
}  // namespace limpethaven
