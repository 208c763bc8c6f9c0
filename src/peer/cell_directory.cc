#include "peer/cell_directory.h"

#include <algorithm>

#include "limpethaven/rendezvous.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

/// Most owners considered for a cell. When those that are called all fail, this
/// process schedules the cell itself.
constexpr std::size_t kMaxOwnersTried = 2;
/// A skipped owner is not called again for this time.
constexpr DurationMs kOwnerHoldDownMs = 1000;

/// The owners considered for a cell, in rendezvous order.
std::vector<std::string> OwnerOrder(const CellSpec& cell,
                                    const std::vector<std::string>& eligible) {
  return RendezvousTop("cell/" + cell.name, eligible, kMaxOwnersTried);
}

}  // namespace

CellDirectory::CellDirectory(const Gossip& peer_gossip,
                             std::string local_data_centre)
    : gossip(peer_gossip), data_centre(std::move(local_data_centre)) {}

void CellDirectory::Configure(std::vector<CellSpec> next) {
  this->cells = std::move(next);
}

const std::vector<CellSpec>& CellDirectory::Cells() const noexcept {
  return this->cells;
}

void CellDirectory::HoldDown(const std::string& owner, TimeMs now) {
  this->hold_downs[owner] = now + kOwnerHoldDownMs;
}

std::vector<std::string> CellDirectory::OwnersOf(const CellSpec& cell) const {
  std::vector<MemberUpdate> candidates =
      this->gossip.Members().ServingMembers();
  const TimeMs now = LoopNow();
  std::erase_if(candidates, [&](const MemberUpdate& member) {
    const auto row = this->hold_downs.find(member.address);
    return row != this->hold_downs.end() && now < row->second;
  });
  return OwnerOrder(cell, EligibleOwners(cell, std::move(candidates)));
}

bool CellDirectory::IsFirstOwner(const CellSpec& cell) const {
  const std::string& self = this->gossip.Members().Self().address;
  const auto leads = [&self](const std::vector<std::string>& owners) {
    return !owners.empty() && owners.front() == self;
  };
  return leads(this->OwnersOf(cell)) && this->PlaceOf(cell).rank == 0;
}

OwnerPlace CellDirectory::PlaceOf(const CellSpec& cell) const {
  const std::vector<std::string> eligible =
      EligibleOwners(cell, this->gossip.Members().ServingMembers());
  const std::vector<std::string> order = OwnerOrder(cell, eligible);
  OwnerPlace place;
  place.rank = static_cast<std::size_t>(
      std::ranges::find(order, this->gossip.Members().Self().address) -
      order.begin());
  if (order.empty()) place.rank = kMaxOwnersTried;
  place.processes = static_cast<std::int64_t>(eligible.size());
  if (!order.empty()) place.first = order.front();
  return place;
}

std::vector<std::string> CellDirectory::EligibleOwners(
    const CellSpec& cell, std::vector<MemberUpdate> candidates) {
  const bool any_in_data_centre =
      std::ranges::any_of(candidates, [&cell](const MemberUpdate& member) {
        return member.data_centre == cell.data_centre;
      });
  if (any_in_data_centre) {
    std::erase_if(candidates, [&cell](const MemberUpdate& member) {
      return member.data_centre != cell.data_centre;
    });
  }
  std::int64_t max_millicores = 0;
  std::ranges::for_each(
      candidates, [&max_millicores](const MemberUpdate& member) {
        max_millicores = std::max(max_millicores, member.cpu_millicores);
      });
  // A VM with less than half of the largest processor share would delay the
  // placements of all others.
  std::erase_if(candidates, [max_millicores](const MemberUpdate& member) {
    return 2 * member.cpu_millicores < max_millicores;
  });
  std::vector<std::string> addresses;
  std::ranges::transform(candidates, std::back_inserter(addresses),
                         &MemberUpdate::address);
  return addresses;
}

const CellSpec* CellDirectory::Find(std::string_view name) const {
  const auto found = std::ranges::find(this->cells, name, &CellSpec::name);
  return found == this->cells.end() ? nullptr : &*found;
}

std::string CellDirectory::HomeCell(std::string_view pool) const {
  std::vector<std::string> all;
  std::vector<std::string> local;
  std::ranges::for_each(this->cells, [&](const CellSpec& cell) {
    if (cell.model != pool) return;
    all.push_back(cell.name);
    if (cell.data_centre == this->data_centre) local.push_back(cell.name);
  });
  const std::vector<std::string>& candidates = local.empty() ? all : local;
  if (candidates.empty()) return {};
  const std::string& self = this->gossip.Members().Self().address;
  return RendezvousTop("home/" + self, candidates, 1).front();
}

}  // namespace limpethaven
