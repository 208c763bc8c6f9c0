#include "limpethaven/endpoint_table.h"

#include <algorithm>
#include <ostream>
#include <set>

namespace limpethaven {
namespace {

/// Gone rows kept, so that late news of them is known to be old.
constexpr std::size_t kMaxGoneRows = 4096;

}  // namespace

std::ostream& operator<<(std::ostream& out, const EndpointRecord& endpoint) {
  return out << endpoint.id << '@' << endpoint.address << ' '
             << NameOf(endpoint.role) << " of " << endpoint.pool
             << (endpoint.leaving ? " leaving" : "");
}

bool EndpointTable::Put(const EndpointRecord& endpoint,
                        std::uint64_t revision) {
  this->highest = std::max(this->highest, revision);
  Row& row = this->rows[endpoint.id];
  if (revision < row.revision) return false;
  const bool same = row.revision != 0 && !row.gone && row.endpoint == endpoint;
  row = Row{endpoint, std::max<std::uint64_t>(1, revision), false};
  return !same;
}

bool EndpointTable::Remove(std::string_view id, std::uint64_t revision) {
  this->highest = std::max(this->highest, revision);
  const auto row = this->rows.find(id);
  if (row == this->rows.end() || row->second.gone ||
      revision < row->second.revision) {
    return false;
  }
  row->second.gone = true;
  row->second.revision = revision;
  const auto gone = static_cast<std::size_t>(std::ranges::count_if(
      this->rows, [](const auto& entry) { return entry.second.gone; }));
  if (gone > kMaxGoneRows) {
    const auto oldest =
        std::ranges::min_element(this->rows, {}, [](const auto& entry) {
          return std::pair(!entry.second.gone, entry.second.revision);
        });
    this->rows.erase(oldest);
  }
  return true;
}

std::vector<std::string> EndpointTable::Replace(
    const std::vector<EndpointRecord>& endpoints, std::uint64_t revision,
    TimeMs keep_missing_until, TimeMs now) {
  std::set<std::string_view> named;
  std::ranges::for_each(endpoints, [&](const EndpointRecord& endpoint) {
    named.insert(endpoint.id);
    this->Put(endpoint, revision);
  });
  std::ranges::for_each(this->rows, [&](auto& entry) {
    Row& row = entry.second;
    const bool missing =
        !row.gone && !named.contains(entry.first) && row.revision <= revision;
    if (missing && row.missing_until == 0) {
      row.missing_until = std::max(keep_missing_until, now);
    }
  });
  return this->Expire(now);
}

std::vector<std::string> EndpointTable::Expire(TimeMs now) {
  std::vector<std::string> over;
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    if (!row.gone && row.missing_until != 0 && now >= row.missing_until) {
      over.push_back(entry.first);
    }
  });
  std::ranges::for_each(over, [this](const std::string& id) {
    this->Remove(id, this->rows.find(id)->second.revision);
  });
  return over;
}

EndpointTable::Changes EndpointTable::ChangesAfter(
    std::uint64_t revision) const {
  Changes news;
  std::ranges::for_each(this->rows, [&](const auto& entry) {
    const Row& row = entry.second;
    if (row.revision <= revision) return;
    if (row.gone) {
      news.gone.emplace_back(entry.first, row.revision);
    } else {
      news.announced.emplace_back(row.endpoint, row.revision);
    }
  });
  return news;
}

const EndpointRecord* EndpointTable::Find(std::string_view id) const {
  const auto row = this->rows.find(id);
  const bool known = row != this->rows.end() && !row->second.gone;
  return known ? &row->second.endpoint : nullptr;
}

std::vector<const EndpointRecord*> EndpointTable::Usable(
    std::string_view pool) const {
  std::vector<const EndpointRecord*> usable;
  std::ranges::for_each(this->rows, [&](const auto& row) {
    const EndpointRecord& endpoint = row.second.endpoint;
    if (!row.second.gone && !endpoint.leaving && endpoint.pool == pool) {
      usable.push_back(&endpoint);
    }
  });
  return usable;
}

std::vector<EndpointRecord> EndpointTable::All() const {
  std::vector<EndpointRecord> all;
  std::ranges::for_each(this->rows, [&all](const auto& row) {
    if (!row.second.gone) all.push_back(row.second.endpoint);
  });
  return all;
}

std::uint64_t EndpointTable::Revision() const noexcept { return this->highest; }

}  // namespace limpethaven
