#include "node/published_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "limpethaven/config_codec.h"
#include "limpethaven/crypto.h"
#include "log/event_log.h"

namespace limpethaven {

NLOHMANN_JSON_SERIALIZE_ENUM(PoolRole, {{PoolRole::kService, "service"},
                                        {PoolRole::kPrefill, "prefill"},
                                        {PoolRole::kDecode, "decode"},
                                        {PoolRole::kMixed, "mixed"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndpointRecord, id, born,
                                                address, data_centre, pool,
                                                role, slots, leaving)

namespace {

using nlohmann::json;

constexpr std::string_view kStatePath = "/peer/v1/state";
constexpr DurationMs kPullTimeoutMs = 400;
/// Between pulls while the source does not answer here.
constexpr DurationMs kPullPeriodMs = 300;
/// A watch tells within a few hundred ms; a process that a peer is ahead of for
/// longer has one that hangs.
constexpr DurationMs kBehindMs = 700;

}  // namespace

PublishedState::PublishedState(PeerLink& peer_link, const Gossip& peer_gossip,
                               EndpointTable& endpoint_table,
                               StateListener& state_listener,
                               DurationMs keep_missing)
    : link(peer_link),
      gossip(peer_gossip),
      table(endpoint_table),
      listener(state_listener),
      config(std::make_shared<const Configuration>()),
      keep_missing_ms(keep_missing) {
  this->link.Handle(std::string(kStatePath),
                    [this](PeerCall& call) { return this->AnswerState(call); });
}

void PublishedState::OnConfiguration(const Configuration& next) {
  this->Adopt(next, "source");
}

void PublishedState::OnEndpoint(const EndpointRecord& endpoint,
                                std::uint64_t revision) {
  const EndpointRecord* known = this->table.Find(endpoint.id);
  const bool was_leaving = known != nullptr && known->leaving;
  const bool was_known = known != nullptr;
  if (!this->table.Put(endpoint, revision)) return;
  if (endpoint.leaving && !was_leaving) {
    LogEvent(EventId::kEndpointLeaving,
             {{"endpoint", endpoint.id}, LogField::Of("revision", revision)});
  } else if (!was_known) {
    LogEvent(EventId::kEndpointAnnounced,
             {{"endpoint", endpoint.id},
              {"address", endpoint.address},
              {"pool", endpoint.pool},
              {"role", std::string(NameOf(endpoint.role))},
              LogField::Of("revision", revision)});
  }
  this->listener.OnEndpoints();
}

void PublishedState::OnEndpointGone(const std::string& id,
                                    std::uint64_t revision) {
  if (!this->table.Remove(id, revision)) return;
  this->NoteGone({id});
}

void PublishedState::OnAllEndpoints(
    const std::vector<EndpointRecord>& endpoints, std::uint64_t revision,
    bool complete) {
  const TimeMs now = LoopNow();
  if (!complete && this->endpoints_known) {
    // The source may have been away for this process only: peers that followed
    // it all the while know what is really gone.
    this->doubtful_until = now + this->keep_missing_ms;
    this->doubtful_since = this->table.Revision();
  }
  const std::vector<std::string> gone = this->table.Replace(
      endpoints, revision, complete ? now : now + this->keep_missing_ms, now);
  this->endpoints_known = true;
  this->NoteGone(gone);
  this->listener.OnEndpoints();
}

void PublishedState::OnVms(const std::vector<ListedVm>& vms) {
  this->listener.OnListedVms(vms);
}

void PublishedState::OnSourceReachable(bool now_reachable) {
  if (now_reachable == this->reachable && this->reachable_once) return;
  this->reachable = now_reachable;
  this->reachable_once = true;
  if (!now_reachable) this->unreachable_since = LoopNow();
  LogEvent(now_reachable ? EventId::kConfigSourceRegained
                         : EventId::kConfigSourceLost,
           {LogField::Of("version", this->config->version),
            LogField::Of("revision", this->table.Revision())});
}

void PublishedState::OnUnreadable(const std::string& what, const Error& why) {
  LogEvent(what.empty() ? EventId::kConfigRejected : EventId::kEndpointRejected,
           {{"what", what}, {"why", why.message}});
}

void PublishedState::OnPeerVersions(const std::string& peer,
                                    std::uint64_t version,
                                    std::uint64_t endpoints_revision) {
  if (endpoints_revision > this->table.Revision()) {
    if (this->ahead_peer.empty()) this->ahead_since = LoopNow();
    if (endpoints_revision >= this->ahead_to) this->ahead_peer = peer;
    this->ahead_to = std::max(this->ahead_to, endpoints_revision);
  }
  if (version <= this->config->version || this->pulling) return;
  this->pulling = true;
  asio::co_spawn(this->link.OfLoop(), this->Pull(peer), asio::detached);
}

void PublishedState::Tick() {
  const TimeMs now = LoopNow();
  this->NoteGone(this->table.Expire(now));
  if (this->ahead_to <= this->table.Revision()) this->ahead_peer.clear();
  const bool behind =
      !this->ahead_peer.empty() && now - this->ahead_since >= kBehindMs;
  if (behind && !this->pulling && now >= this->next_pull) {
    this->next_pull = now + kPullPeriodMs;
    this->pulling = true;
    asio::co_spawn(this->link.OfLoop(), this->Pull(this->ahead_peer),
                   asio::detached);
    this->ahead_peer.clear();
    return;
  }
  const bool doubtful = now < this->doubtful_until;
  const bool needs_peer = !this->reachable || !this->Complete() || doubtful;
  if (!needs_peer || this->pulling || now < this->next_pull) return;
  std::vector<std::string> peers = this->gossip.Members().UsableAddresses();
  std::erase(peers, this->gossip.Members().Self().address);
  if (peers.empty()) return;
  this->next_pull = now + kPullPeriodMs;
  this->pulling = true;
  const std::size_t chosen = RandomBits() % peers.size();
  asio::co_spawn(this->link.OfLoop(), this->Pull(peers[chosen]),
                 asio::detached);
}

const std::shared_ptr<const Configuration>& PublishedState::Config()
    const noexcept {
  return this->config;
}

bool PublishedState::Complete() const noexcept {
  return this->config->version > 0 && this->endpoints_known;
}

bool PublishedState::SourceReachable() const noexcept {
  return this->reachable;
}

void PublishedState::Adopt(const Configuration& next, const std::string& from) {
  if (next.version < this->config->version) return;
  if (next.version == this->config->version) {
    if (next.digest != this->config->digest) {
      LogEvent(EventId::kConfigConflict, {{"from", from},
                                          LogField::Of("version", next.version),
                                          {"kept", this->config->digest},
                                          {"offered", next.digest}});
    }
    return;
  }
  this->config = std::make_shared<const Configuration>(next);
  LogEvent(EventId::kConfigAdopted,
           {{"from", from}, LogField::Of("version", next.version)});
  this->listener.OnConfig(this->config);
}

void PublishedState::NoteGone(const std::vector<std::string>& ids) {
  if (ids.empty()) return;
  std::ranges::for_each(ids, [this](const std::string& id) {
    LogEvent(
        EventId::kEndpointGone,
        {{"endpoint", id}, LogField::Of("revision", this->table.Revision())});
  });
  this->listener.OnEndpoints();
}

Task<Result<std::string>> PublishedState::AnswerState(PeerCall& call) {
  const json ask = json::parse(call.body, nullptr, false);
  const bool fits = ask.is_object() && ask.contains("version") &&
                    ask["version"].is_number_unsigned() &&
                    ask.contains("revision") &&
                    ask["revision"].is_number_unsigned();
  if (!fits) {
    co_return Error::Of(ErrorKind::kBadRequest, "not a request for state");
  }
  json answer = {{"version", this->config->version},
                 {"digest", this->config->digest},
                 {"known", this->endpoints_known}};
  if (this->config->version > ask["version"].get<std::uint64_t>()) {
    answer["entities"] = EncodeEntityList(EncodeEntities(*this->config));
  }
  const EndpointTable::Changes news =
      this->table.ChangesAfter(ask["revision"].get<std::uint64_t>());
  answer["announced"] = news.announced;
  answer["gone"] = news.gone;
  co_return answer.dump();
}

Task<> PublishedState::Pull(std::string peer) {
  const bool doubtful = LoopNow() < this->doubtful_until;
  const json ask = {{"version", this->config->version},
                    {"revision", doubtful ? std::min(this->doubtful_since,
                                                     this->table.Revision())
                                          : this->table.Revision()}};
  const Result<std::string> answer = co_await this->link.Call(
      peer, std::string(kStatePath), ask.dump(), LoopNow() + kPullTimeoutMs);
  this->pulling = false;
  if (answer) this->TakeNews(answer.value(), peer);
}

void PublishedState::TakeNews(const std::string& body,
                              const std::string& from) {
  try {
    const json answer = json::parse(body);
    if (answer.contains("entities")) {
      Configuration next;
      const auto entities =
          DecodeEntityList(answer.at("entities").get<std::string>());
      bool whole = entities.has_value();
      if (whole) {
        whole = std::ranges::all_of(
            entities.value(), [&next](const Entity& entity) {
              return ApplyEntity(next, entity).has_value();
            });
      }
      next.version = answer.at("version").get<std::uint64_t>();
      next.digest = answer.at("digest").get<std::string>();
      if (whole && !next.digest.empty()) {
        EntityTable entity_table;
        entity_table.Apply(entities.value(), {});
        whole = entity_table.Digest() == next.digest;
      }
      if (whole) {
        this->Adopt(next, from);
      } else {
        this->OnUnreadable("", Error::Of(ErrorKind::kConfigInvalid,
                                         "configuration from " + from));
      }
    }
    using Announced = std::vector<std::pair<EndpointRecord, std::uint64_t>>;
    using Gone = std::vector<std::pair<std::string, std::uint64_t>>;
    const auto announced = answer.at("announced").get<Announced>();
    const auto gone = answer.at("gone").get<Gone>();
    if (answer.at("known").get<bool>()) this->endpoints_known = true;
    std::ranges::for_each(announced, [this](const auto& row) {
      this->OnEndpoint(row.first, row.second);
    });
    std::ranges::for_each(gone, [this](const auto& row) {
      this->OnEndpointGone(row.first, row.second);
    });
  } catch (const json::exception& fault) {
    this->OnUnreadable("state from " + from,
                       Error::Of(ErrorKind::kConfigInvalid, fault.what()));
  }
}

}  // namespace limpethaven
