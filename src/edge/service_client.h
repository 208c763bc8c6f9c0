/// @file
/// Plain services over HTTP.
#pragma once

#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Client for plain services. Each call uses a connection of its own and is
/// sent at most once.
class HttpServiceClient final : public ServiceClient {
 public:
  [[nodiscard]] Result<ServiceAnswer> Call(const ServiceCall& call) override;
};

}  // namespace limpethaven
