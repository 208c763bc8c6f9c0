/// @file
/// Quarantine of content that crashes endpoints: parts of prompts, and whole
/// requests. A request that crashes its endpoint fails again at every other
/// one, so that a failure which is attributed to endpoints alone takes one
/// endpoint after another out of service.
///
/// The evidence against a part is the set of endpoints that crashed when they
/// ran a request which contains it. The fingerprint of a request counts as its
/// innermost part. A complete answer to a request clears all of its parts. Each
/// crash is explained by one part only: the one with the most crashes and,
/// among equals, the one deepest in the request. A part whose crashes no other
/// part explains is quarantined, so that parts which merely occur beside it are
/// not.
///
/// Processes exchange their evidence, see `PartEvidence`. Evidence is merged as
/// sets, so messages may be lost, repeated or reordered.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/caller_request.h"
#include "limpethaven/clock.h"

namespace limpethaven {

/// Settings of the quarantine of prompt parts.
struct QuarantineSettings {
  /// Engines that a part must have crashed to be quarantined.
  std::size_t min_crashes = 2;
  /// Endpoints that a request must have crashed to be quarantined. A sound one
  /// may be under way at several endpoints when these crash.
  std::size_t min_request_crashes = 3;
  /// Length of the quarantine of a request. Other requests are still served.
  DurationMs request_ms = 600'000;
  /// Length of a quarantine after `min_crashes` crashes; it doubles with each
  /// further one.
  DurationMs initial_ms = 30'000;
  DurationMs max_ms = 600'000;
  /// Crashes that are older than this are discarded.
  DurationMs crash_retention_ms = 1'200'000;
  /// A complete answer is remembered for this time, so that late reports of
  /// earlier crashes do not count against its parts.
  DurationMs served_retention_ms = 60'000;
  std::size_t max_parts = 128;  ///< Most parts with evidence.
  friend auto operator<=>(const QuarantineSettings&,
                          const QuarantineSettings&) = default;
};

/// One crash of an engine. Several processes may report the same one.
struct EngineCrash {
  std::uint32_t engine = 0;  ///< Hash of the engine's id and incarnation.
  DurationMs age_ms = 0;     ///< Time since the crash.
  friend auto operator<=>(const EngineCrash&, const EngineCrash&) = default;
};

/// Evidence about one part, as processes exchange it.
struct PartEvidence {
  std::string part;
  std::int64_t depth = 0;  ///< Number of parts before it in the request.
  std::vector<EngineCrash> crashes;
  /// Time since a prompt with this part was answered completely; empty when
  /// none was.
  std::optional<DurationMs> served_age_ms;
  friend auto operator<=>(const PartEvidence&, const PartEvidence&) = default;
};

/// A part that is quarantined.
struct QuarantinedPart {
  std::string part;
  std::size_t crashes = 0;      ///< Engines that it crashed.
  DurationMs remaining_ms = 0;  ///< Time until a request may try it again.
  friend auto operator<=>(const QuarantinedPart&,
                          const QuarantinedPart&) = default;
};

/// Parts by which a prompt's crash can be explained, outermost first: those
/// that other prompts may contain too.
[[nodiscard]] std::vector<std::string> ShareableParts(
    const CallerRequest& request);

/// Evidence of one process against parts of prompts. Not thread safe; reads no
/// clock.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(QuarantineSettings initial = {});

  /// Records that an engine crashed when it began to answer a prompt.
  /// @param engine Name of one start of the engine.
  void OnCrash(const std::vector<std::string>& parts, std::string_view engine,
               TimeMs now);
  /// Whether there is evidence against any part.
  [[nodiscard]] bool HasEvidence() const noexcept;
  /// Records a complete answer to a prompt.
  void OnServed(const std::vector<std::string>& parts, TimeMs now);
  /// First of these parts that is quarantined.
  [[nodiscard]] std::optional<QuarantinedPart> Find(
      const std::vector<std::string>& parts, TimeMs now) const;
  /// All parts that are quarantined.
  [[nodiscard]] std::vector<QuarantinedPart> Quarantined(TimeMs now) const;
  /// Evidence to send to a peer: the `count` parts that were sent least often
  /// since their evidence changed.
  [[nodiscard]] std::vector<PartEvidence> Outgoing(std::size_t count,
                                                   TimeMs now);
  /// Adds the evidence of another process.
  void Merge(const std::vector<PartEvidence>& evidence, TimeMs now);

 private:
  struct PartRow {
    std::int64_t depth = 0;
    /// Times of the crashes, keyed by the hash of the engine's start.
    std::map<std::uint32_t, TimeMs> crashes;
    std::optional<TimeMs> served_at;
    std::int64_t transmissions = 0;  ///< Since the last change.
  };
  /// A part that explains at least `min_crashes` crashes.
  struct Verdict {
    std::size_t crashes = 0;
    TimeMs until = 0;
  };

  PartRow& RowOf(const std::string& part, std::int64_t depth);
  /// Adds a crash unless a complete answer came later. @returns whether the
  /// evidence has changed.
  bool AddCrash(PartRow& row, std::uint32_t engine, TimeMs crashed_at) const;
  /// Discards the crashes before a complete answer. @returns whether the
  /// evidence has changed.
  static bool AddServed(PartRow& row, TimeMs served_at);
  /// Discards old evidence, and the parts that have none left.
  void EvictExpired(TimeMs now);
  /// Assigns every crash to the part that explains it and updates `verdicts`.
  void Explain();

  QuarantineSettings settings;
  std::map<std::string, PartRow, std::less<>> rows;
  std::map<std::string, Verdict, std::less<>> verdicts;
};

}  // namespace limpethaven
