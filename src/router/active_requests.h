/// @file
/// Table of the requests that this process is serving.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Aborts a request that is being served, for the given reason.
using AbortCallback = std::function<void(ErrorKind)>;

/// Requests being served, keyed by request id. Not thread safe.
class ActiveRequests {
 public:
  /// @param cap Requests served at once; more are refused.
  explicit ActiveRequests(std::size_t cap);

  /// Adds a request. An id that is already being served is refused, unless the
  /// new request resumes it for the same team: then the older one is aborted
  /// with `kSuperseded`.
  /// @returns the row's number, for `Remove`.
  [[nodiscard]] Result<std::uint64_t> Add(std::string id, std::string team,
                                          std::string key_digest, bool resumes,
                                          AbortCallback abort);
  /// Removes a request, unless a newer one has taken over its id.
  void Remove(std::string_view id, std::uint64_t number);
  [[nodiscard]] std::size_t Size() const noexcept;
  /// Aborts a team's request with `kCancelled`.
  /// @returns whether it was being served here.
  bool Cancel(std::string_view id, std::string_view team);
  /// Aborts every request whose key is no longer one of its team's keys.
  void AbortWithdrawnKeys(const Configuration& config);

 private:
  struct Row {
    std::uint64_t number = 0;
    std::string team;
    std::string key_digest;
    AbortCallback abort;
  };

  std::size_t max_requests;
  std::uint64_t next_number = 1;
  std::map<std::string, Row, std::less<>> rows;
};

}  // namespace limpethaven
