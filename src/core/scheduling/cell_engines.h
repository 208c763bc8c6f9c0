/// @file
/// The engines of a cell: the memory and prefill work of each, and the choice
/// of engines for a request.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/endpoint_health.h"
#include "limpethaven/endpoint_limits.h"
#include "limpethaven/memory_forecast.h"
#include "limpethaven/online_regression.h"

namespace limpethaven {

/// Estimate of the prefix blocks in a prefill engine's cache. At the capacity,
/// the block that was added least recently is evicted.
class PrefixCacheView {
 public:
  explicit PrefixCacheView(std::size_t max_blocks);

  /// Adds a block, or makes it the most recently added one.
  void Add(std::uint64_t block);
  void Remove(std::uint64_t block);
  /// Number of leading blocks of `prefix` that are cached.
  [[nodiscard]] std::size_t Match(
      const std::vector<std::uint64_t>& prefix) const;

 private:
  std::size_t capacity;                    ///< In blocks.
  std::list<std::uint64_t> by_last_added;  ///< Most recently added first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions;
};

/// A generation that has a reservation on a decode engine.
struct Generation {
  Tokens prompt = 0;
  Tokens expected = 0;    ///< Output tokens expected at placement.
  Tokens maximum = 0;     ///< Most output tokens.
  Tokens produced = 0;    ///< Output tokens as of `updated_at`.
  TimeMs updated_at = 0;  ///< Time of the last progress; 0 during prefill.
};

/// A prompt that was placed on a prefill engine and is not reported done.
struct OutstandingPrompt {
  std::string reservation;
  DurationMs compute_ms = 0;  ///< Time for which it occupies the engine.
  TimeMs placed_at = 0;
  TimeMs first_token_at = 0;  ///< Expected end of its prefill.
  TimeMs due_at = 0;          ///< Time by which its notice is expected.
  /// Time from which the engine counts as overdue: twice the time to the first
  /// token that was expected at placement has passed, and the notice's delay.
  TimeMs overdue_at = 0;
};

/// State of one engine.
struct EngineRow {
  CellEngine spec;
  bool configured = true;
  /// Whether it takes new work: configured, not leaving, healthy and not
  /// changing its role as of the last `Refresh`.
  bool usable = true;
  /// Whether KV memory that it prefilled can be fetched by decode engines, as
  /// of the last `Refresh`.
  bool kv_fetchable = true;
  /// Keyed by reservation id.
  std::map<std::string, Generation, std::less<>> generations;
  /// Forecast of its memory as of `forecast_at`, without
  /// `unreserved_tokens`; kept until a generation changes or a time step ends.
  mutable MemoryForecast forecast;
  /// Empty after a change of `generations`; whoever changes them resets it.
  mutable std::optional<TimeMs> forecast_at;
  /// Memory that the engine reports for attempts without a reservation here.
  Tokens unreserved_tokens = 0;
  /// Until then it gets no generations, so that the entry processes can report
  /// what it runs already.
  TimeMs settles_at = 0;
  TimeMs refusing_until = 0;  ///< End of the cool-down after a refusal.
  /// Until then, or until it has another role, it gets no new work.
  TimeMs changing_role_until = 0;
  std::int64_t refusals = 0;  ///< Refusals since the last success.
  std::int64_t running_prefills = 0;
  /// Time of the last answer, report or notice that told something about it.
  std::optional<TimeMs> reported_at;
  /// Prompts not reported done, in the order of placement. A prompt whose
  /// notice is lost is removed when its reservation ends, or by `Refresh` 5 s
  /// after its placement.
  std::vector<OutstandingPrompt> outstanding;
  /// Expected end of the prefill work that was placed on it.
  TimeMs prefill_busy_until = 0;
  /// Expected end of the prefill work that it does itself as a decode engine.
  TimeMs local_prefill_until = 0;
  /// Ratio of its prefill time to the prefill time that the cell's regression
  /// predicts.
  double prefill_slowdown = 1.0;
  bool prefill_measured = false;  ///< Whether the slowdown has a sample.
  PrefixCacheView cache;

  /// Records that it has served a request, which ends the count of refusals.
  void OnServed(TimeMs now);
  /// Starts the cool-down after a refusal.
  void OnRefused(const CellSettings& settings, TimeMs now);
  [[nodiscard]] bool CanPrefill() const;
  [[nodiscard]] bool CanDecode() const;
  /// Expected time until its prefill work is done. While the notice of its
  /// oldest prompt is late, this is at least the work of all prompts that are
  /// not reported done.
  [[nodiscard]] DurationMs PrefillBacklogMs(TimeMs now) const;
  /// The part of the backlog that follows from the times of placement alone.
  [[nodiscard]] DurationMs PlannedBacklogMs(TimeMs now) const;
  /// Expected time until its last prompt is done, the fixed part of the prefill
  /// time included. While that part is not known well, prompts last longer than
  /// `PlannedBacklogMs` says.
  [[nodiscard]] DurationMs LastPromptMs(TimeMs now) const;
  /// Whether its oldest prompt has taken twice as long as expected.
  [[nodiscard]] bool PrefillOverdue(TimeMs now) const;
};

inline constexpr std::size_t kNoEngine = static_cast<std::size_t>(-1);

/// The engines chosen for one request, as indices into `CellEngines::Rows`.
struct EngineChoice {
  std::size_t decode = kNoEngine;
  /// `kNoEngine` if the decode engine prefills the prompt.
  std::size_t prefill = kNoEngine;
  std::size_t runner_up = kNoEngine;  ///< Second-best prefill engine.
  Tokens cached_tokens = 0;
  /// Time for which the prompt occupies the engine that prefills it.
  DurationMs prefill_compute_ms = 0;
  /// Expected time to the first token, queueing at the engine included.
  DurationMs first_token_ms = 0;
  /// Expected time from the call of the prefill engine to its answer. It does
  /// not include the fetch of the KV memory by the decode engine.
  DurationMs prefill_answer_ms = 0;
  /// Forecast peak usage of the decode engine's memory with this request, as a
  /// ratio.
  double memory_utilization = 0;
};

/// Table of a cell's engines.
class CellEngines {
 public:
  explicit CellEngines(CellSettings cell_settings);

  void Configure(const std::vector<CellEngine>& engines, TimeMs now);
  [[nodiscard]] EngineRow* Find(std::string_view id);
  [[nodiscard]] std::vector<EngineRow>& Rows() noexcept;
  [[nodiscard]] const std::vector<EngineRow>& Rows() const noexcept;
  /// Updates `usable` and `kv_fetchable` of each engine, and drops prompts
  /// whose notices are lost from the outstanding ones.
  void Refresh(TimeMs now);

  /// Chooses engines for a request. `decode` is `kNoEngine` if the request must
  /// wait, for decode memory, for a prefill engine or for the next request that
  /// a limited engine takes.
  /// @param expected Output tokens to reserve memory for.
  /// @param left_ms Time left until the first token is due or, for a request
  /// that missed its target, until its caller times out.
  [[nodiscard]] EngineChoice Choose(const PlacementRequest& request,
                                    Tokens expected, DurationMs left_ms,
                                    TimeMs now) const;
  /// Forecast of an engine's peak memory usage with one more generation.
  /// @param additional Ignored if it holds no tokens.
  [[nodiscard]] Tokens PeakWith(const EngineRow& engine,
                                const HeldGeneration& additional,
                                TimeMs now) const;
  /// Total memory of the usable decode engines. Of an engine that names a limit
  /// on requests, only the memory that they can fill is counted.
  /// @param request_token_ms Memory of one request multiplied by the time for
  /// which it is held.
  [[nodiscard]] Tokens UsableMemory(double request_token_ms) const;
  [[nodiscard]] std::vector<EngineView> Views(TimeMs now) const;
  /// Decode memory of the usable engines that the forecast leaves free.
  [[nodiscard]] Tokens HeadroomTokens(TimeMs now) const;
  /// Whether any decode engine may take the request at some time.
  [[nodiscard]] bool AnyFor(const PlacementRequest& request) const;
  /// Part of a decode engine that a generation occupies, by its memory or as
  /// one of the engine's slots, whichever is more; 0 without decode engines.
  [[nodiscard]] double DecodeEngineShare(Tokens held) const;
  /// Whether any decode engine that takes new work at present may take the
  /// request.
  [[nodiscard]] bool AnyUsableFor(const PlacementRequest& request) const;
  /// Memory of the largest configured decode engine, usable or not; 0 if there
  /// is none.
  [[nodiscard]] Tokens LargestMemory() const;
  /// Time to the first token of a prompt on an idle prefill engine, the fixed
  /// part included.
  [[nodiscard]] DurationMs IdlePrefillMs(Tokens prompt) const;
  /// Decode rate of one generation.
  [[nodiscard]] double DecodeTokensPerMs() const noexcept;

  /// Updates the prefill estimates from a finished prefill.
  /// @param uncached Prompt tokens that were not in the prefix cache.
  /// @param queued Whether the prompt was queued behind others. Such a prompt
  /// updates the engine's slowdown but not the cell's regression, which is for
  /// idle engines.
  /// @param expected_ms `EngineChoice::prefill_answer_ms` at placement.
  /// @param measured_ms Time from sending the prompt to the engine's answer.
  void LearnPrefill(EngineRow& engine, Tokens uncached, bool queued,
                    DurationMs expected_ms, DurationMs measured_ms);
  /// Adds a prompt to the work of its prefill engine.
  void StartPrefill(EngineRow& engine, const std::string& reservation,
                    const EngineChoice& choice, TimeMs now);
  /// Removes a prompt from the work of its prefill engine. Must be called once
  /// for each prompt.
  /// @param measured_ms Time from sending the prompt to the engine's answer; 0
  /// if the prompt is not reported done.
  void EndPrefill(EngineRow& engine, std::string_view reservation,
                  DurationMs measured_ms, TimeMs now);
  /// Removes a prompt from the outstanding ones, because something else than
  /// its notice has shown that it is done.
  void DropOutstanding(EngineRow& engine, std::string_view reservation);
  /// Updates the decode rate from the progress of a generation, which produced
  /// `tokens` in `elapsed_ms`.
  void LearnDecodeRate(Tokens tokens, DurationMs elapsed_ms);

  EndpointHealth engine_health;  ///< Health of engines by id.
  /// Health of KV fetches from prefill engines, by engine id.
  EndpointHealth kv_fetch_health;
  /// Limits on prefills and generations that engines have named. The owner of
  /// the cell sends all requests, so it uses them whole, and may save some.
  EndpointLimits engine_limits{0, LimitUse{1.0, 500, 2}};

 private:
  /// Forecast input for a generation, with its memory rounded up to whole
  /// blocks.
  [[nodiscard]] HeldGeneration RoundToBlocks(Tokens held,
                                             Tokens remaining) const;
  [[nodiscard]] HeldGeneration ForecastOf(const Generation& generation,
                                          TimeMs now) const;
  void ChooseDecode(const PlacementRequest& request, Tokens expected,
                    TimeMs now, EngineChoice& choice) const;
  void ChoosePrefill(const PlacementRequest& request, TimeMs now,
                     EngineChoice& choice) const;
  /// An engine that may prefill a prompt.
  struct PrefillCandidate {
    std::size_t index = kNoEngine;
    Tokens cached_tokens = 0;
    double compute_ms = 0;
    /// Expected time to the end of the prefill and of the fetch.
    double cost_ms = 0;
    double fetch_ms = 0;  ///< Part of `cost_ms`.
    /// The cost by which engines are compared: the engine is free when its last
    /// prompt is expected to be done.
    double rank_ms = 0;
    DurationMs planned_ms = 0;  ///< As of `EngineRow::PlannedBacklogMs`.
    /// Backlog that keeps the engine from getting the prompt.
    DurationMs backlog_ms = 0;
    std::size_t outstanding = 0;
  };
  /// The engines that may prefill the prompt now. Those with more than
  /// `CellSettings::max_prefill_backlog_ms` of work are among them only where
  /// local prefill is allowed and all engines have more. An overdue engine
  /// counts as twice as slow; its late prompts do not keep it from getting more
  /// while all engines are overdue, as after a loss of notices.
  [[nodiscard]] std::vector<PrefillCandidate> PrefillCandidates(
      const PlacementRequest& request, const std::string& decode_centre,
      TimeMs now) const;
  /// Time in milliseconds for which the prefill of `tokens` occupies an engine.
  [[nodiscard]] double PrefillComputeMs(const EngineRow& engine,
                                        Tokens tokens) const;
  /// Scales the slowdowns so that their median over measured engines is 1,
  /// and the regression so that the expected times stay the same.
  void NormalizeSlowdowns();

  CellSettings settings;
  std::vector<EngineRow> rows;
  std::unordered_map<std::string, std::size_t> index_of;
  /// Prefill time at an idle engine with a slowdown of 1.
  OnlineRegression prefill_ms_by_tokens;
  /// Time between the end of a prefill and its notice: moving averages of the
  /// mean and of the absolute deviation.
  double notice_delay_ms;
  double notice_deviation_ms;
  double decode_tokens_per_ms;  ///< Decode rate of one generation.
};

}  // namespace limpethaven
