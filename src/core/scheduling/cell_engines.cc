#include "core/scheduling/cell_engines.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "limpethaven/output_forecast.h"

namespace limpethaven {
namespace {

/// Prior of the prefill regression until it has samples: mean and standard
/// deviation of the prompt length, and the number of samples that it counts as.
constexpr double kTypicalPromptTokens = 3000;
constexpr double kPromptStdDevTokens = 1500;
constexpr double kPriorSampleCount = 5;
/// Decayed count of failed KV fetches at which an engine is excluded from
/// prefill. A single failure may be due to an expired handle; two in quick
/// succession indicate a fault.
constexpr double kKvFetchEjectFailureCount = 1.5;
/// An outstanding prompt whose notice has not come after this time no longer
/// counts: the notice is lost.
constexpr DurationMs kOutstandingTimeoutMs = 5000;
/// Time for which a forecast of an engine's memory is used again. A generation
/// produces one or two tokens in it.
constexpr DurationMs kForecastStepMs = 5;
/// Multiple of the expected prefill time from which an engine is overdue.
constexpr double kOverdueRatio = 2;
/// Initial delay of the notice of a finished prefill: entry processes send
/// notices every 100 ms.
constexpr double kInitialNoticeDelayMs = 50;
constexpr double kInitialNoticeDeviationMs = 25;
/// Multiple of the mean deviation within which a notice is expected. Delays
/// are spread evenly over an interval, of which it covers all.
constexpr double kNoticeDeviations = 2;
/// Prefill costs that differ by less than this part of the prompt's prefill
/// time count as equal.
constexpr double kEqualCostRatio = 0.25;
/// Added latency of fetching KV memory from another data centre.
constexpr double kCrossDataCentreFetchMs = 10.0;

HealthSettings KvFetchHealthSettings() {
  HealthSettings settings;
  settings.eject_threshold = kKvFetchEjectFailureCount;
  return settings;
}

bool IsExcluded(const PlacementRequest& request, const std::string& id) {
  return std::ranges::find(request.excluded, id) != request.excluded.end();
}

}  // namespace

CellEngines::CellEngines(CellSettings cell_settings)
    : kv_fetch_health(KvFetchHealthSettings()),
      settings(cell_settings),
      prefill_ms_by_tokens(
          static_cast<double>(cell_settings.prefill_latency_ms),
          cell_settings.prefill_ms_per_token, kTypicalPromptTokens,
          kPromptStdDevTokens, kPriorSampleCount),
      notice_delay_ms(kInitialNoticeDelayMs),
      notice_deviation_ms(kInitialNoticeDeviationMs),
      decode_tokens_per_ms(cell_settings.decode_tokens_per_ms) {}

void CellEngines::Configure(const std::vector<CellEngine>& engines,
                            TimeMs now) {
  std::ranges::for_each(this->rows,
                        [](EngineRow& row) { row.configured = false; });
  std::ranges::for_each(engines, [&](const CellEngine& spec) {
    if (EngineRow* existing = this->Find(spec.id)) {
      if (existing->spec.role != spec.role) existing->changing_role_until = 0;
      existing->spec = spec;
      existing->configured = true;
      return;
    }
    EngineRow row{.spec = spec,
                  .cache = PrefixCacheView(this->settings.cache_blocks)};
    row.prefill_busy_until = now;
    row.settles_at = now + this->settings.settle_ms;
    this->index_of.emplace(spec.id, this->rows.size());
    this->rows.push_back(std::move(row));
  });
  std::erase_if(this->rows, [](const EngineRow& row) {
    return !row.configured && row.generations.empty() &&
           row.running_prefills == 0;
  });
  this->index_of.clear();
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    this->index_of.emplace(this->rows[index].spec.id, index);
  }
  this->Refresh(now);
}

EngineRow* CellEngines::Find(std::string_view id) {
  const auto row = this->index_of.find(std::string(id));
  return row == this->index_of.end() ? nullptr : &this->rows[row->second];
}

std::vector<EngineRow>& CellEngines::Rows() noexcept { return this->rows; }

const std::vector<EngineRow>& CellEngines::Rows() const noexcept {
  return this->rows;
}

void CellEngines::Refresh(TimeMs now) {
  static_cast<void>(this->engine_limits.Expire(now));
  std::ranges::for_each(this->rows, [&](EngineRow& engine) {
    engine.usable = engine.configured && !engine.spec.leaving &&
                    now >= engine.changing_role_until &&
                    this->engine_health.Usable(engine.spec.id, now);
    engine.kv_fetchable = this->kv_fetch_health.Usable(engine.spec.id, now);
    std::erase_if(engine.outstanding, [now](const OutstandingPrompt& prompt) {
      return now - prompt.placed_at >= kOutstandingTimeoutMs;
    });
  });
}

EngineChoice CellEngines::Choose(const PlacementRequest& request,
                                 Tokens expected, DurationMs left_ms,
                                 TimeMs now) const {
  EngineChoice choice;
  this->ChooseDecode(request, expected, now, choice);
  if (choice.decode == kNoEngine) return choice;
  if (request.prefilled) {
    choice.first_token_ms = this->IdlePrefillMs(0);
    return choice;
  }
  if (!request.force_local_prefill) this->ChoosePrefill(request, now, choice);
  const bool may_prefill_locally =
      this->settings.allow_local_prefill || request.force_local_prefill;
  if (!may_prefill_locally) {
    if (choice.prefill == kNoEngine) choice.decode = kNoEngine;
    return choice;
  }
  const EngineRow& decode = this->rows[choice.decode];
  const double local_prefill_ms =
      this->settings.local_prefill_slowdown *
      this->PrefillComputeMs(decode, request.prompt_tokens);
  const DurationMs local_first_token_ms =
      std::max<DurationMs>(0, decode.local_prefill_until - now) +
      static_cast<DurationMs>(local_prefill_ms) + this->IdlePrefillMs(0);
  const bool prefill_in_time =
      choice.prefill != kNoEngine &&
      this->rows[choice.prefill].PlannedBacklogMs(now) <=
          this->settings.max_prefill_backlog_ms &&
      (choice.first_token_ms <= left_ms ||
       choice.first_token_ms <= local_first_token_ms);
  if (prefill_in_time) return choice;
  // Local prefill slows the decode engine's other generations, so it is used
  // only when waiting for a prefill engine would miss the first-token target.
  const DurationMs prefill_first_token_ms =
      choice.prefill == kNoEngine ? std::numeric_limits<DurationMs>::max()
                                  : choice.first_token_ms;
  if (prefill_first_token_ms <= left_ms && !request.force_local_prefill) {
    choice.decode = kNoEngine;
    return choice;
  }
  choice.prefill = kNoEngine;
  choice.cached_tokens = 0;
  choice.prefill_compute_ms = static_cast<DurationMs>(local_prefill_ms);
  choice.first_token_ms = local_first_token_ms;
  return choice;
}

Tokens CellEngines::PeakWith(const EngineRow& engine,
                             const HeldGeneration& additional,
                             TimeMs now) const {
  if (!engine.forecast_at || now - *engine.forecast_at >= kForecastStepMs) {
    std::vector<HeldGeneration> held;
    held.reserve(engine.generations.size());
    std::ranges::transform(
        engine.generations, std::back_inserter(held),
        [&](const auto& row) { return this->ForecastOf(row.second, now); });
    engine.forecast = MemoryForecast(std::move(held));
    engine.forecast_at = now;
  }
  return engine.forecast.PeakWith(additional) + engine.unreserved_tokens;
}

Tokens CellEngines::UsableMemory(double request_token_ms) const {
  constexpr double kMsPerS = 1000.0;
  Tokens sum = 0;
  std::ranges::for_each(this->rows, [&](const EngineRow& engine) {
    if (!engine.usable || !engine.CanDecode()) return;
    Tokens memory = engine.spec.memory;
    if (const auto limit = this->engine_limits.Find(engine.spec.id)) {
      memory = std::min(
          memory, static_cast<Tokens>(*limit / kMsPerS * request_token_ms));
    }
    sum += memory;
  });
  return sum;
}

std::vector<EngineView> CellEngines::Views(TimeMs now) const {
  std::vector<EngineView> views;
  std::ranges::transform(
      this->rows, std::back_inserter(views), [&](const EngineRow& engine) {
        return EngineView{engine.spec.id,
                          engine.spec.role,
                          engine.spec.memory,
                          this->PeakWith(engine, HeldGeneration{}, now),
                          static_cast<std::int64_t>(engine.generations.size()),
                          engine.PrefillBacklogMs(now),
                          engine.usable,
                          now < engine.changing_role_until};
      });
  return views;
}

Tokens CellEngines::HeadroomTokens(TimeMs now) const {
  Tokens headroom = 0;
  std::ranges::for_each(this->rows, [&](const EngineRow& engine) {
    const bool accepts = engine.usable && engine.CanDecode() &&
                         static_cast<std::int64_t>(engine.generations.size()) <
                             engine.spec.slots;
    if (!accepts) return;
    const auto planned =
        static_cast<Tokens>(static_cast<double>(engine.spec.memory) *
                            this->settings.planned_memory_ratio);
    headroom += std::max<Tokens>(
        0, planned - this->PeakWith(engine, HeldGeneration{}, now));
  });
  return headroom;
}

bool CellEngines::AnyFor(const PlacementRequest& request) const {
  return std::ranges::any_of(this->rows, [&request](const EngineRow& engine) {
    return engine.configured && !engine.spec.leaving && engine.CanDecode() &&
           !IsExcluded(request, engine.spec.id);
  });
}

double CellEngines::DecodeEngineShare(Tokens held) const {
  // The engines of a cell are alike; the first one stands for all.
  const auto engine = std::ranges::find_if(
      this->rows,
      [](const EngineRow& row) { return row.configured && row.CanDecode(); });
  if (engine == this->rows.end()) return 0;
  const auto memory =
      static_cast<double>(std::max<Tokens>(1, engine->spec.memory));
  const auto slots =
      static_cast<double>(std::max<std::int64_t>(1, engine->spec.slots));
  return std::max(static_cast<double>(held) / memory, 1.0 / slots);
}

bool CellEngines::AnyUsableFor(const PlacementRequest& request) const {
  return std::ranges::any_of(this->rows, [&request](const EngineRow& engine) {
    return engine.usable && engine.CanDecode() &&
           !IsExcluded(request, engine.spec.id);
  });
}

Tokens CellEngines::LargestMemory() const {
  Tokens largest = 0;
  std::ranges::for_each(this->rows, [&largest](const EngineRow& engine) {
    if (engine.configured && engine.CanDecode()) {
      largest = std::max(largest, engine.spec.memory);
    }
  });
  return largest;
}

DurationMs CellEngines::IdlePrefillMs(Tokens prompt) const {
  return static_cast<DurationMs>(std::max(
      0.0, this->prefill_ms_by_tokens.Predict(static_cast<double>(prompt))));
}

double CellEngines::DecodeTokensPerMs() const noexcept {
  return this->decode_tokens_per_ms;
}

void CellEngines::StartPrefill(EngineRow& engine,
                               const std::string& reservation,
                               const EngineChoice& choice, TimeMs now) {
  engine.prefill_busy_until =
      std::max(now, engine.prefill_busy_until) + choice.prefill_compute_ms;
  ++engine.running_prefills;
  const auto notice_ms = static_cast<DurationMs>(
      this->notice_delay_ms + kNoticeDeviations * this->notice_deviation_ms);
  engine.outstanding.push_back(OutstandingPrompt{
      reservation, choice.prefill_compute_ms, now, now + choice.first_token_ms,
      now + choice.first_token_ms + notice_ms,
      now + notice_ms +
          static_cast<DurationMs>(kOverdueRatio *
                                  static_cast<double>(choice.first_token_ms))});
}

void CellEngines::DropOutstanding(EngineRow& engine,
                                  std::string_view reservation) {
  std::erase_if(engine.outstanding, [&](const OutstandingPrompt& prompt) {
    return prompt.reservation == reservation;
  });
}

HeldGeneration CellEngines::RoundToBlocks(Tokens held, Tokens remaining) const {
  const Tokens block = std::max<Tokens>(1, this->settings.block_tokens);
  const auto round_up = [block](Tokens tokens) {
    return (tokens + block - 1) / block * block;
  };
  if (this->settings.reserve_maximum) {
    return HeldGeneration{round_up(held + remaining), 0};
  }
  return HeldGeneration{round_up(held), remaining};
}

HeldGeneration CellEngines::ForecastOf(const Generation& generation,
                                       TimeMs now) const {
  if (this->settings.reserve_maximum) {
    return this->RoundToBlocks(generation.prompt, generation.maximum);
  }
  Tokens produced = generation.produced;
  if (generation.updated_at > 0) {
    produced +=
        static_cast<Tokens>(this->decode_tokens_per_ms *
                            static_cast<double>(now - generation.updated_at));
  }
  if (generation.maximum > 0) produced = std::min(produced, generation.maximum);
  return this->RoundToBlocks(
      generation.prompt + produced,
      OutputForecast::Remaining(generation.expected, produced,
                                generation.maximum));
}

void CellEngines::ChooseDecode(const PlacementRequest& request, Tokens expected,
                               TimeMs now, EngineChoice& choice) const {
  double best = std::numeric_limits<double>::max();
  const HeldGeneration demand =
      this->RoundToBlocks(request.prompt_tokens, expected);
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    const EngineRow& engine = this->rows[index];
    if (!engine.usable || !engine.CanDecode() ||
        now < std::max(engine.refusing_until, engine.settles_at)) {
      continue;
    }
    const auto running_generations =
        static_cast<std::int64_t>(engine.generations.size());
    if (running_generations >= engine.spec.slots) continue;
    if (IsExcluded(request, engine.spec.id)) continue;
    if (this->engine_limits.WaitMs(engine.spec.id, now) > 0) continue;
    const Tokens peak = this->PeakWith(engine, demand, now);
    const double planned_tokens = static_cast<double>(engine.spec.memory) *
                                  this->settings.planned_memory_ratio;
    // On an idle engine a request may use all of the memory, since a request
    // larger than the planned part would otherwise never be placed.
    const bool fits = static_cast<double>(peak) <= planned_tokens ||
                      (running_generations == 0 && peak <= engine.spec.memory);
    if (!fits) continue;
    const double memory_utilization =
        static_cast<double>(peak) / static_cast<double>(engine.spec.memory);
    const bool crosses_data_centres =
        engine.spec.data_centre != request.data_centre;
    const double cost =
        memory_utilization +
        (crosses_data_centres ? this->settings.cross_data_centre_penalty_ratio
                              : 0);
    if (cost >= best) continue;
    best = cost;
    choice.decode = index;
    choice.memory_utilization = memory_utilization;
  }
}

std::vector<CellEngines::PrefillCandidate> CellEngines::PrefillCandidates(
    const PlacementRequest& request, const std::string& decode_centre,
    TimeMs now) const {
  std::vector<PrefillCandidate> candidates;
  bool any_in_time = false;
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    const EngineRow& engine = this->rows[index];
    if (!engine.usable || !engine.CanPrefill() || !engine.kv_fetchable ||
        now < engine.refusing_until) {
      continue;
    }
    if (IsExcluded(request, engine.spec.id)) continue;
    if (this->engine_limits.WaitMs(engine.spec.id, now) > 0) continue;
    // At least one token of the prompt is always computed.
    const Tokens cached = std::min<Tokens>(
        static_cast<Tokens>(engine.cache.Match(request.prefix)) *
            kTokensPerPiece,
        std::max<Tokens>(0, request.prompt_tokens - 1));
    const double compute_ms =
        this->PrefillComputeMs(engine, request.prompt_tokens - cached);
    const bool overdue = engine.PrefillOverdue(now);
    any_in_time = any_in_time || !overdue;
    const DurationMs planned_ms = engine.PlannedBacklogMs(now);
    const DurationMs backlog_ms = engine.PrefillBacklogMs(now);
    const double fetch_ms =
        engine.spec.data_centre != decode_centre ? kCrossDataCentreFetchMs : 0;
    PrefillCandidate candidate;
    candidate.index = index;
    candidate.cached_tokens = cached;
    candidate.compute_ms = compute_ms;
    candidate.cost_ms = compute_ms + static_cast<double>(planned_ms) + fetch_ms;
    candidate.fetch_ms = fetch_ms;
    candidate.rank_ms =
        (overdue ? kOverdueRatio : 1.0) *
            (compute_ms + static_cast<double>(
                              std::max(backlog_ms, engine.LastPromptMs(now)))) +
        fetch_ms;
    candidate.planned_ms = planned_ms;
    candidate.backlog_ms = overdue ? backlog_ms : planned_ms;
    candidate.outstanding = engine.outstanding.size();
    candidates.push_back(candidate);
  }
  const auto too_busy = [&](const PrefillCandidate& candidate) {
    return (any_in_time ? candidate.backlog_ms : candidate.planned_ms) >
           this->settings.max_prefill_backlog_ms;
  };
  if (!this->settings.allow_local_prefill ||
      !std::ranges::all_of(candidates, too_busy)) {
    std::erase_if(candidates, too_busy);
  }
  return candidates;
}

void CellEngines::ChoosePrefill(const PlacementRequest& request, TimeMs now,
                                EngineChoice& choice) const {
  const std::vector<PrefillCandidate> candidates = this->PrefillCandidates(
      request, this->rows[choice.decode].spec.data_centre, now);
  if (candidates.empty()) return;
  const double lowest_ms =
      std::ranges::min(candidates, {}, &PrefillCandidate::rank_ms).rank_ms;
  const double tolerance_ms =
      kEqualCostRatio * std::max(0.0, this->prefill_ms_by_tokens.Slope()) *
      static_cast<double>(request.prompt_tokens);
  const auto rank = [&](const PrefillCandidate& candidate) {
    const bool equal = candidate.rank_ms <= lowest_ms + tolerance_ms;
    return std::tuple(!equal, equal ? candidate.outstanding : 0,
                      candidate.rank_ms);
  };
  const auto best = std::ranges::min_element(candidates, {}, rank);
  choice.prefill = best->index;
  choice.cached_tokens = best->cached_tokens;
  // The + 1 rounds up, so that a short prompt does not count as 0 ms.
  choice.prefill_compute_ms = static_cast<DurationMs>(best->compute_ms) + 1;
  choice.first_token_ms =
      static_cast<DurationMs>(best->cost_ms) + this->IdlePrefillMs(0);
  choice.prefill_answer_ms =
      static_cast<DurationMs>(best->cost_ms - best->fetch_ms) +
      this->IdlePrefillMs(0);
  double second_ms = std::numeric_limits<double>::max();
  std::ranges::for_each(candidates, [&](const PrefillCandidate& candidate) {
    if (candidate.index == best->index || candidate.rank_ms >= second_ms) {
      return;
    }
    second_ms = candidate.rank_ms;
    choice.runner_up = candidate.index;
  });
}

double CellEngines::PrefillComputeMs(const EngineRow& engine,
                                     Tokens tokens) const {
  return engine.prefill_slowdown *
         std::max(0.0, this->prefill_ms_by_tokens.Slope()) *
         static_cast<double>(tokens);
}

}  // namespace limpethaven
