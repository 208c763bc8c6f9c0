/// @file
/// Table of the requests that this process is serving.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"

namespace limpethaven {

/// Where a request runs now, for renewing its reservation.
struct ActivePlace {
  std::string cell;
  std::string reservation;
  std::string engine;
  std::int64_t pieces = 0;
};

/// One request being served. Shared by its handler and those who may cut it.
class ActiveRequest {
 public:
  ActiveRequest(std::string id, std::string team_name, std::string key_sha256);

  [[nodiscard]] const std::string& Id() const noexcept;
  [[nodiscard]] const std::string& Team() const noexcept;
  [[nodiscard]] const std::string& KeyDigest() const noexcept;
  /// Asks the handler to end with this error at its next step.
  void Cut(ErrorKind kind);
  /// Why the request must end, once it must.
  [[nodiscard]] std::optional<ErrorKind> CutBy() const;
  void SetPlace(std::optional<ActivePlace> value);
  [[nodiscard]] std::optional<ActivePlace> Place() const;

 private:
  std::string id;
  std::string team;
  std::string key_digest;
  mutable std::mutex mutex;
  std::optional<ErrorKind> cut;
  std::optional<ActivePlace> place;
};

/// The table. Thread safe.
class ActiveRequests {
 public:
  using Ptr = std::shared_ptr<ActiveRequest>;

  /// @param cap Requests served at once; more are refused.
  explicit ActiveRequests(std::size_t cap);

  /// Adds a request. An id that is being served already is refused.
  [[nodiscard]] Result<Ptr> Add(std::string id, std::string team,
                                std::string key_digest);
  /// Adds a request that goes on over a new connection; an older row of the id
  /// gives way.
  [[nodiscard]] Result<Ptr> Replace(std::string id, std::string team,
                                    std::string key_digest);
  void Remove(const ActiveRequest& request);
  [[nodiscard]] std::size_t Size() const;
  /// Cuts a request of a team. @returns whether it was here.
  bool Cancel(std::string_view id, std::string_view team);
  /// Cuts every request whose key no longer stands for its team.
  void CutWithdrawn(const Configuration& config);
  /// Every place whose reservation must be renewed, with its request id.
  [[nodiscard]] std::vector<std::pair<std::string, ActivePlace>> Places() const;

 private:
  std::size_t max_requests;
  mutable std::mutex mutex;
  std::map<std::string, Ptr, std::less<>> rows;
};

}  // namespace limpethaven
