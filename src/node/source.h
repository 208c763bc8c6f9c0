/// @file
/// Interface to the source of the published configuration and of the announced
/// endpoints.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/error.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// What a call to a source asks for.
enum class SourcePart { kConfiguration, kEndpoints };

/// Receives updates from a source. A `revision` is the source's revision that
/// contains the reported change or list.
class SourceListener {
 public:
  virtual ~SourceListener() = default;
  virtual void OnConfiguration(const Configuration& config) = 0;
  /// Called when an endpoint was announced or its announcement has changed.
  virtual void OnEndpoint(const EndpointRecord& endpoint,
                          const SourceRevision& revision) = 0;
  /// Called when the announcement of an endpoint was removed.
  virtual void OnEndpointGone(const std::string& id,
                              const SourceRevision& revision) = 0;
  /// Called with all endpoints that the source lists.
  /// @param returned_at Set after an outage, in which the source may have lost
  /// announcements of live endpoints, so that they are missing from its list:
  /// the time since which it is known to answer again.
  virtual void OnAllEndpoints(const std::vector<EndpointRecord>& endpoints,
                              const SourceRevision& revision,
                              std::optional<TimeMs> returned_at) = 0;
  /// Version of the configuration in force, from any side; 0 before the first.
  [[nodiscard]] virtual std::uint64_t ConfigVersion() const { return 0; }
  /// Called with the list of VMs, if the source has one.
  virtual void OnVms(const std::vector<ListedVm>& vms) = 0;
  /// Called to report whether the source answers.
  virtual void OnSourceReachable(bool reachable) = 0;
  /// Called when the source has answered a call for its configuration or its
  /// endpoints, also without a change.
  virtual void OnSourceAnswered(SourcePart part) { static_cast<void>(part); }
  /// Called when data of the source is invalid; the last valid state stays in
  /// force.
  /// @param what Name of the invalid data; empty for the configuration.
  virtual void OnUnreadable(const std::string& what, const Error& why) = 0;
};

/// Watches of a source whose process informs peers. They are short, so that the
/// state of the process is at most about 1,000 ms old.
struct ReaderWatchSettings {
  /// Longest time for which the source holds a watch without a change.
  DurationMs wait_ms = 800;
  /// A watch that brings no answer within this time after its end is taken to
  /// hang.
  DurationMs grace_ms = 200;
  /// Age of the state at which a watch ends at the latest. It leaves 100 ms for
  /// round trips.
  DurationMs renew_age_ms = 900;
  /// Pause between two watches, so that one answer has several changes.
  DurationMs batch_ms = 150;

  /// Time for which the next watch waits.
  /// @param complete_at See `SourceProgress`.
  [[nodiscard]] DurationMs NextWaitMs(std::optional<TimeMs> complete_at,
                                      TimeMs now) const;
};

/// Latest time up to which an answered watch is known to have reported all
/// changes, see `SourceProgress`. The answer may have been delayed on its way.
/// @param changed Whether the answer has changes, so that the source may have
/// sent it at any time after the call.
/// @param wait_ms Time for which the source was asked to hold the watch.
[[nodiscard]] TimeMs WatchCompleteAt(bool changed, TimeMs started_at,
                                     DurationMs wait_ms, TimeMs now);

/// How far a source has been followed.
struct SourceProgress {
  /// Every change that the source had at this time has been reported to the
  /// listener; empty when nothing has been read yet.
  std::optional<TimeMs> complete_at;
  /// Revision of the source up to which endpoints have been reported.
  SourceRevision as_of;
  std::uint64_t calls = 0;  ///< Calls to the source since the start.
};

/// Reads a source and watches it for changes; runs on the event loop once
/// started.
class Source {
 public:
  virtual ~Source() = default;
  virtual void Start(SourceListener& listener) = 0;
  /// Stops to call the source for configuration and endpoints. A call that is
  /// under way ends as usual, and what it brings is reported.
  virtual void Pause() {}
  /// Continues after `Pause` with the changes that were made meanwhile, over a
  /// new connection. Does nothing unless paused.
  virtual void Resume() {}
  /// Sets whether the watches are those of a reader, from the next one on.
  virtual void SetReader(bool reader) { static_cast<void>(reader); }
  [[nodiscard]] virtual SourceProgress Progress() const { return {}; }
};

}  // namespace limpethaven
