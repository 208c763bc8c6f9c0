#include "limpethaven/reader_role.h"

#include <algorithm>

#include "limpethaven/rendezvous.h"

namespace limpethaven {

std::string_view NameOf(ReaderRoleReason reason) noexcept {
  switch (reason) {
    case ReaderRoleReason::kOff:
      return "off";
    case ReaderRoleReason::kFewMembers:
      return "few_members";
    case ReaderRoleReason::kNoReader:
      return "no_reader";
    case ReaderRoleReason::kChosen:
      return "chosen";
    case ReaderRoleReason::kNotChosen:
      return "not_chosen";
  }
  return "unknown";
}

ReaderRole ChooseReaders(std::string_view self, std::string_view data_centre,
                         std::span<const MemberUpdate> serving,
                         const ReaderRoleSettings& settings) {
  if (settings.readers <= 0) return {ReaderRoleReason::kOff, {}};
  if (std::ssize(serving) < settings.min_members) {
    return {ReaderRoleReason::kFewMembers, {}};
  }
  const auto largest =
      std::ranges::max_element(serving, {}, &MemberUpdate::cpu_millicores);
  std::vector<std::string> candidates;
  std::ranges::for_each(serving, [&](const MemberUpdate& member) {
    const bool large_enough =
        2 * member.cpu_millicores >= largest->cpu_millicores;
    if (member.data_centre == data_centre && large_enough) {
      candidates.push_back(member.address);
    }
  });
  const std::string key = "source-readers/" + std::string(data_centre);
  std::vector<std::string> readers = RendezvousTop(
      key, candidates, static_cast<std::size_t>(settings.readers));
  if (readers.empty()) return {ReaderRoleReason::kNoReader, {}};
  if (std::ranges::find(readers, self) != readers.end()) {
    return {ReaderRoleReason::kChosen, {}};
  }
  return {ReaderRoleReason::kNotChosen, std::move(readers)};
}

}  // namespace limpethaven
