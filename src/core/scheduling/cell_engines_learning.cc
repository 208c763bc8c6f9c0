#include <algorithm>
#include <cmath>
#include <vector>

#include "core/scheduling/cell_engines.h"

namespace limpethaven {
namespace {

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
/// Longer delays are those of a disturbed process and are not learned.
constexpr DurationMs kMaxNoticeDelayMs = 500;

}  // namespace

void CellEngines::LearnPrefill(EngineRow& engine, Tokens uncached, bool queued,
                               DurationMs expected_ms, DurationMs measured_ms) {
  if (uncached < kMinPrefillSampleTokens || measured_ms <= 0) return;
  const double ratio =
      static_cast<double>(measured_ms) /
      static_cast<double>(std::max<DurationMs>(1, expected_ms));
  engine.prefill_slowdown =
      std::clamp(engine.prefill_slowdown * std::pow(ratio, kLearningRate),
                 1.0 / kMaxPrefillSlowdownRatio, kMaxPrefillSlowdownRatio);
  engine.prefill_measured = true;
  this->NormalizeSlowdowns();
  if (queued) return;
  this->prefill_ms_by_tokens.Add(
      static_cast<double>(uncached),
      static_cast<double>(measured_ms) / engine.prefill_slowdown);
}

void CellEngines::NormalizeSlowdowns() {
  // Measured times only determine the product of an engine's slowdown and the
  // regression. Without this, a small bias of the expected times lowers all
  // slowdowns and raises the regression until long prompts are refused.
  std::vector<double> slowdowns;
  std::ranges::for_each(this->rows, [&slowdowns](const EngineRow& engine) {
    if (engine.configured && engine.prefill_measured) {
      slowdowns.push_back(engine.prefill_slowdown);
    }
  });
  if (slowdowns.empty()) return;
  const auto middle = slowdowns.begin() +
                      static_cast<std::ptrdiff_t>((slowdowns.size() - 1) / 2);
  std::ranges::nth_element(slowdowns, middle);
  const double median = *middle;
  std::ranges::for_each(this->rows, [median](EngineRow& engine) {
    if (!engine.prefill_measured) return;
    engine.prefill_slowdown =
        std::clamp(engine.prefill_slowdown / median,
                   1.0 / kMaxPrefillSlowdownRatio, kMaxPrefillSlowdownRatio);
  });
  this->prefill_ms_by_tokens.Scale(median);
}

void CellEngines::EndPrefill(EngineRow& engine, std::string_view reservation,
                             DurationMs measured_ms, TimeMs now) {
  --engine.running_prefills;
  if (engine.running_prefills == 0) engine.prefill_busy_until = now;
  const auto prompt = std::ranges::find(engine.outstanding, reservation,
                                        &OutstandingPrompt::reservation);
  if (prompt == engine.outstanding.end()) return;
  const DurationMs delay_ms = now - prompt->placed_at - measured_ms;
  engine.outstanding.erase(prompt);
  if (measured_ms <= 0 || delay_ms < 0 || delay_ms > kMaxNoticeDelayMs) return;
  const double error_ms = static_cast<double>(delay_ms) - this->notice_delay_ms;
  this->notice_delay_ms += kLearningRate * error_ms;
  this->notice_deviation_ms +=
      kLearningRate * (std::abs(error_ms) - this->notice_deviation_ms);
}

void CellEngines::LearnDecodeRate(Tokens tokens, DurationMs elapsed_ms) {
  if (elapsed_ms < kMinDecodeSampleMs || tokens <= 0) return;
  const double sample =
      static_cast<double>(tokens) / static_cast<double>(elapsed_ms);
  this->decode_tokens_per_ms +=
      kLearningRate * (sample - this->decode_tokens_per_ms);
}

}  // namespace limpethaven
