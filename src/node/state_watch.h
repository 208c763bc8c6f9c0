/// @file
/// Watches of one process's published state by its peers: `POST
/// /peer/v1/watch` on the peer link.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/reader_freshness.h"
#include "net/notifier.h"
#include "node/published_state.h"
#include "node/source.h"
#include "peer/peer_link.h"

namespace limpethaven {

inline constexpr std::string_view kStateWatchPath = "/peer/v1/watch";
/// Longest time for which a watch of the published state is held.
inline constexpr DurationMs kMaxStateWatchMs = 500;

/// Body of a watch.
struct StateWatchRequest {
  KnownState known;        ///< What the caller knows; it is sent later changes.
  DurationMs wait_ms = 0;  ///< At most `kMaxStateWatchMs`.
  /// `StateWatchAnswer::state` of the last answer of the same reader, whose
  /// changes are not sent again while they are all that there is; empty: none.
  std::optional<std::uint64_t> seen;
  /// A large configuration is left out by default, because it does not arrive
  /// in time over the link of a small VM, least of all from several readers.
  ConfigForm form = ConfigForm::kChangeOrSmall;
};

/// What the answer to a watch says of the state that it carries; the state has
/// the form of `PublishedState::StateAfter`.
struct StateWatchAnswer {
  /// Age of the reader's state; empty when it has read nothing.
  std::optional<DurationMs> source_age_ms;
  DurationMs waited_ms = 0;  ///< For which the reader held the watch.
  /// Version of the reader's configuration, and revision up to which it has
  /// followed the source.
  KnownState known;
  /// Number of the reader's state, which differs after each change.
  std::uint64_t state = 0;
};

[[nodiscard]] std::string EncodeWatchRequest(const StateWatchRequest& request);
/// The error is `kBadRequest`.
[[nodiscard]] Result<StateWatchRequest> DecodeWatchRequest(
    std::string_view text);
/// The error is `kBadRequest`.
[[nodiscard]] Result<StateWatchAnswer> DecodeWatchAnswer(std::string_view text);

/// Answers the watches of peers from this process's own replica, without a call
/// to the source. Not thread safe: runs on the event loop.
class StateWatch {
 public:
  /// Age of this process's state at which waiting watches are answered, so that
  /// the peers can turn to another reader.
  static constexpr DurationMs kMaxSourceAgeMs =
      ReaderFreshnessSettings{}.max_source_age_ms;
  /// Watches that wait at once; further ones are answered without waiting.
  static constexpr std::size_t kMaxWaiting = 512;

  StateWatch(PeerLink& peer_link, const PublishedState& published_state);

  /// Sets the source whose progress answers report; it must outlive this
  /// object. Without one, answers have no age.
  void SetSource(const Source& followed);
  /// Wakes the waiting watches, because the state may have changed.
  void NotifyChange();
  [[nodiscard]] std::size_t Waiting();

 private:
  Task<Result<std::string>> Answer(PeerCall& call);
  /// Waits until there is a change, the state is too old or `end`.
  Task<> AwaitChange(const StateWatchRequest& request, TimeMs end);
  /// Whether there are changes that the caller has not been sent.
  [[nodiscard]] bool HasNews(const StateWatchRequest& request) const;
  [[nodiscard]] std::optional<DurationMs> SourceAgeMs(TimeMs now) const;

  PeerLink& link;
  const PublishedState& state;
  const Source* source = nullptr;
  std::uint64_t state_number;  ///< See `StateWatchAnswer::state`.
  /// One for each waiting watch. The watches own them, because their tasks may
  /// end after this object.
  std::vector<std::weak_ptr<Notifier>> waiting;
};

}  // namespace limpethaven
