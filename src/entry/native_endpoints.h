/// @file
/// The product's own protocol between the router and endpoints.
#pragma once

#include <string>

#include "router/dialect.h"

namespace limpethaven {

/// Protocol of the product's engines and of plain services.
class NativeEndpoints final : public EndpointDialect {
 public:
  /// @param secret Secret of the fleet, which signs the event ids of streams.
  explicit NativeEndpoints(std::string secret);

  [[nodiscard]] OutgoingCall Run(const Dispatch& dispatch) const override;
  [[nodiscard]] OutgoingCall Prefill(const Dispatch& dispatch) const override;
  [[nodiscard]] std::optional<OutgoingCall> ReleaseKv(
      const KvHandle& kv_handle) const override;
  [[nodiscard]] std::optional<OutgoingCall> CancelAbandonedRun(
      const Dispatch& dispatch) const override;
  [[nodiscard]] std::optional<OutgoingCall> CancelRun(
      const CancelCommand& command) const override;
  [[nodiscard]] OutgoingCall FetchLoad() const override;
  [[nodiscard]] std::optional<OutgoingCall> ChangeRole(
      const RoleChange& change) const override;
  [[nodiscard]] RoleOrderOutcome ClassifyRoleChange(
      const ResponseHead& head) const override;
  [[nodiscard]] std::optional<OutgoingCall> FetchCacheEvents(
      std::int64_t after) const override;
  [[nodiscard]] AnswerClass Classify(
      const ResponseHead& head, std::string_view body,
      const CallerRequest& request) const override;
  [[nodiscard]] Result<std::string> ParseHandle(
      std::string_view body) const override;
  [[nodiscard]] Result<EngineLoad> ParseLoad(
      std::string_view body) const override;
  [[nodiscard]] Result<std::vector<CacheEvent>> ParseCacheEvents(
      std::string_view body) const override;
  [[nodiscard]] std::unique_ptr<StreamTranslator> NewStream(
      const CallerRequest& request, const PoolSpec* pool) const override;
  [[nodiscard]] std::int64_t MaxReattaches() const noexcept override;

 private:
  std::string fleet_secret;
};

}  // namespace limpethaven
