/// @file
/// Translates the event streams of engines into the answer to a completion
/// request.
#pragma once

#include <optional>
#include <string>

#include "limpethaven/caller_request.h"
#include "limpethaven/stream_guard.h"
#include "protocol/sse.h"
#include "router/stream_translator.h"

namespace limpethaven {

/// Answer to one completion request. Events of other attempts and duplicates
/// are dropped; a gap makes the stream invalid.
class CompletionStream final : public StreamTranslator {
 public:
  /// @param secret Secret of the fleet, which signs the event ids.
  CompletionStream(const CallerRequest& request, std::string secret);

  void OnPlaced(std::string_view cell, std::string_view attempt,
                std::string_view endpoint, Tokens reserved) override;
  [[nodiscard]] std::string Feed(std::string_view bytes) override;
  [[nodiscard]] StreamState State() const noexcept override;
  void OnEnd(bool in_order) override;
  [[nodiscard]] bool Complete() const noexcept override;
  [[nodiscard]] std::string FinalBytes() const override;
  [[nodiscard]] std::optional<std::int64_t> LastEvent() const noexcept override;
  [[nodiscard]] Tokens Produced() const noexcept override;
  [[nodiscard]] std::string_view Text() const noexcept override;
  [[nodiscard]] std::int64_t Attachment() const noexcept override;

 private:
  /// Appends to `out` what the caller gets for an engine's event.
  void ProcessEvent(const SseEvent& sse_event, std::string& out);

  std::string request_id;
  std::string team;
  std::string model;
  std::string fleet_secret;
  /// Whether the answer is sent as one body, not as a stream of events.
  bool buffered;
  Tokens prompt_tokens;
  std::int64_t start_offset;  ///< Index of the first token to send.
  std::optional<StreamGuard> guard;
  SseParser parser;
  std::string resume_base;  ///< Part that the ids of this run's events share.
  std::string text;
  /// Whether an event with a resume id was passed on.
  bool resume_id_sent = false;
  StreamState state = StreamState::kOpen;
  std::int64_t attachment = 0;
};

}  // namespace limpethaven
