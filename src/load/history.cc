#include "load/history.h"

#include <algorithm>
#include <array>

#include "protocol/engine_messages.h"

namespace limpethaven {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 10> kKindNames = {
    "sent", "first_token", "resumed",      "whole",     "refused",
    "lost", "cancelled",   "endpoint_ran", "withdrawn", "fault"};

}  // namespace

std::string_view NameOf(HistoryKind kind) noexcept {
  return kKindNames[static_cast<std::size_t>(kind)];
}

std::string EncodeHistoryEvent(const HistoryEvent& event) {
  return json{{"kind", NameOf(event.kind)}, {"at_ms", event.at_ms},
              {"wall_ms", event.wall_ms},   {"process", event.process},
              {"request", event.request},   {"team", event.team},
              {"error", event.error},       {"ran", event.ran},
              {"digest", event.digest},     {"detail", event.detail},
              {"tokens", event.tokens},     {"max_tokens", event.max_tokens},
              {"count", event.count},       {"max_gap_ms", event.max_gap_ms},
              {"once", event.once}}
      .dump();
}

Result<HistoryEvent> DecodeHistoryEvent(std::string_view line) {
  try {
    const json in = json::parse(line);
    const auto found =
        std::ranges::find(kKindNames, in.at("kind").get<std::string>());
    if (found == kKindNames.end()) {
      return Error::Of(ErrorKind::kBadRequest,
                       "kind: not a kind of history event");
    }
    HistoryEvent event;
    event.kind = static_cast<HistoryKind>(found - kKindNames.begin());
    event.at_ms = in.at("at_ms").get<TimeMs>();
    event.wall_ms = in.at("wall_ms").get<TimeMs>();
    event.process = in.at("process").get<std::string>();
    event.request = in.at("request").get<std::string>();
    event.team = in.at("team").get<std::string>();
    event.error = in.at("error").get<std::string>();
    event.ran = in.at("ran").get<std::string>();
    event.digest = in.at("digest").get<std::string>();
    event.detail = in.at("detail").get<std::string>();
    event.tokens = in.at("tokens").get<std::int64_t>();
    event.max_tokens = in.at("max_tokens").get<std::int64_t>();
    event.count = in.at("count").get<std::int64_t>();
    event.max_gap_ms = in.at("max_gap_ms").get<double>();
    event.once = in.at("once").get<bool>();
    return event;
  } catch (const json::exception& failure) {
    return Error::Of(ErrorKind::kBadRequest, failure.what());
  }
}

Result<std::vector<HistoryEvent>> ReadHistory(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return Error::Of(ErrorKind::kBadRequest,
                     path + ": the history file cannot be opened");
  }
  std::vector<HistoryEvent> events;
  std::string line;
  std::int64_t line_number = 0;
  while (std::getline(in, line)) {
    ++line_number;
    auto event = DecodeHistoryEvent(line);
    if (!event) {
      return Error::Of(ErrorKind::kBadRequest,
                       path + ":" + std::to_string(line_number) + ": " +
                           event.error().message);
    }
    events.push_back(std::move(event.value()));
  }
  return events;
}

HistoryWriter::HistoryWriter(const std::string& path, std::string process_name)
    : out(path, std::ios::app), process(std::move(process_name)) {}

void HistoryWriter::Write(HistoryEvent event) {
  const std::lock_guard lock(this->mutex);
  event.at_ms = this->clock.Now();
  event.wall_ms = this->clock.WallNow();
  event.process = this->process;
  this->out << EncodeHistoryEvent(event) << '\n';
  this->out.flush();
}

}  // namespace limpethaven
