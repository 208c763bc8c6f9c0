/// @file
/// Engines over HTTP with JSON and server-sent events.
#pragma once

#include "edge/http_client.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Client for engines. Safe to use from many threads.
class HttpEngineClient final : public EngineClient {
 public:
  [[nodiscard]] Result<PrefillAnswer> Prefill(const PrefillCall& call) override;
  [[nodiscard]] Result<void> Generate(const GenerateCall& call,
                                      StreamObserver& observer) override;
  [[nodiscard]] Result<void> Cancel(std::string_view address,
                                    std::string_view request_id,
                                    std::string_view attempt,
                                    std::int64_t attachment) override;
  [[nodiscard]] Result<EngineLoad> Load(std::string_view address) override;
  [[nodiscard]] Result<std::vector<CacheEvent>> CacheEvents(
      std::string_view address, std::int64_t after) override;
  [[nodiscard]] Result<EngineState> ReadState(
      std::string_view address) override;
  [[nodiscard]] Result<void> Order(std::string_view address,
                                   const EngineOrder& order) override;

 private:
  [[nodiscard]] Result<std::string> Call(std::string_view address,
                                         httplib::Request request,
                                         DurationMs timeout_ms);

  HttpPool pool;
};

}  // namespace limpethaven
