/// @file
/// The engines of a cell: what each holds, and where a request would go.
#pragma once

#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpethaven/cell_scheduler.h"
#include "limpethaven/endpoint_health.h"
#include "limpethaven/memory_forecast.h"
#include "limpethaven/online_regression.h"

namespace limpethaven {

/// Prefix blocks that a prefill engine is believed to hold, least recently used
/// first out.
class PrefixCacheView {
 public:
  explicit PrefixCacheView(std::size_t max_blocks);

  void Add(std::uint64_t block);
  void Remove(std::uint64_t block);
  /// Leading blocks of `prefix` that are held.
  [[nodiscard]] std::size_t Match(
      const std::vector<std::uint64_t>& prefix) const;

 private:
  std::size_t capacity;
  std::list<std::uint64_t> order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions;
};

/// A generation that has memory on an engine.
struct Generation {
  Tokens prompt = 0;
  Tokens expected = 0;  ///< Tokens that it was expected to produce.
  Tokens maximum = 0;
  Tokens produced = 0;  ///< As last heard.
  TimeMs heard_at = 0;  ///< 0 while its prompt is read.
};

/// One engine of the table.
struct EngineRow {
  CellEngine spec;
  bool configured = true;
  bool usable =
      true;  ///< As of the last refresh: configured, staying and healthy.
  bool hands_over = true;  ///< Its prefilled memory can be fetched.
  std::map<std::string, Generation, std::less<>>
      generations;        ///< By reservation.
  Tokens foreign = 0;     ///< Reported as held for others than this scheduler.
  TimeMs full_until = 0;  ///< It refused for want of memory.
  std::int64_t prefills = 0;
  TimeMs busy_until = 0;    ///< End of the prefill work it was given.
  TimeMs direct_until = 0;  ///< End of the prompts it reads itself.
  double slowness = 1.0;    ///< Of its prefill, against the cell's model.
  PrefixCacheView cache;

  [[nodiscard]] bool Prefills() const;
  [[nodiscard]] bool Decodes() const;
  [[nodiscard]] DurationMs Backlog(TimeMs now) const;
};

inline constexpr std::size_t kNoEngine = static_cast<std::size_t>(-1);

/// Where one request would go now.
struct EngineChoice {
  std::size_t decode = kNoEngine;
  std::size_t prefill = kNoEngine;  ///< None where the decode engine reads.
  std::size_t runner_up = kNoEngine;
  Tokens cached_tokens = 0;
  DurationMs own_ms = 0;    ///< Time that reading the prompt takes there.
  DurationMs ready_ms = 0;  ///< Until the first token can be made.
  double fullness = 0;      ///< Of the decode engine, with this request.
};

/// Table of a cell's engines.
class CellEngines {
 public:
  explicit CellEngines(CellSettings cell_settings);

  void Configure(const std::vector<CellEngine>& engines, TimeMs now);
  [[nodiscard]] EngineRow* Find(std::string_view id);
  [[nodiscard]] std::vector<EngineRow>& Rows() noexcept;
  [[nodiscard]] const std::vector<EngineRow>& Rows() const noexcept;
  /// Takes in what health says of each engine.
  void Refresh(TimeMs now);

  /// Where a request of this size goes; no decode engine when none has memory.
  /// @param left_ms Time left to its first token.
  [[nodiscard]] EngineChoice Choose(const PlacementRequest& request,
                                    Tokens expected, DurationMs left_ms,
                                    TimeMs now) const;
  /// Most that an engine will hold, with one more generation.
  [[nodiscard]] Tokens PeakWith(const EngineRow& engine,
                                const HeldGeneration& more, TimeMs now) const;
  /// Tokens of memory of all engines that decode and are usable.
  [[nodiscard]] Tokens UsableMemory() const;
  /// Memory of the largest engine that decodes, usable or not.
  [[nodiscard]] Tokens LargestMemory() const;
  /// Time to read a prompt at an idle engine, with all that precedes the first
  /// token.
  [[nodiscard]] DurationMs ReadMs(Tokens prompt) const;
  /// Tokens that one generation produces in a millisecond.
  [[nodiscard]] double Pace() const noexcept;

  /// An engine has read a prompt. @param expected_ms What was foreseen.
  void LearnPrefill(EngineRow& engine, Tokens uncached, bool queued,
                    DurationMs expected_ms, DurationMs measured_ms);
  /// A generation produced `tokens` in `elapsed_ms`.
  void LearnPace(Tokens tokens, DurationMs elapsed_ms);

  EndpointHealth health;   ///< Of engines.
  EndpointHealth handles;  ///< Of what prefill engines hand over.

 private:
  /// What a generation holds, in whole blocks.
  [[nodiscard]] HeldGeneration Held(Tokens held, Tokens remaining) const;
  [[nodiscard]] HeldGeneration ForecastOf(const Generation& generation,
                                          TimeMs now) const;
  void ChooseDecode(const PlacementRequest& request, Tokens expected,
                    TimeMs now, EngineChoice& choice) const;
  void ChoosePrefill(const PlacementRequest& request, TimeMs now,
                     EngineChoice& choice) const;
  /// Milliseconds that reading tokens occupies an engine.
  [[nodiscard]] double OwnMs(const EngineRow& engine, Tokens tokens) const;

  CellSettings settings;
  std::vector<EngineRow> rows;
  std::unordered_map<std::string, std::size_t> index_of;
  OnlineRegression prefill_ms;  ///< By tokens, at an idle engine.
  double pace;
};

}  // namespace limpethaven
