#include "load/history_check.h"

#include <algorithm>
#include <optional>
#include <ostream>

#include "limpethaven/crypto.h"
#include "standin/engine_standin.h"

namespace limpethaven {
namespace {

/// All recorded events of one request.
struct RequestOutcome {
  std::optional<HistoryEvent> sent;
  std::vector<HistoryEvent> whole;
  std::vector<HistoryEvent> refused;
  std::int64_t lost = 0;
  std::int64_t cancelled = 0;
  std::int64_t ran = 0;
  bool once = false;
};

class HistoryChecker {
 public:
  HistoryVerdict Run(const std::vector<HistoryEvent>& events) {
    std::ranges::for_each(
        events, [this](const HistoryEvent& event) { this->Collect(event); });
    std::ranges::for_each(this->requests, [this](const auto& row) {
      this->CheckEnding(row.first, row.second);
      this->CheckAnswerText(row.first, row.second);
      this->CheckRunCount(row.first, row.second);
    });
    std::ranges::for_each(events, [this](const HistoryEvent& event) {
      this->CheckWithdrawnKey(event);
    });
    return std::move(this->verdict);
  }

 private:
  void Collect(const HistoryEvent& event) {
    if (event.kind == HistoryKind::kWithdrawn) {
      this->withdrawn_at.emplace(event.team, event.at_ms);
      return;
    }
    if (event.request.empty()) return;
    RequestOutcome& outcome = this->requests[event.request];
    outcome.once = outcome.once || event.once;
    switch (event.kind) {
      case HistoryKind::kSent:
        ++this->verdict.sent;
        outcome.sent = event;
        break;
      case HistoryKind::kWhole:
        ++this->verdict.whole;
        outcome.whole.push_back(event);
        break;
      case HistoryKind::kRefused:
        ++this->verdict.refused[event.error];
        outcome.refused.push_back(event);
        break;
      case HistoryKind::kResumed:
        ++this->verdict.resumed;
        break;
      case HistoryKind::kLost:
        ++outcome.lost;
        break;
      case HistoryKind::kCancelled:
        ++outcome.cancelled;
        break;
      case HistoryKind::kEndpointRan:
        outcome.ran += event.count;
        break;
      case HistoryKind::kFirstToken:
      case HistoryKind::kWithdrawn:
      case HistoryKind::kFault:
        break;
    }
  }

  void AddViolation(std::string invariant, const std::string& request,
                    std::string detail) {
    this->verdict.violations.push_back(
        Violation{std::move(invariant), request, std::move(detail)});
  }

  void CheckEnding(const std::string& request, const RequestOutcome& outcome) {
    const bool ended = !outcome.whole.empty() || !outcome.refused.empty() ||
                       outcome.cancelled > 0;
    if (outcome.sent && (outcome.lost > 0 || !ended)) {
      ++this->verdict.lost;
      this->AddViolation(
          "each request is answered or refused", request,
          "the caller gave up, or recorded no answer and no refusal");
    }
    if (outcome.whole.size() > 1) {
      ++this->verdict.doubled;
      this->AddViolation("each request is answered at most once", request,
                         std::to_string(outcome.whole.size()) +
                             " complete answers were recorded");
    }
  }

  void CheckAnswerText(const std::string& request,
                       const RequestOutcome& outcome) {
    if (outcome.once) return;
    std::ranges::for_each(outcome.whole, [&](const HistoryEvent& event) {
      const std::string expected =
          Sha256Hex(AnswerText(request, event.max_tokens));
      if (event.digest == expected) return;
      this->AddViolation(
          "a complete answer is the text generated for its request", request,
          "its digest differs from that of the text that engines generate for "
          "this request");
    });
  }

  void CheckRunCount(const std::string& request,
                     const RequestOutcome& outcome) {
    if (outcome.once && outcome.ran > 1) {
      ++this->verdict.doubled;
      this->AddViolation(
          "a request marked as once runs at most once", request,
          "endpoints ran it " + std::to_string(outcome.ran) + " times");
    }
    // A call sent twice with one ticket may run once and be refused once as not
    // run. The refusals are wrong only if the request ran although no copy of
    // it was answered.
    const bool answered = !outcome.whole.empty();
    const bool all_not_run = std::ranges::all_of(
        outcome.refused,
        [](const HistoryEvent& event) { return event.ran == "no"; });
    if (answered || outcome.refused.empty() || !all_not_run ||
        outcome.ran == 0) {
      return;
    }
    this->AddViolation("a request refused as not run has not run", request,
                       "refused as not run, but endpoints ran it " +
                           std::to_string(outcome.ran) + " times");
  }

  void CheckWithdrawnKey(const HistoryEvent& event) {
    if (event.kind != HistoryKind::kWhole &&
        event.kind != HistoryKind::kFirstToken) {
      return;
    }
    const auto withdrawn = this->withdrawn_at.find(event.team);
    if (withdrawn == this->withdrawn_at.end()) return;
    if (event.at_ms <= withdrawn->second + kWithdrawnKeyGraceMs) return;
    this->AddViolation(
        "a withdrawn key stops working", event.request,
        "served " + std::to_string(event.at_ms - withdrawn->second) +
            " ms after the withdrawal, past the grace period of " +
            std::to_string(kWithdrawnKeyGraceMs) + " ms");
  }

  HistoryVerdict verdict;
  std::map<std::string, RequestOutcome> requests;
  std::map<std::string, TimeMs> withdrawn_at;
};

}  // namespace

HistoryVerdict CheckHistory(const std::vector<HistoryEvent>& events) {
  return HistoryChecker().Run(events);
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
    out << "  violated: " << violation.invariant << " [" << violation.request
        << "]: " << violation.detail << '\n';
  });
  return out;
}

}  // namespace limpethaven
