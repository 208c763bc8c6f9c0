/// @file
/// Turns the events of engines into the answer to a completion.
#pragma once

#include <optional>
#include <string>

#include "limpethaven/caller_request.h"
#include "limpethaven/stream_guard.h"
#include "protocol/sse.h"
#include "router/stream_translator.h"

namespace limpethaven {

/// One completion's answer. Events that do not continue it are dropped.
class CompletionStream final : public StreamTranslator {
 public:
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
  void TakeEvent(const SseEvent& event, std::string& out);

  std::string request_id;
  std::string team;
  std::string model;
  std::string fleet_secret;
  bool one_piece;
  Tokens prompt_tokens;
  std::int64_t start;  ///< First token that the caller wants.
  std::optional<StreamGuard> guard;
  SseParser parser;
  std::string resume_base;
  std::string text;
  bool named = false;  ///< The caller has a resume id.
  StreamState state = StreamState::kOpen;
  std::int64_t attachment = 0;
};

}  // namespace limpethaven
