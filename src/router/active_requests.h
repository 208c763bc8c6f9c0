/// @file
/// Table of the requests that this process is serving.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "limpethaven/config_model.h"
#include "limpethaven/error.h"
#include "limpethaven/stop_admission.h"

namespace limpethaven {

/// A request that is being served.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;
  /// Ends the request with an error of this kind.
  virtual void Abort(ErrorKind reason) = 0;
  /// Whether the request waits to be sent to an endpoint for the first time.
  [[nodiscard]] virtual bool Waits() const = 0;
  /// Whether the head of an answer has been sent to the caller.
  [[nodiscard]] virtual bool AnswerBegun() const = 0;
  /// Time at which the request times out.
  [[nodiscard]] virtual TimeMs Deadline() const = 0;
};

/// Requests being served, keyed by request id. Not thread safe.
class ActiveRequests {
 public:
  /// @param max_request_count Most requests that are served at once; further
  /// ones are refused.
  explicit ActiveRequests(std::size_t max_request_count);

  /// Adds a request. An id that is already being served is refused, unless the
  /// new request resumes it for the same team: then the older one is aborted
  /// with `kSuperseded`.
  /// @param resumes Whether the new request resumes an earlier one.
  /// @param request Must stay valid until `Remove`.
  /// @returns the row's number, for `Remove`; `kBadRequest` when the id is
  /// already being served, `kTooManyStreams` when the table is full.
  [[nodiscard]] Result<std::uint64_t> Add(std::string id, std::string team,
                                          std::string key_digest, bool resumes,
                                          ActiveRequest& request);
  /// Removes a request, unless a request that resumed it has its id now.
  /// @param number Result of `Add`.
  void Remove(std::string_view id, std::uint64_t number);
  [[nodiscard]] std::size_t Size() const noexcept;
  /// Aborts a team's request with `kCancelled`.
  /// @returns whether it was being served here.
  bool Cancel(std::string_view id, std::string_view team);
  /// Aborts every request whose key is no longer one of its team's keys.
  void AbortWithdrawnKeys(const Configuration& config);
  /// Aborts the requests that wait and that the end of a planned stop could
  /// cut, with `kLeaving`.
  void AbortWaiting(const StopAdmission& stop);
  /// Aborts the requests whose answer has not begun, with `kLeaving`.
  void AbortUnanswered();

 private:
  struct Row {
    std::uint64_t number = 0;
    std::string team;
    std::string key_digest;
    ActiveRequest* request = nullptr;
  };

  /// Aborts the requests for which the condition holds.
  void AbortIf(ErrorKind reason,
               const std::function<bool(const ActiveRequest&)>& condition);

  std::size_t max_requests;
  std::uint64_t next_number = 1;
  std::map<std::string, Row, std::less<>> rows;
};

}  // namespace limpethaven
