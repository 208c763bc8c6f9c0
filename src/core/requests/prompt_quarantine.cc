#include "limpethaven/prompt_quarantine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <set>
#include <tuple>

#include "limpethaven/rendezvous.h"
#include "limpethaven/request_fingerprint.h"

namespace limpethaven {
namespace {

/// Parts of one prompt that are considered; prompts may have many more.
constexpr std::size_t kMaxPartsPerPrompt = 16;
/// Longer part ids are replaced by their hash, to bound messages.
constexpr std::size_t kMaxPartIdBytes = 64;
/// Most crashes that are recorded against one part.
constexpr std::size_t kMaxCrashesPerPart = 24;

std::string HexOf(std::uint64_t value) {
  std::array<char, 16> digits{};
  constexpr int kBase = 16;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, kBase)
          .ptr;
  return {digits.data(), end};
}

/// Time of an event that another process reports by its age.
TimeMs TimeOf(DurationMs age_ms, TimeMs now) {
  return now - std::max<DurationMs>(0, age_ms);
}

/// Time of the last crash; 0 without one.
TimeMs LastCrashAt(const std::map<std::uint32_t, TimeMs>& crashes) {
  return std::accumulate(crashes.begin(), crashes.end(), TimeMs{0},
                         [](TimeMs last, const auto& crash) {
                           return std::max(last, crash.second);
                         });
}

}  // namespace

std::vector<std::string> ShareableParts(const CallerRequest& request) {
  const auto end_of = [](const auto& all, std::size_t count) {
    return all.begin() +
           static_cast<std::ptrdiff_t>(std::min(count, kMaxPartsPerPrompt));
  };
  std::vector<std::string> parts;
  if (request.prefix.empty()) {
    // Block hashes are chained: each stands for the whole prompt up to it.
    const auto& blocks = request.prefix_blocks;
    std::transform(blocks.begin(), end_of(blocks, blocks.size()),
                   std::back_inserter(parts), HexOf);
    return parts;
  }
  // The last part belongs to the request itself.
  std::transform(request.prefix.begin(),
                 end_of(request.prefix, request.prefix.size() - 1),
                 std::back_inserter(parts), [](const PromptPart& part) {
                   return part.id.size() <= kMaxPartIdBytes
                              ? part.id
                              : "#" + HexOf(StableHash(part.id));
                 });
  return parts;
}

PromptQuarantine::PromptQuarantine(QuarantineSettings initial)
    : settings(initial) {}

void PromptQuarantine::OnCrash(const std::vector<std::string>& parts,
                               std::string_view engine, TimeMs now) {
  this->EvictExpired(now);
  const auto hash = static_cast<std::uint32_t>(StableHash(engine));
  std::int64_t depth = 0;
  std::ranges::for_each(parts, [&](const std::string& part) {
    PartRow& row = this->RowOf(part, depth++);
    if (this->AddCrash(row, hash, now)) row.transmissions = 0;
  });
  this->Explain();
}

void PromptQuarantine::OnServed(const std::vector<std::string>& parts,
                                TimeMs now) {
  if (this->rows.empty()) return;
  bool changed = false;
  std::ranges::for_each(parts, [&](const std::string& part) {
    const auto found = this->rows.find(part);
    if (found == this->rows.end()) return;
    const bool had_crashes = !found->second.crashes.empty();
    AddServed(found->second, now);
    if (!had_crashes) return;
    found->second.transmissions = 0;
    changed = true;
  });
  if (changed) this->Explain();
}

bool PromptQuarantine::HasEvidence() const noexcept {
  return !this->rows.empty();
}

std::optional<QuarantinedPart> PromptQuarantine::Find(
    const std::vector<std::string>& parts, TimeMs now) const {
  if (this->verdicts.empty()) return std::nullopt;
  for (const std::string& part : parts) {
    const auto found = this->verdicts.find(part);
    if (found == this->verdicts.end() || now >= found->second.until) continue;
    return QuarantinedPart{part, found->second.crashes,
                           found->second.until - now};
  }
  return std::nullopt;
}

std::vector<QuarantinedPart> PromptQuarantine::Quarantined(TimeMs now) const {
  std::vector<QuarantinedPart> parts;
  std::ranges::for_each(this->verdicts, [&](const auto& entry) {
    if (now >= entry.second.until) return;
    parts.push_back(QuarantinedPart{entry.first, entry.second.crashes,
                                    entry.second.until - now});
  });
  return parts;
}

std::vector<PartEvidence> PromptQuarantine::Outgoing(std::size_t count,
                                                     TimeMs now) {
  this->EvictExpired(now);
  std::vector<std::pair<const std::string, PartRow>*> order;
  std::ranges::transform(this->rows, std::back_inserter(order),
                         [](auto& entry) { return &entry; });
  const auto last = order.begin() +
                    static_cast<std::ptrdiff_t>(std::min(count, order.size()));
  std::ranges::partial_sort(order, last, {}, [](const auto* entry) {
    return entry->second.transmissions;
  });
  std::vector<PartEvidence> evidence;
  std::for_each(order.begin(), last, [&](auto* entry) {
    PartRow& row = entry->second;
    ++row.transmissions;
    PartEvidence sent{entry->first, row.depth, {}, std::nullopt};
    std::ranges::transform(
        row.crashes, std::back_inserter(sent.crashes),
        [now](const auto& crash) {
          return EngineCrash{crash.first, now - crash.second};
        });
    if (row.served_at) sent.served_age_ms = now - *row.served_at;
    evidence.push_back(std::move(sent));
  });
  return evidence;
}

void PromptQuarantine::Merge(const std::vector<PartEvidence>& evidence,
                             TimeMs now) {
  if (evidence.empty()) return;
  this->EvictExpired(now);
  std::ranges::for_each(evidence, [&](const PartEvidence& received) {
    PartRow& row = this->RowOf(received.part, received.depth);
    bool changed = false;
    if (received.served_age_ms) {
      changed = AddServed(row, TimeOf(*received.served_age_ms, now));
    }
    std::ranges::for_each(received.crashes, [&](const EngineCrash& crash) {
      const TimeMs crashed_at = TimeOf(crash.age_ms, now);
      changed = this->AddCrash(row, crash.engine, crashed_at) || changed;
    });
    if (changed) row.transmissions = 0;
  });
  this->EvictExpired(now);
  this->Explain();
}

PromptQuarantine::PartRow& PromptQuarantine::RowOf(const std::string& part,
                                                   std::int64_t depth) {
  const auto found = this->rows.find(part);
  if (found != this->rows.end()) return found->second;
  if (this->rows.size() >= this->settings.max_parts) {
    // Parts with little evidence make room first, and the oldest of these, so
    // that many unrelated failures cannot displace a quarantine.
    const auto least =
        std::ranges::min_element(this->rows, {}, [](const auto& entry) {
          return std::pair(entry.second.crashes.size(),
                           LastCrashAt(entry.second.crashes));
        });
    this->rows.erase(least);
  }
  PartRow& row = this->rows[part];
  row.depth = depth;
  return row;
}

bool PromptQuarantine::AddCrash(PartRow& row, std::uint32_t engine,
                                TimeMs crashed_at) const {
  if (row.served_at && crashed_at <= *row.served_at) return false;
  if (row.crashes.size() >= kMaxCrashesPerPart) return false;
  return row.crashes.try_emplace(engine, crashed_at).second;
}

bool PromptQuarantine::AddServed(PartRow& row, TimeMs served_at) {
  if (row.served_at && served_at <= *row.served_at) return false;
  row.served_at = served_at;
  return std::erase_if(row.crashes, [served_at](const auto& crash) {
           return crash.second <= served_at;
         }) > 0;
}

void PromptQuarantine::EvictExpired(TimeMs now) {
  const TimeMs oldest_crash = now - this->settings.crash_retention_ms;
  const TimeMs oldest_answer = now - this->settings.served_retention_ms;
  std::ranges::for_each(this->rows, [oldest_crash](auto& entry) {
    std::erase_if(entry.second.crashes, [oldest_crash](const auto& crash) {
      return crash.second < oldest_crash;
    });
  });
  std::erase_if(this->rows, [oldest_answer](const auto& entry) {
    const PartRow& row = entry.second;
    const bool recently_served =
        row.served_at && *row.served_at >= oldest_answer;
    return row.crashes.empty() && !recently_served;
  });
}

void PromptQuarantine::Explain() {
  std::vector<const std::pair<const std::string, PartRow>*> order;
  std::ranges::transform(this->rows, std::back_inserter(order),
                         [](const auto& entry) { return &entry; });
  std::ranges::sort(order, std::ranges::greater{}, [](const auto* entry) {
    return std::tuple(entry->second.crashes.size(), entry->second.depth,
                      std::string_view(entry->first));
  });
  this->verdicts.clear();
  std::set<std::uint32_t> explained;
  std::ranges::for_each(order, [&](const auto* entry) {
    std::size_t count = 0;
    TimeMs last_at = 0;
    std::ranges::for_each(entry->second.crashes, [&](const auto& crash) {
      if (!explained.insert(crash.first).second) return;
      ++count;
      last_at = std::max(last_at, crash.second);
    });
    const bool request = entry->first.starts_with(kFingerprintPrefix);
    const std::size_t min_crashes = request ? this->settings.min_request_crashes
                                            : this->settings.min_crashes;
    if (count < min_crashes) return;
    const std::size_t doublings = count - min_crashes;
    DurationMs length_ms =
        request ? this->settings.request_ms : this->settings.initial_ms;
    for (std::size_t step = 0;
         step < doublings && length_ms < this->settings.max_ms; ++step) {
      length_ms *= 2;
    }
    this->verdicts[entry->first] =
        Verdict{count, last_at + std::min(length_ms, this->settings.max_ms)};
  });
}

}  // namespace limpethaven
