#include "peer/cell_messages.h"

#include <algorithm>
#include <optional>

namespace limpethaven {
namespace {

using nlohmann::json;

/// Index of the limits in a placement request.
constexpr std::size_t kLimitsIndex = 15;
/// Index of the flag of a prefilled prompt in a placement request.
constexpr std::size_t kPrefilledIndex = 16;
/// Index of the order mark in a placement request.
constexpr std::size_t kRequestMarkIndex = 17;
/// Index of the order mark in a placement answer.
constexpr std::size_t kAnswerMarkIndex = 10;
/// Index of the order marks in a report.
constexpr std::size_t kReportMarksIndex = 3;
/// Index of the process's start in a report.
constexpr std::size_t kReportStartIndex = 4;
/// Indexes of the term in an order mark. Earlier versions have terms of another
/// kind at index 0, where 0 stands for none.
constexpr std::size_t kMarkRevisionIndex = 3;
constexpr std::size_t kMarkStepIndex = 4;
/// Index of the limit in a notice.
constexpr std::size_t kNoticeLimitIndex = 7;
/// Stands for a missing limit.
constexpr double kNoLimit = -1;
constexpr int kLastNoticeKind =
    static_cast<int>(CellNoticeKind::kEngineUnreachable);

json OptionalTokens(const std::optional<Tokens>& tokens) {
  return tokens ? json(*tokens) : json(nullptr);
}

json RevisionToJson(const SourceRevision& revision) {
  return json::array({revision.era, revision.number});
}

SourceRevision RevisionFromJson(const json& in) {
  return SourceRevision{in.at(0).get<std::uint64_t>(),
                        in.at(1).get<std::uint64_t>()};
}

json MarkToJson(const OrderMark& mark) {
  return json::array({0, mark.holder, mark.prefill_permille,
                      RevisionToJson(mark.term.revision), mark.term.step});
}

OrderMark MarkFromJson(const json& in) {
  if (in.size() <= kMarkStepIndex) return {};
  return OrderMark{OrderTerm{RevisionFromJson(in.at(kMarkRevisionIndex)),
                             in.at(kMarkStepIndex).get<std::uint32_t>()},
                   in.at(1).get<std::uint32_t>(), in.at(2).get<std::int64_t>()};
}

}  // namespace

// Messages are arrays without field names to keep them small: several are sent
// for each request, also between data centres.

void to_json(json& out, const CellPlacementRequest& message) {
  const PlacementRequest& request = message.request;
  json limits = json::array();
  std::ranges::transform(
      message.engine_limits, std::back_inserter(limits),
      [](const EngineLimit& limit) {
        return json::array({limit.engine, limit.max_per_s, limit.age_ms});
      });
  out = json::array(
      {message.cell, request.request_id, request.team, request.weight,
       request.priority, request.data_centre, request.prompt_tokens,
       request.max_tokens, OptionalTokens(request.hint), request.prefix,
       request.budget_ms, request.patience_ms, request.force_local_prefill,
       request.excluded, message.may_redirect, limits, request.prefilled,
       MarkToJson(message.mark)});
}

void from_json(const json& in, CellPlacementRequest& message) {
  PlacementRequest& request = message.request;
  in.at(0).get_to(message.cell);
  in.at(1).get_to(request.request_id);
  in.at(2).get_to(request.team);
  in.at(3).get_to(request.weight);
  in.at(4).get_to(request.priority);
  in.at(5).get_to(request.data_centre);
  in.at(6).get_to(request.prompt_tokens);
  in.at(7).get_to(request.max_tokens);
  if (!in.at(8).is_null()) request.hint = in.at(8).get<Tokens>();
  in.at(9).get_to(request.prefix);
  in.at(10).get_to(request.budget_ms);
  in.at(11).get_to(request.patience_ms);
  in.at(12).get_to(request.force_local_prefill);
  in.at(13).get_to(request.excluded);
  in.at(14).get_to(message.may_redirect);
  // Processes of an earlier version send no limits.
  if (in.size() <= kLimitsIndex) return;
  std::ranges::transform(
      in.at(kLimitsIndex), std::back_inserter(message.engine_limits),
      [](const json& row) {
        // Processes of an earlier version send no age.
        return EngineLimit{row.at(0).get<std::string>(),
                           row.at(1).get<double>(),
                           row.size() > 2 ? row.at(2).get<DurationMs>() : 0};
      });
  if (in.size() > kPrefilledIndex) {
    in.at(kPrefilledIndex).get_to(request.prefilled);
  }
  if (in.size() > kRequestMarkIndex) {
    message.mark = MarkFromJson(in.at(kRequestMarkIndex));
  }
}

void to_json(json& out, const CellPlacementAnswer& answer) {
  const Placement& placement = answer.placement;
  out = json::array({answer.redirect_to, placement.reservation,
                     placement.prefill, placement.decode, placement.runner_up,
                     placement.tokens, placement.cached_tokens,
                     placement.queued_ms, placement.lease_ms, placement.reason,
                     MarkToJson(answer.mark)});
}

void from_json(const json& in, CellPlacementAnswer& answer) {
  Placement& placement = answer.placement;
  in.at(0).get_to(answer.redirect_to);
  in.at(1).get_to(placement.reservation);
  in.at(2).get_to(placement.prefill);
  in.at(3).get_to(placement.decode);
  in.at(4).get_to(placement.runner_up);
  in.at(5).get_to(placement.tokens);
  in.at(6).get_to(placement.cached_tokens);
  in.at(7).get_to(placement.queued_ms);
  in.at(8).get_to(placement.lease_ms);
  in.at(9).get_to(placement.reason);
  if (in.size() > kAnswerMarkIndex) {
    answer.mark = MarkFromJson(in.at(kAnswerMarkIndex));
  }
}

void to_json(json& out, const CellReport& report) {
  json notices = json::array();
  std::ranges::for_each(report.notices, [&notices](const CellNotice& notice) {
    notices.push_back(json::array(
        {static_cast<int>(notice.kind), notice.cell, notice.reservation,
         notice.request_id, notice.engine, notice.tokens, notice.measured_ms,
         notice.max_per_s.value_or(kNoLimit)}));
  });
  json renewals = json::array();
  std::ranges::for_each(report.renewals, [&renewals](const auto& row) {
    const Renewal& renewal = row.second;
    renewals.push_back(
        json::array({row.first, renewal.reservation, renewal.request_id,
                     renewal.engine, renewal.prompt_tokens, renewal.max_tokens,
                     renewal.expected, renewal.produced}));
  });
  json loads = json::array();
  std::ranges::for_each(report.loads, [&loads](const auto& row) {
    loads.push_back(
        json::array({row.first, row.second.waiting, row.second.wait_ms,
                     row.second.headroom_tokens}));
  });
  json marks = json::array();
  std::ranges::for_each(report.marks, [&marks](const auto& row) {
    marks.push_back(json::array({row.first, MarkToJson(row.second)}));
  });
  out = json::array({std::move(notices), std::move(renewals), std::move(loads),
                     std::move(marks)});
  if (report.start) {
    out.push_back(json::array(
        {RevisionToJson(report.start->revision), report.start->age_ms}));
  }
}

void from_json(const json& in, CellReport& report) {
  std::ranges::for_each(in.at(0), [&report](const json& row) {
    CellNotice notice;
    const int kind = row.at(0).get<int>();
    if (kind < 0 || kind > kLastNoticeKind) return;
    notice.kind = static_cast<CellNoticeKind>(kind);
    row.at(1).get_to(notice.cell);
    row.at(2).get_to(notice.reservation);
    row.at(3).get_to(notice.request_id);
    row.at(4).get_to(notice.engine);
    row.at(5).get_to(notice.tokens);
    row.at(6).get_to(notice.measured_ms);
    const double max_per_s = row.size() > kNoticeLimitIndex
                                 ? row.at(kNoticeLimitIndex).get<double>()
                                 : kNoLimit;
    if (max_per_s >= 0) notice.max_per_s = max_per_s;
    report.notices.push_back(std::move(notice));
  });
  std::ranges::for_each(in.at(1), [&report](const json& row) {
    Renewal renewal;
    row.at(1).get_to(renewal.reservation);
    row.at(2).get_to(renewal.request_id);
    row.at(3).get_to(renewal.engine);
    row.at(4).get_to(renewal.prompt_tokens);
    row.at(5).get_to(renewal.max_tokens);
    row.at(6).get_to(renewal.expected);
    row.at(7).get_to(renewal.produced);
    report.renewals.emplace_back(row.at(0).get<std::string>(),
                                 std::move(renewal));
  });
  std::ranges::for_each(in.at(2), [&report](const json& row) {
    report.loads.emplace_back(
        row.at(0).get<std::string>(),
        CellLoad{row.at(1).get<std::int64_t>(), row.at(2).get<DurationMs>(),
                 row.at(3).get<Tokens>()});
  });
  // Processes of an earlier version send no marks.
  if (in.size() <= kReportMarksIndex) return;
  std::ranges::for_each(in.at(kReportMarksIndex), [&report](const json& row) {
    report.marks.emplace_back(row.at(0).get<std::string>(),
                              MarkFromJson(row.at(1)));
  });
  if (in.size() > kReportStartIndex) {
    const json& start = in.at(kReportStartIndex);
    report.start = ProcessStart{RevisionFromJson(start.at(0)),
                                start.at(1).get<DurationMs>()};
  }
}

}  // namespace limpethaven
