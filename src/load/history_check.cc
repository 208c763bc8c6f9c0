#include "load/history_check.h"

#include <algorithm>
#include <optional>
#include <ostream>

#include "limpethaven/crypto.h"
#include "standin/engine_standin.h"

namespace limpethaven {
namespace {

/// What happened to one request.
struct RequestRow {
  std::optional<HistoryEvent> sent;
  std::vector<HistoryEvent> whole;
  std::vector<HistoryEvent> refused;
  std::int64_t lost = 0;
  std::int64_t cancelled = 0;
  std::int64_t ran = 0;
  bool once = false;
};

class Checker {
 public:
  HistoryVerdict Run(const std::vector<HistoryEvent>& events) {
    std::ranges::for_each(
        events, [this](const HistoryEvent& event) { this->Take(event); });
    std::ranges::for_each(this->rows, [this](const auto& row) {
      this->CheckEnds(row.first, row.second);
      this->CheckWhole(row.first, row.second);
      this->CheckRuns(row.first, row.second);
    });
    std::ranges::for_each(
        events, [this](const HistoryEvent& event) { this->CheckKey(event); });
    return std::move(this->verdict);
  }

 private:
  void Take(const HistoryEvent& event) {
    if (event.kind == HistoryKind::kWithdrawn) {
      this->withdrawn_at.emplace(event.team, event.at_ms);
      return;
    }
    if (event.request.empty()) return;
    RequestRow& row = this->rows[event.request];
    row.once = row.once || event.once;
    switch (event.kind) {
      case HistoryKind::kSent:
        ++this->verdict.sent;
        row.sent = event;
        break;
      case HistoryKind::kWhole:
        ++this->verdict.whole;
        row.whole.push_back(event);
        break;
      case HistoryKind::kRefused:
        ++this->verdict.refused[event.error];
        row.refused.push_back(event);
        break;
      case HistoryKind::kResumed:
        ++this->verdict.resumed;
        break;
      case HistoryKind::kLost:
        ++row.lost;
        break;
      case HistoryKind::kCancelled:
        ++row.cancelled;
        break;
      case HistoryKind::kEndpointRan:
        row.ran += event.count;
        break;
      case HistoryKind::kFirstToken:
      case HistoryKind::kWithdrawn:
      case HistoryKind::kFault:
        break;
    }
  }

  void Break(std::string promise, const std::string& request,
             std::string what) {
    this->verdict.violations.push_back(
        Violation{std::move(promise), request, std::move(what)});
  }

  void CheckEnds(const std::string& request, const RequestRow& row) {
    const bool ended =
        !row.whole.empty() || !row.refused.empty() || row.cancelled > 0;
    if (row.sent && (row.lost > 0 || !ended)) {
      ++this->verdict.lost;
      this->Break("no work is lost", request,
                  "it had neither an answer nor a refusal");
    }
    if (row.whole.size() > 1) {
      ++this->verdict.doubled;
      this->Break("each request is answered at most once", request,
                  std::to_string(row.whole.size()) + " whole answers");
    }
  }

  void CheckWhole(const std::string& request, const RequestRow& row) {
    if (row.once) return;
    std::ranges::for_each(row.whole, [&](const HistoryEvent& event) {
      const std::string expected =
          Sha256Hex(AnswerText(request, event.max_tokens));
      if (event.digest == expected) return;
      this->Break("the whole answer to the caller's own request", request,
                  "the text differs from what the engines generate for it");
    });
  }

  void CheckRuns(const std::string& request, const RequestRow& row) {
    if (row.once && row.ran > 1) {
      ++this->verdict.doubled;
      this->Break("a request that may not be repeated runs at most once",
                  request, "it ran " + std::to_string(row.ran) + " times");
    }
    // The same ticket sent twice may run once and be refused once; a refusal is
    // false only when no sending of the request was answered and it ran all the
    // same.
    const bool answered = !row.whole.empty();
    const bool all_not_run = std::ranges::all_of(
        row.refused,
        [](const HistoryEvent& event) { return event.ran == "no"; });
    if (answered || row.refused.empty() || !all_not_run || row.ran == 0) return;
    this->Break(
        "a refusal that says not run is true", request,
        "refused as not run, ran " + std::to_string(row.ran) + " times");
  }

  void CheckKey(const HistoryEvent& event) {
    if (event.kind != HistoryKind::kWhole &&
        event.kind != HistoryKind::kFirstToken) {
      return;
    }
    const auto withdrawn = this->withdrawn_at.find(event.team);
    if (withdrawn == this->withdrawn_at.end()) return;
    if (event.at_ms <= withdrawn->second + kWithdrawalLimitMs) return;
    this->Break("a withdrawn key stops working", event.request,
                "served " + std::to_string(event.at_ms - withdrawn->second) +
                    " ms after the withdrawal");
  }

  HistoryVerdict verdict;
  std::map<std::string, RequestRow> rows;
  std::map<std::string, TimeMs> withdrawn_at;
};

}  // namespace

HistoryVerdict CheckHistory(const std::vector<HistoryEvent>& events) {
  return Checker().Run(events);
}

std::ostream& operator<<(std::ostream& out, const HistoryVerdict& verdict) {
  const auto line = [&out](std::string name, std::int64_t value) {
    name.resize(36, ' ');
    out << "  " << name << value << '\n';
  };
  line("sent", verdict.sent);
  line("whole answers", verdict.whole);
  line("resumed", verdict.resumed);
  std::ranges::for_each(verdict.refused, [&line](const auto& row) {
    line("refused: " + row.first, row.second);
  });
  line("lost", verdict.lost);
  line("doubled", verdict.doubled);
  line("violations", static_cast<std::int64_t>(verdict.violations.size()));
  std::ranges::for_each(verdict.violations, [&out](const Violation& violation) {
    out << "  violated: " << violation.promise << " [" << violation.request
        << "]: " << violation.what << '\n';
  });
  return out;
}

}  // namespace limpethaven
