/// @file
/// Serves callers' requests: from a head and body to the end of an answer.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "limpethaven/config_model.h"
#include "limpethaven/endpoint_table.h"
#include "limpethaven/request_record.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "router/dialect.h"

namespace limpethaven {

/// What a router works with. All of it outlives the router.
struct RouterParts {
  Loop& loop;
  const CallerDialect& callers;
  const EndpointDialect& endpoints;
  ConnectionPool& pool;
  EndpointTable& table;
  std::string data_centre;
};

/// One request being served.
struct Serving;

/// Routes requests to endpoints. Single threaded.
class Router {
 public:
  explicit Router(RouterParts router_parts);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void SetConfig(std::shared_ptr<const Configuration> next);
  /// Answers one request.
  Task<> Serve(Exchange& exchange);

 private:
  Task<> RunPlain(Serving& serving);
  Task<> RunGeneration(Serving& serving);
  Task<> Refuse(Exchange& exchange, const Error& error);
  [[nodiscard]] Result<void> Admit(Serving& serving);
  [[nodiscard]] const EndpointRecord* Choose(const Serving& serving,
                                             PoolRole role);
  Task<SendOutcome> Forward(Serving& serving, const Dispatch& dispatch);
  Task<std::optional<KvHandle>> ReadPrompt(Serving& serving);

  RouterParts parts;
  std::shared_ptr<const Configuration> config;
  std::unordered_map<std::string, Tokens> load;  ///< By endpoint id.
  std::mt19937_64 random;
};

}  // namespace limpethaven
