/// @file
/// Where a process learns what operators publish and which endpoints there are.
#pragma once

#include <string>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/error.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Takes in what a source tells.
class SourceListener {
 public:
  virtual ~SourceListener() = default;
  virtual void OnConfiguration(const Configuration& config) = 0;
  virtual void OnEndpoint(const EndpointRecord& endpoint,
                          std::uint64_t revision) = 0;
  virtual void OnEndpointGone(const std::string& id,
                              std::uint64_t revision) = 0;
  /// Everything that the source holds of endpoints.
  /// @param complete False when endpoints may be missing that are alive.
  virtual void OnAllEndpoints(const std::vector<EndpointRecord>& endpoints,
                              std::uint64_t revision, bool complete) = 0;
  /// The list of VMs, where the source keeps one.
  virtual void OnVms(const std::vector<ListedVm>& vms) = 0;
  /// The source answers again, or no longer.
  virtual void OnSourceReachable(bool reachable) = 0;
  /// What the source holds could not be read; the last good state stays.
  virtual void OnUnreadable(const std::string& what, const Error& why) = 0;
};

/// Follows a source; runs on the loop once started.
class Source {
 public:
  virtual ~Source() = default;
  virtual void Start(SourceListener& listener) = 0;
};

}  // namespace limpethaven
