#include "entry/config_service.h"

#include <algorithm>
#include <map>

#include "edge/log.h"
#include "entry/peer_messages.h"

namespace limpethaven {
namespace {

constexpr DurationMs kWatchMs = 5000;
constexpr std::chrono::milliseconds kRetryPause(500);
constexpr DurationMs kPullPeriodMs = 1000;
constexpr DurationMs kPullTimeoutMs = 2000;

}  // namespace

ConfigService::ConfigService(ConfigSource& config_source,
                             PeerTransport& peer_transport, OnConfig on_adopted)
    : source(config_source),
      peers(peer_transport),
      on_config(std::move(on_adopted)) {}

ConfigService::~ConfigService() { this->Stop(); }

void ConfigService::Start() {
  this->watcher = std::thread([this] { this->WatchSource(); });
  this->puller.Start(kPullPeriodMs, [this] {
    std::string address;
    {
      const std::lock_guard lock(this->mutex);
      address = std::exchange(this->pull_from, {});
    }
    if (!address.empty()) this->PullFrom(address);
  });
}

void ConfigService::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->stop_wake.notify_all();
  this->source.CancelWatch();
  this->puller.Stop();
  if (this->watcher.joinable()) this->watcher.join();
}

std::shared_ptr<const Configuration> ConfigService::Snapshot() const {
  const std::lock_guard lock(this->mutex);
  return this->follower.Snapshot();
}

void ConfigService::OnPeerVersion(std::string_view address,
                                  std::uint64_t version,
                                  std::string_view digest) {
  const std::lock_guard lock(this->mutex);
  const std::string own = this->follower.Snapshot()->digest;
  const std::string_view compared =
      std::string_view(own).substr(0, digest.size());
  const bool same = compared == digest;
  switch (
      this->follower.Judge(version, same ? std::string_view(own) : digest)) {
    case OfferOutcome::kNeedPull:
      this->pull_from = address;
      this->puller.Wake();
      break;
    case OfferOutcome::kConflict:
      LogWarning(EventId::kConfigConflict, {{"peer", std::string(address)},
                                            LogField::Of("version", version),
                                            {"kept", own},
                                            {"offered", std::string(digest)}});
      break;
    case OfferOutcome::kAlreadyHave:
    case OfferOutcome::kOlder:
      break;
  }
}

template <typename Apply>
bool ConfigService::Adopt(std::string_view from, Apply apply) {
  const std::lock_guard adopting(this->adoption);
  std::shared_ptr<const Configuration> adopted;
  {
    const std::lock_guard lock(this->mutex);
    const std::uint64_t before = this->follower.Snapshot()->version;
    const Result<void> outcome = apply(this->follower);
    adopted = this->follower.Snapshot();
    if (!outcome && before == adopted->version) {
      // Another source was quicker, or the offer does not fit: what is held
      // stays.
      LogWarning(EventId::kConfigRejected,
                 {{"from", std::string(from)},
                  LogField::Of("why", outcome.error()),
                  LogField::Of("kept", before)});
      return false;
    }
    if (adopted->version == before) return true;
  }
  LogEvent(EventId::kConfigAdopted,
           {{"from", std::string(from)},
            LogField::Of("version", adopted->version),
            {"digest", adopted->digest.substr(0, 16)}});
  this->on_config(*adopted);
  return true;
}

bool ConfigService::PullFrom(const std::string& address) {
  const std::uint64_t have = this->Snapshot()->version;
  const auto text =
      this->peers.Call(address, "/peer/v1/config",
                       WriteJson(ConfigPullBody{have}), kPullTimeoutMs);
  if (!text) return false;
  const auto answer =
      ReadJson<ConfigPullAnswer>(text.value(), "configuration pull");
  if (!answer) return false;
  const ConfigPullAnswer& offer = answer.value();
  if (offer.version <= have) return true;
  this->Adopt(address, [&offer](ConfigFollower& target) -> Result<void> {
    if (!offer.entities.empty()) {
      BOOST_OUTCOME_TRY(entities, DecodeEntityList(offer.entities));
      return target.ApplyWhole(offer.version, offer.digest, entities);
    }
    std::vector<ConfigChange> changes;
    for (const std::string& change_text : offer.changes) {
      BOOST_OUTCOME_TRY(change, DecodeChange(change_text));
      changes.push_back(change);
    }
    return target.ApplyChanges(changes);
  });
  return true;
}

Result<std::string> ConfigService::AnswerPull(const std::string& body) const {
  BOOST_OUTCOME_TRY(pull, ReadJson<ConfigPullBody>(body, "configuration pull"));
  const std::lock_guard lock(this->mutex);
  const auto present = this->follower.Snapshot();
  ConfigPullAnswer answer{present->version, present->digest, {}, {}};
  if (pull.after >= present->version) return WriteJson(answer);
  const std::vector<ConfigChange> changes =
      this->follower.ChangesAfter(pull.after);
  std::ranges::transform(changes, std::back_inserter(answer.changes),
                         EncodeChange);
  if (changes.empty()) {
    answer.entities = EncodeEntityList(this->follower.Entities());
  }
  return WriteJson(answer);
}

bool ConfigService::Offer(const std::vector<ConfigChange>& changes) {
  return this->Adopt("operator", [&changes](ConfigFollower& target) {
    return target.ApplyChanges(changes);
  });
}

bool ConfigService::SourceAnswered() const noexcept {
  return this->source_answered;
}

void ConfigService::WatchSource() {
  bool running = true;
  while (running) {
    const DurationMs wait_ms = this->source_answered ? kWatchMs : 0;
    const auto head =
        this->source.WatchHead(this->Snapshot()->version, wait_ms);
    if (head) {
      if (head.value()) this->AdoptHead(*head.value());
      this->source_answered = true;
      const std::lock_guard lock(this->mutex);
      running = !this->stopping;
      continue;
    }
    running = this->PauseBeforeRetry();
    if (running) {
      LogWarning(EventId::kConfigSourceLost,
                 {LogField::Of("why", head.error())});
    }
  }
}

bool ConfigService::PauseBeforeRetry() {
  std::unique_lock lock(this->mutex);
  return !this->stop_wake.wait_for(lock, kRetryPause,
                                   [this] { return this->stopping; });
}

void ConfigService::AdoptHead(const ConfigHead& head) {
  const std::uint64_t have = this->Snapshot()->version;
  const bool covered = have > 0 && !head.changes.empty() &&
                       head.changes.front().version <= have + 1;
  if (covered && this->Adopt("platform", [&head](ConfigFollower& target) {
        return target.ApplyChanges(head.changes);
      })) {
    return;
  }
  const auto entities = this->ReadChunks(head);
  if (!entities) {
    LogWarning(EventId::kConfigRejected,
               {LogField::Of("why", entities.error())});
    this->PauseBeforeRetry();
    return;
  }
  this->Adopt("platform", [&](ConfigFollower& target) {
    return target.ApplyWhole(head.version, head.digest, entities.value());
  });
}

Result<std::vector<Entity>> ConfigService::ReadChunks(const ConfigHead& head) {
  std::map<std::string, std::vector<Entity>> chunks;
  std::vector<Entity> entities;
  for (const std::string& digest : head.chunks) {
    if (!chunks.contains(digest)) {
      BOOST_OUTCOME_TRY(chunk, this->source.ReadChunk(digest));
      chunks.emplace(digest, chunk);
      std::ranges::copy(chunk, std::back_inserter(entities));
    }
  }
  return entities;
}

}  // namespace limpethaven
