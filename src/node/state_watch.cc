#include "node/state_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "limpethaven/crypto.h"

namespace limpethaven {
namespace {

using nlohmann::json;

/// Longest age or waiting time that an answer may name; a longer one means the
/// same.
constexpr std::uint64_t kMaxNamedMs = 3'600'000;

/// Unsigned integer of a field; empty when it is missing or anything else.
std::optional<std::uint64_t> UnsignedAt(const json& object, const char* field) {
  const auto value = object.find(field);
  if (value == object.end() || !value->is_number_unsigned()) {
    return std::nullopt;
  }
  return value->get<std::uint64_t>();
}

/// Revision in a field, in the form that `to_json` writes.
std::optional<SourceRevision> RevisionAt(const json& object,
                                         const char* field) {
  const auto value = object.find(field);
  if (value == object.end()) return std::nullopt;
  const bool has_era = value->is_array() && value->size() == 2 &&
                       value->at(0).is_number_unsigned() &&
                       value->at(1).is_number_unsigned();
  if (!has_era && !value->is_number_unsigned()) return std::nullopt;
  return value->get<SourceRevision>();
}

Error Malformed(const char* what) {
  return Error::Of(ErrorKind::kBadRequest,
                   std::string("malformed watch: expected ") + what);
}

}  // namespace

std::string EncodeWatchRequest(const StateWatchRequest& request) {
  json body = {{"version", request.known.version},
               {"revision", request.known.revision},
               {"wait_ms", request.wait_ms},
               {"config", NameOf(request.form)}};
  if (request.seen) body["seen"] = *request.seen;
  return body.dump();
}

Result<StateWatchRequest> DecodeWatchRequest(std::string_view text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return Malformed("a JSON object");
  const auto version = UnsignedAt(body, "version");
  const auto revision = RevisionAt(body, "revision");
  const auto wait_ms = UnsignedAt(body, "wait_ms");
  if (!version || !revision || !wait_ms) {
    return Malformed(
        "unsigned integers in version and wait_ms and a revision in revision");
  }
  const auto longest = static_cast<std::uint64_t>(kMaxStateWatchMs);
  const auto form = body.find("config");
  const bool has_form = form != body.end() && form->is_string();
  return StateWatchRequest{
      KnownState{*version, *revision},
      static_cast<DurationMs>(std::min(*wait_ms, longest)),
      UnsignedAt(body, "seen"),
      ConfigFormOf(has_form ? form->get<std::string>() : std::string())};
}

Result<StateWatchAnswer> DecodeWatchAnswer(std::string_view text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return Malformed("a JSON object");
  const auto version = UnsignedAt(body, "version");
  const auto as_of = RevisionAt(body, "as_of");
  const auto waited_ms = UnsignedAt(body, "waited_ms");
  if (!version || !as_of || !waited_ms) {
    return Malformed(
        "unsigned integers in version and waited_ms and a revision in as_of");
  }
  StateWatchAnswer answer;
  answer.known = KnownState{*version, *as_of};
  answer.waited_ms = static_cast<DurationMs>(std::min(*waited_ms, kMaxNamedMs));
  answer.state = UnsignedAt(body, "state").value_or(0);
  // An age that is missing or malformed makes the answer stale.
  if (const auto age_ms = UnsignedAt(body, "source_age_ms")) {
    answer.source_age_ms =
        static_cast<DurationMs>(std::min(*age_ms, kMaxNamedMs));
  }
  return answer;
}

StateWatch::StateWatch(PeerLink& peer_link,
                       const PublishedState& published_state)
    : link(peer_link), state(published_state), state_number(RandomBits()) {
  // The calls are not long ones: without keep-alives a watch costs the reader
  // one message, and the caller waits for the answer with a limit of its own.
  this->link.Handle(std::string(kStateWatchPath),
                    [this](PeerCall& call) { return this->Answer(call); });
}

void StateWatch::SetSource(const Source& followed) { this->source = &followed; }

void StateWatch::NotifyChange() {
  ++this->state_number;
  std::ranges::for_each(this->waiting,
                        [](const std::weak_ptr<Notifier>& waiter) {
                          if (const auto held = waiter.lock()) held->Notify();
                        });
}

std::size_t StateWatch::Waiting() {
  std::erase_if(this->waiting, [](const std::weak_ptr<Notifier>& waiter) {
    return waiter.expired();
  });
  return this->waiting.size();
}

std::optional<DurationMs> StateWatch::SourceAgeMs(TimeMs now) const {
  if (this->source == nullptr) return std::nullopt;
  const SourceProgress progress = this->source->Progress();
  if (!progress.complete_at) return std::nullopt;
  return std::max<DurationMs>(now - *progress.complete_at, 0);
}

Task<Result<std::string>> StateWatch::Answer(PeerCall& call) {
  const TimeMs received_at = LoopNow();
  const Result<StateWatchRequest> request = DecodeWatchRequest(call.body);
  if (!request) co_return request.error();
  if (this->Waiting() < kMaxWaiting) {
    co_await this->AwaitChange(request.value(),
                               received_at + request.value().wait_ms);
  }
  const KnownState& known = request.value().known;
  json answer = this->state.StateAfter(known.version, known.revision,
                                       request.value().form);
  SourceRevision as_of = this->state.Revision();
  if (this->source != nullptr) {
    as_of = std::max(as_of, this->source->Progress().as_of);
  }
  const TimeMs now = LoopNow();
  answer["as_of"] = as_of;
  answer["state"] = this->state_number;
  answer["waited_ms"] = now - received_at;
  if (const auto age_ms = this->SourceAgeMs(now)) {
    answer["source_age_ms"] = *age_ms;
  }
  co_return answer.dump();
}

Task<> StateWatch::AwaitChange(const StateWatchRequest& request, TimeMs end) {
  const auto changed = std::make_shared<Notifier>(this->link.GetLoop());
  this->waiting.push_back(changed);
  for (;;) {
    const TimeMs now = LoopNow();
    const auto age_ms = this->SourceAgeMs(now);
    const bool stale = !age_ms || *age_ms > kMaxSourceAgeMs;
    if (stale || now >= end || this->HasNews(request)) co_return;
    const TimeMs stale_at = now + (kMaxSourceAgeMs - *age_ms) + 1;
    co_await changed->WaitUntil(std::min(end, stale_at));
  }
}

bool StateWatch::HasNews(const StateWatchRequest& request) const {
  if (request.seen == this->state_number) return false;
  return this->state.HasAfter(request.known.version, request.known.revision);
}

}  // namespace limpethaven
