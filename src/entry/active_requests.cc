#include "entry/active_requests.h"

#include <algorithm>

#include "edge/log.h"

namespace limpethaven {

ActiveRequest::ActiveRequest(std::string request_id, std::string team_name,
                             std::string key_sha256)
    : id(std::move(request_id)),
      team(std::move(team_name)),
      key_digest(std::move(key_sha256)) {}

const std::string& ActiveRequest::Id() const noexcept { return this->id; }
const std::string& ActiveRequest::Team() const noexcept { return this->team; }
const std::string& ActiveRequest::KeyDigest() const noexcept {
  return this->key_digest;
}

void ActiveRequest::Cut(ErrorKind kind) {
  const std::lock_guard lock(this->mutex);
  if (!this->cut) this->cut = kind;
}

std::optional<ErrorKind> ActiveRequest::CutBy() const {
  const std::lock_guard lock(this->mutex);
  return this->cut;
}

void ActiveRequest::SetPlace(std::optional<ActivePlace> value) {
  const std::lock_guard lock(this->mutex);
  this->place = std::move(value);
}

std::optional<ActivePlace> ActiveRequest::Place() const {
  const std::lock_guard lock(this->mutex);
  return this->place;
}

ActiveRequests::ActiveRequests(std::size_t cap) : max_requests(cap) {}

Result<ActiveRequests::Ptr> ActiveRequests::Add(std::string id,
                                                std::string team,
                                                std::string key_digest) {
  const std::lock_guard lock(this->mutex);
  if (this->rows.size() >= this->max_requests) {
    return Error::Of(ErrorKind::kTooManyStreams,
                     "this VM serves as many requests as it may");
  }
  auto request = std::make_shared<ActiveRequest>(id, std::move(team),
                                                 std::move(key_digest));
  if (!this->rows.emplace(std::move(id), request).second) {
    return Error::Of(ErrorKind::kBadRequest,
                     "a request with this Request-Id is being served");
  }
  return request;
}

Result<ActiveRequests::Ptr> ActiveRequests::Replace(std::string id,
                                                    std::string team,
                                                    std::string key_digest) {
  {
    const std::lock_guard lock(this->mutex);
    this->rows.erase(id);
  }
  return this->Add(std::move(id), std::move(team), std::move(key_digest));
}

void ActiveRequests::Remove(const ActiveRequest& request) {
  const std::lock_guard lock(this->mutex);
  const auto row = this->rows.find(request.Id());
  if (row != this->rows.end() && row->second.get() == &request) {
    this->rows.erase(row);
  }
}

std::size_t ActiveRequests::Size() const {
  const std::lock_guard lock(this->mutex);
  return this->rows.size();
}

bool ActiveRequests::Cancel(std::string_view id, std::string_view team) {
  const std::lock_guard lock(this->mutex);
  const auto row = this->rows.find(id);
  if (row == this->rows.end() || row->second->Team() != team) return false;
  row->second->Cut(ErrorKind::kCancelled);
  return true;
}

void ActiveRequests::CutWithdrawn(const Configuration& config) {
  const std::lock_guard lock(this->mutex);
  std::ranges::for_each(this->rows, [&config](const auto& row) {
    ActiveRequest& request = *row.second;
    if (request.KeyDigest().empty()) return;
    const TeamSpec* team = config.FindTeamByKeyDigest(request.KeyDigest());
    if (team != nullptr && team->name == request.Team()) return;
    request.Cut(ErrorKind::kKeyWithdrawn);
    LogEvent(EventId::kKeyWithdrawnMidStream,
             {{"request", request.Id()}, {"team", request.Team()}});
  });
}

std::vector<std::pair<std::string, ActivePlace>> ActiveRequests::Places()
    const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::pair<std::string, ActivePlace>> places;
  std::ranges::for_each(this->rows, [&places](const auto& row) {
    if (auto place = row.second->Place()) {
      places.emplace_back(row.first, std::move(*place));
    }
  });
  return places;
}

}  // namespace limpethaven
