/// @file
/// Client for engines that are called over HTTP, with JSON bodies and
/// server-sent events.
#pragma once

#include "edge/http_client.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Blocking, thread-safe HTTP client for engines. `Prefill` and `Generate` take
/// their timeout from the call; for all others, each read and write times out
/// after 500 ms.
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
  /// Sends a request on a pooled connection and returns the body of the
  /// response. A status other than 200 is an error.
  [[nodiscard]] Result<std::string> Call(std::string_view address,
                                         httplib::Request request,
                                         DurationMs timeout_ms);

  HttpPool pool;
};

}  // namespace limpethaven
