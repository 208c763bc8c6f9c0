/// @file
/// The product's own caller protocol: parses requests and builds responses.
#pragma once

#include <string>

#include "router/dialect.h"

namespace limpethaven {

/// Protocol of `/v1/completions` and of plain services below `/s/`.
class NativeCallers final : public CallerDialect {
 public:
  /// @param secret Secret of the fleet, which signs resume tokens.
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

/// Path of completion requests.
inline constexpr std::string_view kCompletionsPath = "/v1/completions";
/// Header with the id of a request.
inline constexpr std::string_view kRequestIdHeader = "Request-Id";

/// API key of the `Authorization` header; empty without a bearer token.
[[nodiscard]] std::string ApiKeyOf(const RequestHead& head);

}  // namespace limpethaven
