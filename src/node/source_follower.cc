#include "node/source_follower.h"

#include <algorithm>
#include <numeric>

#include "log/event_log.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

/// Members are found dead within seconds, so the role need not be computed at
/// each tick.
constexpr DurationMs kRolePeriodMs = 500;
/// Pause after a watch whose answer is not fresh: the reader answers such
/// watches at once.
constexpr DurationMs kStaleRetryMs = 250;
/// Shortest time between two watches of one reader, so that one answer has
/// several changes.
constexpr DurationMs kMinWatchPeriodMs = 50;

}  // namespace

SourceFollower::SourceFollower(PeerLink& peer_link, const Gossip& peer_gossip,
                               PublishedState& published_state,
                               std::string own_data_centre,
                               ReaderRoleSettings role_settings,
                               ReaderFreshnessSettings freshness_settings)
    : link(peer_link),
      gossip(peer_gossip),
      state(published_state),
      data_centre(std::move(own_data_centre)),
      settings(role_settings),
      limits(freshness_settings),
      freshness(freshness_settings) {}

void SourceFollower::SetSource(Source& followed) { this->source = &followed; }

void SourceFollower::Tick(TimeMs now) {
  if (this->source == nullptr) return;
  this->RecordProgress(now);
  if (this->settings.readers <= 0) return;
  if (now >= this->next_role_at) {
    this->next_role_at = now + kRolePeriodMs;
    this->UpdateRole();
  }
  this->UpdateReading(now);
}

void SourceFollower::OnPause(TimeMs now) {
  this->freshness.RequireOwnRead(now);
}

void SourceFollower::RecordProgress(TimeMs now) {
  const SourceProgress progress = this->source->Progress();
  if (progress.complete_at) this->freshness.OnOwnRead(*progress.complete_at);
  this->freshness.OnKnown(
      KnownState{this->state.Config()->version, this->state.Revision()}, now);
}

void SourceFollower::UpdateRole() {
  const std::vector<MemberUpdate> serving =
      this->gossip.Members().ServingMembers();
  ReaderRole next = ChooseReaders(this->gossip.Members().Self().address,
                                  this->data_centre, serving, this->settings);
  if (next == this->role) return;
  const bool was_reader = this->role.IsReader();
  this->role = std::move(next);
  this->freshness.SetReaders(this->role.readers);
  if (this->role.IsReader() != was_reader) {
    LogEvent(EventId::kReaderRoleChanged,
             {LogField::Of("reader", this->role.IsReader() ? 1 : 0),
              {"why", std::string(NameOf(this->role.reason))},
              {"readers", this->ReaderNames()},
              LogField::Of("members", serving.size())});
  }
  this->source->SetReader(this->role.IsReader());
  std::ranges::for_each(this->role.readers, [this](const std::string& reader) {
    if (!this->watched.insert(reader).second) return;
    SpawnService(this->link.GetLoop(),
                 [this, reader]() -> Task<> { co_await this->Watch(reader); });
  });
}

void SourceFollower::UpdateReading(TimeMs now) {
  const ReadReason reason = this->freshness.Decide(now);
  const bool reads = reason != ReadReason::kReadersFresh;
  if (reads == this->reading) return;
  this->reading = reads;
  this->state.SetInformedByPeers(!reads);
  if (reads) {
    LogEvent(EventId::kSourceReadDirectly,
             {{"why", std::string(NameOf(reason))},
              LogField::Of("state_age_ms", this->StateAgeMs(now)),
              {"readers", this->ReaderNames()}});
    this->source->Resume();
  } else {
    LogEvent(EventId::kSourceReadByPeers,
             {{"readers", this->ReaderNames()},
              LogField::Of("state_age_ms", this->StateAgeMs(now))});
    this->source->Pause();
  }
}

Task<> SourceFollower::Watch(std::string reader) {
  std::optional<std::uint64_t> seen;
  while (this->Follows(reader)) {
    const TimeMs sent_at = LoopNow();
    bool fresh = false;
    // Before, the process reads all state from the source, and is ready only
    // when that has been read.
    if (this->state.Complete()) {
      const std::string body = EncodeWatchRequest(StateWatchRequest{
          KnownState{this->state.Config()->version, this->state.Revision()},
          kMaxStateWatchMs, seen});
      const Result<std::string> answer =
          co_await this->link.Call(reader, std::string(kStateWatchPath), body,
                                   sent_at + this->limits.max_answer_ms);
      fresh = answer && this->Take(reader, sent_at, answer.value(), seen);
      if (!fresh) this->freshness.OnFailure(reader);
      if (!answer) {
        LogEvent(EventId::kPeerStateLost,
                 {{"peer", reader},
                  {"why", answer.error().message},
                  LogField::Of("waited_ms", LoopNow() - sent_at)});
      }
    }
    const TimeMs next_at =
        fresh ? sent_at + kMinWatchPeriodMs : LoopNow() + kStaleRetryMs;
    const TimeMs now = LoopNow();
    if (next_at > now) {
      co_await SleepFor(this->link.GetLoop(), next_at - now);
    }
  }
  this->watched.erase(reader);
}

bool SourceFollower::Take(const std::string& reader, TimeMs sent_at,
                          const std::string& body,
                          std::optional<std::uint64_t>& seen) {
  const Result<StateWatchAnswer> answer = DecodeWatchAnswer(body);
  if (!answer) {
    LogEvent(EventId::kPeerMessageRejected,
             {{"from", reader}, {"why", answer.error().message}});
    return false;
  }
  const TimeMs now = LoopNow();
  this->RecordProgress(now);
  // What is malformed may hide a change.
  if (!this->state.ApplyPeerState(body, reader)) return false;
  seen = answer.value().state;
  if (answer.value().known.version > this->state.Config()->version) {
    // The reader has left a large configuration out.
    if (!this->reading) this->freshness.RequireOwnRead(now);
    return false;
  }
  return this->freshness.OnAnswer(
      reader,
      ReaderAnswer{sent_at, answer.value().waited_ms,
                   answer.value().source_age_ms, answer.value().known},
      now);
}

bool SourceFollower::Follows(std::string_view reader) const {
  return std::ranges::find(this->role.readers, reader) !=
         this->role.readers.end();
}

std::string SourceFollower::ReaderNames() const {
  return std::accumulate(this->role.readers.begin(), this->role.readers.end(),
                         std::string(),
                         [](std::string names, const std::string& reader) {
                           if (!names.empty()) names += ',';
                           return names + reader;
                         });
}

bool SourceFollower::ReadsSource() const noexcept { return this->reading; }

bool SourceFollower::IsReader() const noexcept { return this->role.IsReader(); }

DurationMs SourceFollower::StateAgeMs(TimeMs now) const {
  return this->freshness.StateAgeMs(now).value_or(-1);
}

std::uint64_t SourceFollower::SourceCalls() const {
  return this->source == nullptr ? 0 : this->source->Progress().calls;
}

}  // namespace limpethaven
