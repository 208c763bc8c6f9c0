#include "core/cell_engines.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "limpethaven/output_forecast.h"

namespace limpethaven {
namespace {

/// Tokens of a typical prompt and their spread, until samples say more.
constexpr double kTypicalPrompt = 3000;
constexpr double kPromptSpread = 1500;
constexpr double kPriorSamples = 5;
constexpr double kLearningRate = 0.2;
constexpr Tokens kMinTokensToLearn = 100;
constexpr DurationMs kMinTimeToLearnMs = 100;
/// An engine is never taken for more than this much slower than the others: it
/// must get work to show that it has recovered.
constexpr double kMaxSlowness = 20.0;
/// A handle that lapsed once may be bad luck, two in quick succession are not.
constexpr double kHandleFailuresToEject = 1.5;
/// Cost of fetching memory from another data centre.
constexpr double kFarFetchMs = 10.0;

HealthSettings HandleHealth() {
  HealthSettings settings;
  settings.eject_at = kHandleFailuresToEject;
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
  this->order.push_front(block);
  this->positions.emplace(block, this->order.begin());
  if (this->order.size() <= this->capacity) return;
  this->positions.erase(this->order.back());
  this->order.pop_back();
}

void PrefixCacheView::Remove(std::uint64_t block) {
  const auto position = this->positions.find(block);
  if (position == this->positions.end()) return;
  this->order.erase(position->second);
  this->positions.erase(position);
}

std::size_t PrefixCacheView::Match(
    const std::vector<std::uint64_t>& prefix) const {
  const auto miss = std::ranges::find_if_not(
      prefix,
      [this](std::uint64_t block) { return this->positions.contains(block); });
  return static_cast<std::size_t>(miss - prefix.begin());
}

bool EngineRow::Prefills() const {
  return this->spec.role == PoolRole::kPrefill ||
         this->spec.role == PoolRole::kMixed;
}

bool EngineRow::Decodes() const {
  return this->spec.role == PoolRole::kDecode ||
         this->spec.role == PoolRole::kMixed;
}

DurationMs EngineRow::Backlog(TimeMs now) const {
  return std::max<DurationMs>(0, this->busy_until - now);
}

CellEngines::CellEngines(CellSettings cell_settings)
    : handles(HandleHealth()),
      settings(cell_settings),
      prefill_ms(static_cast<double>(cell_settings.prefill_latency_ms),
                 cell_settings.prefill_ms_per_token, kTypicalPrompt,
                 kPromptSpread, kPriorSamples),
      pace(cell_settings.pace_tokens_per_ms) {}

void CellEngines::Configure(const std::vector<CellEngine>& engines,
                            TimeMs now) {
  std::ranges::for_each(this->rows,
                        [](EngineRow& row) { row.configured = false; });
  std::ranges::for_each(engines, [&](const CellEngine& spec) {
    if (EngineRow* known = this->Find(spec.id)) {
      known->spec = spec;
      known->configured = true;
      return;
    }
    EngineRow row{.spec = spec,
                  .cache = PrefixCacheView(this->settings.cache_blocks)};
    row.busy_until = now;
    this->index_of.emplace(spec.id, this->rows.size());
    this->rows.push_back(std::move(row));
  });
  std::erase_if(this->rows, [](const EngineRow& row) {
    return !row.configured && row.generations.empty() && row.prefills == 0;
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
  std::ranges::for_each(this->rows, [&](EngineRow& engine) {
    engine.usable = engine.configured && !engine.spec.leaving &&
                    this->health.Usable(engine.spec.id, now);
    engine.hands_over = this->handles.Usable(engine.spec.id, now);
  });
}

EngineChoice CellEngines::Choose(const PlacementRequest& request,
                                 Tokens expected, DurationMs left_ms,
                                 TimeMs now) const {
  EngineChoice choice;
  this->ChooseDecode(request, expected, now, choice);
  if (choice.decode == kNoEngine) return choice;
  if (!request.force_local_prefill) this->ChoosePrefill(request, now, choice);
  const bool may_read =
      this->settings.allow_local_prefill || request.force_local_prefill;
  if (!may_read) {
    if (choice.prefill == kNoEngine) choice.decode = kNoEngine;
    return choice;
  }
  const EngineRow& decode = this->rows[choice.decode];
  const double direct_ms = this->settings.local_prefill_slowdown *
                           this->OwnMs(decode, request.prompt_tokens);
  const DurationMs direct_ready =
      std::max<DurationMs>(0, decode.direct_until - now) +
      static_cast<DurationMs>(direct_ms) + this->ReadMs(0);
  const bool prefill_in_time =
      choice.prefill != kNoEngine &&
      this->rows[choice.prefill].Backlog(now) <=
          this->settings.max_prefill_backlog_ms &&
      (choice.ready_ms <= left_ms || choice.ready_ms <= direct_ready);
  if (prefill_in_time) return choice;
  // Reading at the decode engine slows its other generations: only when
  // waiting for a prefill engine would miss the objective.
  const DurationMs later = choice.prefill == kNoEngine
                               ? std::numeric_limits<DurationMs>::max()
                               : choice.ready_ms;
  if (later <= left_ms && !request.force_local_prefill) {
    choice.decode = kNoEngine;
    return choice;
  }
  choice.prefill = kNoEngine;
  choice.cached_tokens = 0;
  choice.own_ms = static_cast<DurationMs>(direct_ms);
  choice.ready_ms = direct_ready;
  return choice;
}

Tokens CellEngines::PeakWith(const EngineRow& engine,
                             const HeldGeneration& more, TimeMs now) const {
  std::vector<HeldGeneration> held;
  held.reserve(engine.generations.size() + 1);
  std::ranges::transform(
      engine.generations, std::back_inserter(held),
      [&](const auto& row) { return this->ForecastOf(row.second, now); });
  if (more.held > 0) held.push_back(more);
  return PeakMemory(std::move(held)) + engine.foreign;
}

Tokens CellEngines::UsableMemory() const {
  Tokens sum = 0;
  std::ranges::for_each(this->rows, [&sum](const EngineRow& engine) {
    if (engine.usable && engine.Decodes()) sum += engine.spec.memory;
  });
  return sum;
}

Tokens CellEngines::LargestMemory() const {
  Tokens largest = 0;
  std::ranges::for_each(this->rows, [&largest](const EngineRow& engine) {
    if (engine.configured && engine.Decodes()) {
      largest = std::max(largest, engine.spec.memory);
    }
  });
  return largest;
}

DurationMs CellEngines::ReadMs(Tokens prompt) const {
  return static_cast<DurationMs>(
      std::max(0.0, this->prefill_ms.Predict(static_cast<double>(prompt))));
}

double CellEngines::Pace() const noexcept { return this->pace; }

void CellEngines::LearnPrefill(EngineRow& engine, Tokens uncached, bool queued,
                               DurationMs expected_ms, DurationMs measured_ms) {
  if (uncached < kMinTokensToLearn || measured_ms <= 0) return;
  const double ratio =
      static_cast<double>(measured_ms) /
      static_cast<double>(std::max<DurationMs>(1, expected_ms));
  engine.slowness = std::clamp(engine.slowness * std::pow(ratio, kLearningRate),
                               1.0 / kMaxSlowness, kMaxSlowness);
  if (queued) return;
  this->prefill_ms.Add(static_cast<double>(uncached),
                       static_cast<double>(measured_ms) / engine.slowness);
}

void CellEngines::LearnPace(Tokens tokens, DurationMs elapsed_ms) {
  if (elapsed_ms < kMinTimeToLearnMs || tokens <= 0) return;
  const double sample =
      static_cast<double>(tokens) / static_cast<double>(elapsed_ms);
  this->pace += kLearningRate * (sample - this->pace);
}

HeldGeneration CellEngines::Held(Tokens held, Tokens remaining) const {
  const Tokens block = std::max<Tokens>(1, this->settings.block_tokens);
  const auto blocks = [block](Tokens tokens) {
    return (tokens + block - 1) / block * block;
  };
  if (this->settings.reserve_maximum) {
    return HeldGeneration{blocks(held + remaining), 0};
  }
  return HeldGeneration{blocks(held), remaining};
}

HeldGeneration CellEngines::ForecastOf(const Generation& generation,
                                       TimeMs now) const {
  if (this->settings.reserve_maximum) {
    return this->Held(generation.prompt, generation.maximum);
  }
  Tokens produced = generation.produced;
  if (generation.heard_at > 0) {
    produced += static_cast<Tokens>(
        this->pace * static_cast<double>(now - generation.heard_at));
  }
  if (generation.maximum > 0) produced = std::min(produced, generation.maximum);
  return this->Held(generation.prompt + produced,
                    OutputForecast::Remaining(generation.expected, produced,
                                              generation.maximum));
}

void CellEngines::ChooseDecode(const PlacementRequest& request, Tokens expected,
                               TimeMs now, EngineChoice& choice) const {
  double best = std::numeric_limits<double>::max();
  const HeldGeneration own = this->Held(request.prompt_tokens, expected);
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    const EngineRow& engine = this->rows[index];
    if (!engine.usable || !engine.Decodes() || now < engine.full_until) {
      continue;
    }
    const auto running = static_cast<std::int64_t>(engine.generations.size());
    if (running >= engine.spec.slots) continue;
    if (IsExcluded(request, engine.spec.id)) continue;
    const Tokens peak = this->PeakWith(engine, own, now);
    const double room = static_cast<double>(engine.spec.memory) *
                        this->settings.planned_memory_ratio;
    // An idle engine takes whatever it can hold at all.
    const bool fits = static_cast<double>(peak) <= room ||
                      (running == 0 && peak <= engine.spec.memory);
    if (!fits) continue;
    const double fullness =
        static_cast<double>(peak) / static_cast<double>(engine.spec.memory);
    const bool far = engine.spec.data_centre != request.data_centre;
    const double cost = fullness + (far ? this->settings.far_cost : 0);
    if (cost >= best) continue;
    best = cost;
    choice.decode = index;
    choice.fullness = fullness;
  }
}

void CellEngines::ChoosePrefill(const PlacementRequest& request, TimeMs now,
                                EngineChoice& choice) const {
  const std::string& decode_centre = this->rows[choice.decode].spec.data_centre;
  double best = std::numeric_limits<double>::max();
  double second = std::numeric_limits<double>::max();
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    const EngineRow& engine = this->rows[index];
    if (!engine.usable || !engine.Prefills() || !engine.hands_over) continue;
    if (!this->settings.allow_local_prefill &&
        engine.Backlog(now) > this->settings.max_prefill_backlog_ms) {
      continue;
    }
    if (IsExcluded(request, engine.spec.id)) continue;
    const Tokens cached = std::min<Tokens>(
        static_cast<Tokens>(engine.cache.Match(request.prefix)) *
            kTokensPerPiece,
        std::max<Tokens>(0, request.prompt_tokens - 1));
    const double own_ms = this->OwnMs(engine, request.prompt_tokens - cached);
    const bool far = engine.spec.data_centre != decode_centre;
    const double cost = own_ms + static_cast<double>(engine.Backlog(now)) +
                        (far ? kFarFetchMs : 0);
    if (cost < best) {
      choice.runner_up = choice.prefill;
      second = best;
      best = cost;
      choice.prefill = index;
      choice.cached_tokens = cached;
      choice.own_ms = static_cast<DurationMs>(own_ms) + 1;
      choice.ready_ms = static_cast<DurationMs>(cost) + this->ReadMs(0);
    } else if (cost < second) {
      choice.runner_up = index;
      second = cost;
    }
  }
}

double CellEngines::OwnMs(const EngineRow& engine, Tokens tokens) const {
  return engine.slowness * std::max(0.0, this->prefill_ms.Slope()) *
         static_cast<double>(tokens);
}

}  // namespace limpethaven
