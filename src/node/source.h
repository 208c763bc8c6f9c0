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

/// Reads a source and watches it for changes; runs on the event loop once
/// started.
class Source {
 public:
  virtual ~Source() = default;
  virtual void Start(SourceListener& listener) = 0;
};

}  // namespace limpethaven
