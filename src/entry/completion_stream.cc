#include "entry/completion_stream.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "limpethaven/resume_token.h"
#include "log/event_log.h"
#include "protocol/engine_messages.h"

namespace limpethaven {
namespace {

using nlohmann::json;

std::int64_t PiecesOf(Tokens tokens) {
  return (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
}

std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string ChunkJson(const std::string& id, const std::string& model,
                      std::string_view text, bool last) {
  return Dump(
      {{"id", id},
       {"object", "text_completion"},
       {"model", model},
       {"choices", json::array({{{"index", 0},
                                 {"text", text},
                                 {"finish_reason",
                                  last ? json("stop") : json(nullptr)}}})}});
}

}  // namespace

CompletionStream::CompletionStream(const CallerRequest& request,
                                   std::string secret)
    : request_id(request.attempt_id),
      team(request.team),
      model(request.model),
      fleet_secret(std::move(secret)),
      buffered(request.buffered),
      prompt_tokens(request.prompt_tokens),
      start_offset(request.resumed_attempt ? request.resumed_attempt->offset
                                           : 0) {}

void CompletionStream::OnPlaced(std::string_view cell, std::string_view attempt,
                                std::string_view endpoint, Tokens reserved) {
  const std::int64_t offset = this->Produced();
  this->guard.emplace(this->request_id, std::string(attempt), offset);
  this->parser = SseParser();
  this->attachment = 0;
  this->state = StreamState::kOpen;
  ResumeToken token;
  token.request_id = this->request_id;
  token.attempt = attempt;
  token.team = this->team;
  token.model = this->model;
  token.engine = endpoint;
  token.cell = cell;
  token.reservation = attempt;
  token.pieces = PiecesOf(reserved);
  token.offset = offset;
  this->resume_base = EncodeResumeBase(this->fleet_secret, token);
}

std::string CompletionStream::Feed(std::string_view bytes) {
  std::string out;
  if (!this->resume_id_sent) {
    // An event without text, sent before the first token: with its id the
    // caller can resume the answer even if the connection breaks before a
    // token arrives.
    this->resume_id_sent = true;
    out += FormatSse(
        SseEvent{EncodeResumeId(this->resume_base, this->Produced()), "",
                 ChunkJson(this->request_id, this->model, "", false)});
  }
  if (bytes.empty()) return out;
  const std::vector<SseEvent> events = this->parser.Feed(bytes);
  if (events.empty()) out += SseKeepAlive();
  std::ranges::for_each(events, [&](const SseEvent& event) {
    if (this->state == StreamState::kOpen) this->ProcessEvent(event, out);
  });
  if (this->parser.Failed()) this->state = StreamState::kInvalid;
  return out;
}

void CompletionStream::ProcessEvent(const SseEvent& sse_event,
                                    std::string& out) {
  const auto parsed = ReadJson<StreamEvent>(sse_event.data, "stream event");
  if (!parsed) {
    this->state = StreamState::kInvalid;
    return;
  }
  const StreamEvent& event = parsed.value();
  if (event.superseded) {
    this->state = StreamState::kSuperseded;
    return;
  }
  switch (this->guard->Classify(event)) {
    case EventVerdict::kOtherAttempt:
    case EventVerdict::kDuplicate:
      LogEvent(EventId::kStreamEventDropped,
               {{"request", this->request_id},
                {"event_request", event.request_id},
                LogField::Of("offset", event.offset),
                LogField::Of("expected", this->Produced())});
      return;
    case EventVerdict::kGap:
      this->state = StreamState::kInvalid;
      return;
    case EventVerdict::kDeliver:
      break;
  }
  this->attachment = event.attachment;
  this->text += event.text;
  out += FormatSse(
      SseEvent{EncodeResumeId(this->resume_base, this->Produced()), "",
               ChunkJson(this->request_id, this->model, event.text, false)});
}

StreamState CompletionStream::State() const noexcept { return this->state; }

void CompletionStream::OnEnd(bool) {
  this->parser = SseParser();
  // Invalid bytes end only the run that sent them; another run may continue
  // the answer.
  if (this->state == StreamState::kInvalid) this->state = StreamState::kOpen;
}

bool CompletionStream::Complete() const noexcept {
  return this->guard && this->guard->IsComplete();
}

std::string CompletionStream::FinalBytes() const {
  if (!this->buffered) {
    return FormatSse(SseEvent{
               "", "", ChunkJson(this->request_id, this->model, "", true)}) +
           FormatSse(SseEvent{"", "", "[DONE]"});
  }
  const Tokens produced = this->Produced();
  return Dump({{"id", this->request_id},
               {"object", "text_completion"},
               {"model", this->model},
               {"choices", json::array({{{"index", 0},
                                         {"text", this->text},
                                         {"finish_reason", "stop"}}})},
               {"usage",
                {{"prompt_tokens", this->prompt_tokens},
                 {"completion_tokens", produced},
                 {"total_tokens", this->prompt_tokens + produced}}}});
}

std::optional<std::int64_t> CompletionStream::LastEvent() const noexcept {
  return this->Produced();
}

Tokens CompletionStream::Produced() const noexcept {
  return this->guard ? this->guard->NextOffset() : this->start_offset;
}

std::string_view CompletionStream::Text() const noexcept { return this->text; }

std::int64_t CompletionStream::Attachment() const noexcept {
  return this->attachment;
}

}  // namespace limpethaven
