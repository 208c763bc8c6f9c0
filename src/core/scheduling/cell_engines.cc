#include "core/scheduling/cell_engines.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "limpethaven/output_forecast.h"

namespace limpethaven {
namespace {

/// Prior of the prefill regression until it has samples: mean and standard
/// deviation of the prompt length, and the number of samples that it counts as.
constexpr double kTypicalPromptTokens = 3000;
constexpr double kPromptStdDevTokens = 1500;
constexpr double kPriorSampleCount = 5;
/// Weight of a new sample against the estimate so far.
constexpr double kLearningRate = 0.2;
/// Prefills of fewer uncached tokens do not update the prefill estimates.
constexpr Tokens kMinPrefillSampleTokens = 100;
/// Shorter intervals of progress do not update the decode rate.
constexpr DurationMs kMinDecodeSampleMs = 100;
/// Upper bound of an engine's estimated prefill slowdown; its reciprocal is the
/// lower bound. An engine that is estimated to be slower would get no work, and
/// a recovery would not be noticed.
constexpr double kMaxPrefillSlowdownRatio = 20.0;
/// Decayed count of failed KV fetches at which an engine is excluded from
/// prefill. A single failure may be due to an expired handle; two in quick
/// succession indicate a fault.
constexpr double kKvFetchEjectFailureCount = 1.5;
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

PrefixCacheView::PrefixCacheView(std::size_t max_blocks)
    : capacity(max_blocks) {}

void PrefixCacheView::Add(std::uint64_t block) {
  this->Remove(block);
  this->by_last_added.push_front(block);
  this->positions.emplace(block, this->by_last_added.begin());
  if (this->by_last_added.size() <= this->capacity) return;
  this->positions.erase(this->by_last_added.back());
  this->by_last_added.pop_back();
}

void PrefixCacheView::Remove(std::uint64_t block) {
  const auto position = this->positions.find(block);
  if (position == this->positions.end()) return;
  this->by_last_added.erase(position->second);
  this->positions.erase(position);
}

std::size_t PrefixCacheView::Match(
    const std::vector<std::uint64_t>& prefix) const {
  const auto miss = std::ranges::find_if_not(
      prefix,
      [this](std::uint64_t block) { return this->positions.contains(block); });
  return static_cast<std::size_t>(miss - prefix.begin());
}

bool EngineRow::CanPrefill() const {
  return this->spec.role == PoolRole::kPrefill ||
         this->spec.role == PoolRole::kMixed;
}

bool EngineRow::CanDecode() const {
  return this->spec.role == PoolRole::kDecode ||
         this->spec.role == PoolRole::kMixed;
}

DurationMs EngineRow::PrefillBacklogMs(TimeMs now) const {
  return std::max<DurationMs>(0, this->prefill_busy_until - now);
}

CellEngines::CellEngines(CellSettings cell_settings)
    : kv_fetch_health(KvFetchHealthSettings()),
      settings(cell_settings),
      prefill_ms_by_tokens(
          static_cast<double>(cell_settings.prefill_latency_ms),
          cell_settings.prefill_ms_per_token, kTypicalPromptTokens,
          kPromptStdDevTokens, kPriorSampleCount),
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
      this->rows[choice.prefill].PrefillBacklogMs(now) <=
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
  std::vector<HeldGeneration> held;
  held.reserve(engine.generations.size() + 1);
  std::ranges::transform(
      engine.generations, std::back_inserter(held),
      [&](const auto& row) { return this->ForecastOf(row.second, now); });
  if (additional.held_tokens > 0) held.push_back(additional);
  return PeakMemory(std::move(held)) + engine.unreserved_tokens;
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

void CellEngines::LearnPrefill(EngineRow& engine, Tokens uncached, bool queued,
                               DurationMs expected_ms, DurationMs measured_ms) {
  if (uncached < kMinPrefillSampleTokens || measured_ms <= 0) return;
  const double ratio =
      static_cast<double>(measured_ms) /
      static_cast<double>(std::max<DurationMs>(1, expected_ms));
  engine.prefill_slowdown =
      std::clamp(engine.prefill_slowdown * std::pow(ratio, kLearningRate),
                 1.0 / kMaxPrefillSlowdownRatio, kMaxPrefillSlowdownRatio);
  if (queued) return;
  this->prefill_ms_by_tokens.Add(
      static_cast<double>(uncached),
      static_cast<double>(measured_ms) / engine.prefill_slowdown);
}

void CellEngines::LearnDecodeRate(Tokens tokens, DurationMs elapsed_ms) {
  if (elapsed_ms < kMinDecodeSampleMs || tokens <= 0) return;
  const double sample =
      static_cast<double>(tokens) / static_cast<double>(elapsed_ms);
  this->decode_tokens_per_ms +=
      kLearningRate * (sample - this->decode_tokens_per_ms);
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

void CellEngines::ChoosePrefill(const PlacementRequest& request, TimeMs now,
                                EngineChoice& choice) const {
  const std::string& decode_centre = this->rows[choice.decode].spec.data_centre;
  double best = std::numeric_limits<double>::max();
  double second_best = std::numeric_limits<double>::max();
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    const EngineRow& engine = this->rows[index];
    if (!engine.usable || !engine.CanPrefill() || !engine.kv_fetchable ||
        now < engine.refusing_until) {
      continue;
    }
    if (!this->settings.allow_local_prefill &&
        engine.PrefillBacklogMs(now) > this->settings.max_prefill_backlog_ms) {
      continue;
    }
    if (IsExcluded(request, engine.spec.id)) continue;
    if (this->engine_limits.WaitMs(engine.spec.id, now) > 0) continue;
    // At least one token of the prompt is always computed.
    const Tokens cached = std::min<Tokens>(
        static_cast<Tokens>(engine.cache.Match(request.prefix)) *
            kTokensPerPiece,
        std::max<Tokens>(0, request.prompt_tokens - 1));
    const double prefill_compute_ms =
        this->PrefillComputeMs(engine, request.prompt_tokens - cached);
    const bool crosses_data_centres = engine.spec.data_centre != decode_centre;
    const double cost = prefill_compute_ms +
                        static_cast<double>(engine.PrefillBacklogMs(now)) +
                        (crosses_data_centres ? kCrossDataCentreFetchMs : 0);
    if (cost < best) {
      choice.runner_up = choice.prefill;
      second_best = best;
      best = cost;
      choice.prefill = index;
      choice.cached_tokens = cached;
      // The + 1 rounds up, so that a short prompt does not count as 0 ms.
      choice.prefill_compute_ms =
          static_cast<DurationMs>(prefill_compute_ms) + 1;
      choice.first_token_ms =
          static_cast<DurationMs>(cost) + this->IdlePrefillMs(0);
    } else if (cost < second_best) {
      choice.runner_up = index;
      second_best = cost;
    }
  }
}

double CellEngines::PrefillComputeMs(const EngineRow& engine,
                                     Tokens tokens) const {
  return engine.prefill_slowdown *
         std::max(0.0, this->prefill_ms_by_tokens.Slope()) *
         static_cast<double>(tokens);
}

}  // namespace limpethaven
