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

/// Ends a request that is being served, for this reason.
using AbortCallback = std::function<void(ErrorKind)>;

/// Requests by name. Not thread safe.
class ActiveRequests {
 public:
  /// @param cap Requests served at once; more are refused.
  explicit ActiveRequests(std::size_t cap);

  /// Adds a request. An id that is being served already is refused, unless the
  /// new one goes on with it over another connection: the older gives way.
  /// @returns the row's number, for `Remove`.
  [[nodiscard]] Result<std::uint64_t> Add(std::string id, std::string team,
                                          std::string key_digest, bool goes_on,
                                          AbortCallback cut);
  void Remove(std::string_view id, std::uint64_t number);
  [[nodiscard]] std::size_t Size() const noexcept;
  /// Cuts a request of a team. @returns whether it was here.
  bool Cancel(std::string_view id, std::string_view team);
  /// Cuts every request whose key no longer stands for its team.
  void AbortWithdrawnKeys(const Configuration& config);

 private:
  struct Row {
    std::uint64_t number = 0;
    std::string team;
    std::string key_digest;
    AbortCallback cut;
  };

  std::size_t max_requests;
  std::uint64_t next_number = 1;
  std::map<std::string, Row, std::less<>> rows;
};

}  // namespace limpethaven
