#include "cell_day.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <optional>
#include <random>
#include <set>
#include <sstream>

namespace limpethaven::testing {
namespace {

constexpr double kPrefillTokensPerMs = 33.3;
constexpr Tokens kMeanPrompt = 3200;
constexpr DurationMs kStepMs = 5;
constexpr DurationMs kMaxNoticeDelayMs = 100;
constexpr DurationMs kRenewalPeriodMs = 500;
constexpr double kSlowness = 2.5;
constexpr int kMaxReturns = 3;

struct Call {
  PlacementRequest request;
  Tokens output = 0;
  TimeMs submitted_at = 0;
  TimeMs due_at = 0;
  TimeMs give_up_at = 0;
  int returns = 0;
  int size = 0;
  std::int64_t told_order =
      0;  ///< Order of the refusal that it came back from.
  std::optional<Placement> placement;
  double prefill_left_ms = 0;
  TimeMs begun_at = 0;
};

enum class NoticeKind { kPrefilled, kFinished };

struct Notice {
  TimeMs at = 0;
  NoticeKind kind = NoticeKind::kPrefilled;
  std::string id;
  DurationMs measured_ms = 0;
  friend auto operator<=>(const Notice&, const Notice&) = default;
};

class Day {
 public:
  Day(const Deployment& day_deployment, CellSettings settings, unsigned seed)
      : deployment(day_deployment), cell("m/0", "o", settings), random(seed) {
    std::vector<CellEngine> engines;
    const auto add = [&](char letter, int count, PoolRole role) {
      for (int index = 0; index < count; ++index) {
        CellEngine engine;
        engine.id = letter + std::to_string(index);
        engine.data_centre = "zone";
        engine.role = role;
        engine.memory = this->deployment.kv_tokens;
        engine.slots = 12;
        engines.push_back(engine);
      }
    };
    add('p', deployment.prefill_engines, PoolRole::kPrefill);
    add('d', deployment.decode_engines, PoolRole::kDecode);
    this->cell.Configure(engines, 0);
  }

  DayOutcome Play() {
    double next_ms = 0;
    for (TimeMs now = 1; now < this->deployment.day_ms + 10'000;
         now += kStepMs) {
      for (;
           next_ms <= static_cast<double>(now) && now < this->deployment.day_ms;
           next_ms += std::exponential_distribution<double>(
               this->RatePerMs(now))(this->random)) {
        this->Submit(this->NewCall(), now);
      }
      while (!this->returns.empty() && this->returns.begin()->first <= now) {
        Call call = std::move(this->returns.begin()->second);
        this->returns.erase(this->returns.begin());
        ++this->outcome.returned;
        this->Submit(std::move(call), now);
      }
      this->ApplyNotices(now);
      this->RunEngines(now);
      if (now / kRenewalPeriodMs != (now - kStepMs) / kRenewalPeriodMs) {
        this->Renew(now);
      }
      this->Tick(now);
    }
    std::ranges::sort(this->outcome.refused_after_ms);
    return std::move(this->outcome);
  }

 private:
  [[nodiscard]] double RatePerMs(TimeMs now) const {
    const double wave = 1 + 0.55 * std::sin(2 * std::numbers::pi *
                                            static_cast<double>(now) / 15'000);
    const bool spike = now % 16'000 >= 9000 && now % 16'000 < 13'000;
    return this->deployment.per_s / 1000 *
           (spike ? std::max(wave, 1.0) * this->deployment.spike : wave);
  }

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(this->random);
  }

  Call NewCall() {
    Call call;
    double pick = this->Uniform(0, 1);
    const CallerKind* kind = &this->deployment.kinds.back();
    for (const CallerKind& candidate : this->deployment.kinds) {
      if (pick < candidate.share) {
        kind = &candidate;
        break;
      }
      pick -= candidate.share;
    }
    PlacementRequest& request = call.request;
    const int team = static_cast<int>(this->Uniform(0, 6));
    request.team =
        std::string(1, team < 3 ? 'a' : static_cast<char>('a' + team - 2));
    request.priority = kind->priority;
    request.data_centre = "zone";
    request.prompt_tokens = static_cast<Tokens>(
        this->Uniform(0.5, 1.5) * static_cast<double>(kMeanPrompt));
    call.size = static_cast<int>(
        3 * (static_cast<double>(request.prompt_tokens) / kMeanPrompt - 0.5));
    call.output = static_cast<Tokens>(
        this->Uniform(0.5, 1.5) *
        static_cast<double>(this->deployment.output_tokens));
    request.hint = static_cast<Tokens>(this->Uniform(0.8, 1.25) *
                                       static_cast<double>(call.output));
    request.max_tokens = 2 * this->deployment.output_tokens;
    request.budget_ms = kind->due_ms;
    request.patience_ms = kind->patience_ms;
    return call;
  }

  void Submit(Call call, TimeMs now) {
    call.request.request_id = "r" + std::to_string(++this->number);
    call.submitted_at = now;
    call.due_at = now + call.request.budget_ms;
    call.give_up_at = now + call.request.patience_ms;
    const std::string id = call.request.request_id;
    this->cell.Submit(call.request, now);
    this->waiting.emplace(id, std::move(call));
  }

  void Count(const Call& call, int Served::*field) {
    ++(this->outcome.all.*field);
    ++(this->outcome.by_priority[call.request.priority].*field);
    ++(this->outcome.by_team[call.request.team].*field);
    ++(this->outcome.by_size[call.size].*field);
  }

  void Tick(TimeMs now) {
    for (const CellCommand& command : this->cell.Tick(now)) {
      if (const auto* place = std::get_if<PlaceCommand>(&command)) {
        this->Start(*place, now);
      } else if (const auto* refuse = std::get_if<RefuseCommand>(&command)) {
        this->Refuse(*refuse, now);
      }
    }
    for (auto it = this->waiting.begin(); it != this->waiting.end();) {
      if (now < it->second.give_up_at) {
        ++it;
        continue;
      }
      this->cell.Withdraw(it->first, now);
      this->Count(it->second, &Served::gave_up);
      it = this->waiting.erase(it);
    }
  }

  void Start(const PlaceCommand& place, TimeMs now) {
    Call call = std::move(this->waiting.extract(place.request_id).mapped());
    call.placement = place.placement;
    if (call.returns > 0) {
      ++this->outcome.returned_placed;
    }
    call.prefill_left_ms =
        static_cast<double>(call.request.prompt_tokens) / kPrefillTokensPerMs;
    const bool local = place.placement.prefill.empty();
    if (local) call.prefill_left_ms *= 3;
    const std::string engine =
        local ? "local " + place.placement.decode + std::to_string(number)
              : place.placement.prefill;
    static_cast<void>(now);
    this->prefills[engine].push_back(place.placement.reservation);
    this->running.emplace(place.placement.reservation, std::move(call));
  }

  void Refuse(const RefuseCommand& refuse, TimeMs now) {
    Call call = std::move(this->waiting.extract(refuse.request_id).mapped());
    this->outcome.refused_after_ms.push_back(now - call.submitted_at);
    const DurationMs retry_ms = refuse.error.retry_after_ms;
    if (retry_ms > 0) {
      ++this->outcome.told;
      TimeMs& latest =
          this->told_until[{call.request.priority, call.request.team}];
      if (now + retry_ms < latest) ++this->outcome.overtaken;
      latest = std::max(latest, now + retry_ms);
      this->outcome.shortest_retry_ms =
          std::min(this->outcome.shortest_retry_ms, static_cast<int>(retry_ms));
    }
    if (retry_ms > 0 && call.returns < kMaxReturns &&
        this->Uniform(0, 1) < this->deployment.returning) {
      ++call.returns;
      this->returns.emplace(now + retry_ms, std::move(call));
      return;
    }
    this->Count(call, &Served::refused);
  }

  void ApplyNotices(TimeMs now) {
    while (!this->notices.empty() && this->notices.begin()->at <= now) {
      const Notice notice = *this->notices.begin();
      this->notices.erase(this->notices.begin());
      if (notice.kind == NoticeKind::kPrefilled) {
        this->cell.PrefillDone(notice.id, notice.measured_ms, now);
      } else {
        this->cell.Finish(notice.id, notice.measured_ms, now);
      }
    }
  }

  TimeMs NoticeTime(TimeMs now) {
    return now + static_cast<TimeMs>(this->Uniform(0, kMaxNoticeDelayMs));
  }

  void RunEngines(TimeMs now) {
    if (now / 4000 != (now - kStepMs) / 4000) {
      this->slow.clear();
      const int count = static_cast<int>(this->deployment.slow_ratio *
                                         this->deployment.prefill_engines);
      while (static_cast<int>(this->slow.size()) < count) {
        this->slow.insert("p" + std::to_string(static_cast<int>(this->Uniform(
                                    0, this->deployment.prefill_engines))));
      }
    }
    for (auto& [engine, queue] : this->prefills) {
      const bool slow_now = now % 4000 < 600 && this->slow.contains(engine);
      double work_ms = slow_now ? kStepMs / kSlowness : kStepMs;
      while (!queue.empty() && work_ms > 0) {
        Call& call = this->running.at(queue.front());
        const double used = std::min(work_ms, call.prefill_left_ms);
        call.prefill_left_ms -= used;
        work_ms -= used;
        if (call.prefill_left_ms > 0) break;
        this->Begin(call, now);
        queue.pop_front();
      }
    }
    for (auto it = this->running.begin(); it != this->running.end();) {
      const Call& call = it->second;
      const double done = static_cast<double>(now - call.begun_at) *
                          this->deployment.decode_tokens_per_ms;
      if (call.begun_at == 0 || done < static_cast<double>(call.output)) {
        ++it;
        continue;
      }
      this->notices.insert(Notice{this->NoticeTime(now), NoticeKind::kFinished,
                                  it->first, call.output});
      it = this->running.erase(it);
    }
  }

  void Begin(Call& call, TimeMs now) {
    call.begun_at = now;
    const DurationMs took = now - call.submitted_at - call.placement->queued_ms;
    this->notices.insert(Notice{this->NoticeTime(now), NoticeKind::kPrefilled,
                                call.placement->reservation, took});
    const bool on_time = now <= call.due_at;
    if (call.returns > 0 && on_time) ++this->outcome.returned_on_time;
    this->Count(call, on_time ? &Served::on_time : &Served::late);
  }

  void Renew(TimeMs now) {
    std::vector<Renewal> renewals;
    for (const auto& [id, call] : this->running) {
      Renewal renewal;
      renewal.reservation = id;
      renewal.request_id = call.request.request_id;
      renewal.engine = call.placement->decode;
      if (call.begun_at > 0) {
        renewal.produced =
            static_cast<Tokens>(static_cast<double>(now - call.begun_at) *
                                this->deployment.decode_tokens_per_ms);
      }
      renewals.push_back(std::move(renewal));
    }
    this->cell.Renew(renewals, now);
  }

  Deployment deployment;
  CellScheduler cell;
  std::mt19937 random;
  DayOutcome outcome;
  int number = 0;
  /// Latest time to come back told to callers of a priority and team.
  std::map<std::pair<std::int64_t, std::string>, TimeMs> told_until;
  std::map<std::string, Call> waiting;  ///< Keyed by request id.
  std::map<std::string, Call> running;  ///< Keyed by reservation id.
  std::multimap<TimeMs, Call> returns;
  std::map<std::string, std::deque<std::string>> prefills;
  std::set<std::string> slow;
  std::set<Notice> notices;
};

}  // namespace

Deployment FirstDeployment() { return {}; }

Deployment SecondDeployment() {
  Deployment deployment;
  deployment.prefill_engines = 32;
  deployment.decode_engines = 58;
  deployment.kv_tokens = 28'217;
  deployment.per_s = 83;
  deployment.output_tokens = 600;
  deployment.decode_tokens_per_ms = 600.0 / 3300;
  deployment.kinds = {{0, 0.12, 800, 3200}, {2, 0.88, 2000, 8000}};
  deployment.slow_ratio = 0;
  return deployment;
}

int Served::All() const {
  return this->on_time + this->late + this->refused + this->gave_up;
}

DayOutcome PlayDay(const Deployment& deployment, CellSettings settings,
                   unsigned seed) {
  return Day(deployment, settings, seed).Play();
}

CellSettings PlatformCells() {
  CellSettings settings;
  settings.lease_ms = 60'000;
  settings.reserve_maximum = false;
  settings.planned_memory_ratio = 0.96;
  settings.block_tokens = 16;
  settings.allow_local_prefill = true;
  return settings;
}

std::string Text(const std::string& name, const DayOutcome& outcome) {
  std::ostringstream text;
  const auto show = [&text](const std::string& label, const Served& served) {
    text << label << ": " << served.on_time << " on time, " << served.late
         << " late, " << served.refused << " refused, " << served.gave_up
         << " gave up; ";
  };
  show(name, outcome.all);
  const std::vector<DurationMs>& waits = outcome.refused_after_ms;
  if (!waits.empty()) {
    text << waits.size() << " refusals after " << waits[waits.size() / 2] << "/"
         << waits[waits.size() * 9 / 10] << "/" << waits.back() << " ms, "
         << outcome.told << " with a time from " << outcome.shortest_retry_ms
         << " ms; " << outcome.returned << " returned, "
         << outcome.returned_placed << " placed, " << outcome.returned_on_time
         << " on time, " << outcome.overtaken << " overtaken";
  }
  for (const auto& [priority, served] : outcome.by_priority) {
    show("\n  priority " + std::to_string(priority), served);
  }
  for (const auto& [team, served] : outcome.by_team) {
    show("\n  team " + team, served);
  }
  for (const auto& [size, served] : outcome.by_size) {
    show("\n  size " + std::to_string(size), served);
  }
  return text.str();
}

}  // namespace limpethaven::testing
