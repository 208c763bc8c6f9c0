/// @file
/// When a process may rely on readers of the source, and when it must read the
/// source itself.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/source_revision.h"

namespace limpethaven {

/// Time limits of `ReaderFreshness`. A change that the source has is known to a
/// follower at most `max_state_age_ms` and one read of the source later,
/// whatever its readers do.
struct ReaderFreshnessSettings {
  /// Age of a reader's state from which on its answer is not fresh.
  DurationMs max_source_age_ms = 1200;
  /// Time within which an answer must arrive.
  DurationMs max_answer_ms = 1000;
  /// Time without a fresh answer after which the source is read.
  DurationMs max_silence_ms = 1300;
  /// Age of the known state at which the source is read. Two fresh readers keep
  /// it below 1,550 ms: 950 ms until a reader renews its state, 500 ms until
  /// the next answer, and the round trips.
  DurationMs max_state_age_ms = 2000;
  /// Time for which a reader must be fresh before the source is left to it.
  DurationMs settle_ms = 5000;
};

/// Published state that a process knows.
struct KnownState {
  std::uint64_t version = 0;  ///< Of the configuration.
  SourceRevision revision;    ///< Of the endpoints.
};

/// Answer of a reader to a watch.
struct ReaderAnswer {
  TimeMs sent_at = 0;  ///< When the watch was sent.
  /// Time between the reader's receipt of the watch and its answer.
  DurationMs waited_ms = 0;
  /// Age of the reader's state when it answered; empty when the reader has not
  /// read the source.
  std::optional<DurationMs> source_age_ms;
  /// Version, and revision up to which the reader has followed the source.
  KnownState known;
};

/// Why a process reads the source or not.
enum class ReadReason {
  kReadersFresh,   ///< It does not: a reader is fresh.
  kOwnReadDue,     ///< Has not read the source since its start or a pause.
  kNoReaders,      ///< The process is a reader, or there are none.
  kNoFreshAnswer,  ///< No fresh answer arrived for `max_silence_ms`.
  kStateTooOld,    ///< The known state is older than `max_state_age_ms`.
  kSettling,       ///< No reader has been fresh for `settle_ms` yet.
};

/// Name of a reason, for logs.
[[nodiscard]] std::string_view NameOf(ReadReason reason) noexcept;

/// Decides whether one process reads the source itself. At first it does. Not
/// thread safe; does no I/O and reads no clock.
///
/// The age of the known state is measured without comparing clocks: an answer
/// was made at least `waited_ms` after its watch was sent, and shows the source
/// as of `source_age_ms` before. Delays on the way make the state older.
class ReaderFreshness {
 public:
  explicit ReaderFreshness(ReaderFreshnessSettings freshness_settings = {});

  /// Sets the readers that are watched; others are forgotten. An empty list
  /// makes the process read the source.
  void SetReaders(const std::vector<std::string>& addresses);
  /// Records an answer, before its changes are applied. An answer is not fresh
  /// when it claims to be complete up to a time at which this process knew a
  /// later state than the answer has: the reader lags behind.
  /// @returns whether it is fresh.
  bool OnAnswer(std::string_view reader, const ReaderAnswer& answer,
                TimeMs now);
  /// Records that a watch brought no answer that can be used.
  void OnFailure(std::string_view reader);
  /// Records the state that this process knows from any side.
  void OnKnown(const KnownState& known, TimeMs now);
  /// Records that this process itself has read all changes that the source had
  /// at a time.
  void OnOwnRead(TimeMs complete_at);
  /// Requires a read of the source by this process that is complete as of `now`
  /// or later, as after a pause.
  void RequireOwnRead(TimeMs now);
  /// Decides; call it at least every 100 ms.
  [[nodiscard]] ReadReason Decide(TimeMs now);

  /// Age of the known state; empty before the first.
  [[nodiscard]] std::optional<DurationMs> StateAgeMs(TimeMs now) const;

 private:
  struct Reader {
    std::optional<TimeMs> fresh_since;  ///< Empty: the last answer is not.
    TimeMs fresh_at = 0;                ///< Arrival of the last fresh answer.
    TimeMs complete_at = 0;  ///< Time up to which the reader is complete.
  };
  struct KnownAt {
    TimeMs time = 0;
    KnownState known;
  };

  /// Whether a later state was known at `time` than `known`.
  [[nodiscard]] bool KnewMoreAt(TimeMs time, const KnownState& known) const;
  [[nodiscard]] bool Settled(const Reader& reader, TimeMs now) const;

  ReaderFreshnessSettings settings;
  std::map<std::string, Reader, std::less<>> readers;
  std::deque<KnownAt> history;  ///< Changes of what is known, oldest first.
  bool reading = true;
  std::optional<TimeMs> own_complete_at;
  std::optional<TimeMs> own_read_due;  ///< Time of the last requirement.
  /// Latest time up to which the known state is complete.
  std::optional<TimeMs> complete_at;
  TimeMs fresh_at = 0;  ///< Arrival of the last fresh answer of any reader.
};

}  // namespace limpethaven
