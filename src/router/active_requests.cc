#include "router/active_requests.h"

#include <algorithm>
#include <vector>

#include "log/event_log.h"

namespace limpethaven {

ActiveRequests::ActiveRequests(std::size_t max_request_count)
    : max_requests(max_request_count) {}

Result<std::uint64_t> ActiveRequests::Add(std::string id, std::string team,
                                          std::string key_digest, bool resumes,
                                          ActiveRequest& request) {
  const auto existing = this->rows.find(id);
  if (existing != this->rows.end()) {
    if (!resumes || existing->second.team != team) {
      return Error::Of(ErrorKind::kBadRequest,
                       "a request with this id is already being served");
    }
    ActiveRequest& older = *existing->second.request;
    this->rows.erase(existing);
    older.Abort(ErrorKind::kSuperseded);
  }
  if (this->rows.size() >= this->max_requests) {
    return Error::Of(ErrorKind::kTooManyStreams,
                     "this process already serves its maximum of " +
                         std::to_string(this->max_requests) + " requests");
  }
  const std::uint64_t number = this->next_number++;
  this->rows.emplace(std::move(id), Row{number, std::move(team),
                                        std::move(key_digest), &request});
  return number;
}

void ActiveRequests::Remove(std::string_view id, std::uint64_t number) {
  const auto row = this->rows.find(id);
  if (row != this->rows.end() && row->second.number == number) {
    this->rows.erase(row);
  }
}

std::size_t ActiveRequests::Size() const noexcept { return this->rows.size(); }

bool ActiveRequests::Cancel(std::string_view id, std::string_view team) {
  const auto row = this->rows.find(id);
  if (row == this->rows.end() || row->second.team != team) return false;
  row->second.request->Abort(ErrorKind::kCancelled);
  return true;
}

void ActiveRequests::AbortWithdrawnKeys(const Configuration& config) {
  std::vector<ActiveRequest*> withdrawn;
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    if (row.key_digest.empty()) return;
    const TeamSpec* team = config.FindTeamByKeyDigest(row.key_digest);
    if (team != nullptr && team->name == row.team) return;
    LogEvent(EventId::kKeyWithdrawnMidStream,
             {{"request", entry.first}, {"team", row.team}});
    withdrawn.push_back(row.request);
  });
  std::ranges::for_each(withdrawn, [](ActiveRequest* request) {
    request->Abort(ErrorKind::kKeyWithdrawn);
  });
}

void ActiveRequests::AbortWaiting(const StopAdmission& stop) {
  this->AbortIf(ErrorKind::kLeaving, [&stop](const ActiveRequest& request) {
    return request.Waits() && !stop.Admits(request.Deadline());
  });
}

void ActiveRequests::AbortUnanswered() {
  this->AbortIf(ErrorKind::kLeaving, [](const ActiveRequest& request) {
    return !request.AnswerBegun();
  });
}

void ActiveRequests::AbortIf(
    ErrorKind reason,
    const std::function<bool(const ActiveRequest&)>& condition) {
  std::vector<ActiveRequest*> found;
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    if (condition(*entry.second.request)) found.push_back(entry.second.request);
  });
  std::ranges::for_each(
      found, [reason](ActiveRequest* request) { request->Abort(reason); });
}

}  // namespace limpethaven
