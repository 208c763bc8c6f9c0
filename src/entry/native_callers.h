/// @file
/// The product's own caller interface: requests to typed fields, and back.
#pragma once

#include <string>

#include "router/dialect.h"

namespace limpethaven {

/// Callers of `/v1/completions` and `/s/...`.
class NativeCallers final : public CallerDialect {
 public:
  explicit NativeCallers(std::string secret);

  [[nodiscard]] Result<CallerRequest> Read(
      const RequestHead& head, const std::string& body) const override;
  [[nodiscard]] const RouteSpec* FindRoute(
      const Configuration& config, const CallerRequest& request) const override;
  [[nodiscard]] ResponseHead ErrorHead(const Error& error) const override;
  [[nodiscard]] std::string ErrorBody(const Error& error) const override;
  [[nodiscard]] ResponseHead AnswerHead(
      const ResponseHead& endpoint_head,
      const CallerRequest& request) const override;
  [[nodiscard]] std::optional<std::string> StreamErrorEvent(
      const Error& error) const override;

 private:
  [[nodiscard]] Result<CallerRequest> ReadCompletion(
      const RequestHead& head, const std::string& body) const;
  [[nodiscard]] Result<CallerRequest> ReadService(
      const RequestHead& head, const std::string& body) const;

  std::string fleet_secret;
};

/// Path of completions.
inline constexpr std::string_view kCompletionsPath = "/v1/completions";
/// Header that names a request.
inline constexpr std::string_view kRequestIdHeader = "Request-Id";

/// Key that the caller shows; empty without one.
[[nodiscard]] std::string KeyOf(const RequestHead& head);

}  // namespace limpethaven
