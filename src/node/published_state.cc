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

/// Eras are left out where there are none, so that processes of an earlier
/// version can read the revision.
void to_json(nlohmann::json& out, const SourceRevision& revision) {
  if (revision.era == 0) {
    out = revision.number;
  } else {
    out = nlohmann::json::array({revision.era, revision.number});
  }
}

void from_json(const nlohmann::json& in, SourceRevision& revision) {
  const bool has_era = in.is_array();
  revision.era = has_era ? in.at(0).get<std::uint64_t>() : 0;
  revision.number =
      has_era ? in.at(1).get<std::uint64_t>() : in.get<std::uint64_t>();
}

namespace {

using nlohmann::json;

constexpr std::string_view kStatePath = "/peer/v1/state";
constexpr DurationMs kPullTimeoutMs = 400;
/// Shortest time between two pulls that `Tick` starts.
constexpr DurationMs kPullPeriodMs = 300;

/// A configuration with more entities is read from the source in place of a
/// peer, unless that is not possible.
constexpr std::size_t kMaxSmallConfigEntities = 256;
/// When a peer has had a newer configuration for this long, the source does not
/// bring it in time, and a large one is pulled too.
constexpr DurationMs kMaxBehindMs = 1500;

std::size_t EntityCount(const Configuration& config) {
  return config.teams.size() + config.keys.size() + config.pools.size() +
         config.routes.size() + config.links.size() + config.goals.size();
}

using GoneRows = std::vector<std::pair<std::string, SourceRevision>>;

/// Revision to which the answer of a peer of an earlier version reaches, which
/// does not say it.
SourceRevision HighestRevision(const AnnouncedEndpoints& announced,
                               const GoneRows& gone) {
  SourceRevision highest;
  const auto raise = [&highest](const auto& row) {
    highest = std::max(highest, row.second);
  };
  std::ranges::for_each(announced, raise);
  std::ranges::for_each(gone, raise);
  return highest;
}

}  // namespace

std::string_view NameOf(ConfigForm form) noexcept {
  switch (form) {
    case ConfigForm::kWhole:
      break;
    case ConfigForm::kChangeOrSmall:
      return "change_or_small";
    case ConfigForm::kChangeOrWhole:
      return "change_or_whole";
  }
  return "whole";
}

ConfigForm ConfigFormOf(std::string_view name) noexcept {
  for (const ConfigForm form :
       {ConfigForm::kChangeOrSmall, ConfigForm::kChangeOrWhole}) {
    if (name == NameOf(form)) return form;
  }
  return ConfigForm::kWhole;
}

PublishedState::PublishedState(PeerLink& peer_link, const Gossip& peer_gossip,
                               EndpointTable& endpoint_table,
                               StateListener& state_listener,
                               DurationMs retention_ms, DurationMs staleness_ms)
    : link(peer_link),
      gossip(peer_gossip),
      table(endpoint_table),
      listener(state_listener),
      config(std::make_shared<const Configuration>()),
      missing_retention_ms(retention_ms),
      watch_staleness_ms(staleness_ms) {
  this->link.Handle(std::string(kStatePath),
                    [this](PeerCall& call) { return this->AnswerState(call); });
}

void PublishedState::OnConfiguration(const Configuration& next) {
  this->Adopt(next, "source");
}

std::uint64_t PublishedState::ConfigVersion() const {
  return this->config->version;
}

void PublishedState::OnEndpoint(const EndpointRecord& endpoint,
                                const SourceRevision& revision) {
  this->table.AdvanceTo(revision, LoopNow());
  this->Announce(endpoint, revision, EndpointTable::Origin::kChange);
}

void PublishedState::Announce(const EndpointRecord& endpoint,
                              const SourceRevision& revision,
                              EndpointTable::Origin origin) {
  const EndpointRecord* known = this->table.Find(endpoint.id);
  const bool was_leaving = known != nullptr && known->leaving;
  const bool was_known = known != nullptr;
  if (!this->table.Put(endpoint, revision, LoopNow(), origin)) return;
  if (endpoint.leaving && !was_leaving) {
    LogEvent(EventId::kEndpointLeaving, {{"endpoint", endpoint.id},
                                         {"from", "source"},
                                         LogField::Of("revision", revision)});
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
                                    const SourceRevision& revision) {
  this->table.AdvanceTo(revision, LoopNow());
  this->Withdraw(id, revision);
}

void PublishedState::Withdraw(const std::string& id,
                              const SourceRevision& revision) {
  if (!this->table.Remove(id, revision)) return;
  this->NotifyGone({id});
}

void PublishedState::OnAllEndpoints(
    const std::vector<EndpointRecord>& endpoints,
    const SourceRevision& revision, std::optional<TimeMs> returned_at) {
  const TimeMs now = LoopNow();
  const TimeMs retained_until =
      returned_at ? *returned_at + this->missing_retention_ms : now;
  const std::vector<std::string> gone =
      this->table.Replace(endpoints, revision, retained_until, now);
  this->endpoints_known = true;
  if (!this->first_read) this->first_read = {revision, now};
  this->NotifyGone(gone);
  std::ranges::for_each(
      this->table.Retained(now), [&](const RetainedEndpoint& endpoint) {
        LogEvent(EventId::kEndpointRetained,
                 {{"endpoint", endpoint.id},
                  LogField::Of("retained_ms", endpoint.remaining_ms),
                  LogField::Of("revision", revision)});
      });
  this->listener.OnEndpoints();
}

void PublishedState::OnVms(const std::vector<ListedVm>& vms) {
  this->listener.OnListedVms(vms);
}

void PublishedState::OnSourceReachable(bool now_reachable) {
  if (now_reachable == this->reachable && this->reachability_reported) return;
  this->reachable = now_reachable;
  this->reachability_reported = true;
  if (!now_reachable) this->unreachable_since = LoopNow();
  LogEvent(now_reachable ? EventId::kConfigSourceRegained
                         : EventId::kConfigSourceLost,
           {LogField::Of("version", this->config->version),
            LogField::Of("revision", this->table.Revision())});
}

void PublishedState::OnSourceAnswered(SourcePart part) {
  this->source_answers[static_cast<std::size_t>(part)] = LoopNow();
}

std::optional<DurationMs> PublishedState::SourceSilentMs(TimeMs now) const {
  const auto& [configuration, endpoints] = this->source_answers;
  if (!configuration || !endpoints) return std::nullopt;
  return now - std::min(*configuration, *endpoints);
}

void PublishedState::OnUnreadable(const std::string& what, const Error& why) {
  LogEvent(what.empty() ? EventId::kConfigRejected : EventId::kEndpointRejected,
           {{"what", what}, {"why", why.message}});
}

void PublishedState::OnPeerVersions(const std::string& peer,
                                    std::uint64_t version,
                                    const SourceRevision& endpoints_revision) {
  if (endpoints_revision > this->table.Revision()) {
    if (this->ahead_peer.empty()) this->ahead_since = LoopNow();
    if (endpoints_revision >= this->ahead_revision) this->ahead_peer = peer;
    this->ahead_revision = std::max(this->ahead_revision, endpoints_revision);
  }
  if (version <= this->config->version) return;
  if (!this->config_behind_since) this->config_behind_since = LoopNow();
  if (!this->pulling) this->StartPull(peer);
}

bool PublishedState::MarkLeaving(const std::vector<LeavingEndpoint>& leaving,
                                 const std::string& from) {
  bool news = false;
  std::ranges::for_each(leaving, [&](const LeavingEndpoint& endpoint) {
    const EndpointRecord* known = this->table.Find(endpoint.id);
    const bool was_leaving = known != nullptr && known->leaving;
    if (!this->table.MarkLeaving(endpoint, LoopNow())) return;
    news = true;
    if (was_leaving) return;
    LogEvent(EventId::kEndpointLeaving,
             {{"endpoint", endpoint.id},
              {"from", from},
              LogField::Of("revision", this->table.Revision())});
  });
  if (news) this->listener.OnEndpoints();
  return news;
}

void PublishedState::Tick() {
  const TimeMs now = LoopNow();
  this->NotifyGone(this->table.Expire(now));
  if (this->ahead_revision <= this->table.Revision()) this->ahead_peer.clear();
  const bool watch_stale = !this->ahead_peer.empty() &&
                           now - this->ahead_since >= this->watch_staleness_ms;
  if (watch_stale && !this->pulling && now >= this->next_pull_at) {
    this->next_pull_at = now + kPullPeriodMs;
    this->StartPull(this->ahead_peer);
    this->ahead_peer.clear();
    return;
  }
  // The source may have been unreachable from this process only. Peers that
  // followed it without interruption have applied the removals that this
  // process has missed.
  const bool source_lost = !this->reachable && !this->informed_by_peers;
  const bool needs_peer =
      source_lost || !this->Complete() || this->table.Retaining();
  if (!needs_peer || this->pulling || now < this->next_pull_at) return;
  std::vector<std::string> peers = this->gossip.Members().UsableAddresses();
  std::erase(peers, this->gossip.Members().Self().address);
  if (peers.empty()) return;
  this->next_pull_at = now + kPullPeriodMs;
  const std::size_t chosen = RandomBits() % peers.size();
  this->StartPull(peers[chosen]);
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
  this->history.OnAdopted(*this->config, next);
  this->config = std::make_shared<const Configuration>(next);
  this->config_behind_since.reset();
  LogEvent(EventId::kConfigAdopted,
           {{"from", from}, LogField::Of("version", next.version)});
  this->listener.OnConfig(this->config);
}

void PublishedState::AdvanceTo(const SourceRevision& revision) {
  const SourceRevision before = this->table.Revision();
  this->table.AdvanceTo(revision, LoopNow());
  if (this->table.Revision() != before) this->listener.OnEndpoints();
}

void PublishedState::NotifyGone(const std::vector<std::string>& ids) {
  if (ids.empty()) return;
  std::ranges::for_each(ids, [this](const std::string& id) {
    LogEvent(
        EventId::kEndpointGone,
        {{"endpoint", id}, LogField::Of("revision", this->table.Revision())});
  });
  this->listener.OnEndpoints();
}

void PublishedState::RemoveOthers(const AnnouncedEndpoints& announced,
                                  const SourceRevision& revision) {
  const TimeMs now = LoopNow();
  // The peer may have read a restored source, which lacks endpoints that are
  // alive until they announce themselves again.
  const bool restored = revision.era > this->table.Revision().era;
  this->NotifyGone(this->table.RemoveOthers(
      announced, revision, restored ? now + this->missing_retention_ms : now,
      now));
}

Task<Result<std::string>> PublishedState::AnswerState(PeerCall& call) {
  const json request = json::parse(call.body, nullptr, false);
  std::uint64_t version = 0;
  SourceRevision revision;
  std::string form;
  try {
    version = request.at("version").get<std::uint64_t>();
    revision = request.at("revision").get<SourceRevision>();
    form = request.value("config", std::string());
  } catch (const json::exception&) {
    co_return Error::Of(
        ErrorKind::kBadRequest,
        "malformed state request: expected an unsigned integer in version, a "
        "revision and a text, if any, in config");
  }
  co_return this->StateAfter(version, revision, ConfigFormOf(form)).dump();
}

json PublishedState::StateAfter(std::uint64_t version,
                                const SourceRevision& revision,
                                ConfigForm form) const {
  json answer = {{"version", this->config->version},
                 {"digest", this->config->digest},
                 {"known", this->endpoints_known},
                 {"revision", this->table.Revision()}};
  if (this->config->version > version) {
    std::optional<ConfigChange> change;
    // A digest can be checked for the published entities only, all of them.
    if (form != ConfigForm::kWhole && this->config->digest.empty()) {
      change = this->history.ChangeAfter(version);
    }
    const bool whole = form != ConfigForm::kChangeOrSmall ||
                       EntityCount(*this->config) <= kMaxSmallConfigEntities;
    if (change) {
      answer["change"] = EncodeChange(*change);
      answer["change_from"] = version;
    } else if (whole) {
      answer["entities"] = EncodeEntityList(EncodeEntities(*this->config));
    }
  }
  const EndpointTable::Changes changes = this->table.ChangesAfter(revision);
  answer["announced"] = changes.announced;
  answer["gone"] = changes.gone;
  answer["whole"] = changes.whole;
  return answer;
}

bool PublishedState::HasAfter(std::uint64_t version,
                              const SourceRevision& revision) const {
  if (this->config->version > version) return true;
  const EndpointTable::Changes changes = this->table.ChangesAfter(revision);
  return changes.whole || !changes.announced.empty() || !changes.gone.empty();
}

SourceRevision PublishedState::Revision() const {
  return this->table.Revision();
}

std::optional<ProcessStart> PublishedState::Start(TimeMs now) const {
  if (!this->first_read) return std::nullopt;
  return ProcessStart{this->first_read->first, now - this->first_read->second};
}

void PublishedState::SetInformedByPeers(bool informed) {
  this->informed_by_peers = informed;
}

void PublishedState::StartPull(const std::string& peer) {
  this->pulling = true;
  Spawn(this->link.GetLoop(),
        [this, peer]() -> Task<> { co_await this->Pull(peer); });
}

Task<> PublishedState::Pull(std::string peer) {
  const json request = {{"version", this->config->version},
                        {"revision", this->table.Revision()},
                        {"config", NameOf(this->WantedForm())}};
  const TimeMs sent_at = LoopNow();
  const Result<std::string> answer =
      co_await this->link.Call(peer, std::string(kStatePath), request.dump(),
                               sent_at + kPullTimeoutMs, kPullTimeoutMs);
  this->pulling = false;
  if (answer) {
    static_cast<void>(this->ApplyPeerState(answer.value(), peer));
  } else {
    LogEvent(EventId::kPeerStateLost,
             {{"peer", peer},
              {"why", answer.error().message},
              LogField::Of("waited_ms", LoopNow() - sent_at)});
  }
}

ConfigForm PublishedState::WantedForm() const {
  const bool behind = this->config_behind_since &&
                      LoopNow() - *this->config_behind_since >= kMaxBehindMs;
  return behind || !this->reachable ? ConfigForm::kChangeOrWhole
                                    : ConfigForm::kChangeOrSmall;
}

bool PublishedState::ApplyPeerConfig(const json& answer,
                                     const std::string& from) {
  const bool is_change = answer.contains("change");
  if (!is_change && !answer.contains("entities")) return true;
  const auto version = answer.at("version").get<std::uint64_t>();
  if (version <= this->config->version) return true;
  // The source may have brought another version since the call was sent.
  const auto base = answer.value("change_from", this->config->version);
  if (is_change && base != this->config->version) return true;
  Configuration next;
  Result<ConfigChange> change = ConfigChange{};
  if (is_change) {
    next = *this->config;
    change = DecodeChange(answer.at("change").get<std::string>());
  } else {
    auto entities = DecodeEntityList(answer.at("entities").get<std::string>());
    if (entities) {
      change.value().upserts = std::move(entities.value());
    } else {
      change = entities.error();
    }
  }
  bool valid = change.has_value();
  if (valid) {
    valid = std::ranges::all_of(change.value().upserts,
                                [&next](const Entity& entity) {
                                  return ApplyEntity(next, entity).has_value();
                                });
    std::ranges::for_each(
        change.value().removals,
        [&next](const std::string& key) { RemoveEntity(next, key); });
  }
  next.version = version;
  next.digest = answer.at("digest").get<std::string>();
  if (valid && !next.digest.empty()) {
    EntityTable entity_table;
    entity_table.Apply(change.value().upserts, {});
    valid = !is_change && entity_table.Digest() == next.digest;
  }
  if (valid) {
    this->Adopt(next, from);
  } else {
    this->OnUnreadable(
        "", Error::Of(ErrorKind::kConfigInvalid,
                      "configuration " + std::to_string(version) +
                          " from peer " + from +
                          " cannot be decoded or does not match its digest"));
  }
  return valid;
}

bool PublishedState::ApplyPeerState(const std::string& body,
                                    const std::string& from) {
  try {
    const json answer = json::parse(body);
    const bool valid = this->ApplyPeerConfig(answer, from);
    const auto announced = answer.at("announced").get<AnnouncedEndpoints>();
    const auto gone = answer.at("gone").get<GoneRows>();
    if (answer.at("known").get<bool>()) this->endpoints_known = true;
    std::ranges::for_each(announced, [this](const auto& row) {
      this->Announce(row.first, row.second, EndpointTable::Origin::kPeer);
    });
    std::ranges::for_each(gone, [this](const auto& row) {
      this->Withdraw(row.first, row.second);
    });
    const SourceRevision revision =
        answer.contains("revision")
            ? answer.at("revision").get<SourceRevision>()
            : HighestRevision(announced, gone);
    if (answer.value("whole", false)) this->RemoveOthers(announced, revision);
    this->AdvanceTo(revision);
    return valid;
  } catch (const json::exception& fault) {
    this->OnUnreadable("state from peer " + from,
                       Error::Of(ErrorKind::kConfigInvalid, fault.what()));
    return false;
  }
}

}  // namespace limpethaven
