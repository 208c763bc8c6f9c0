/// @file
/// One process's replica of the endpoints that have announced themselves.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/config_model.h"
#include "limpethaven/leaving_endpoints.h"
#include "limpethaven/source_revision.h"

namespace limpethaven {

/// One incarnation of an endpoint, from its start to its stop, as announced by
/// the endpoint.
struct EndpointRecord {
  std::string id;         ///< Name under which the endpoint announced itself.
  std::int64_t born = 0;  ///< Incarnation number; increases with each start.
  std::string address;    ///< `IP:port`.
  std::string data_centre;
  std::string pool;
  PoolRole role = PoolRole::kService;
  std::int64_t slots = 1;  ///< Requests that the endpoint runs at once.
  /// Whether the endpoint is draining and accepts no new requests, by the
  /// source or by its own word.
  bool leaving = false;
  friend auto operator<=>(const EndpointRecord&,
                          const EndpointRecord&) = default;
};

std::ostream& operator<<(std::ostream& out, const EndpointRecord& endpoint);

/// Endpoints, each with the revision of its last update.
using AnnouncedEndpoints =
    std::vector<std::pair<EndpointRecord, SourceRevision>>;

/// An endpoint that is missing from the source's list and not removed yet.
struct RetainedEndpoint {
  std::string id;
  DurationMs remaining_ms = 0;  ///< Time until its removal.
};

/// Announced endpoints, keyed by id. Not thread safe.
///
/// Each update has the revision that the source assigned to it. An update that
/// is older than the last one applied to its endpoint is ignored, so that
/// updates from the source and from peers may arrive in any order. `Revision()`
/// says up to which revision no update is missing: peers ask each other for the
/// updates after it. For the order of updates, a removed endpoint is retained
/// as a tombstone with the revision of its removal; of more than 4096 the
/// oldest is dropped. A table that lacks tombstones after a peer's revision
/// sends the peer all endpoints (`Changes::whole`).
class EndpointTable {
 public:
  static constexpr DurationMs kRestoredGraceMs = 5000;

  /// How an announcement was received.
  enum class Origin {
    kChange,  ///< The source reported that it was written.
    kList,    ///< Part of the source's full list.
    kPeer,    ///< Part of the state of a peer.
  };

  /// @param grace_ms For this time after the source was restored, what is known
  /// holds against its state, which may be as old as the copy: endpoints that
  /// were removed, and later starts of endpoints. It must be longer than the
  /// source keeps the announcement of a dead endpoint.
  explicit EndpointTable(DurationMs grace_ms = kRestoredGraceMs)
      : restored_grace_ms(grace_ms) {}

  /// Adds or replaces an endpoint that was announced at `revision`. That an
  /// endpoint is leaving holds for its incarnation across eras. An announcement
  /// of a peer ranks below the source's list: it is ignored when the endpoint
  /// was absent at its revision or later, by the updates applied here.
  /// @returns true when the endpoint is new or differs from the earlier one.
  bool Put(const EndpointRecord& endpoint, const SourceRevision& revision,
           TimeMs now, Origin origin);
  /// Marks an endpoint as leaving by its own word, which holds for this
  /// incarnation whatever is announced. The endpoint need not be known.
  /// @returns whether this is news.
  bool MarkLeaving(const LeavingEndpoint& endpoint, TimeMs now);
  /// Removes an endpoint as of `revision`.
  /// @returns true when the endpoint was present and had no newer update.
  bool Remove(std::string_view id, const SourceRevision& revision);
  /// Applies the source's full list as of `revision`. Endpoints that are not in
  /// the list, and that have no newer update, are removed at
  /// `retain_missing_until`, or at once when that is not after `now`. Until
  /// then `Revision()` does not rise, since a peer would miss the removals.
  /// @returns ids of the endpoints removed by this call.
  std::vector<std::string> Replace(const std::vector<EndpointRecord>& endpoints,
                                   const SourceRevision& revision,
                                   TimeMs retain_missing_until, TimeMs now);
  /// Applies that a peer's whole state as of `revision` has no endpoints but
  /// those `announced`. Like `Replace`, but for the revisions of these.
  /// @returns ids of the endpoints removed by this call.
  std::vector<std::string> RemoveOthers(const AnnouncedEndpoints& announced,
                                        const SourceRevision& revision,
                                        TimeMs retain_missing_until,
                                        TimeMs now);
  /// Removes the endpoints whose time of removal, set by `Replace`, has come.
  /// @returns ids of the endpoints removed.
  std::vector<std::string> Expire(TimeMs now);

  /// Records that all updates up to `revision` have been applied.
  void AdvanceTo(const SourceRevision& revision, TimeMs now) noexcept;
  /// Whether endpoints that are missing from the source's list are retained.
  [[nodiscard]] bool Retaining() const;

  /// The endpoint with this id, whether or not it is leaving; null when it is
  /// unknown or removed.
  [[nodiscard]] const EndpointRecord* Find(std::string_view id) const;
  /// Endpoints of a pool that accept new requests.
  [[nodiscard]] std::vector<const EndpointRecord*> Usable(
      std::string_view pool) const;
  /// All endpoints that are not removed, sorted by id.
  [[nodiscard]] std::vector<EndpointRecord> All() const;
  /// Endpoints that `Replace` has scheduled for removal.
  [[nodiscard]] std::vector<RetainedEndpoint> Retained(TimeMs now) const;
  /// Endpoints that are leaving by their own word.
  [[nodiscard]] LeavingEndpoints& SaidLeaving() noexcept;
  /// Revision up to which all updates have been applied.
  [[nodiscard]] SourceRevision Revision() const;
  /// Endpoints that were announced and ids of endpoints that were removed, each
  /// with the revision of its last update.
  struct Changes {
    AnnouncedEndpoints announced;
    std::vector<std::pair<std::string, SourceRevision>> gone;
    /// Whether all endpoints are announced, because this table does not know
    /// all removals after the revision asked for: it has read a complete list
    /// since, or has dropped tombstones.
    bool whole = false;
  };
  /// Endpoints and tombstones whose last update is after `revision`.
  [[nodiscard]] Changes ChangesAfter(const SourceRevision& revision) const;

 private:
  struct Row {
    EndpointRecord endpoint;
    SourceRevision revision;
    bool known = false;    ///< Whether the endpoint was ever announced.
    bool removed = false;  ///< Whether the row is a tombstone.
    /// Time at which the endpoint is removed, because the source's full list
    /// did not include it; 0 when no removal is scheduled.
    TimeMs remove_at = 0;
    /// Revision of that list.
    SourceRevision missing_as_of;
  };

  /// Whether the updates applied here show that an endpoint was absent at
  /// `revision` or later. One that is only retained counts as absent.
  [[nodiscard]] bool AbsentAt(std::string_view id,
                              const SourceRevision& revision) const;

  /// Whether what is known of an endpoint holds against the state of a restored
  /// source that lists it.
  [[nodiscard]] bool HoldsAgainst(const Row& row, const EndpointRecord& listed,
                                  const SourceRevision& revision,
                                  TimeMs now) const;

  /// Schedules the removal of the endpoints that are absent from a complete
  /// list as of `revision`, unless they have a newer update.
  void RetainOthers(const std::set<std::string_view>& listed,
                    const SourceRevision& revision, TimeMs until);

  /// Records the start of a new era.
  void NoteEra(const SourceRevision& revision, TimeMs now) noexcept;

  DurationMs restored_grace_ms;
  std::uint64_t era = 0;  ///< Highest one seen.
  /// End of the time in which earlier knowledge holds, after a new era.
  TimeMs settled_at = 0;
  LeavingEndpoints said_leaving;
  NamedTable<Row> rows;  ///< Keyed by endpoint id; includes tombstones.
  SourceRevision applied_revision;
  /// Revision after which this table knows all removals.
  SourceRevision removals_known_after;
  /// `Revision()` while endpoints are retained.
  SourceRevision revision_before_retention;
};

}  // namespace limpethaven
