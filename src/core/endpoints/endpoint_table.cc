#include "limpethaven/endpoint_table.h"

#include <algorithm>
#include <ostream>
#include <set>

namespace limpethaven {
namespace {

/// Most tombstones that are retained. A tombstone is there to reject a late
/// update of a removed endpoint.
constexpr std::size_t kMaxTombstoneCount = 4096;

}  // namespace

std::ostream& operator<<(std::ostream& out, const EndpointRecord& endpoint) {
  return out << endpoint.id << '@' << endpoint.address << ' '
             << NameOf(endpoint.role) << " of " << endpoint.pool
             << (endpoint.leaving ? " leaving" : "");
}

bool EndpointTable::Put(const EndpointRecord& endpoint,
                        const SourceRevision& revision, TimeMs now,
                        Origin origin) {
  this->NoteEra(revision, now);
  if (origin == Origin::kPeer && this->AbsentAt(endpoint.id, revision)) {
    return false;
  }
  Row& row = this->rows[endpoint.id];
  if (revision < row.revision) return false;
  if (origin != Origin::kChange &&
      this->HoldsAgainst(row, endpoint, revision, now)) {
    return false;
  }
  const bool restored = revision.era > row.revision.era;
  if (restored && row.endpoint.leaving && row.endpoint.born == endpoint.born) {
    static_cast<void>(
        this->said_leaving.Add({endpoint.id, endpoint.born}, now));
  }
  EndpointRecord next = endpoint;
  next.leaving =
      next.leaving || this->said_leaving.Contains(endpoint.id, endpoint.born);
  const bool unchanged = row.known && !row.removed && row.endpoint == next;
  row = Row{std::move(next), revision};
  row.known = true;
  return !unchanged;
}

bool EndpointTable::AbsentAt(std::string_view id,
                             const SourceRevision& revision) const {
  const auto row = this->rows.find(id);
  if (row == this->rows.end()) return revision <= this->applied_revision;
  const bool absent = row->second.removed || row->second.remove_at != 0;
  return absent &&
         revision <= std::max(this->applied_revision, row->second.revision);
}

bool EndpointTable::HoldsAgainst(const Row& row, const EndpointRecord& listed,
                                 const SourceRevision& revision,
                                 TimeMs now) const {
  if (!row.known || revision.era <= row.revision.era) return false;
  if (now >= this->settled_at) return false;
  return row.removed ? listed.born <= row.endpoint.born
                     : listed.born < row.endpoint.born;
}

void EndpointTable::NoteEra(const SourceRevision& revision,
                            TimeMs now) noexcept {
  if (revision.era <= this->era) return;
  this->era = revision.era;
  this->settled_at = now + this->restored_grace_ms;
}

bool EndpointTable::MarkLeaving(const LeavingEndpoint& endpoint, TimeMs now) {
  if (!this->said_leaving.Add(endpoint, now)) return false;
  const auto row = this->rows.find(endpoint.id);
  if (row != this->rows.end() && row->second.endpoint.born <= endpoint.born) {
    row->second.endpoint.leaving = true;
  }
  return true;
}

LeavingEndpoints& EndpointTable::SaidLeaving() noexcept {
  return this->said_leaving;
}

bool EndpointTable::Remove(std::string_view id,
                           const SourceRevision& revision) {
  Row& row = this->rows.try_emplace(std::string(id)).first->second;
  if (revision < row.revision) return false;
  // A tombstone of an endpoint that is unknown or removed here informs peers
  // that still have it.
  const bool present = row.known && !row.removed;
  row.removed = true;
  row.revision = revision;
  const auto tombstone_count = static_cast<std::size_t>(std::ranges::count_if(
      this->rows, [](const auto& entry) { return entry.second.removed; }));
  if (tombstone_count > kMaxTombstoneCount) {
    const auto oldest =
        std::ranges::min_element(this->rows, {}, [](const auto& entry) {
          return std::pair(!entry.second.removed, entry.second.revision);
        });
    this->removals_known_after =
        std::max(this->removals_known_after, oldest->second.revision);
    this->rows.erase(oldest);
  }
  return present;
}

std::vector<std::string> EndpointTable::Replace(
    const std::vector<EndpointRecord>& endpoints,
    const SourceRevision& revision, TimeMs retain_missing_until, TimeMs now) {
  const SourceRevision revision_before = this->Revision();
  this->NoteEra(revision, now);
  std::set<std::string_view> listed;
  std::ranges::for_each(endpoints, [&](const EndpointRecord& endpoint) {
    const auto row = this->rows.find(endpoint.id);
    const bool outdated =
        row != this->rows.end() &&
        this->HoldsAgainst(row->second, endpoint, revision, now);
    if (outdated) return;
    listed.insert(endpoint.id);
    this->Put(endpoint, revision, now, Origin::kList);
  });
  this->RetainOthers(listed, revision, std::max(retain_missing_until, now));
  std::vector<std::string> expired = this->Expire(now);
  this->revision_before_retention = revision_before;
  this->AdvanceTo(revision, now);
  return expired;
}

std::vector<std::string> EndpointTable::RemoveOthers(
    const AnnouncedEndpoints& announced, const SourceRevision& revision,
    TimeMs retain_missing_until, TimeMs now) {
  const SourceRevision revision_before = this->Revision();
  std::set<std::string_view> listed;
  std::ranges::for_each(announced,
                        [&](const auto& row) { listed.insert(row.first.id); });
  this->RetainOthers(listed, revision, std::max(retain_missing_until, now));
  std::vector<std::string> expired = this->Expire(now);
  this->revision_before_retention = revision_before;
  return expired;
}

void EndpointTable::RetainOthers(const std::set<std::string_view>& listed,
                                 const SourceRevision& revision, TimeMs until) {
  std::ranges::for_each(this->rows, [&](auto& entry) {
    Row& row = entry.second;
    const bool missing = !row.removed && !listed.contains(entry.first) &&
                         row.revision <= revision;
    if (!missing) return;
    if (row.remove_at == 0) row.remove_at = until;
    row.missing_as_of = std::max(row.missing_as_of, revision);
  });
  // Endpoints may have come and gone since the last update.
  this->removals_known_after = std::max(this->removals_known_after, revision);
}

std::vector<std::string> EndpointTable::Expire(TimeMs now) {
  std::vector<std::string> expired;
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    if (!row.removed && row.remove_at != 0 && now >= row.remove_at) {
      expired.push_back(entry.first);
    }
  });
  std::ranges::for_each(expired, [this](const std::string& id) {
    this->Remove(id, this->rows.find(id)->second.missing_as_of);
  });
  return expired;
}

std::vector<RetainedEndpoint> EndpointTable::Retained(TimeMs now) const {
  std::vector<RetainedEndpoint> retained;
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    if (row.removed || row.remove_at == 0) return;
    retained.push_back(RetainedEndpoint{entry.first, row.remove_at - now});
  });
  return retained;
}

EndpointTable::Changes EndpointTable::ChangesAfter(
    const SourceRevision& revision) const {
  Changes changes;
  changes.whole =
      revision < std::min(this->removals_known_after, this->Revision());
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    if (row.revision <= revision && !changes.whole) return;
    if (row.removed) {
      changes.gone.emplace_back(entry.first, row.revision);
    } else {
      changes.announced.emplace_back(row.endpoint, row.revision);
    }
  });
  return changes;
}

const EndpointRecord* EndpointTable::Find(std::string_view id) const {
  const auto row = this->rows.find(id);
  const bool present = row != this->rows.end() && !row->second.removed;
  return present ? &row->second.endpoint : nullptr;
}

std::vector<const EndpointRecord*> EndpointTable::Usable(
    std::string_view pool) const {
  std::vector<const EndpointRecord*> usable;
  std::ranges::for_each(this->rows, [&](const auto& row) {
    const EndpointRecord& endpoint = row.second.endpoint;
    if (!row.second.removed && !endpoint.leaving && endpoint.pool == pool) {
      usable.push_back(&endpoint);
    }
  });
  return usable;
}

std::vector<EndpointRecord> EndpointTable::All() const {
  std::vector<EndpointRecord> all;
  std::ranges::for_each(this->rows, [&all](const auto& row) {
    if (!row.second.removed) all.push_back(row.second.endpoint);
  });
  return all;
}

void EndpointTable::AdvanceTo(const SourceRevision& revision,
                              TimeMs now) noexcept {
  this->NoteEra(revision, now);
  this->applied_revision = std::max(this->applied_revision, revision);
}

bool EndpointTable::Retaining() const {
  return std::ranges::any_of(this->rows, [](const auto& entry) {
    return !entry.second.removed && entry.second.remove_at != 0;
  });
}

SourceRevision EndpointTable::Revision() const {
  return this->Retaining() ? this->revision_before_retention
                           : this->applied_revision;
}

}  // namespace limpethaven
